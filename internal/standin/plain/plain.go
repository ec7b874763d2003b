// Package plain is a stand-in for a plain service. It has one idempotent call,
// lookup, and one non-idempotent call, check-in. It counts the executions of
// each check-in id, so that tests can find requests that were executed twice.
package plain

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Options are the settings of a Server.
type Options struct {
	Name     string
	Zone     string
	WorkTime time.Duration // processing time of one call
}

// Server is one plain service. It is safe for concurrent use.
type Server struct {
	opts    Options
	faults  *fault.Set
	counter observe.Counter
	mu      sync.Mutex
	runs    map[string]uint64
	lookups uint64
}

// New returns a service with all counts at zero.
func New(opts Options) *Server {
	s := &Server{opts: opts, faults: fault.NewSet(), runs: map[string]uint64{}}
	s.faults.OnChange(func(f fault.Faults) { s.counter.SetLeaving(f.Leaving) })
	return s
}

// Faults returns the server's fault set.
func (s *Server) Faults() *fault.Set { return s.faults }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /lookup/{id}", s.workHandler(s.lookup))
	mux.Handle("POST /checkin/{id}", s.workHandler(s.checkin))
	mux.HandleFunc("GET /runs", s.showAllRuns)
	mux.HandleFunc("GET /runs/{id}", s.showRuns)
	mux.HandleFunc("GET /counters", s.showCounters)
	mux.Handle("GET "+observe.CredentialsPath, &s.counter)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, Health{Leaving: s.faults.Get().Leaving})
	})
	return s.faults.WrapAll(mux)
}

// Health is the response body at /healthz.
type Health struct {
	Leaving bool `json:"leaving"`
}

// workHandler wraps the handler of a call with the counts and the faults. It
// counts before it applies the faults, because a refused request arrived too.
func (s *Server) workHandler(h http.HandlerFunc) http.Handler {
	return s.counter.CountCredentials(s.counter.CountWork(s.faults.WrapWork(h)))
}

// Answer is the response body of both calls.
type Answer struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Result  string `json:"result"`
	Runs    uint64 `json:"runs,omitempty"` // executions of the check-in with this id so far
	Attempt string `json:"attempt,omitempty"`
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lookups++
	s.mu.Unlock()
	s.respond(w, r, Answer{ID: r.PathValue("id")})
}

// checkin runs to completion even if the client disconnects.
func (s *Server) checkin(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	s.runs[id]++
	runs := s.runs[id]
	s.mu.Unlock()
	s.respond(w, r, Answer{ID: id, Runs: runs})
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, a Answer) {
	time.Sleep(s.opts.WorkTime)
	a.Service = s.opts.Name
	a.Result = Result(a.ID)
	a.Attempt = r.Header.Get(engine.HeaderAttempt)
	w.Header().Set(engine.HeaderAttempt, a.Attempt)
	reply.JSON(w, http.StatusOK, a)
}

// Result returns the result of a lookup or check-in of an id. It is the same on
// every instance.
func Result(id string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return fmt.Sprintf("result-%08x", h.Sum32())
}

// Runs is the response body at /runs/{id}.
type Runs struct {
	ID   string `json:"id"`
	Runs uint64 `json:"runs"`
}

func (s *Server) showRuns(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	n := s.runs[id]
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, Runs{ID: id, Runs: n})
}

func (s *Server) showAllRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := maps.Clone(s.runs)
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, runs)
}

// Counters is the response body at /counters.
type Counters struct {
	observe.Arrivals
	Lookups  uint64 `json:"lookups"`
	Checkins uint64 `json:"checkins"`
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := Counters{Arrivals: s.counter.Arrivals(), Lookups: s.lookups}
	for _, n := range s.runs {
		c.Checkins += n
	}
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}
