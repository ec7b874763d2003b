// Package fault injects faults into the HTTP responses and connections of one
// stand-in while it runs: latency, outages, refusals, lost or swapped responses,
// truncated streams and silent connections. A Set holds the faults in force,
// which tests change with Update or with a POST to Path.
package fault

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Path is the HTTP path at which each stand-in shows (GET) and changes (POST) its
// faults.
const Path = "/faults"

// Faults are the faults in force. Counts, those of OrderFaults included, go down by
// one with each use until they are zero.
type Faults struct {
	// LatencyMS delays every request but those to Path.
	LatencyMS int64 `json:"latency_ms"`
	// Outage answers every request but those to Path with 503, without executing
	// it.
	Outage bool `json:"outage"`
	// Refuse answers requests for work with 503 and marks them as not executed.
	Refuse bool `json:"refuse"`
	// DropReplies is the number of next requests that take effect but whose
	// connections are closed without a response.
	DropReplies int `json:"lose_replies"`
	// SwapResponses is the number of pairs of concurrent requests that get each
	// other's responses.
	SwapResponses int `json:"cross_answers"`
	// TruncateStreamAfterTokens truncates each stream after that many tokens; 0
	// is off.
	TruncateStreamAfterTokens int `json:"cut_stream_after_tokens"`
	// Leaving makes an upstream report that it is leaving.
	Leaving bool `json:"leaving"`
	// SilentConnections, when posted, makes all connections that are open at that
	// moment silent permanently, except the one that posted it.
	SilentConnections bool `json:"silent_connections,omitempty"`
	// InstanceLagMS is the age of the state that the instance list shows.
	InstanceLagMS int64 `json:"instance_lag_ms"`
	// Orders are the faults in the delivery of orders to an engine.
	Orders OrderFaults `json:"orders"`
}

// OrderFaults are faults in the delivery of orders from their sender to an engine.
type OrderFaults struct {
	// DropNext is the number of next orders that are dropped: they have no effect
	// and get no response.
	DropNext int `json:"lose_next"`
	// DropReplies is the number of next orders that take effect but whose
	// connections are closed without a response.
	DropReplies int `json:"lose_replies"`
	// DelayNextMS delays the delivery of the next order, also if its sender has
	// given up meanwhile.
	DelayNextMS int64 `json:"delay_next_ms"`
	// DuplicateNext is the number of next orders that are delivered twice.
	DuplicateNext int `json:"duplicate_next"`
	// DuplicateDelayMS is the delay of the second delivery.
	DuplicateDelayMS int64 `json:"duplicate_delay_ms"`
}

// View is the response body at Path.
type View struct {
	Faults
	// Silenced is the number of connections made silent so far.
	Silenced int `json:"silenced"`
}

// Set holds the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	faults   Faults
	onChange []func(Faults)
	conns    *connTracker
	swapper  responseSwapper
}

// NewSet returns a set with no fault in force.
func NewSet() *Set {
	return &Set{conns: newConnTracker()}
}

// Get returns the faults in force.
func (s *Set) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Update changes the faults in force, calls the functions given to OnChange, and
// returns the changed faults.
func (s *Set) Update(change func(*Faults)) Faults {
	s.mu.Lock()
	change(&s.faults)
	f, listeners := s.faults, s.onChange
	s.mu.Unlock()
	for _, fn := range listeners {
		fn(f)
	}
	return f
}

// OnChange registers fn, which every later call of Update calls with the changed
// faults.
func (s *Set) OnChange(fn func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, fn)
}

// Consume decrements the count that counter selects and returns true. It returns
// false if the count is zero.
func (s *Set) Consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ConsumeOrderDelay returns the delay of the next order and resets it to zero.
func (s *Set) ConsumeOrderDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.faults.Orders.DelayNextMS
	s.faults.Orders.DelayNextMS = 0
	return time.Duration(ms) * time.Millisecond
}

func (s *Set) view() View {
	return View{Faults: s.Get(), Silenced: s.conns.silencedCount()}
}

// ServeHTTP returns the faults on GET, and changes those that the body names on
// POST.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		reply.JSON(w, http.StatusOK, s.view())
	case http.MethodPost:
		s.post(w, r)
	default:
		reply.Error(w, http.StatusMethodNotAllowed, "method", "use GET or POST")
	}
}

func (s *Set) post(w http.ResponseWriter, r *http.Request) {
	const limit = 64 << 10
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if err := applyJSON(body, new(Faults)); err != nil {
		reply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	silence := false
	s.Update(func(f *Faults) {
		_ = applyJSON(body, f) // checked above
		silence = f.SilentConnections
		f.SilentConnections = false
	})
	if silence {
		s.conns.silenceAll(connFromContext(r.Context()))
	}
	reply.JSON(w, http.StatusOK, s.view())
}
