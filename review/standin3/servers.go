package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// events is the number of events of a stream, pause the time between two. With tokens, the stream has so
	// many tokens instead. An event holds most tokens, or fewer if no more are ready; its ID is the
	// number of tokens so far.
	events int
	pause  time.Duration
	tokens int
	most   int

	mu       sync.Mutex
	running  int
	ran      map[string][]*streamRun // by attempt ID
	runCount int
	sequence int64
	fence    int64
}

func startServer(s *server) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born, s.ran = lis.Addr().String(), time.Now().UnixMilli(), map[string][]*streamRun{}
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

// streamRun is one run of a request.
type streamRun struct{ after, last, end string }

// begin counts a run, unless there is no slot. The queue of the server is as long again.
func (s *server) begin(id, after string) *streamRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == "" || s.running >= 2*s.slots {
		return nil
	}
	s.running++
	run := &streamRun{after: after}
	s.ran[id] = append(s.ran[id], run)
	s.runCount++
	return run
}

// runsOf describes the runs of a request.
func (s *server) runsOf(id string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.ran[id] {
		out = append(out, fmt.Sprintf("after event %q, sent up to event %q, %s", r.after, r.last, r.end))
	}
	return out
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
	run := s.begin(id, r.Header.Get("Last-Event-Id"))
	if run == nil {
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
	if s.tokens > 0 {
		s.sendTokens(w, r, run)
		return
	}
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

// unreadyShare is the inverse of the share of events that are sent with the tokens that are ready.
const unreadyShare = 4

// sendTokens sends the tokens of a stream after those that the caller has.
func (s *server) sendTokens(w http.ResponseWriter, r *http.Request, run *streamRun) {
	note := func(last, end string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.last, run.end = last, end
	}
	at, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // an absent header gives 0, the beginning
	for at < s.tokens {
		n := s.most
		if rand.IntN(unreadyShare) == 0 {
			n = 1 + rand.IntN(s.most)
		}
		n = min(n, s.tokens-at)
		var text strings.Builder
		for range n {
			at++
			fmt.Fprintf(&text, " t%d", at)
		}
		fmt.Fprintf(w, "id: %d\ndata:%s\n\n", at, &text)
		if err := http.NewResponseController(w).Flush(); err != nil || r.Context().Err() != nil {
			note(strconv.Itoa(at), "then the instance closed the connection")
			return
		}
		note(strconv.Itoa(at), "still running")
		time.Sleep(s.pause)
	}
	note(strconv.Itoa(at), "whole")
}

// lastEventID returns the ID of the last event of a body, empty for none.
func lastEventID(body string) string {
	i := strings.LastIndex(body, "id: ")
	if i < 0 {
		return ""
	}
	id, _, _ := strings.Cut(body[i+len("id: "):], "\n")
	return id
}

func (s *server) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCount
}
