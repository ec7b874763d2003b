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

// instance is a fake entry instance around the real decision packages.
type instance struct {
	w         *world
	id        int
	zone      int
	scheduler *dispatch.Scheduler
	submitted map[uint64]*job
	probe     *rand.Rand // for Planner.Wanted
	retry     *once.Budget
}

func newInstance(w *world, id int) *instance {
	i := &instance{w: w, id: id, zone: id % w.load.Zones, submitted: map[uint64]*job{}}
	i.probe = rand.New(rand.NewPCG(uint64(id), 4))
	i.retry = once.NewBudget(0, once.BudgetOptions{}, rand.New(rand.NewPCG(uint64(id), 5)))
	opts := w.policies.Dispatch()
	opts.Seed = uint64(id)
	opts.Route.AdapterLoad = time.Duration(w.load.AdapterLoadUS) * time.Microsecond
	opts.Route.Distance = i.distance
	i.scheduler = dispatch.NewScheduler(opts)
	for _, e := range w.engines {
		i.table().SetUpstream(route.Upstream{
			Name: serverName(e.id), Zone: zoneName(e.zone), PrefillRate: describedRate, MaxRunning: maxRunning,
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
	return time.Duration(i.w.load.ZoneRoundTripUS) * time.Microsecond
}

func (i *instance) request(j *job) dispatch.Request {
	org := i.w.load.Organisations[j.org]
	r := dispatch.Request{
		Organisation: org.Name, Weight: org.Share, Class: j.class,
		Route: route.Request{
			Model: modelName(j.model), Adapter: adapterName(j.adapter), Prefix: j.prefix, PrefixTokens: j.prefixSize,
			PromptTokens: j.prompt, MaxTokens: j.output,
		},
	}
	if !i.w.policies.NoDeadline && j.class == fair.Live {
		r.Route.Deadline = j.at + firstTokenDeadline
	}
	return r
}

func (i *instance) arrive(j *job) {
	if i.w.policies.OnDemand {
		c, err := i.table().Pick(i.w.now, i.request(j).Route, i.probe)
		if errors.Is(err, route.ErrNoHome) || c.Saturated {
			i.w.planner.wanted(j.model)
		}
	}
	i.retry.First()
	i.submit(j)
}

func (i *instance) submit(j *job) {
	id := i.scheduler.Submit(i.w.now, i.request(j))
	i.submitted[id] = j
	i.pump()
}

func (i *instance) pump() {
	for _, o := range i.scheduler.Pump(i.w.now) {
		j := i.submitted[o.ID]
		delete(i.submitted, o.ID)
		if o.Err != nil {
			j.end = refused
			i.w.planner.refused(j)
			i.w.limiter.refund(j)
			continue
		}
		i.send(j, o.Grant)
	}
}

func (i *instance) send(j *job, g *dispatch.Grant) {
	e := i.w.byName[g.Upstream]
	j.attempts++
	j.grant = g
	i.w.planner.sent(j, e)
	e.coming[j.model]++
	i.w.after(i.distance(zoneName(e.zone)), func() {
		e.coming[j.model]--
		h := e.home(j.model)
		switch {
		case e.dead:
			i.failed(j, failure{mayRetry: true, unreachable: true})
		case h == nil || h.state != placement.Ready:
			i.failed(j, failure{mayRetry: true, refused: true})
		default:
			e.submit(j)
		}
	})
}

func (i *instance) firstToken(j *job) { i.scheduler.FirstToken(i.w.now, j.grant) }

func (i *instance) finished(j *job) {
	i.scheduler.Finished(i.w.now, j.grant, j.tokens)
	i.pump()
}

// failure is how an attempt failed.
type failure struct {
	mayRetry    bool // the caller has seen nothing
	refused     bool // by the server
	unreachable bool
}

// failed retries a request within the budget if there is one.
func (i *instance) failed(j *job, f failure) {
	i.scheduler.Failed(i.w.now, j.grant, f.refused, f.unreachable)
	switch {
	case !f.mayRetry, j.attempts >= maxAttempts, !i.w.policies.NoBudget && !i.retry.Retry(i.w.now):
		j.end = cut
	case i.w.policies.NoBudget:
		i.submit(j)
	default:
		i.w.after(i.retry.Backoff(j.attempts), func() { i.submit(j) })
	}
}
