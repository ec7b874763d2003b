// Package modelengine serves one emulated model engine over HTTP.
package modelengine

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Options are the settings of a Server.
type Options struct {
	Name               string
	Zone               string
	Emulator           emulator.Settings
	WeightsURL         string        // weight store; empty for loads without one
	LoadTime           time.Duration // time of a model load beside the store's
	AdapterTime        time.Duration // time of an adapter load beside the store's
	ReportLag          time.Duration // age of the load figures
	CacheEventDelay    time.Duration // age at which cache events are published
	CacheEventGap      int           // one in this many cache events is lost; 0 for none
	CancelOnDisconnect bool          // cancel a request whose client went away
	KVTransferPerToken time.Duration // time of an import of KV cache
	RetainAttempts     int           // ended attempts that can still be resumed
	Resident           []Initial     // what is resident at the start
}

// Initial is a model that is resident when the engine starts.
type Initial struct {
	Model    string
	Version  string
	MemoryMB int64
}

// Server is one model engine. It is safe for concurrent use.
type Server struct {
	opts    Options
	boot    string
	started time.Time
	faults  *fault.Set
	counter observe.Counter
	client  *http.Client
	wake    chan struct{} // tells Run that the next moment may have changed

	mu       sync.Mutex
	engine   *emulator.Engine
	attempts attempts
	load     loadHistory
	events   eventLog
	fetches  []emulator.Fetch // not yet begun
}

// New returns an engine. It does nothing before Run.
func New(opts Options) *Server {
	s := &Server{
		opts:     opts,
		boot:     rand.Text(),
		started:  time.Now(),
		faults:   fault.NewSet(),
		client:   &http.Client{},
		wake:     make(chan struct{}, 1),
		engine:   emulator.New(opts.Emulator),
		attempts: newAttempts(opts.RetainAttempts),
		load:     loadHistory{lag: opts.ReportLag},
		events:   eventLog{delay: opts.CacheEventDelay, gap: opts.CacheEventGap},
	}
	s.faults.OnChange(func(f fault.Faults) { s.counter.SetLeaving(f.Leaving) })
	s.loadInitial()
	return s
}

// Boot returns the identity of this run of the engine.
func (s *Server) Boot() string { return s.boot }

// Faults returns the server's faults.
func (s *Server) Faults() *fault.Set { return s.faults }

func (s *Server) loadInitial() {
	for _, m := range s.opts.Resident {
		s.step(emulator.OrderArrived{Order: engine.Order{
			ID:       "initial-" + m.Model,
			Op:       engine.OpLoad,
			Model:    m.Model,
			Version:  m.Version,
			MemoryMB: m.MemoryMB,
		}})
		for _, f := range s.takeFetches() {
			s.step(emulator.Fetched{Load: f.Load, OK: true})
		}
	}
}

// Run drives the engine until ctx ends.
func (s *Server) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.step(emulator.Tick{})
		case <-s.wake:
		}
		for _, f := range s.takeFetches() {
			go s.fetch(ctx, f)
		}
		if wait, ok := s.untilNext(); ok {
			timer.Reset(wait)
		}
	}
}

func (s *Server) untilNext() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.engine.Next()
	return next - time.Since(s.started), ok
}

func (s *Server) takeFetches() []emulator.Fetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fetches
	s.fetches = nil
	return f
}

// step steps the engine and carries out its actions. It returns the reply if
// the event was an order.
func (s *Server) step(ev emulator.Event) engine.OrderReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.stepLocked(ev)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return r
}

func (s *Server) stepLocked(ev emulator.Event) engine.OrderReply {
	now := time.Since(s.started)
	var order engine.OrderReply
	for _, a := range s.engine.Step(now, ev) {
		switch a := a.(type) {
		case emulator.Replied:
			order = a.Reply
		case emulator.Fetch:
			s.fetches = append(s.fetches, a)
		case emulator.Cached:
			s.events.add(now, a.Event)
		default:
			s.attempts.apply(a)
		}
	}
	s.load.add(now, s.engine.Load())
	return order
}

// Counters is the answer at /counters.
type Counters struct {
	observe.Arrivals
	emulator.Counters
}

// Counters returns the engine's own truth.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{Arrivals: s.counter.Arrivals(), Counters: s.engine.Counters()}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.work(s.completions))
	mux.Handle("POST /v1/chat/completions", s.work(s.chat))
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST "+engine.PathOrders, s.order)
	mux.HandleFunc("GET "+engine.PathReport, s.report)
	mux.HandleFunc("GET "+engine.PathCacheEvents, s.cacheEvents)
	mux.HandleFunc("POST "+engine.PathCancel+"{attempt}", s.cancel)
	mux.HandleFunc("POST "+engine.PathKVExport, s.exportKV)
	mux.HandleFunc("POST "+engine.PathKVImport, s.importKV)
	mux.HandleFunc("GET /counters", s.showCounters)
	mux.Handle("GET "+observe.Path, &s.counter)
	return s.faults.Wrap(mux)
}

func (s *Server) work(h http.HandlerFunc) http.Handler {
	return s.counter.Credentials(s.counter.Work(s.faults.Work(h)))
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Counters())
}
