package route

import "time"

// State is the state of an upstream, from its own reports or the instance list.
type State uint8

// The states of an upstream.
const (
	StateLive State = iota
	StateLeaving
)

// Upstream describes one upstream; Table.SetUpstream replaces the description.
type Upstream struct {
	Name  string
	Zone  string
	State State
	// PrefillRate is the rate at which it computes prompts, in tokens per
	// second.
	PrefillRate float64
	// MaxRunning is the number of sequences that it can decode together within
	// the deadline between tokens.
	MaxRunning int
}

// ResidentModel is one model that an upstream holds in memory.
type ResidentModel struct {
	Model string
	// Adapters are the loaded adapters of the model.
	Adapters []string
	// Ready is false while the model loads.
	Ready bool
	// Draining is true if the model is to be unloaded.
	Draining bool
}

// Load is an upstream's own report of its load.
type Load struct {
	Running             int
	Queued              int
	QueuedPrefillTokens int64
	FreeKVTokens        int64
	// Age is the age of the figures on arrival.
	Age time.Duration
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Model   string
	Adapter string
	// Prefix is the hash of the shared part of the prompt, 0 for none.
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	MaxTokens    int
	// Deadline is when the first token is due on the instance's monotonic
	// clock, 0 for no deadline.
	Deadline time.Duration
	// SaturationPercent is the percentage of an upstream's MaxRunning at which the
	// upstream counts as saturated for the request; 0 means all of MaxRunning.
	// It reserves slots for requests with a deadline.
	SaturationPercent int
	// allowSuspect admits suspect upstreams that can still be reached.
	allowSuspect bool
}

// Choice is the result of Pick.
type Choice struct {
	Upstream string
	// Expected is the expected time to the first token.
	Expected time.Duration
	// HitTokens is the number of prompt tokens expected in the prefix cache.
	HitTokens int
	// Saturated is true if the request would wait in the upstream's queue for
	// other requests to end.
	Saturated bool
	// Probe is true if the upstream is suspect and the request probes it.
	Probe bool
}

// Started describes an attempt that was sent to an upstream.
type Started struct {
	Upstream string
	// PrefillTokens is the prompt without the expected cache hit, in tokens.
	PrefillTokens int
	// Prefix and PrefixTokens are recorded as a hint of the upstream's cache.
	Prefix       uint64
	PrefixTokens int
	// KVTokens is the most KV cache that the attempt may take, in tokens.
	KVTokens int
}

// FirstToken describes the arrival of the first token of an attempt.
type FirstToken struct {
	Upstream string
	// Expected is Choice.Expected; Measured is the time since Started.
	Expected time.Duration
	Measured time.Duration
}

// Finished describes an attempt that an upstream answered.
type Finished struct {
	Upstream string
	// Duration is the time since Started.
	Duration time.Duration
	// KVTokens equals that of Started.
	KVTokens int
}

// Failed describes an attempt that ended without an answer.
type Failed struct {
	Upstream string
	// KVTokens equals that of Started.
	KVTokens int
	// Refused is true if the upstream answered that it is overloaded, which is
	// not a fault.
	Refused bool
	// Unreachable is true if no connection could be made.
	Unreachable bool
}
