// Package modelengine is a stand-in for a model engine. It runs an
// emulator.Engine in real time and serves it over HTTP: completions and chat
// completions with streaming, orders, reports, cache events, and the export and
// import of KV cache. It fetches weights from a weight store if one is configured,
// and injects faults into its responses.
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
	WeightsURL         string         // base URL of the weight store; empty to load without one
	LoadTime           time.Duration  // time of a model load in addition to the weight store's
	AdapterLoadTime    time.Duration  // time of an adapter load in addition to the weight store's
	ReportLag          time.Duration  // age of the load figures in reports
	CacheEventDelay    time.Duration  // age at which cache events are published
	CacheEventGap      int            // one in this many cache events is omitted; 0 to omit none
	CancelOnDisconnect bool           // cancel a request whose client disconnected
	KVTransferPerToken time.Duration  // time of an import of KV cache, per token
	MaxEndedAttempts   int            // number of ended attempts that can still be resumed
	Resident           []InitialModel // models that are resident at the start
}

// InitialModel is a model that is resident when the engine starts.
type InitialModel struct {
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
	wake    chan struct{} // signals Run that fetches or the time of Engine.NextEvent may have changed

	mu            sync.Mutex
	engine        *emulator.Engine
	attempts      attempts
	loadHistory   loadHistory
	cacheEventLog cacheEventLog
	fetches       []emulator.FetchWeights // not yet started
}

// New returns an engine. Run must be called to drive it.
func New(opts Options) *Server {
	s := &Server{
		opts:          opts,
		boot:          rand.Text(),
		started:       time.Now(),
		faults:        fault.NewSet(),
		client:        &http.Client{},
		wake:          make(chan struct{}, 1),
		engine:        emulator.New(opts.Emulator),
		attempts:      newAttempts(opts.MaxEndedAttempts),
		loadHistory:   loadHistory{lag: opts.ReportLag},
		cacheEventLog: cacheEventLog{delay: opts.CacheEventDelay, gap: opts.CacheEventGap},
	}
	s.faults.OnChange(func(f fault.Faults) { s.counter.SetLeaving(f.Leaving) })
	s.loadInitial()
	return s
}

// BootID returns the random id of this run of the engine.
func (s *Server) BootID() string { return s.boot }

// Faults returns the server's fault set.
func (s *Server) Faults() *fault.Set { return s.faults }

// loadInitial makes the models of Options.Resident ready, without load time.
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
			s.step(emulator.WeightsFetched{ID: f.ID, OK: true})
		}
	}
}

// Run drives the engine until ctx is done: it steps the engine when something is
// due and starts the fetches that it asks for.
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

// untilNext returns the time until the engine's next internal event, if there is
// one.
func (s *Server) untilNext() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, ok := s.engine.NextEvent()
	return next - time.Since(s.started), ok
}

// takeFetches returns the fetches not yet started and removes them.
func (s *Server) takeFetches() []emulator.FetchWeights {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fetches
	s.fetches = nil
	return f
}

// step passes an event to the engine, carries out the resulting actions and wakes
// Run. It returns the reply to the order if the event is one.
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

// stepLocked is step without waking Run. s.mu must be held.
func (s *Server) stepLocked(ev emulator.Event) engine.OrderReply {
	now := time.Since(s.started)
	var order engine.OrderReply
	for _, a := range s.engine.Step(now, ev) {
		switch a := a.(type) {
		case emulator.OrderReplied:
			order = a.Reply
		case emulator.FetchWeights:
			s.fetches = append(s.fetches, a)
		case emulator.CacheChanged:
			s.cacheEventLog.add(now, a.Event)
		default:
			s.attempts.apply(a)
		}
	}
	s.loadHistory.add(now, s.engine.Load())
	return order
}

// Counters is the response body at /counters.
type Counters struct {
	observe.Arrivals
	emulator.Counters
}

// Counters returns the counts of the engine and of the requests that arrived.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{Arrivals: s.counter.Arrivals(), Counters: s.engine.Counters()}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/completions", s.workHandler(s.completions))
	mux.Handle("POST /v1/chat/completions", s.workHandler(s.chat))
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST "+engine.PathOrders, s.handleOrder)
	mux.HandleFunc("GET "+engine.PathReport, s.report)
	mux.HandleFunc("GET "+engine.PathCacheEvents, s.cacheEvents)
	mux.HandleFunc("POST "+engine.PathCancel+"{attempt}", s.cancel)
	mux.HandleFunc("POST "+engine.PathKVExport, s.exportKV)
	mux.HandleFunc("POST "+engine.PathKVImport, s.importKV)
	mux.HandleFunc("GET /counters", s.showCounters)
	mux.Handle("GET "+observe.CredentialsPath, &s.counter)
	return s.faults.WrapAll(mux)
}

// workHandler wraps the handler of a completion with the counts and the faults.
func (s *Server) workHandler(h http.HandlerFunc) http.Handler {
	return s.counter.CountCredentials(s.counter.CountWork(s.faults.WrapWork(h)))
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Counters())
}
