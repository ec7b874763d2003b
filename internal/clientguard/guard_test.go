package clientguard

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/shoenig/test/must"
)

type countedMetrics struct {
	mu     sync.Mutex
	counts map[string]int
}

func (m *countedMetrics) Count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name]++
}

func (m *countedMetrics) SetGauge(string, float64) {}

// server is an HTTP server behind a guard.
type server struct {
	t       *testing.T
	guard   *Guard
	metrics *countedMetrics
	log     *bytes.Buffer
	address string
}

func newServer(t *testing.T, memoryMB, connections int, h http.HandlerFunc) *server {
	s := &server{t: t, metrics: &countedMetrics{counts: map[string]int{}}, log: &bytes.Buffer{}}
	s.guard = New(Options{MemoryMB: memoryMB, Now: boottime.Now, Log: slog.New(slog.NewTextHandler(s.log, nil)), Metrics: s.metrics})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = lis.Addr().String()
	srv := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0)}
	Serve(srv)
	guarded := s.guard.Listen(lis, ListenerOptions{MaxConnections: connections, HeadBytes: func() int { return 24 << 10 }})
	go func() { _ = srv.Serve(guarded) }() // ends with the test
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// echo answers with the length of the body, or the error of reading it.
func (s *server) echo(w http.ResponseWriter, r *http.Request) {
	held := s.guard.Hold(r.Context())
	defer held.Release()
	body, err := held.ReadBody(w, r, 4<<20)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, err.Error()) // the client may be gone
		return
	}
	n := 0
	for _, part := range body {
		n += len(part)
	}
	fmt.Fprint(w, n)
}

func newEcho(t *testing.T, memoryMB, connections int) *server {
	var s *server
	s = newServer(t, memoryMB, connections, func(w http.ResponseWriter, r *http.Request) { s.echo(w, r) })
	return s
}

func (s *server) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(s.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn
}

// exchange sends text and returns the status and the body of the answer.
func (s *server) exchange(conn net.Conn, text string) (int, string) {
	go func() { _, _ = io.WriteString(conn, text) }() // fails if the request is rejected early
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(s.t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(s.t, err)
	return resp.StatusCode, string(body)
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

func TestBodiesAreReadWhole(t *testing.T) {
	s := newEcho(t, 144, 10)
	conn := s.dial()
	for _, n := range []int{0, 1, 4095, 4096, 4097, 20 << 10, 100_000, 4 << 20} {
		status, body := s.exchange(conn, post(n)+strings.Repeat("x", n))
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprint(n), body)
	}
	chunk := strings.Repeat("x", 4<<10)
	status, body := s.exchange(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1000\r\n"+chunk+"\r\n", 300)+"0\r\n\r\n")
	must.Eq(t, 200, status)
	must.Eq(t, fmt.Sprint(300*len(chunk)), body)
	s.eventuallyUnused()
}

// eventuallyUnused waits until no memory is reserved.
func (s *server) eventuallyUnused() {
	for end := time.Now().Add(10 * time.Second); s.guard.Used() > 0; time.Sleep(time.Millisecond) {
		must.True(s.t, time.Now().Before(end), must.Sprint("memory is still reserved"))
	}
}

// A body over the limit is rejected, also when its length is not announced, and frees its memory.
func TestBodyOverTheLimit(t *testing.T) {
	s := newEcho(t, 144, 10)
	status, _ := s.exchange(s.dial(), post(5<<20))
	must.Eq(t, 503, status)
	status, _ = s.exchange(s.dial(), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n500000\r\n"+strings.Repeat("x", 5<<20))
	must.Eq(t, 503, status)
	s.eventuallyUnused()
}

// A head with more fields or bytes than allowed is rejected before net/http has taken it in.
func TestHeads(t *testing.T) {
	s := newEcho(t, 144, 10)
	fields := func(n, size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:"+strings.Repeat("b", size)+"\r\n", n) + "\r\n"
	}
	for _, c := range []struct {
		head   string
		status int
	}{{fields(MaxHeaderFields-1, 0), 200}, {fields(1, 16<<10), 200}, {fields(MaxHeaderFields, 0), 431}, {fields(3, 10<<10), 431}} {
		status, _ := s.exchange(s.dial(), c.head)
		must.Eq(t, c.status, status)
	}
	// The lines of bodies and of earlier heads do not count.
	conn := s.dial()
	for range 3 {
		status, _ := s.exchange(conn, post(4000)+strings.Repeat("\n", 4000))
		must.Eq(t, 200, status)
		status, _ = s.exchange(conn, fields(200, 1))
		must.Eq(t, 200, status)
	}
	s.guard.logReport()
	must.StrContains(t, s.log.String(), "head=2")
	must.StrContains(t, s.log.String(), "127.0.0.1=2")
}

// A client that stops short of the end of its body must not keep its memory when others need it,
// and learns that its request has not run.
func TestStalledBodyIsRejected(t *testing.T) {
	s := newEcho(t, 64, 100) // 12 MB for large bodies
	stalled := make(chan int, 3)
	for range 3 {
		conn := s.dial()
		go func() {
			_, _ = io.WriteString(conn, post(4<<20)+strings.Repeat("x", 4<<20-70<<10))
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil { // the others wait until the test ends
				stalled <- resp.StatusCode
			}
		}()
	}
	for s.guard.Used() < 11<<20 {
		time.Sleep(time.Millisecond)
	}
	status, body := s.exchange(s.dial(), post(4<<20)+strings.Repeat("x", 4<<20))
	must.Eq(t, 200, status)
	must.Eq(t, fmt.Sprint(4<<20), body)
	must.Eq(t, 503, <-stalled)
}

// When all connections are taken by clients that send nothing, a new client must be served.
func TestSilentConnectionsGiveWay(t *testing.T) {
	s := newEcho(t, 144, 5)
	var silent []net.Conn
	for range 5 {
		silent = append(silent, s.dial())
	}
	status, _ := s.exchange(s.dial(), post(1)+"x")
	must.Eq(t, 200, status)
	_, err := silent[0].Read(make([]byte, 1))
	must.Error(t, err)
}

// An answer that its client does not read must end the connection, and must not look complete.
func TestUnreadAnswer(t *testing.T) {
	failed := make(chan error, 1)
	s := newServer(t, 144, 10, func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 64<<10)
		var err error
		for err == nil {
			_, err = w.Write(block)
		}
		failed <- err
		panic(http.ErrAbortHandler)
	})
	conn := s.dial()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	must.Error(t, <-failed)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	must.Error(t, err)
	must.Eq(t, 1, s.metrics.counts["clients_rejected_unread"])
}

// A client that has to give way just when its request begins to be served must not be told that
// it has not run, and one that was told so must not be served (REFUSED).
func TestClientThatGivesWayIsEitherServedOrRejected(t *testing.T) {
	for _, evictedFirst := range []bool{false, true} {
		served := make(chan *conn, 1)
		s := newServer(t, 144, 10, func(w http.ResponseWriter, r *http.Request) {
			served <- r.Context().Value(connKey{}).(*conn)
			<-r.Context().Done()
		})
		client := s.dial()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n")
		must.NoError(t, err)
		finish := func() { _, _ = io.WriteString(client, "\r\n") }
		if evictedFirst {
			// The reader has the whole head, and the server is about to get it.
			var c *conn
			for c == nil {
				s.guard.mu.Lock()
				for _, other := range s.guard.conns {
					c = other
				}
				s.guard.mu.Unlock()
			}
			must.True(t, c.phase.CompareAndSwap(phaseHead, phaseRejected))
			finish()
		} else {
			finish()
			(<-served).evict(reasonMemory, bodybudget.StateHead)
		}
		answer, _ := io.ReadAll(client) // the connection may be reset
		must.Eq(t, "", string(answer))
		must.Eq(t, 0, len(served))
	}
}
