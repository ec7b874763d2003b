package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a service: a model server if it has models, otherwise a plain
// one. It answers over HTTP/1.1 with net/http, echoes the attempt's ID and signs its answers.
type server struct {
	id, service, address string
	slots                int
	born                 int64
	models               []string
	// work is how long a request takes before its answer, or the first event of its stream.
	work time.Duration
	// events is the number of events of a stream, pause the time between two.
	events int
	pause  time.Duration

	mu       sync.Mutex
	running  int
	ran      map[string]int // runs by attempt ID
	runCount int
	sequence int64
	fence    int64
}

func startServer(s *server) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born, s.ran = lis.Addr().String(), time.Now().UnixMilli(), map[string]int{}
	go func() { _ = http.Serve(lis, s) }() // until the process ends
	return nil
}

type residentModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (s *server) resident() []residentModel {
	out := []residentModel{}
	for _, m := range s.models {
		out = append(out, residentModel{Name: m, Version: 1, Adapters: []string{}})
	}
	return out
}

// entry is what the server registers in the store.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": "erie-bay", "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "stage": "colocated", "models": s.resident(), "sequence": 1, "born": s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Keep-Alive", "timeout=5")
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", s.id)
		return
	case "/api/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{
			"stage": "colocated", "models": s.resident(), "busy": false, "sequence": s.sequence, "queued": 0, "active": s.running,
			"kv_used": 0, "kv_total": 149759, "handles": 0, "born": s.born,
		})
		return
	case "/api/order":
		s.order(w, r)
		return
	}
	s.run(w, r)
}

// order accepts what is held already, and nothing else: the cases need no other models.
func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		FencingToken int64  `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.FencingToken < s.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.fence = in.FencingToken
	w.WriteHeader(http.StatusConflict)
}

// begin counts a run and reports whether there was a slot. The queue of the server is as long again.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" || s.running >= 2*s.slots {
		return false
	}
	s.running++
	s.ran[id]++
	s.runCount++
	return true
}

func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !s.begin(id) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Server-Signature", "signed."+s.id)
	if len(s.models) == 0 {
		body := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // the caller may have left
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= s.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if i < s.events {
			time.Sleep(s.pause)
		}
	}
}

func (s *server) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCount
}

// hasRun reports whether the server began to work on a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id] > 0
}
