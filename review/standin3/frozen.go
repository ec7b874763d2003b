package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// The streams of this case: pieces, a piece each piecePause.
	pieces     = 60
	piecePause = 100 * time.Millisecond
	// An instance stands still for freezeFor. Meanwhile a server is down for downFor.
	freezeFor  = 3 * time.Second
	crashAfter = 500 * time.Millisecond
	downFor    = 2 * time.Second
	// registerAfter is the time from the start of a server until its entry is in the store: it writes
	// there about every heartbeat_ms, which are 1.2 s.
	registerAfter = time.Second
	frozenStreams = 12
	frozenRounds  = 3
	frozenServers = 2
	// silentBeats is how long after its end the entry of a server is there: three heartbeats of 1.2 s.
	silentBeats = 3600 * time.Millisecond
)

// openServer is a model server whose answers have neither a length nor chunks: they end with their
// connection (PROTOCOL.md, RULES.md MIXED). It can end at once, as by a crash, and start again at its address.
type openServer struct {
	id, address string
	born        int64

	mu    sync.Mutex
	http  *http.Server
	conns map[net.Conn]bool
	sent  map[string]int // pieces by attempt
}

func (s *openServer) start() error {
	lis, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.born, s.conns, s.sent = lis.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}, map[string]int{}
	s.http = &http.Server{Handler: s}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(s.http)
	return nil
}

// crash ends the server: all its connections close, as those of a process that is killed.
func (s *openServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *openServer) entry() map[string]any {
	return map[string]any{
		"service": "models", "address": s.address, "zone": "erie-bay", "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"stage": "colocated", "models": []residentModel{{Name: "daka510000", Version: 1, Adapters: []string{}}}, "sequence": 1, "born": s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *openServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.Header().Set("X-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/report" {
		reply(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []residentModel{{Name: "daka510000", Version: 1, Adapters: []string{}}},
			"busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 149759, "handles": 0, "born": s.born})
		return
	}
	if r.URL.Path == "/api/order" {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signed.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, s.id)
	for i := 1; i <= pieces; i++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", i, i, pieces); err != nil {
			return
		}
		s.mu.Lock()
		s.sent[id] = i
		s.mu.Unlock()
		time.Sleep(piecePause)
	}
}

// playFrozen freezes an instance while a server crashes and comes back at its address. Judged are the streams
// that end as whole for their callers.
func playFrozen(b *bed) (int, error) {
	var servers []*openServer
	for i := range frozenServers {
		s := &openServer{id: fmt.Sprintf("i-open%02d", i), address: "127.0.0.1:0"}
		if err := s.start(); err != nil {
			return 0, err
		}
		b.store.put("servers", s.id, s.entry())
		servers = append(servers, s)
	}
	b.store.put("config", "main", smallConfig())
	machines, err := newMachines(4, b.store.address, b.dir)
	if err != nil {
		return 0, err
	}
	for _, m := range machines {
		if err := m.start(); err != nil {
			return 0, err
		}
		defer m.kill()
	}
	for _, m := range machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	m := machines[len(machines)-1] // neither watches the store nor polls it for the others
	short, whole, broke := 0, 0, 0
	for round := range frozenRounds {
		var wait sync.WaitGroup
		var mu sync.Mutex
		c := newClient(frozenStreams)
		for range frozenStreams {
			wait.Add(1)
			go func() {
				defer wait.Done()
				o := c.do(m.frontend, request{method: "POST", path: "/lohu930/2f", key: "key0", body: "prompt", deadline: 20 * time.Second,
					headers: map[string]string{"X-Model": "daka510000", "X-Token-Usage": "1460,290", "X-Prefix-Hash": shortList(1460)}})
				mu.Lock()
				defer mu.Unlock()
				last := lastEventID(o.body)
				switch {
				case o.status != http.StatusOK || !o.whole:
					broke++
				case last == fmt.Sprint(pieces):
					whole++
				default:
					short++
					b.note("%s ends as whole after piece %s of %d", o.id, last, pieces)
				}
			}()
		}
		time.Sleep(time.Second)
		s := servers[round%len(servers)]
		if b.trouble {
			b.note("round %d: %s stands still", round, m.name)
			m.signal(syscall.SIGSTOP)
			time.Sleep(crashAfter)
			crashed := time.Now()
			s.crash()
			old := s.id
			time.Sleep(downFor)
			s.id = fmt.Sprintf("i-open%02d-%d", round%len(servers), round)
			if err := s.start(); err != nil {
				return 0, err
			}
			id, entry := s.id, s.entry()
			time.AfterFunc(registerAfter, func() {
				b.store.put("servers", id, entry)
				b.note("round %d: %s is listed", round, id)
			})
			b.note("round %d: %s crashed and is back at its address as %s", round, old, s.id)
			time.AfterFunc(time.Until(crashed.Add(silentBeats)), func() { b.store.remove("servers", old) })
			time.Sleep(freezeFor - crashAfter - downFor)
			m.signal(syscall.SIGCONT)
			b.note("round %d: %s goes on", round, m.name)
		}
		wait.Wait()
		time.Sleep(2 * time.Second)
	}
	b.note("streams: %d whole, %d broken, %d short and taken for whole", whole, broke, short)
	if short > 0 {
		return broken, nil
	}
	return held, nil
}
