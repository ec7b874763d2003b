package assign

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// UrgencyLevels is the number of urgency levels; 0 is served first.
const UrgencyLevels = 10

// Load is the load that one instance has at an upstream. Pending requests have
// not produced output; they are counted by urgency level.
type Load struct {
	Running int // requests that have produced output
	Pending [UrgencyLevels]int
	// PendingTokens is the number of prompt tokens of the pending requests
	// that the upstream does not have in its cache, by urgency level, in tokens of a
	// model that needs the reference time for each.
	PendingTokens [UrgencyLevels]int
	// ReservedTokens is the memory that the requests take when they are complete, in tokens.
	ReservedTokens int
}

// Requests returns the number of requests.
func (l *Load) Requests() int {
	n := l.Running
	for _, p := range l.Pending {
		n += p
	}
	return n
}

// Empty reports whether the load is zero.
func (l *Load) Empty() bool { return l.Requests() == 0 }

// Add adds o to l.
func (l *Load) Add(o *Load) {
	l.Running += o.Running
	l.ReservedTokens += o.ReservedTokens
	for i := range l.Pending {
		l.Pending[i] += o.Pending[i]
		l.PendingTokens[i] += o.PendingTokens[i]
	}
}

// upstream is an instance's view of one upstream.
type upstream struct {
	entry  fleet.Upstream
	engine *fleet.Engine // nil for plain services

	models      []fleet.ResidentModel
	absentUntil map[modelKey]time.Duration // reported as absent by the upstream, until this time
	unloading   map[string]bool            // models about to be unloaded

	ownLoad  Load
	peerLoad Load // sum over the peers

	health       health
	latency      latencyTracker
	ownLatency   ownLatency
	countsMemory bool // whether requests are placed by its memory
	slow         bool // as reported by SlowChanges
	cache        prefixCache
	// fullUntil is the time until which the upstream counts as full, because
	// it refused a request although this instance's view showed free slots.
	fullUntil time.Duration
	// claimedAt is the time of the last claim of the engine's memory.
	claimedAt time.Duration
	// pausedUntil is the time until which the upstream wants no request from this
	// instance.
	pausedUntil time.Duration
	// listedWarm is whether the upstream was listed while its service did not limit cold
	// upstreams.
	listedWarm bool
}

type modelKey struct{ model, adapter string }

// serves reports whether the upstream serves the model and adapter now.
func (u *upstream) serves(now time.Duration, model, adapter string) bool {
	if u.engine == nil || model == "" {
		return true
	}
	m := fleet.FindModel(u.models, model)
	if m == nil || !m.HasAdapter(adapter) || u.unloading[model] {
		return false
	}
	return now >= u.absentUntil[modelKey{model, adapter}] && now >= u.absentUntil[modelKey{model, ""}]
}

// hasVersion reports whether the upstream has the software version that the job needs.
func (u *upstream) hasVersion(j *Job) bool { return j.Version == nil || u.entry.Version == *j.Version }

// takes reports whether the upstream serves the job's model and adapter now, at the version
// that the job needs.
func (u *upstream) takes(now time.Duration, j *Job) bool {
	return u.hasVersion(j) && u.serves(now, j.Model, j.Adapter)
}

// isEligible reports whether the upstream takes the job,
// is usable and is not in tried. lowestRate is the lowest failure rate among the
// upstreams of the service.
func (u *upstream) isEligible(now time.Duration, j *Job, tried []string, lowestRate float64) bool {
	return u.takes(now, j) && !slices.Contains(tried, u.entry.ID) && u.health.usable(now, lowestRate)
}

// slots returns the number of requests that the upstream runs at a time.
func (u *upstream) slots() int {
	if u.engine != nil && u.engine.Slots > 0 {
		return u.engine.Slots
	}
	return u.entry.Slots
}

// freeSlots returns the number of free slots by the known load.
func (u *upstream) freeSlots() int { return max(u.slots()-u.requests(), 0) }

// requests returns the number of requests at the upstream, over all instances.
func (u *upstream) requests() int { return u.ownLoad.Requests() + u.peerLoad.Requests() }
