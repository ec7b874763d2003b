package fleet

import "time"

// PromptPart is one part of a prompt. Requests with the same leading parts
// share what an upstream keeps of them.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the headers of a caller's request say.
type Request struct {
	ID           string        // of the caller's attempt
	Deadline     time.Duration // how long the caller waits, 0 if it does not say
	Key          string
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int // at most
	HasTokens    bool
	Parts        []PromptPart
	LastEventID  string // the caller resumes a stream after this event
}

// Tokens returns what the request costs of an organisation's limit.
func (r *Request) Tokens(o *Organisation) float64 {
	switch {
	case !o.CountsTokens:
		return 1
	case r.HasTokens:
		return float64(r.PromptTokens + r.OutputTokens)
	}
	return o.PlainTokens
}

// outputWork is how many prompt tokens cost an engine as much as one output
// token: a decoding step is shared by the batch, a prompt is read once.
const outputWork = 10

// Work returns the expected work of a request at an engine, in prompt tokens.
func (r *Request) Work() float64 { return float64(r.PromptTokens + outputWork*r.OutputTokens) }

// Forward is what the gateway says of a request that it passes on.
type Forward struct {
	Organisation string // empty on public routes
	UpstreamID   string
	Remaining    time.Duration // until the request is given up
	Urgency      int           // 0 to 9, 0 first
	LastEventID  string        // the last event that the caller has; empty to keep the caller's
}
