// Package weights is a stand-in for the weight store. It serves loads of models
// and adapters over HTTP and answers each after the time that the configured
// load time, rate limit and concurrency limit give. It transfers no weights.
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
	LoadsPerSecond  float64       // model loads started per second; 0 for no limit
	InFlight        int           // model loads at once; 0 for no limit
	LoadTime        time.Duration // time of one model load
	AdapterInFlight int           // adapter loads at once at full speed; 0 for no limit
	AdapterMin      time.Duration // shortest time of one adapter load
	AdapterMax      time.Duration // longest time of one adapter load at full speed
}

// Counters are the store's own counts, which tests compare with what the system
// under test reports.
type Counters struct {
	ModelLoads          uint64 `json:"model_loads"`
	ModelsInFlight      int    `json:"models_in_flight"` // loads being served
	ModelsQueued        int    `json:"models_waiting"`   // loads queued by the limits
	AdapterLoads        uint64 `json:"adapter_loads"`
	AdaptersInFlight    int    `json:"adapters_in_flight"`
	MaxAdaptersInFlight int    `json:"max_adapters_in_flight"`
}

// Server is the weight store. It is safe for concurrent use.
type Server struct {
	opts      Options
	faults    *fault.Set
	slots     chan struct{} // one for each model load in progress; nil for no limit
	mu        sync.Mutex
	nextStart time.Time // earliest start of the next model load under the rate limit
	counters  Counters
}

// New returns a weight store with all counters at zero.
func New(opts Options) *Server {
	s := &Server{opts: opts, faults: fault.NewSet()}
	if opts.InFlight > 0 {
		s.slots = make(chan struct{}, opts.InFlight)
	}
	return s
}

// Faults returns the server's fault set.
func (s *Server) Faults() *fault.Set { return s.faults }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /weights/{model}", s.faults.WrapWork(http.HandlerFunc(s.serve)))
	mux.HandleFunc("GET /counters", s.showCounters)
	return s.faults.WrapAll(mux)
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counters
	s.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}

// LoadReply names the model and adapter of a load: those requested, which the
// response body repeats.
type LoadReply struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	req := LoadReply{Model: r.PathValue("model"), Adapter: r.URL.Query().Get("adapter")}
	load := s.loadModel
	if req.Adapter != "" {
		load = s.loadAdapter
	}
	if err := load(r.Context(), req); err != nil {
		reply.Error(w, http.StatusServiceUnavailable, "cancelled", err.Error())
		return
	}
	reply.JSON(w, http.StatusOK, req)
}

// updateCounters calls change with the counters under the lock.
func (s *Server) updateCounters(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// loadModel waits for a slot, then for the rate limit, then for the load time.
func (s *Server) loadModel(ctx context.Context, _ LoadReply) error {
	s.updateCounters(func(c *Counters) { c.ModelsQueued++ })
	err := s.admit(ctx)
	s.updateCounters(func(c *Counters) { c.ModelsQueued-- })
	if err != nil {
		return err
	}
	defer s.releaseSlot()
	s.updateCounters(func(c *Counters) {
		c.ModelLoads++
		c.ModelsInFlight++
	})
	defer s.updateCounters(func(c *Counters) { c.ModelsInFlight-- })
	return sleep(ctx, s.opts.LoadTime)
}

// admit waits until the concurrency and rate limits allow a model load to start.
// After an error, the load holds no slot.
func (s *Server) admit(ctx context.Context) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := sleep(ctx, s.reserveStart(time.Now())); err != nil {
		s.releaseSlot()
		return err
	}
	return nil
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

// reserveStart reserves the next start that the rate limit allows and returns the
// time until then.
func (s *Server) reserveStart(now time.Time) time.Duration {
	if s.opts.LoadsPerSecond <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.opts.LoadsPerSecond))
	return start.Sub(now)
}

func (s *Server) loadAdapter(ctx context.Context, req LoadReply) error {
	inFlight := 0
	s.updateCounters(func(c *Counters) {
		c.AdapterLoads++
		c.AdaptersInFlight++
		c.MaxAdaptersInFlight = max(c.MaxAdaptersInFlight, c.AdaptersInFlight)
		inFlight = c.AdaptersInFlight
	})
	defer s.updateCounters(func(c *Counters) { c.AdaptersInFlight-- })
	return sleep(ctx, s.adapterLoadTime(req, inFlight))
}

// adapterLoadTime returns the duration of one adapter load. It is a fixed value
// between AdapterMin and AdapterMax for each adapter. Above AdapterInFlight
// concurrent loads it grows in proportion to their number.
func (s *Server) adapterLoadTime(req LoadReply, inFlight int) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, req.Model+"/"+req.Adapter)
	const steps = 1000
	span := max(s.opts.AdapterMax-s.opts.AdapterMin, 0)
	d := s.opts.AdapterMin + span*time.Duration(h.Sum32()%steps)/steps
	if limit := s.opts.AdapterInFlight; limit > 0 && inFlight > limit {
		d = d * time.Duration(inFlight) / time.Duration(limit)
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
