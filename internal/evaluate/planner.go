package evaluate

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// planner decides which server holds which model.
type planner interface {
	// modelWanted is called under the LoadOnDemand policy for a request whose model
	// has no replica or whose replicas have no free slot.
	modelWanted(model int)
	// requestSent is called for a request that was sent to a server, and
	// requestRefused for one that was refused.
	requestSent(j *job, e *engine)
	requestRefused(j *job)
}

// staticReplicas distributes the models over the servers round robin. It returns
// the models of each server.
func staticReplicas(w *Workload) [][]int {
	replicas := make([][]int, w.Servers)
	for slot := range w.Servers * w.ModelsPerServer {
		server := slot % w.Servers
		replicas[server] = append(replicas[server], slot%w.Models)
	}
	return replicas
}

// staticPlanner never moves a model.
type staticPlanner struct{}

func newStaticPlanner(*simulation) planner { return staticPlanner{} }

func (staticPlanner) modelWanted(int)           {}
func (staticPlanner) requestSent(*job, *engine) {}
func (staticPlanner) requestRefused(*job)       {}

// lruPlanner loads a model on demand in place of the least recently used one,
// which is unloaded at once.
type lruPlanner struct {
	staticPlanner
	sim         *simulation
	lastLoad    map[int]time.Duration   // when each model was last loaded
	lastUse     map[int][]time.Duration // time of the last request or load, by server and model
	storeFreeAt time.Duration           // when the weight store can start the next load
}

// lruCooldown is the minimum time between two loads of the same model.
const lruCooldown = 10 * time.Second

func newLRUPlanner(sim *simulation) planner {
	p := &lruPlanner{sim: sim, lastLoad: map[int]time.Duration{}, lastUse: map[int][]time.Duration{}}
	for i := range sim.workload.Servers {
		p.lastUse[i] = make([]time.Duration, sim.workload.Models)
	}
	return p
}

func (p *lruPlanner) requestSent(j *job, e *engine) { p.lastUse[e.id][j.model] = p.sim.now }

func (p *lruPlanner) modelWanted(model int) {
	if at, ok := p.lastLoad[model]; ok && p.sim.now-at < lruCooldown {
		return
	}
	var server *engine
	victim, oldest := -1, p.sim.now
	for _, e := range p.sim.engines {
		if e.dead || e.replica(model) != nil {
			continue
		}
		for _, r := range e.replicas {
			if at := p.lastUse[e.id][r.model]; r.state == placement.Ready && at < oldest {
				server, victim, oldest = e, r.model, at
			}
		}
	}
	if server == nil {
		return
	}
	p.lastLoad[model] = p.sim.now
	p.lastUse[server.id][model] = p.sim.now
	server.unloadModel(victim)
	start := max(p.sim.now, p.storeFreeAt)
	p.storeFreeAt = start + seconds(1/p.sim.workload.StoreLoadsPerS)
	server.loadModel(model, start-p.sim.now+p.sim.modelLoadTime(), func() {})
}

// modelLoadTime returns the time that the weight store takes for one load while
// it serves StoreLoadsAtOnce loads concurrently.
func (sim *simulation) modelLoadTime() time.Duration {
	return seconds(float64(sim.workload.StoreLoadsAtOnce) / sim.workload.StoreLoadsPerS)
}

// replica is a model that is loaded, or being loaded, in a server.
type replica struct {
	model     int
	state     placement.ReplicaState
	draining  bool
	orderedAt time.Duration
}

// replica returns the server's replica of a model, or nil.
func (e *engine) replica(model int) *replica {
	i := slices.IndexFunc(e.replicas, func(r *replica) bool { return r.model == model })
	if i < 0 {
		return nil
	}
	return e.replicas[i]
}

// loadModel starts to load a model into the server and calls done when the
// replica is ready.
func (e *engine) loadModel(model int, loadTime time.Duration, done func()) {
	e.sim.modelLoads++
	r := &replica{model: model, state: placement.Loading, orderedAt: e.sim.now}
	e.replicas = append(e.replicas, r)
	e.sim.after(loadTime, func() {
		r.state = placement.Ready
		e.publishResidents()
		done()
	})
}

func (e *engine) unloadModel(model int) {
	e.replicas = slices.DeleteFunc(e.replicas, func(r *replica) bool { return r.model == model })
	e.publishResidents()
}
