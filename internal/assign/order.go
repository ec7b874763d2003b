package assign

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// longPromptDivisor is the inverse of the fraction of the service's shortest objective
	// from which on the processing time of a prompt makes it a long one.
	longPromptDivisor = 8
	// dueDivisor is the inverse of the fraction of its objective within which a job should
	// be placed. The rest allows for the time at the engine, and lets a job with a long
	// objective that waits become due before later ones with a short objective are late.
	dueDivisor = 2
	// slackLevels is the number of urgency levels into which the time left until the
	// objective is divided at an engine.
	slackLevels = UrgencyLevels - 2
	// priorityHoldObjectives is for how long, as a multiple of the service's longest
	// objective, jobs are ordered by priority after one became late in the queue. The time
	// doubles up to maxPriorityHoldFactor times while the shortage goes on, so that the
	// order by due time is tried less and less often.
	priorityHoldObjectives = 2
	maxPriorityHoldFactor  = 8
)

// kindOrder is the order of the jobs of a service in which a kind with a longer objective
// has a more urgent priority than another kind. By priority alone, the kind with the short
// objective would wait for the other one, which has time left. While no job becomes late,
// jobs are ordered by the time by which they are due; in a shortage by priority.
type kindOrder struct {
	shortest, longest time.Duration // objectives of the service's routes
	priorityUntil     time.Duration // jobs are ordered by priority until this time
	hold              time.Duration // length of the last such period
	shortages         uint64        // periods begun
}

// kindOrders returns the orders of the services of engines for which the configuration has
// a route with a longer objective and a more urgent priority than another one, by service.
// The order of a service whose objectives are the same keeps its state.
func kindOrders(config *fleet.Config, before map[string]*kindOrder) map[string]*kindOrder {
	routes := map[string][]*fleet.Route{}
	for _, r := range config.Routes {
		for _, t := range r.Targets {
			if svc := config.Services[t.Service]; svc != nil && svc.Engine != nil && r.Objective > 0 {
				routes[t.Service] = append(routes[t.Service], r)
			}
		}
	}
	out := map[string]*kindOrder{}
	for _, service := range slices.Sorted(maps.Keys(routes)) {
		if !hasInvertedKinds(routes[service]) {
			continue
		}
		byObjective := func(a, b *fleet.Route) int { return cmp.Compare(a.Objective, b.Objective) }
		o := &kindOrder{shortest: slices.MinFunc(routes[service], byObjective).Objective, longest: slices.MaxFunc(routes[service], byObjective).Objective}
		if was := before[service]; was != nil && was.shortest == o.shortest && was.longest == o.longest {
			o = was
		}
		out[service] = o
	}
	return out
}

// hasInvertedKinds reports whether a route has a longer objective and a more urgent priority
// than another one.
func hasInvertedKinds(routes []*fleet.Route) bool {
	for _, a := range routes {
		for _, b := range routes {
			if a.Objective > b.Objective && a.Priority < b.Priority {
				return true
			}
		}
	}
	return false
}

// byPriority reports whether jobs are ordered by priority, because of a shortage.
func (o *kindOrder) byPriority(now time.Duration) bool { return now < o.priorityUntil }

// recordLate records that a job became late in the queue although it could have been on time.
func (o *kindOrder) recordLate(now time.Duration) {
	if o.byPriority(now) {
		return
	}
	base := priorityHoldObjectives * o.longest
	if now < o.priorityUntil+o.hold {
		o.hold = min(2*o.hold, maxPriorityHoldFactor*base)
	} else {
		o.hold = base
	}
	o.priorityUntil = now + o.hold
	o.shortages++
}

// promptTime returns the time that an engine needs for a prompt.
func promptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / referencePrefillTokensPerMs * float64(time.Millisecond))
}

// dueAt returns the time by which the job should be placed.
func (j *Job) dueAt() time.Duration {
	return j.Arrived + (j.Objective-j.Arrived)/dueDivisor - promptTime(j.PromptTokens)
}

// compare orders jobs for the queue. Jobs of services with a kindOrder come after all others
// and grouped by service, as orders that differ between services cannot be mixed; services
// share no upstreams.
func (s *Scheduler) compare(now time.Duration, a, b *Job) int {
	oa, ob := s.kindOrders[a.Service], s.kindOrders[b.Service]
	switch {
	case oa == nil && ob == nil:
		return compareJobs(now, a, b)
	case oa == nil:
		return -1
	case ob == nil:
		return 1
	case a.Service != b.Service:
		return cmp.Compare(a.Service, b.Service)
	case oa.byPriority(now) || a.late(now) || b.late(now):
		return compareJobs(now, a, b)
	}
	return cmp.Or(cmp.Compare(a.dueAt(), b.dueAt()), compareJobs(now, a, b))
}

// urgencyAt returns the urgency level that the job has at an upstream if it is sent now. In a
// service with a kindOrder the level follows the time left until the objective: a long prompt
// goes behind the prompts that have less time, and no other job goes behind its own level.
func (s *Scheduler) urgencyAt(now time.Duration, j *Job) int {
	urgency := j.UrgencyAt(now)
	o := s.kindOrders[j.Service]
	if o == nil || j.late(now) || o.byPriority(now) {
		return urgency
	}
	level := min(int(max(j.dueAt()-now, 0)*slackLevels/o.longest), slackLevels)
	if o.longPrompt(j) && level > 0 {
		return max(urgency, level)
	}
	return min(urgency, level)
}

// longPrompt reports whether the prompt of the job delays others noticeably.
func (o *kindOrder) longPrompt(j *Job) bool {
	return promptTime(j.PromptTokens) > o.shortest/longPromptDivisor
}

// noteLate records a job that became late in the queue. One that had little time left when
// it came says nothing about a shortage.
func (s *Scheduler) noteLate(now time.Duration, j *Job) {
	o := s.kindOrders[j.Service]
	if o == nil || j.lateNoted || !j.late(now) {
		return
	}
	j.lateNoted = true
	if j.queuedAt < j.dueAt() {
		o.recordLate(now)
	}
}

// Urgency returns the urgency level with which the request of the placement is sent.
func (p *Placement) Urgency() int { return p.urgency }

// overcommit returns by how many requests the known requests at an upstream may exceed its
// slots. A request beyond the slots waits there behind all that are more urgent, also those
// that arrive later, so one that is behind others is not sent to wait.
func (s *Scheduler) overcommit(now time.Duration, u *upstream, j *Job) int {
	if o := s.kindOrders[j.Service]; o != nil && o.longPrompt(j) && s.urgencyAt(now, j) > j.UrgencyAt(now) {
		return 0
	}
	return u.slots() / staleOvercommitDivisor
}

// OrderState is the order of the queue of a service with a kindOrder.
type OrderState struct {
	Service    string
	ByPriority bool
	Hold       time.Duration // length of the last period in which priority decides
	Shortages  uint64        // such periods begun
}

// OrderStates returns the state of each service that is not ordered by priority alone, by
// name.
func (s *Scheduler) OrderStates(now time.Duration) []OrderState {
	var out []OrderState
	for _, service := range slices.Sorted(maps.Keys(s.kindOrders)) {
		o := s.kindOrders[service]
		out = append(out, OrderState{Service: service, ByPriority: o.byPriority(now), Hold: o.hold, Shortages: o.shortages})
	}
	return out
}
