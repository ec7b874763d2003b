package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is the platform's metadata store: objects by kind and name, one revision counter,
// conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{} // closed by the next change
	era      int           // rises when the store comes back from an older copy
	away     bool          // answers 503
	copied   *storeCopy
}

// storeCopy is a copy of the store as of some moment.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
}

// copyNow takes the copy from which the store may come back.
func (s *store) copyNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{revision: s.revision, objects: map[string]map[string]object{}}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	s.copied = c
}

// goAway lets the store answer 503 to all calls, also to watches that wait.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack lets the store answer again, from the copy. Revisions go back and are given out again.
func (s *store) comeBack() (lost uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.revision - s.copied.revision
	s.revision, s.objects, s.history = s.copied.revision, s.copied.objects, nil
	s.away = false
	s.era++
	return lost
}

func newStore() *store {
	return &store{revision: 1, era: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// set writes an object, whatever its revision.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

func (s *store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := s.objects[kind][name]
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove deletes an object and returns when the store accepted that.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
	return time.Now()
}

func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.record(event{kind: kind, revision: s.revision, Object: o, Removed: true})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name, isStatus)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, revision, away := []event{}, s.changed, s.revision, s.away
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if since > revision {
			w.WriteHeader(http.StatusGone) // of a history that the store does not have
			return
		}
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = in.Metadata.Name
	}
	expected := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && expected != 0 && expected != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		writeJSON(w, http.StatusOK, map[string]any{})
	case isStatus:
		writeJSON(w, http.StatusOK, old)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encoding an answer of the store: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
