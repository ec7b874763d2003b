package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one revision
// counter, conditional writes, lists and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object // by kind and name
	history  []event
	changed  chan struct{} // closed at the next change
	calls    int
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

const (
	pageItems     = 500
	maxWatchMS    = 30_000
	objectsPrefix = "/api/objects/"
)

func startStore() (*store, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: lis.Addr().String(), revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(lis, s) }() // until the process ends
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, &object{Metadata: metadata{Name: name}, Spec: raw})
}

// remove deletes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		s.drop(kind, o)
	}
}

func (s *store) write(kind string, o *object) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, revision: s.revision, Object: *o})
}

func (s *store) drop(kind string, o *object) {
	s.revision++
	delete(s.objects[kind], o.Metadata.Name)
	gone := *o
	gone.Metadata.Revision = s.revision
	s.record(event{kind: kind, revision: s.revision, Removed: true, Object: gone})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, objectsPrefix)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.change(w, kind, name, body, r.Method == http.MethodPost, isStatus)
	case http.MethodDelete:
		o := s.objects[kind][name]
		revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
		switch {
		case o == nil:
			w.WriteHeader(http.StatusNotFound)
		case err == nil && revision != o.Metadata.Revision:
			reply(w, http.StatusConflict, o)
		default:
			s.drop(kind, o)
			reply(w, http.StatusOK, o)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	after := r.URL.Query().Get("after")
	items, more := []*object{}, false
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if n <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, s.objects[kind][n])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": s.revision})
}

func (s *store) change(w http.ResponseWriter, kind, name string, body []byte, create, isStatus bool) {
	var in object
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		name = in.Metadata.Name
	}
	old := s.objects[kind][name]
	switch {
	case create && old != nil, old != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case !create && old == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case isStatus:
		in = object{Metadata: old.Metadata, Spec: old.Spec, Status: in.Status}
	case old != nil:
		in.Metadata.Created, in.Status = old.Metadata.Created, old.Status
	}
	in.Metadata.Name = name
	s.write(kind, &in)
	reply(w, http.StatusOK, &in)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(waitMS, maxWatchMS)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
