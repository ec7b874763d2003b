// Package testbed runs entry instances as processes on loopback, with small stand-ins for the
// platform's store, upstreams and callers. The scripts of the review use it.
package testbed

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, in memory.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{} // closed at each change
}

type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
	status   json.RawMessage
}

type event struct {
	kind    string
	object  object
	removed bool
}

// NewStore starts a store without objects.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return s, nil
}

// Put writes an object as another writer does, without a condition.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.name, o.spec = name, raw
	s.change(kind, o, false)
	return nil
}

// change stores or removes an object at a new revision and returns it. The caller holds mu.
func (s *Store) change(kind string, o object, removed bool) object {
	s.revision++
	o.revision = s.revision
	if o.created == 0 {
		o.created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.name] = o
	if removed {
		delete(s.objects[kind], o.name)
	}
	s.events = append(s.events, event{kind, o, removed})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (o *object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": o.status,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	name, part, _ := strings.Cut(name, "/")
	if since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64); err == nil && r.Method == http.MethodGet {
		s.watch(w, r, kind, since)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		s.get(w, kind, name)
	case http.MethodDelete:
		s.remove(w, kind, name, r.URL.Query().Get("revision"))
	default:
		s.write(w, r.Method == http.MethodPost, kind, name, part, body)
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, since uint64) {
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events := []any{}
		s.mu.Lock()
		for i := range s.events {
			if e := &s.events[i]; e.kind == kind && e.object.revision > since {
				events = append(events, map[string]any{"object": e.object.wire(), "removed": e.removed})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			reply(w, http.StatusOK, o.wire())
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var names []string
	for n := range s.objects[kind] {
		names = append(names, n)
	}
	slices.Sort(names)
	items := []any{}
	for _, n := range names {
		o := s.objects[kind][n]
		items = append(items, o.wire())
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *Store) write(w http.ResponseWriter, create bool, kind, name, part string, body []byte) {
	var in struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		name = in.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	switch {
	case create && exists, exists && in.Metadata.Revision != nil && *in.Metadata.Revision != o.revision:
		reply(w, http.StatusConflict, o.wire())
		return
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o.name = name
	if part == "status" {
		o.status = in.Status
	} else {
		o.spec = in.Spec
	}
	o = s.change(kind, o, false)
	reply(w, http.StatusOK, o.wire())
}

func (s *Store) remove(w http.ResponseWriter, kind, name, revision string) {
	o, exists := s.objects[kind][name]
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(o.revision, 10):
		reply(w, http.StatusConflict, o.wire())
	default:
		o = s.change(kind, o, true)
		reply(w, http.StatusOK, o.wire())
	}
}
