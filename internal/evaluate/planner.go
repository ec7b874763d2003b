package evaluate

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// planner decides which server holds which model.
type planner interface {
	// wanted is called, on demand, for a request whose model has no home or
	// whose homes have no room.
	wanted(model int)
	// sent and refused tell of a request that went to a server, or to none.
	sent(j *job, e *engine)
	refused(j *job)
}

// staticHomes deals the models out to the servers in turn.
func staticHomes(w *Workload) [][]int {
	homes := make([][]int, w.Servers)
	for slot := range w.Servers * w.ModelsPerServer {
		server := slot % w.Servers
		homes[server] = append(homes[server], slot%w.Models)
	}
	return homes
}

// staticPlanner never moves a model.
type staticPlanner struct{}

func newStaticPlanner(*world) planner { return staticPlanner{} }

func (staticPlanner) wanted(int)         {}
func (staticPlanner) sent(*job, *engine) {}
func (staticPlanner) refused(*job)       {}

// lruPlanner loads a model on demand in place of the one least recently used.
// The victim leaves at once.
type lruPlanner struct {
	staticPlanner
	x    *world
	last map[int]time.Duration   // when each model was last loaded
	used map[int][]time.Duration // when each server last ran each model
	free time.Duration           // when the weight store takes the next load
}

const lruCooldown = 10 * time.Second

func newLRUPlanner(x *world) planner {
	p := &lruPlanner{x: x, last: map[int]time.Duration{}, used: map[int][]time.Duration{}}
	for i := range x.load.Servers {
		p.used[i] = make([]time.Duration, x.load.Models)
	}
	return p
}

func (p *lruPlanner) sent(j *job, e *engine) { p.used[e.id][j.model] = p.x.now }

func (p *lruPlanner) wanted(model int) {
	if at, ok := p.last[model]; ok && p.x.now-at < lruCooldown {
		return
	}
	var server *engine
	victim, oldest := -1, p.x.now
	for _, e := range p.x.engines {
		if e.dead || e.home(model) != nil {
			continue
		}
		for _, h := range e.homes {
			if at := p.used[e.id][h.model]; h.state == placement.Ready && at < oldest {
				server, victim, oldest = e, h.model, at
			}
		}
	}
	if server == nil {
		return
	}
	p.last[model] = p.x.now
	p.used[server.id][model] = p.x.now
	server.unload(victim)
	start := max(p.x.now, p.free)
	p.free = start + seconds(1/p.x.load.StoreLoadsPerS)
	server.load(model, start-p.x.now+p.x.loadTime(), func() {})
}

// loadTime is how long the weight store takes for one of the loads that it
// serves at once.
func (x *world) loadTime() time.Duration {
	return seconds(float64(x.load.StoreLoadsAtOnce) / x.load.StoreLoadsPerS)
}

// home is a model in a server.
type home struct {
	model    int
	state    placement.State
	draining bool
	ordered  time.Duration
}

// home returns the server's home of a model, nil for none.
func (e *engine) home(model int) *home {
	i := slices.IndexFunc(e.homes, func(h *home) bool { return h.model == model })
	if i < 0 {
		return nil
	}
	return e.homes[i]
}

// load brings a model into the server; done is called when it is ready.
func (e *engine) load(model int, took time.Duration, done func()) {
	e.w.moves++
	h := &home{model: model, state: placement.Loading, ordered: e.w.now}
	e.homes = append(e.homes, h)
	e.w.after(took, func() {
		h.state = placement.Ready
		e.announce()
		done()
	})
}

func (e *engine) unload(model int) {
	e.homes = slices.DeleteFunc(e.homes, func(h *home) bool { return h.model == model })
	e.announce()
}
