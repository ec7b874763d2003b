// Package fault keeps the faults of one stand-in and injects them into its
// HTTP answers and connections while it runs.
package fault

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Path is where each stand-in shows (GET) and changes (POST) its faults.
const Path = "/faults"

// Faults are the faults in force. Counts go down to zero as they are used.
type Faults struct {
	// LatencyMS delays every request but those to Path.
	LatencyMS int64 `json:"latency_ms"`
	// Outage answers every request with 503 before it starts.
	Outage bool `json:"outage"`
	// Refuse answers work with 503 and says that it was not run.
	Refuse bool `json:"refuse"`
	// LoseReplies lets the next requests take effect and closes their
	// connections without an answer.
	LoseReplies int `json:"lose_replies"`
	// CrossAnswers is the number of pairs of concurrent requests that get each
	// other's answers.
	CrossAnswers int `json:"cross_answers"`
	// CutStreamAfterTokens closes each stream after that many tokens; 0 is off.
	CutStreamAfterTokens int `json:"cut_stream_after_tokens"`
	// Leaving makes an upstream report that it leaves.
	Leaving bool `json:"leaving"`
	// SilentConnections, when posted, makes all other connections open at that
	// moment go silent for good.
	SilentConnections bool `json:"silent_connections,omitempty"`
	// InstanceLagMS is how old a view the instance list shows.
	InstanceLagMS int64 `json:"instance_lag_ms"`
	// Orders are the faults of orders to an engine.
	Orders Orders `json:"orders"`
}

// Orders are faults of the way from the orders' giver to the engine.
type Orders struct {
	// LoseNext drops the next orders: no effect and no answer.
	LoseNext int `json:"lose_next"`
	// LoseReplies lets the next orders take effect and closes their connections
	// without an answer.
	LoseReplies int `json:"lose_replies"`
	// DelayNextMS delivers the next order late, also if its sender gave up.
	DelayNextMS int64 `json:"delay_next_ms"`
	// DuplicateNext delivers the next orders twice.
	DuplicateNext int `json:"duplicate_next"`
	// DuplicateDelayMS is how much later the second delivery comes.
	DuplicateDelayMS int64 `json:"duplicate_delay_ms"`
}

// View is the answer at Path.
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
	conns    *tracker
	cross    crossing
}

// NewSet returns a set with no fault in force.
func NewSet() *Set {
	return &Set{conns: newTracker()}
}

// Get returns the faults in force.
func (s *Set) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Update changes the faults in force and tells the listeners.
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

// OnChange calls fn after each later change that Update makes.
func (s *Set) OnChange(fn func(Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, fn)
}

// Take uses up one of a count and reports whether there was one.
func (s *Set) Take(count func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// TakeOrderDelay uses up the delay of the next order.
func (s *Set) TakeOrderDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.faults.Orders.DelayNextMS
	s.faults.Orders.DelayNextMS = 0
	return time.Duration(ms) * time.Millisecond
}

func (s *Set) view() View {
	return View{Faults: s.Get(), Silenced: s.conns.silencedCount()}
}

// ServeHTTP shows the faults, or changes those that the body names.
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
	if err := decode(body, new(Faults)); err != nil {
		reply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	silence := false
	s.Update(func(f *Faults) {
		_ = decode(body, f) // checked above
		silence = f.SilentConnections
		f.SilentConnections = false
	})
	if silence {
		s.conns.silenceAll(connOf(r.Context()))
	}
	reply.JSON(w, http.StatusOK, s.view())
}
