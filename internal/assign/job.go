package assign

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

// Job is a request to be placed at an upstream. Times are on the caller's clock.
type Job struct {
	ID          string
	Service     string
	Model       string
	Adapter     string
	NeedsEngine bool
	// Version is the software version at which the stream began that the job goes on with,
	// nil if any version may serve the job.
	Version *string
	// Regions are the regions to whose upstreams the job may be sent, nil for any.
	Regions []string
	// Retryable is whether the request may be sent again although an earlier
	// attempt may have run.
	Retryable bool

	PromptTokens int
	OutputTokens int // stated maximum
	LengthHint   int // expected output tokens by the caller, 0 if not stated
	PromptParts  []fleet.PromptSegment

	Urgency int
	Arrived time.Duration
	// Objective is the service objective (SLO): a response, or the first event
	// of a stream, by this time counts as on time.
	Objective time.Duration
	// FirstEventDeadline is the time at which the caller stops waiting for a
	// first event or, if the job is in progress, for the next event.
	FirstEventDeadline time.Duration
	// InProgress is whether the caller has received part of the response. Such a
	// job is not shed in an overload, since the response would be cut.
	InProgress bool
	// Deadline is the time at which the request ends without a response.
	Deadline time.Duration
	// TriedUpstreams are the IDs of the upstreams that the request was already
	// sent to.
	TriedUpstreams []string

	prefixes  []prefix              // of the prompt
	prefill   *upstreamstats.Series // of the model
	output    int                   // expected output tokens, as of the last choice
	unseen    float64               // requests that ended since the load reports, for each that runs, as of the last choice
	queued    bool
	queuedAt  time.Duration
	sequence  uint64 // order of arrival in the queue
	lateNoted bool   // became late while it was queued
}

// Decision is the outcome for a job: a placement or a refusal.
type Decision struct {
	Job *Job
	// Upstream is the upstream that the job was placed at, nil if it was
	// refused.
	Upstream *fleet.Upstream
	// Expected is the expected time to the first token.
	Expected time.Duration
	// Refusal is set if the job was refused.
	Refusal fleet.Refusal
	// Factors are the values that the decision was based on, for the log.
	Factors Inputs
}

// Inputs are the values that a Decision was based on.
type Inputs struct {
	Candidates  int           // eligible upstreams
	QueueLength int           // jobs ahead of a new job; all queued jobs when one of them is refused for overload
	Requests    int           // at the chosen upstream, over all instances
	PeerAge     time.Duration // age of the oldest peer load report counted
}

// late reports whether the objective can no longer be met.
func (j *Job) late(now time.Duration) bool { return now+baseFirstTokenTime >= j.Objective }

// UrgencyAt returns the urgency level that the job has at an upstream if it is
// sent now. A late job is less urgent by lateUrgencyPenalty levels.
func (j *Job) UrgencyAt(now time.Duration) int {
	if j.late(now) {
		return min(j.Urgency+lateUrgencyPenalty, UrgencyLevels-1)
	}
	return j.Urgency
}
