package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host   = "desk.example"
	apiKey = "key-of-tenant-a"
)

// sent is one attempt of a client and what it got.
type sent struct {
	at, answeredAt time.Time
	attempt, order string
	key            string
	status         int // 0 if the connection ended without a complete answer
	body           string
	retryAfter     string
}

// recorder keeps what clients and servers saw.
type recorder struct {
	mu       sync.Mutex
	began    time.Time
	attempts []*sent
	arrivals []*arrival
}

func newRecorder() *recorder { return &recorder{began: time.Now()} }

func (r *recorder) arrived(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *recorder) finished(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ended = true
}

func (r *recorder) add(s *sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, s)
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is a connection to an instance that is kept for many requests.
type client struct {
	address string
	records *recorder
	key     string // empty for apiKey
	conn    net.Conn
	reader  *bufio.Reader
}

// post sends one attempt of a request that is not idempotent and reads its answer.
func (c *client) post(path, order string, deadline time.Duration) *sent {
	s := &sent{at: time.Now(), attempt: newAttemptID(), order: order}
	key := c.key
	if key == "" {
		key = apiKey
	}
	s.key = key
	defer func() {
		s.answeredAt = time.Now()
		c.records.add(s)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return s
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	body := "order=" + order
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Order: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, host, s.attempt, order, deadline.Milliseconds(), key, len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.Copy(c.conn, strings.NewReader(text)); err != nil {
		c.close()
		return s
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.close()
		return s
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return s
	}
	s.status, s.body, s.retryAfter = resp.StatusCode, string(raw), resp.Header.Get("Retry-After")
	if resp.Close {
		c.close()
	}
	return s
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
