// Package entry implements the entry instance. It accepts callers' requests over
// HTTP, authorises them, charges them to the limits of their organisation, picks
// an upstream with the decision packages and relays the answer. Server holds the
// HTTP handlers. Node builds an instance from its Settings: it creates and
// connects the controllers, runs them and stops them gracefully.
package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
	"github.com/google/uuid"
)

// Replica returns the instance's copy of the documents and of the instance list
// and the age of that copy; docsync.Controller implements it.
type Replica interface {
	Snapshot() *docsync.Snapshot
	Age() time.Duration
}

// ServerOptions are the settings and the dependencies of a Server.
type ServerOptions struct {
	Name     string
	Requests RequestSettings
	Replica  Replica
	Dispatch *dispatch.Controller
	Upstream *upstream.Client
	Engines  *engine.Client
	Budget   *once.Budget
	Crashes  *crashwatch.Watch
	Clients  *clientguard.Guard // nil for one of its own
	Limiter  Limiter
	Claimer  Claimer
	Record   Recorder
	// Placement records demand and loads adapters.
	Placement Placement
	Inventory Inventory
	Metrics   *metrics.Metrics
	// FullyReady reports whether the instance has read the first reports of the
	// upstreams assigned to it and has shares of all organisations' limits with
	// token buckets that are at least half full. HasShare reports whether it has
	// a share of any limit, without which it can serve no request.
	FullyReady func() bool
	HasShare   func() bool
	Now        func() time.Duration // monotonic
	Log        *slog.Logger
}

// Server handles the HTTP requests of callers.
type Server struct {
	opts           ServerOptions
	activeRequests atomic.Int64 // requests being served
	stopping       atomic.Bool  // new requests are refused
	waiting        waitingRequests
}

// NewServer returns a server that accepts requests.
func NewServer(opts ServerOptions) *Server {
	if opts.Clients == nil {
		opts.Clients = clientguard.New(clientguard.Options{Now: opts.Now, Log: opts.Log, Metrics: opts.Metrics})
	}
	s := &Server{opts: opts}
	opts.Crashes.OnHeld = s.waiting.withdrawHeld
	return s
}

// Handler returns the handler of all paths for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", s.serve(s.handleChat))
	mux.Handle("POST /v1/completions", s.serve(s.handleCompletions))
	mux.Handle("GET /v1/models", s.serve(s.handleModels))
	mux.Handle("/services/{service}/", s.serve(s.handleService))
	mux.Handle("GET /healthz", clientguard.WithoutBody(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })))
	mux.Handle("GET /readyz", clientguard.WithoutBody(http.HandlerFunc(s.handleReady)))
	mux.Handle("GET /metrics", clientguard.WithoutBody(s.opts.Metrics.Handler()))
	mux.Handle("/", s.serve(func(http.ResponseWriter, *http.Request, *call) *Error {
		return newError(http.StatusNotFound, CodeNotFound, "no such path")
	}))
	return mux
}

// handler serves one call. An error that it returns has not been sent to the caller
// yet; serve sends it.
type handler func(w http.ResponseWriter, r *http.Request, c *call) *Error

// serve returns the HTTP handler that calls h. It assigns the call an id and a
// snapshot of the documents, writes the error of a call that was refused or
// failed, and aborts the connection after a truncated answer.
func (s *Server) serve(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{id: uuid.NewString(), received: s.opts.Now(), snapshot: s.opts.Replica.Snapshot()}
		w.Header().Set(headerRequestID, c.id)
		activeRequests := s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		err := s.checkAvailable(c, activeRequests)
		if err == nil {
			err = h(w, r, c)
		}
		if c.held == nil {
			clientguard.SkipBody(w, r)
		} else {
			defer c.held.Release()
		}
		if err != nil {
			s.logError(c, err)
			err.write(w, c.id)
		}
		s.countEnd(c, err)
		if c.truncatedCode != "" {
			panic(http.ErrAbortHandler) // closes the connection without ending the body
		}
	})
}

// countEnd records the end of a call in the service record and in the metrics.
// Calls without a known organisation are counted together.
func (s *Server) countEnd(c *call, err *Error) {
	code := codeOK
	if c.truncatedCode != "" {
		code = c.truncatedCode
	}
	if err != nil {
		code = err.Code
	}
	s.recordEnd(c, code, err)
	s.flow(c).RequestEnded(string(code), s.opts.Now()-c.received, c.deliveredTokens)
}

// noOrganisation is the metrics label of calls without a known organisation.
const noOrganisation = "none"

// flow returns the metrics of a call's organisation and class and keeps them for
// the rest of the call. It must not be called before both are known.
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

// Metrics labels of the classes.
const (
	classLive  = "live"
	classBatch = "batch"
)

// Retry-after times for callers that this instance cannot serve now.
const (
	stoppingRetryAfter = time.Second
	notReadyRetryAfter = time.Second
	busyRetryAfter     = time.Second
)

// checkAvailable returns an error if the instance is stopping, has no documents
// yet or serves too many requests.
func (s *Server) checkAvailable(c *call, activeRequests int64) *Error {
	switch {
	case s.stopping.Load():
		return newRetryableError(http.StatusServiceUnavailable, CodeStopping, "this instance is stopping", stoppingRetryAfter)
	case !c.snapshot.HasDocuments:
		return newRetryableError(http.StatusServiceUnavailable, CodeNotReady, "this instance has no configuration yet", notReadyRetryAfter)
	case activeRequests > int64(s.opts.Requests.MaxConcurrent):
		return newRetryableError(http.StatusServiceUnavailable, CodeOverloaded, "too many requests at once", busyRetryAfter)
	}
	return nil
}

// logError logs an error that is sent to a caller.
func (s *Server) logError(c *call, err *Error) {
	s.opts.Log.Info("request not served", "request", c.id, "organisation", c.org.String(),
		"code", string(err.Code), "ran", string(err.Ran), "message", err.Message)
}

// readyTimeout is the time since start after which readiness, once there are
// documents, no longer waits for token buckets to fill and for upstream reports.
// From then on the instance is ready if it has a share of any limit: without one
// it would refuse every request.
const readyTimeout = 8 * time.Second

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether a load balancer may send requests to this instance.
func (s *Server) ready() bool {
	snapshot := s.opts.Replica.Snapshot()
	if s.stopping.Load() || !snapshot.HasDocuments {
		return false
	}
	return s.opts.FullyReady() || s.opts.Now() > readyTimeout && s.opts.HasShare()
}

// RefuseNew makes the server refuse new requests with CodeStopping and RanNo.
func (s *Server) RefuseNew() { s.stopping.Store(true) }

// drainPollInterval is how often Drain checks the number of active requests.
const drainPollInterval = 20 * time.Millisecond

// Drain waits until no request is active or ctx ends. It returns the number of
// requests that are still active.
func (s *Server) Drain(ctx context.Context) int64 {
	for s.activeRequests.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(drainPollInterval):
		}
	}
	return s.activeRequests.Load()
}

// modelList is the response to GET /v1/models.
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
		s.opts.Log.Debug("writing model list failed", "request", c.id, "error", err)
	}
	return nil
}
