package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entry. An entry is removed after
// three intervals of silence.
const heartbeat = 1200 * time.Millisecond

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   metadata        `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	object  object
	removed bool
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	beats    map[string]time.Time         // last write of each entry of a server
	changes  []change
	changed  chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
}

// put writes an object. s.mu must be held.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := s.objects[kind][name]
	if o.Meta.Created == 0 {
		o.Meta = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.tell(change{kind, o, false})
	return o
}

// remove removes an object. s.mu must be held.
func (s *store) remove(kind, name string) {
	s.revision++
	o := s.objects[kind][name]
	o.Meta.Revision = s.revision
	delete(s.objects[kind], name)
	s.tell(change{kind, o, true})
}

func (s *store) tell(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an object as the operator.
func (s *store) write(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// beat writes the entry of a server. A change of nothing but the count is no change of the entry.
func (s *store) beat(id string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	if o, ok := s.objects["servers"][id]; !ok || string(o.Spec) != string(spec) {
		s.put("servers", id, spec)
	}
}

// expire removes the entries of silent servers, until the process ends.
func (s *store) expire() {
	for {
		time.Sleep(heartbeat / 4)
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*heartbeat {
				delete(s.beats, id)
				s.remove("servers", id)
			}
		}
		s.mu.Unlock()
	}
}

// ServeHTTP answers the calls of the entry instances and of servers.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	if kind == "servers" && r.Method == http.MethodPut {
		s.beat(name, body) // the way in which the servers of these scripts register
		return
	}
	status, answer := http.StatusOK, any(nil)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		status, answer = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		answer = s.list(kind)
	case r.Method == http.MethodGet:
		status, answer = s.get(kind, name)
	default:
		status, answer = s.change(r, kind, name, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have left
}

func (s *store) list(kind string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		items = append(items, s.objects[kind][name])
	}
	return map[string]any{"items": items, "has_more": false, "store_revision": s.revision}
}

func (s *store) get(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, o
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed, events := s.revision, s.changed, []any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Meta.Revision > since {
				events = append(events, map[string]any{"object": c.object, "removed": c.removed})
			}
		}
		s.mu.Unlock()
		if since > revision {
			return http.StatusGone, nil
		}
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				timedOut = true
			case <-r.Context().Done():
				timedOut = true
			}
		}
		if len(events) > 0 || timedOut {
			return http.StatusOK, map[string]any{"events": events, "store_revision": revision}
		}
	}
}

// change carries out a write of an entry instance, if its condition holds.
func (s *store) change(r *http.Request, kind, name string, body []byte) (int, any) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	condition := in.Meta.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		if o, ok := s.objects[kind][in.Meta.Name]; ok {
			return http.StatusConflict, o
		}
		return http.StatusCreated, s.put(kind, in.Meta.Name, in.Spec)
	}
	name, _, isStatus := strings.Cut(name, "/")
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, nil
	case condition != 0 && condition != o.Meta.Revision:
		return http.StatusConflict, o
	case isStatus:
		return http.StatusOK, o
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, o
	case string(o.Spec) == string(in.Spec):
		return http.StatusOK, o
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}
