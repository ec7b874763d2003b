package evaluate

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// instance simulates an entry instance; its decisions are those of the real
// packages.
type instance struct {
	sim            *simulation
	id             int
	zone           int
	scheduler      *dispatch.Scheduler
	submitted      map[uint64]*job
	onDemandRandom *rand.Rand // random source of the picks before planner.modelWanted
	retryBudget    *once.Budget
}

func newInstance(sim *simulation, id int) *instance {
	i := &instance{sim: sim, id: id, zone: id % sim.workload.Zones, submitted: map[uint64]*job{}}
	i.onDemandRandom = rand.New(rand.NewPCG(uint64(id), 4))
	i.retryBudget = once.NewBudget(0, once.BudgetOptions{}, rand.New(rand.NewPCG(uint64(id), 5)))
	opts := sim.policies.Dispatch()
	opts.Seed = uint64(id)
	opts.Route.AdapterLoadTime = time.Duration(sim.workload.AdapterLoadUS) * time.Microsecond
	opts.Route.RoundTripTime = i.distance
	i.scheduler = dispatch.NewScheduler(opts)
	for _, e := range sim.engines {
		i.table().SetUpstream(route.Upstream{
			Name: serverName(e.id), Zone: zoneName(e.zone), PrefillRate: nominalPrefillRate, MaxRunning: maxRunning,
		})
		i.table().SetResident(serverName(e.id), e.resident(nil))
	}
	return i
}

func (i *instance) table() *route.Table { return i.scheduler.Table() }

func (i *instance) distance(zone string) time.Duration {
	if zone == zoneName(i.zone) {
		return 0
	}
	return time.Duration(i.sim.workload.ZoneRoundTripUS) * time.Microsecond
}

func (i *instance) dispatchRequest(j *job) dispatch.Request {
	org := i.sim.workload.Organisations[j.org]
	r := dispatch.Request{
		Organisation: org.Name, Weight: org.Share, Class: j.class,
		Route: route.Request{
			Model: modelName(j.model), Adapter: adapterName(j.adapter), Prefix: j.prefix, PrefixTokens: j.prefixTokens,
			PromptTokens: j.promptTokens, MaxTokens: j.outputTokens,
		},
	}
	if !i.sim.policies.NoDeadline && j.class == fair.Live {
		r.Route.Deadline = j.arrival + firstTokenDeadline
	}
	return r
}

func (i *instance) arrive(j *job) {
	if i.sim.policies.LoadOnDemand {
		c, err := i.table().Pick(i.sim.now, i.dispatchRequest(j).Route, i.onDemandRandom)
		if errors.Is(err, route.ErrNoReplica) || c.Saturated {
			i.sim.planner.modelWanted(j.model)
		}
	}
	i.retryBudget.First()
	i.submit(j)
}

func (i *instance) submit(j *job) {
	id := i.scheduler.Submit(i.sim.now, i.dispatchRequest(j))
	i.submitted[id] = j
	i.pump()
}

func (i *instance) pump() {
	for _, o := range i.scheduler.Dispatch(i.sim.now) {
		j := i.submitted[o.ID]
		delete(i.submitted, o.ID)
		if o.Err != nil {
			j.outcome = refused
			i.sim.planner.requestRefused(j)
			i.sim.limiter.refund(j)
			continue
		}
		i.send(j, o.Grant)
	}
}

func (i *instance) send(j *job, g *dispatch.Grant) {
	e := i.sim.byName[g.Upstream]
	j.attempts++
	j.grant = g
	i.sim.planner.requestSent(j, e)
	e.inTransit[j.model]++
	i.sim.after(i.distance(zoneName(e.zone)), func() {
		e.inTransit[j.model]--
		r := e.replica(j.model)
		switch {
		case e.dead:
			i.failed(j, failure{mayRetry: true, unreachable: true})
		case r == nil || r.state != placement.Ready:
			i.failed(j, failure{mayRetry: true, refused: true})
		default:
			e.submit(j)
		}
	})
}

func (i *instance) firstTokenSent(j *job) { i.scheduler.FirstToken(i.sim.now, j.grant) }

func (i *instance) finished(j *job) {
	i.scheduler.Finished(i.sim.now, j.grant, j.generatedTokens)
	i.pump()
}

// failure describes how an attempt failed.
type failure struct {
	mayRetry    bool // nothing has been sent to the caller
	refused     bool // by the server
	unreachable bool
}

// failed ends an attempt and retries the request: after a backoff and within the
// retry budget, or at once if the policies have no budget.
func (i *instance) failed(j *job, f failure) {
	i.scheduler.Failed(i.sim.now, j.grant, f.refused, f.unreachable)
	switch {
	case !f.mayRetry, j.attempts >= maxAttempts, !i.sim.policies.NoRetryBudget && !i.retryBudget.Retry(i.sim.now):
		j.outcome = interrupted
	case i.sim.policies.NoRetryBudget:
		i.submit(j)
	default:
		i.sim.after(i.retryBudget.Backoff(j.attempts), func() { i.submit(j) })
	}
}
