package fleet

import "time"

// PromptSegment is one part of a prompt. Requests with the same leading parts share
// the part of an upstream's prompt cache that holds them.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Request is the information in the headers of a caller's request.
type Request struct {
	AttemptID    string        // set by the caller for each of its attempts; retries by the gateway keep it
	Deadline     time.Duration // how long the caller waits for the answer, 0 if not given
	Key          string
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int  // maximum number of output tokens
	LengthHint   int  // expected number of output tokens, 0 if not stated
	HasTokens    bool // the headers state PromptTokens and OutputTokens
	Parts        []PromptSegment
	LastEventID  string // ID of the event after which the caller resumes a stream
	// Resumes is the AttemptID of the caller's request that brought the first event of the
	// stream that it resumes, empty if it does not say so.
	Resumes string
}

// Cost returns the cost of the request in tokens of the organisation's limit.
func (r *Request) Cost(o *Organisation) float64 {
	switch {
	case !o.CountsTokens:
		return 1
	case r.HasTokens:
		return float64(r.PromptTokens + r.OutputTokens)
	}
	return o.DefaultTokens
}

// OutputTokenWork is the number of prompt tokens that cost an engine as much as
// one output token: each output token needs a decoding step, which the whole batch
// shares, while prompt tokens are processed many at a time.
const OutputTokenWork = 10

// Work returns the expected work of a request at an engine, in prompt tokens.
func (r *Request) Work() float64 { return float64(r.PromptTokens + OutputTokenWork*r.OutputTokens) }

// Forward is what the gateway tells an upstream about a forwarded request.
type Forward struct {
	Organisation string // empty on public routes
	UpstreamID   string
	Remaining    time.Duration // time until the gateway gives up on the request
	Urgency      int           // 0 to 9, 0 is the most urgent
	LastEventID  string        // ID of the last event that the caller has received; empty to keep the one that the caller sent
}
