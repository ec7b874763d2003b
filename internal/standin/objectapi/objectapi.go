// Package objectapi serves the object API and the instance list over HTTP,
// as a stand-in of the platform's.
package objectapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// DefaultWatchWait is how long a watch waits if the settings say nothing.
const DefaultWatchWait = 10 * time.Second

// Options are the settings of a Server.
type Options struct {
	WatchWait   time.Duration // how long a watch waits for a change
	InstanceLag time.Duration // how old a view the instance list shows
}

// Server is the platform's stand-in. It is safe for concurrent use.
type Server struct {
	Memory    *platform.Memory
	faults    *fault.Set
	instances *history
}

// New returns an empty platform.
func New(opts Options) *Server {
	if opts.WatchWait <= 0 {
		opts.WatchWait = DefaultWatchWait
	}
	s := &Server{
		Memory:    platform.NewMemory(opts.WatchWait),
		faults:    fault.NewSet(),
		instances: newHistory(),
	}
	s.faults.Update(func(f *fault.Faults) { f.InstanceLagMS = opts.InstanceLag.Milliseconds() })
	s.faults.OnChange(s.apply)
	return s
}

// Faults returns the server's faults. Latency, outage and lost replies are
// those of the memory store, so that callers in the process see them too.
func (s *Server) Faults() *fault.Set { return s.faults }

func (s *Server) apply(f fault.Faults) {
	s.Memory.SetFaults(platform.Faults{
		Outage:      f.Outage,
		LoseReplies: f.LoseReplies,
		Latency:     time.Duration(f.LatencyMS) * time.Millisecond,
	})
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /objects/{kind}/{name}", s.delete)
	mux.HandleFunc("GET /objects/{kind}", s.list)
	mux.HandleFunc("GET /watch/{kind}", s.watch)
	mux.HandleFunc("GET /instances", s.listInstances)
	mux.HandleFunc("PUT /instances/{name}", s.register)
	mux.HandleFunc("DELETE /instances/{name}", s.deregister)
	mux.HandleFunc("GET /calls", s.calls)
	mux.HandleFunc(fault.Path, s.serveFaults)
	return mux
}

// serveFaults shows the count of replies still to lose as the store has it.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	left := s.Memory.Faults().LoseReplies
	s.faults.Update(func(f *fault.Faults) { f.LoseReplies = left })
	s.faults.ServeHTTP(w, r)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Memory.Calls())
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.Memory.Get(r.Context(), kindOf(r), r.PathValue("name"))
	answer(w, obj, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if err != nil {
		reply.Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		reply.Error(w, http.StatusBadRequest, "value", "body is not JSON: "+err.Error())
		return
	}
	obj, err := s.Memory.Put(r.Context(), platform.Object{
		Kind:    kindOf(r),
		Name:    r.PathValue("name"),
		Version: version,
		Value:   compact.Bytes(),
	})
	answer(w, obj, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	obj, err := s.Memory.Delete(r.Context(), kindOf(r), r.PathValue("name"), version)
	answer(w, obj, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.Memory.List(r.Context(), kindOf(r))
	answer(w, list, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "since", "since wants a revision: "+err.Error())
		return
	}
	list, err := s.Memory.Watch(r.Context(), kindOf(r), since)
	answer(w, list, err)
}

func kindOf(r *http.Request) platform.Kind { return platform.Kind(r.PathValue("kind")) }

// expectedVersion reads If-Match; it answers 400 itself if there is none.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	text := strings.Trim(r.Header.Get(platform.HeaderIfMatch), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "if_match", "If-Match wants the expected version, 0 to create")
		return 0, false
	}
	return version, true
}

// answer writes v, or the status of err. A lost reply closes the connection.
func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		reply.JSON(w, http.StatusOK, v)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, platform.ErrConflict):
		reply.Error(w, http.StatusConflict, "conflict", err.Error())
	case errors.Is(err, platform.ErrNotFound):
		reply.Error(w, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, platform.ErrTooLarge):
		reply.Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	default:
		reply.Error(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}
