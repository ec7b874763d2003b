// Package weights is a stand-in of the weight store: it answers a load after
// the time that the store's rate and concurrency leave to it.
package weights

import (
	"context"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Options are the settings of a Server.
type Options struct {
	LoadsPerSecond  float64       // model loads begun per second; 0 for no limit
	InFlight        int           // model loads at once; 0 for no limit
	LoadTime        time.Duration // time of one model load
	AdapterInFlight int           // adapter loads at once at full speed; 0 for no limit
	AdapterMin      time.Duration // shortest time of one adapter load
	AdapterMax      time.Duration // longest time of one adapter load at full speed
}

// Counters are the store's own truth.
type Counters struct {
	ModelLoads          uint64 `json:"model_loads"`
	ModelsInFlight      int    `json:"models_in_flight"` // loads being served
	ModelsWaiting       int    `json:"models_waiting"`   // loads held back by the limits
	AdapterLoads        uint64 `json:"adapter_loads"`
	AdaptersInFlight    int    `json:"adapters_in_flight"`
	MaxAdaptersInFlight int    `json:"max_adapters_in_flight"`
}

// Server is the weight store. It is safe for concurrent use.
type Server struct {
	opts     Options
	faults   *fault.Set
	slots    chan struct{} // nil for no limit
	mu       sync.Mutex
	nextSlot time.Time
	counters Counters
}

// New returns a store.
func New(opts Options) *Server {
	s := &Server{opts: opts, faults: fault.NewSet()}
	if opts.InFlight > 0 {
		s.slots = make(chan struct{}, opts.InFlight)
	}
	return s
}

// Faults returns the server's faults.
func (s *Server) Faults() *fault.Set { return s.faults }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /weights/{model}", s.faults.Work(http.HandlerFunc(s.serve)))
	mux.HandleFunc("GET /counters", s.showCounters)
	return s.faults.Wrap(mux)
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counters
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}

// Weights is the answer to a load.
type Weights struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	got := Weights{Model: r.PathValue("model"), Adapter: r.URL.Query().Get("adapter")}
	load := s.loadModel
	if got.Adapter != "" {
		load = s.loadAdapter
	}
	if err := load(r.Context(), got); err != nil {
		reply.Error(w, http.StatusServiceUnavailable, "cancelled", err.Error())
		return
	}
	reply.JSON(w, http.StatusOK, got)
}

func (s *Server) count(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// loadModel waits for a slot, then for the rate, then for the load itself.
func (s *Server) loadModel(ctx context.Context, _ Weights) error {
	s.count(func(c *Counters) { c.ModelsWaiting++ })
	err := s.admit(ctx)
	s.count(func(c *Counters) { c.ModelsWaiting-- })
	if err != nil {
		return err
	}
	defer s.release()
	s.count(func(c *Counters) {
		c.ModelLoads++
		c.ModelsInFlight++
	})
	defer s.count(func(c *Counters) { c.ModelsInFlight-- })
	return sleep(ctx, s.opts.LoadTime)
}

func (s *Server) admit(ctx context.Context) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := sleep(ctx, s.takeRate(time.Now())); err != nil {
		s.release()
		return err
	}
	return nil
}

func (s *Server) release() {
	if s.slots != nil {
		<-s.slots
	}
}

// takeRate takes the next start that the rate allows and returns the wait.
func (s *Server) takeRate(now time.Time) time.Duration {
	if s.opts.LoadsPerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start := now
	if s.nextSlot.After(now) {
		start = s.nextSlot
	}
	s.nextSlot = start.Add(time.Duration(float64(time.Second) / s.opts.LoadsPerSecond))
	return start.Sub(now)
}

func (s *Server) loadAdapter(ctx context.Context, got Weights) error {
	inFlight := 0
	s.count(func(c *Counters) {
		c.AdapterLoads++
		c.AdaptersInFlight++
		c.MaxAdaptersInFlight = max(c.MaxAdaptersInFlight, c.AdaptersInFlight)
		inFlight = c.AdaptersInFlight
	})
	defer s.count(func(c *Counters) { c.AdaptersInFlight-- })
	return sleep(ctx, s.adapterTime(got, inFlight))
}

// adapterTime differs from adapter to adapter, and grows with the load beyond
// the bound.
func (s *Server) adapterTime(got Weights, inFlight int) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, got.Model+"/"+got.Adapter)
	const steps = 1000
	span := max(s.opts.AdapterMax-s.opts.AdapterMin, 0)
	d := s.opts.AdapterMin + span*time.Duration(h.Sum32()%steps)/steps
	if bound := s.opts.AdapterInFlight; bound > 0 && inFlight > bound {
		d = d * time.Duration(inFlight) / time.Duration(bound)
	}
	return d
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
