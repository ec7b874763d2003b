package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// signature is what a server puts into its answers.
const signature = "3e1b.07.5a2.600.0.c9f2a4d1"

// arrival is what a server saw of one request.
type arrival struct {
	at      time.Time
	server  string
	attempt string
	order   string // what the request is for, the same in each attempt of a client
	ran     bool
	ended   bool // the run came to its end and the answer was written
}

// server is a server of a plain service. It speaks HTTP/1.1 on its own sockets, so that it can
// answer twice or break off.
type server struct {
	id, service string
	work        time.Duration
	slots       int
	engine      bool
	// full reports whether all slots are taken by other callers, nil for never.
	full func() bool
	// repeats reports whether a rejection is sent a second time, late: where the next answer on
	// its connection is expected. It is told how many answers the server has given; nil for
	// never.
	repeats func(answers int) bool

	listener net.Listener
	records  *recorder

	mu      sync.Mutex
	answers int // that were written
	running int
	conns   map[net.Conn]bool
	closed  bool
}

func startServer(s *server) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	s.listener, s.conns = l, map[net.Conn]bool{}
	go s.accept()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

// entry is what the server writes of itself to the store.
func (s *server) entry(sequence int) map[string]any {
	models := []any{}
	if s.engine {
		models = append(models, map[string]any{"name": "m0", "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "colocated", "models": models, "service": s.service, "address": s.address(), "zone": "zone-a", "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "sequence": sequence, "born": 1700000000000,
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = c.Close()
			continue
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// exit ends the server as a process that ends: its sockets close.
func (s *server) exit() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte // a second copy of the last answer, not sent yet
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, rejected := s.answer(req)
		if _, err := c.Write(answer); err != nil {
			return
		}
		s.mu.Lock()
		s.answers++
		if rejected && s.repeats != nil && s.repeats(s.answers) {
			late = answer
		}
		s.mu.Unlock()
	}
}

// answer runs a request, or rejects it, and returns the bytes of the answer.
func (s *server) answer(req *http.Request) (raw []byte, rejected bool) {
	switch req.URL.Path {
	case "/healthz":
		return s.encode(http.StatusOK, nil, "ok"), false
	case "/api/report":
		report := `{"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":149759,"handles":0}`
		return s.encode(http.StatusOK, [][2]string{{"Content-Type", "application/json"}}, report), false
	case "/api/order":
		return s.encode(http.StatusConflict, nil, ""), false // another order is in progress
	}
	a := &arrival{at: time.Now(), server: s.id, attempt: req.Header.Get("X-Attempt-Id"), order: req.Header.Get("X-Order")}
	head := [][2]string{{"X-Attempt-Id", a.attempt}}
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		return s.encode(http.StatusMisdirectedRequest, [][2]string{{"X-Instance-Id", s.id}}, ""), true
	}
	s.mu.Lock()
	a.ran = s.running < s.slots && (s.full == nil || !s.full())
	if a.ran {
		s.running++
	}
	s.mu.Unlock()
	s.records.arrived(a)
	if !a.ran {
		return s.encode(http.StatusServiceUnavailable, append(head, [2]string{"X-Not-Executed", "1"}), ""), true
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	if !s.closed {
		s.records.finished(a)
	}
	s.mu.Unlock()
	return s.encode(http.StatusOK, append(head, [2]string{"X-Server-Signature", signature}), "done "+a.order), false
}

func (s *server) encode(status int, head [][2]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range head {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	b.WriteString("X-Instance-Id: " + s.id + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return b.Bytes()
}
