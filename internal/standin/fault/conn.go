package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// connTracker tracks the open connections of one stand-in.
type connTracker struct {
	mu       sync.Mutex
	open     map[*conn]bool
	silenced int // connections made silent so far
}

func newConnTracker() *connTracker {
	return &connTracker{open: map[*conn]bool{}}
}

// Listener returns a listener that accepts from l and whose connections s can
// make silent.
func (s *Set) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, tracker: s.conns}
}

type connKey struct{}

// ConnContext stores c in the context of its requests. It is meant for the field
// ConnContext of http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection that ConnContext stored, or nil if it
// was not accepted by a Listener of a Set.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// CloseSilent closes the silent connections. It is called when the server shuts
// down, since silent connections otherwise stay open until the peer closes them.
func (s *Set) CloseSilent() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for c := range s.conns.open {
		if c.silent.Load() {
			_ = c.Conn.Close()
		}
	}
}

// silenceAll makes all open connections except one silent permanently.
func (t *connTracker) silenceAll(except *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c != except && !c.silent.Swap(true) {
			t.silenced++
		}
	}
}

func (t *connTracker) silencedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silenced
}

func (t *connTracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[c] = true
}

func (t *connTracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

type listener struct {
	net.Listener
	tracker *connTracker
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

// conn is a connection that can be made silent: from then on it discards all
// bytes in both directions and stays open until the peer closes it.
type conn struct {
	net.Conn
	tracker *connTracker
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
