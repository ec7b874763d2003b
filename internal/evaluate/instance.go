package evaluate

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
)

// instance is a fake entry instance around the real decision packages.
type instance struct {
	w      *world
	id     int
	table  *route.Table
	random *rand.Rand
	queues []*fair.Queue // by model
	retry  route.RetryBudget
	shares fair.Shares
}

func newInstance(w *world, id int) *instance {
	zone := id % w.load.Zones
	i := &instance{w: w, id: id, random: rand.New(rand.NewPCG(uint64(id), 3))}
	i.shares.OverPercent = w.policies.OverPercent
	i.table = route.New(route.Options{
		Policy:        w.policies.Route(),
		AdapterLoad:   time.Duration(w.load.AdapterLoadUS) * time.Microsecond,
		NoEjection:    !w.policies.Ejection,
		RefusalMargin: w.policies.RefusalMargin,
		NoPace:        !w.policies.Pace,
		Distance: func(z string) time.Duration {
			if z == zoneName(zone) {
				return 0
			}
			return time.Duration(w.load.ZoneRoundTripUS) * time.Microsecond
		},
	})
	for _, e := range w.engines {
		i.table.SetUpstream(route.Upstream{
			Name: serverName(e.id), Zone: zoneName(e.zone), PrefillRate: w.policies.DescribedRate, MaxRunning: maxRunning,
		})
		i.table.SetResident(serverName(e.id), resident(e.homes, nil))
	}
	for range w.load.Models {
		i.queues = append(i.queues, fair.New(fair.Options{Policy: w.policies.Fair}))
	}
	return i
}

func (i *instance) request(j *job) route.Request {
	r := route.Request{
		Model: modelName(j.model), Adapter: adapterName(j.adapter), Prefix: j.prefix, PrefixTokens: j.prefixSize,
		PromptTokens: j.prompt, MaxTokens: j.output,
	}
	if i.w.policies.Queue && j.class == fair.Live {
		r.Deadline = j.at + firstTokenDeadline
	}
	if j.class == fair.Batch && !i.queues[j.model].BatchOwed() {
		r.RoomPercent = i.w.policies.BatchRoom
	}
	return r
}

func (i *instance) arrive(j *job) {
	i.retry.Request()
	q := i.queues[j.model]
	if q.Len() > 0 {
		i.enqueue(j)
		i.pump(j.model)
		return
	}
	c, err := i.table.Pick(i.w.now, i.request(j), i.random)
	if errors.Is(err, route.ErrNoHome) || c.Saturated {
		i.w.apply(i.w.planner.Wanted(i.w.now, i.w.fleet, j.model))
	}
	switch {
	case err != nil && j.class == fair.Live:
		j.end = refused
	case i.overShare(j, c):
		j.end = refused
	case err != nil || c.Saturated && i.w.policies.Queue:
		i.enqueue(j)
	default:
		i.send(j, c)
	}
}

// overShare says whether a live request is to give way: its upstream is busy
// and its organisation over its share.
func (i *instance) overShare(j *job, c route.Choice) bool {
	busy := c.Expected > firstTokenDeadline*time.Duration(i.w.policies.BusyPercent)/100
	return i.w.policies.OverPercent > 0 && j.class == fair.Live && busy && i.shares.Over(i.w.load.Organisations[j.org].Name)
}

func (i *instance) enqueue(j *job) {
	j.queued = fair.Request{
		ID: j.id, Organisation: i.w.load.Organisations[j.org].Name, Class: j.class, Prefill: j.prompt, Decode: j.output,
	}
	if j.class == fair.Live {
		own := seconds(float64(j.prompt) / i.w.policies.DescribedRate)
		j.queued.Deadline = j.at + firstTokenDeadline - own
	}
	if i.queues[j.model].Enqueue(i.w.now, j.queued) != nil {
		j.end = refused
	}
}

func (i *instance) pumpAll() {
	for model := range i.queues {
		i.pump(model)
	}
}

// pump dispatches queued requests while an upstream has room.
func (i *instance) pump(model int) {
	q := i.queues[model]
	for {
		head, ok := q.Peek(i.w.now)
		if !ok {
			break
		}
		j := &i.w.jobs[head.ID-1]
		c, err := i.table.Pick(i.w.now, i.request(j), i.random)
		if err == nil && c.Saturated || err != nil && j.class == fair.Batch {
			break
		}
		q.Next(i.w.now)
		if err != nil || i.overShare(j, c) {
			j.end = refused
			continue
		}
		i.send(j, c)
	}
	for _, r := range q.Expire(i.w.now) {
		i.w.jobs[r.Request.ID-1].end = refused
	}
}

func (i *instance) send(j *job, c route.Choice) {
	var server int
	for _, e := range i.w.engines {
		if serverName(e.id) == c.Upstream {
			server = e.id
		}
	}
	e := i.w.engines[server]
	j.attempts++
	if org := i.w.load.Organisations[j.org]; j.class == fair.Live {
		i.shares.Served(i.w.now, org.Name, org.Share, j.prompt+fair.DefaultDecodeWeight*j.output)
	}
	j.server, j.sent, j.expected = server, i.w.now, c.Expected
	i.table.Started(i.w.now, route.Started{
		Upstream: c.Upstream, Prefill: j.prompt - c.Hit, Prefix: j.prefix, PrefixTokens: j.prefixSize, KV: j.prompt + j.output,
	})
	trip := time.Duration(0)
	if e.zone != i.id%i.w.load.Zones {
		trip = time.Duration(i.w.load.ZoneRoundTripUS) * time.Microsecond
	}
	i.w.after(trip, func() {
		if e.dead {
			i.failed(j, true, true)
			return
		}
		e.submit(j)
	})
}

func (i *instance) firstToken(j *job) {
	if j.class == fair.Live {
		i.table.FirstToken(route.FirstToken{Upstream: serverName(j.server), Expected: j.expected, Took: i.w.now - j.sent})
	}
}

func (i *instance) finished(j *job) {
	i.table.Finished(i.w.now, route.Finished{Upstream: serverName(j.server), Ran: i.w.now - j.sent, KV: j.prompt + j.output})
	if j.queued.ID != 0 {
		i.queues[j.model].Done(j.queued, j.tokens)
	}
	i.pump(j.model)
}

func (i *instance) failed(j *job, mayRetry, unreachable bool) {
	i.table.Failed(i.w.now, route.Failed{Upstream: serverName(j.server), KV: j.prompt + j.output, Unreachable: unreachable})
	if !mayRetry || j.attempts >= maxAttempts || i.w.policies.Ejection && !i.retry.Retry() {
		j.end = cut
		return
	}
	c, err := i.table.Pick(i.w.now, i.request(j), i.random)
	if err != nil {
		j.end = refused
		return
	}
	i.send(j, c)
}
