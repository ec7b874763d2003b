// Package objectapi is a stand-in for the platform. It serves the object API, an
// object store with conditional writes and watches, and the instance list over
// HTTP. It keeps all data in memory and can inject faults, such as an outage or a
// lag of the instance list.
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

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// DefaultWatchWait is the timeout of a watch if Options sets none.
const DefaultWatchWait = 10 * time.Second

// Options are the settings of a Server.
type Options struct {
	WatchWait   time.Duration // timeout of a watch without a change; 0 for DefaultWatchWait
	InstanceLag time.Duration // age of the state that the instance list shows
}

// Server is the stand-in for the platform. It is safe for concurrent use.
type Server struct {
	Memory    *objectstore.Memory
	faults    *fault.Set
	instances *instanceHistory
}

// New returns a server without objects and instances.
func New(opts Options) *Server {
	if opts.WatchWait <= 0 {
		opts.WatchWait = DefaultWatchWait
	}
	s := &Server{
		Memory:    objectstore.NewMemory(opts.WatchWait),
		faults:    fault.NewSet(),
		instances: newInstanceHistory(),
	}
	s.faults.Update(func(f *fault.Faults) { f.InstanceLagMS = opts.InstanceLag.Milliseconds() })
	s.faults.OnChange(s.applyFaults)
	return s
}

// Faults returns the server's fault set. Latency, outage and lost replies are
// applied by Memory, so that they affect callers in the same process too.
func (s *Server) Faults() *fault.Set { return s.faults }

// applyFaults passes the faults that concern the object store to Memory.
func (s *Server) applyFaults(f fault.Faults) {
	s.Memory.SetFaults(objectstore.Faults{
		Outage:      f.Outage,
		LoseReplies: f.DropReplies,
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

// serveFaults serves fault.Path. It first copies the number of replies still to
// drop from Memory, which decrements it.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	remaining := s.Memory.Faults().LoseReplies
	s.faults.Update(func(f *fault.Faults) { f.DropReplies = remaining })
	s.faults.ServeHTTP(w, r)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Memory.Calls())
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.Memory.Get(r.Context(), kindFromPath(r), r.PathValue("name"))
	writeResult(w, obj, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes))
	if err != nil {
		reply.Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
		return
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		reply.Error(w, http.StatusBadRequest, "value", "body is not JSON: "+err.Error())
		return
	}
	obj, err := s.Memory.Put(r.Context(), objectstore.Object{
		Kind:    kindFromPath(r),
		Name:    r.PathValue("name"),
		Version: version,
		Value:   compact.Bytes(),
	})
	writeResult(w, obj, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	obj, err := s.Memory.Delete(r.Context(), kindFromPath(r), r.PathValue("name"), version)
	writeResult(w, obj, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.Memory.List(r.Context(), kindFromPath(r))
	writeResult(w, list, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "since", "since wants a revision: "+err.Error())
		return
	}
	list, err := s.Memory.Watch(r.Context(), kindFromPath(r), since)
	writeResult(w, list, err)
}

func kindFromPath(r *http.Request) objectstore.Kind { return objectstore.Kind(r.PathValue("kind")) }

// expectedVersion returns the object version in the If-Match header. Without a
// valid one it responds with 400 and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	text := strings.Trim(r.Header.Get(objectstore.HeaderIfMatch), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "if_match", "If-Match wants the expected version, 0 to create")
		return 0, false
	}
	return version, true
}

// writeResult writes v, or the error response for err. A lost reply closes the
// connection without a response.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		reply.JSON(w, http.StatusOK, v)
	case errors.Is(err, objectstore.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, objectstore.ErrConflict):
		reply.Error(w, http.StatusConflict, "conflict", err.Error())
	case errors.Is(err, objectstore.ErrNotFound):
		reply.Error(w, http.StatusNotFound, "not_found", err.Error())
	case errors.Is(err, objectstore.ErrTooLarge):
		reply.Error(w, http.StatusRequestEntityTooLarge, "too_large", err.Error())
	default:
		reply.Error(w, http.StatusServiceUnavailable, "unavailable", err.Error())
	}
}
