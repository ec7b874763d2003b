package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// tracker knows the open connections of one stand-in.
type tracker struct {
	mu       sync.Mutex
	open     map[*conn]bool
	silenced int
}

func newTracker() *tracker {
	return &tracker{open: map[*conn]bool{}}
}

// Listener returns l with its connections under the set's control.
func (s *Set) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, tracker: s.conns}
}

type connKey struct{}

// ConnContext is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// CloseSilent closes the silent connections, for the end of the process.
func (s *Set) CloseSilent() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for c := range s.conns.open {
		if c.silent.Load() {
			_ = c.Conn.Close()
		}
	}
}

// silenceAll makes all open connections but one silent for good.
func (t *tracker) silenceAll(except *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c != except && !c.silent.Swap(true) {
			t.silenced++
		}
	}
}

func (t *tracker) silencedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silenced
}

func (t *tracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = true
}

func (t *tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

type listener struct {
	net.Listener
	tracker *tracker
}

func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, tracker: l.tracker}
	l.tracker.add(c)
	return c, nil
}

// conn drops all bytes of both directions once it is silent, and then stays
// open until its peer closes it.
type conn struct {
	net.Conn
	tracker *tracker
	silent  atomic.Bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	if c.silent.Load() {
		go c.drain()
		return nil
	}
	c.tracker.remove(c)
	return c.Conn.Close()
}

// drain keeps a silent connection open until the peer closes it.
func (c *conn) drain() {
	const bufferBytes = 4 << 10
	buf := make([]byte, bufferBytes)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			break
		}
	}
	c.tracker.remove(c)
	_ = c.Conn.Close()
}
