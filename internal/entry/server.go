// Package entry is the entry instance: it takes callers' requests over HTTP,
// decides with the decision packages who may run what where, and relays the
// answers. Node wires the duties together; Server holds the HTTP handlers.
package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
	"github.com/google/uuid"
)

// Replica is what the instance knows of documents and instances; replica.Duty
// implements it.
type Replica interface {
	Snapshot() *replica.Snapshot
	Age() time.Duration
}

// ServerOptions are what the handlers need.
type ServerOptions struct {
	Name     string
	Requests RequestSettings
	Replica  Replica
	Dispatch *dispatch.Duty
	Upstream *upstream.Client
	Engines  *engine.Client
	Budget   *once.Budget
	Limiter  Limiter
	Claimer  Claimer
	Record   Recorder
	// Placement is told of demand and loads adapters.
	Placement Placement
	Inventory Inventory
	Metrics   *metrics.Metrics
	// Prepared reports whether the duties have all that a first request needs,
	// Able whether they have enough to serve any at all.
	Prepared func() bool
	Able     func() bool
	Now      func() time.Duration
	Log      *slog.Logger
}

// Server answers callers.
type Server struct {
	opts     ServerOptions
	active   atomic.Int64 // requests being served
	refusing atomic.Bool  // stopping: new requests are refused
}

// NewServer returns a server that takes requests.
func NewServer(opts ServerOptions) *Server { return &Server{opts: opts} }

// Handler returns the handler of all paths for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.serve(s.handleChat))
	mux.Handle("POST /v1/completions", s.serve(s.handleCompletions))
	mux.Handle("GET /v1/models", s.serve(s.handleModels))
	mux.Handle("/services/{service}/", s.serve(s.handleService))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.Handle("GET /metrics", s.opts.Metrics.Handler())
	mux.Handle("/", s.serve(func(http.ResponseWriter, *http.Request, *call) *Error {
		return refuse(http.StatusNotFound, CodeNotFound, "no such path")
	}))
	return mux
}

// handler serves one call; an error that it returns has not been written yet.
type handler func(w http.ResponseWriter, r *http.Request, c *call) *Error

// serve gives a call its id and the documents that decide for it, and writes
// the error of a call that was refused or failed.
func (s *Server) serve(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: uuid.NewString(), received: s.opts.Now(), known: s.opts.Replica.Snapshot()}
		w.Header().Set(headerRequestID, c.id)
		active := s.active.Add(1)
		defer s.active.Add(-1)
		err := s.mayServe(c, active)
		if err == nil {
			err = h(w, r, c)
		}
		if err != nil {
			s.logError(c, err)
			err.write(w, c.id)
		}
		s.measure(c, err)
		if c.cut != "" {
			panic(http.ErrAbortHandler) // no end marker, and no end of the body
		}
	})
}

// measure counts a call that has ended. Calls that were not found to be any
// organisation's are counted together.
func (s *Server) measure(c *call, err *Error) {
	code := codeOK
	if c.cut != "" {
		code = c.cut
	}
	if err != nil {
		code = err.Code
	}
	s.recordEnd(c, code, err)
	s.flow(c).Ended(string(code), s.opts.Now()-c.received, c.tokens)
}

// noOrganisation is the label of calls without an organisation.
const noOrganisation = "none"

// flow returns the measures of a call's organisation and class, once both are
// known.
func (s *Server) flow(c *call) *metrics.Flow {
	if c.flow != nil {
		return c.flow
	}
	name := noOrganisation
	if c.service != nil {
		name = c.org.String()
	}
	class := classLive
	if c.class == fair.Batch {
		class = classBatch
	}
	c.flow = s.opts.Metrics.Flow(name, class)
	return c.flow
}

// Labels of the classes.
const (
	classLive  = "live"
	classBatch = "batch"
)

// Waits told to callers that this instance cannot serve now.
const (
	stoppingRetryAfter = time.Second
	notReadyRetryAfter = time.Second
	busyRetryAfter     = time.Second
)

func (s *Server) mayServe(c *call, active int64) *Error {
	switch {
	case s.refusing.Load():
		return refuseFor(http.StatusServiceUnavailable, CodeStopping, "this instance is stopping", stoppingRetryAfter)
	case !c.known.Ready:
		return refuseFor(http.StatusServiceUnavailable, CodeNotReady, "this instance has no configuration yet", notReadyRetryAfter)
	case active > int64(s.opts.Requests.MaxConcurrent):
		return refuseFor(http.StatusServiceUnavailable, CodeOverloaded, "too many requests at once", busyRetryAfter)
	}
	return nil
}

func (s *Server) logError(c *call, err *Error) {
	s.opts.Log.Info("request not served", "request", c.id, "organisation", c.org.String(),
		"code", string(err.Code), "ran", string(err.Ran), "message", err.Message)
}

// readyPatience is how long readiness waits for full buckets and for reports
// once there are documents. After it an instance is ready with what it has, if
// that is anything: without a share of any limit it would refuse all.
const readyPatience = 8 * time.Second

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready() bool {
	known := s.opts.Replica.Snapshot()
	if s.refusing.Load() || !known.Ready {
		return false
	}
	return s.opts.Prepared() || s.opts.Now() > readyPatience && s.opts.Able()
}

// Refuse makes the server refuse new requests as not run.
func (s *Server) Refuse() { s.refusing.Store(true) }

// drainPoll is how often Drain looks whether requests are left.
const drainPoll = 20 * time.Millisecond

// Drain waits until no request is being served or ctx ends; it returns how
// many are left.
func (s *Server) Drain(ctx context.Context) int64 {
	for s.active.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(drainPoll):
		}
	}
	return s.active.Load()
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) handleModels(w http.ResponseWriter, r *http.Request, c *call) *Error {
	if err := s.authorise(r, c); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.service.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: c.service.Service})
		for _, a := range m.Adapters {
			list.Data = append(list.Data, modelItem{ID: m.Name + ":" + a.Name, Object: "model", OwnedBy: c.service.Service})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		s.opts.Log.Debug("write model list", "request", c.id, "error", err)
	}
	return nil
}
