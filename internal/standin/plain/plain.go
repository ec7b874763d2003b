// Package plain is a stand-in of a plain service with one idempotent and one
// non-idempotent call, which counts its runs.
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
	WorkTime time.Duration // time of one call
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

// New returns a service that ran nothing yet.
func New(opts Options) *Server {
	s := &Server{opts: opts, faults: fault.NewSet(), runs: map[string]uint64{}}
	s.faults.OnChange(func(f fault.Faults) { s.counter.SetLeaving(f.Leaving) })
	return s
}

// Faults returns the server's faults.
func (s *Server) Faults() *fault.Set { return s.faults }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /lookup/{id}", s.work(s.lookup))
	mux.Handle("POST /checkin/{id}", s.work(s.checkin))
	mux.HandleFunc("GET /runs", s.allRuns)
	mux.HandleFunc("GET /runs/{id}", s.runsOf)
	mux.HandleFunc("GET /counters", s.counters)
	mux.Handle("GET "+observe.Path, &s.counter)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply.JSON(w, http.StatusOK, Health{Leaving: s.faults.Get().Leaving})
	})
	return s.faults.Wrap(mux)
}

// Health is the answer at /healthz.
type Health struct {
	Leaving bool `json:"leaving"`
}

// work is the way to the calls; the count comes before the faults, since what
// was refused arrived too.
func (s *Server) work(h http.HandlerFunc) http.Handler {
	return s.counter.Credentials(s.counter.Work(s.faults.Work(h)))
}

// Answer is the body of both calls.
type Answer struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Result  string `json:"result"`
	Runs    uint64 `json:"runs,omitempty"` // runs of the check-in so far
	Attempt string `json:"attempt,omitempty"`
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lookups++
	s.mu.Unlock()
	s.answer(w, r, Answer{ID: r.PathValue("id")})
}

// checkin runs to its end, also if its caller goes away meanwhile.
func (s *Server) checkin(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	s.runs[id]++
	runs := s.runs[id]
	s.mu.Unlock()
	s.answer(w, r, Answer{ID: id, Runs: runs})
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, a Answer) {
	time.Sleep(s.opts.WorkTime)
	a.Service = s.opts.Name
	a.Result = Result(a.ID)
	a.Attempt = r.Header.Get(engine.HeaderAttempt)
	w.Header().Set(engine.HeaderAttempt, a.Attempt)
	reply.JSON(w, http.StatusOK, a)
}

// Result is what a lookup or check-in of an id answers, on every instance.
func Result(id string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return fmt.Sprintf("result-%08x", h.Sum32())
}

// Runs is the answer at /runs/{id}.
type Runs struct {
	ID   string `json:"id"`
	Runs uint64 `json:"runs"`
}

func (s *Server) runsOf(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	n := s.runs[id]
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, Runs{ID: id, Runs: n})
}

func (s *Server) allRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := maps.Clone(s.runs)
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, runs)
}

// Counters is the answer at /counters.
type Counters struct {
	observe.Arrivals
	Lookups  uint64 `json:"lookups"`
	Checkins uint64 `json:"checkins"`
}

func (s *Server) counters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := Counters{Arrivals: s.counter.Arrivals(), Lookups: s.lookups}
	for _, n := range s.runs {
		c.Checkins += n
	}
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}
