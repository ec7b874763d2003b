package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	pieces      = 20                     // of each answer
	pieceTime   = 100 * time.Millisecond // until the next piece
	serverSlots = 8
)

// server is a process of a service. A plain one gives answers that have neither a length nor
// chunks: they end with the connection.
type server struct {
	id, service, address, store string
	born                        int64
	slots                       chan struct{}
	engine                      *engine       // nil for a plain server
	wake                        chan struct{} // lets the entry be written at once
	logMu                       sync.Mutex
}

func runServer(args []string) error {
	s := &server{born: time.Now().UnixMilli(), slots: make(chan struct{}, serverSlots), wake: make(chan struct{}, 1)}
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	listen := flags.String("listen", "", "address to listen on")
	flags.StringVar(&s.id, "id", "", "ID")
	flags.StringVar(&s.service, "service", "", "service")
	flags.StringVar(&s.address, "address", "", "address at which the entry instances reach it")
	flags.StringVar(&s.store, "store", "", "address of the store")
	isEngine := flags.Bool("engine", false, "holds models")
	model := flags.String("model", "", "model that the engine holds at its start")
	disk := flags.String("disk", "", "model that lies on the engine's disk")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *isEngine {
		s.engine = &engine{models: map[string][]string{}, onDisk: []string{}}
		if *model != "" {
			s.engine.models[*model], s.engine.onDisk = []string{}, []string{*model}
		}
		if *disk != "" {
			s.engine.onDisk = []string{*disk}
		}
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	s.log("starts, born %d", s.born)
	go s.beat()
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// beat writes the entry of the server to the store, until the process ends.
func (s *server) beat() {
	for {
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", "slots": serverSlots, "state": "ready",
			"cold_left_ms": 0, "born": s.born, "sequence": 1,
		}
		if e := s.engine; e != nil {
			e.mu.Lock()
			entry["stage"], entry["models"] = "colocated", e.residents()
			e.mu.Unlock()
		}
		raw, _ := json.Marshal(entry)
		r, _ := http.NewRequest(http.MethodPut, "http://"+s.store+"/api/objects/servers/"+s.id, bytes.NewReader(raw))
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-time.After(heartbeat):
		case <-s.wake:
		}
	}
}

// changed lets the entry be written at once.
func (s *server) changed() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// serve answers the requests of a connection.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.answer(conn, r) {
			return
		}
	}
}

// answer answers a request and reports whether the connection goes on.
func (s *server) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	reject := func(status string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id, s.id)
		return err == nil
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		return reject("421 Misdirected Request")
	}
	if s.engine != nil {
		switch {
		case r.URL.Path == "/api/report":
			return s.report(conn)
		case r.URL.Path == "/api/order":
			return s.order(conn, r)
		case !s.engine.holds(r.Header.Get("X-Model")):
			return reject("421 Misdirected Request")
		}
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return reject("503 Service Unavailable")
	}
	if s.engine != nil {
		return s.generate(conn, id)
	}
	s.log("%s begins to run", id)
	kind := "text/plain"
	if strings.HasPrefix(r.URL.Path, streamPath) {
		kind = "text/event-stream"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, signature(id), kind)
	for n := 1; n <= pieces && err == nil; n++ {
		time.Sleep(pieceTime)
		_, err = fmt.Fprintf(conn, "id: %d\ndata: piece %d of %d\n\n", n, n, pieces)
	}
	if err == nil {
		s.log("%s has run to its end", id)
	}
	return false
}

// generate answers a request for a model with a short stream.
func (s *server) generate(conn net.Conn, id string) bool {
	const events = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	time.Sleep(pieceTime / 5)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		id, signature(id), len(events), events)
	return err == nil
}

func (s *server) log(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	fmt.Fprintf(os.Stdout, "server %s: %s\n", s.id, fmt.Sprintf(format, args...))
}

func signature(id string) string { return "signed." + id }
