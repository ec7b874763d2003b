package clientguard

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
)

const (
	// MaxHeaderFields is the greatest number of header fields of a request. A head of 16 KiB,
	// the usual limit, has no more, since the shortest field takes four bytes.
	MaxHeaderFields = 4096
	// fieldBytes is the memory of a header field besides its bytes, however short it is: its
	// entry in the map of the request and in that of the forwarded one.
	fieldBytes = 256
	// headFactor is the memory of a head relative to its bytes: the bytes are copied, and
	// the fields have a map.
	headFactor = 4
	// writeBlockBytes is how much of an answer is written at a time.
	writeBlockBytes = 64 << 10
	// blockedTime is the time for which nothing can be written after which the client counts
	// as one that does not read.
	blockedTime = 200 * time.Millisecond
	// unreadTimeout is the time for which nothing can be written after which the connection is
	// closed.
	unreadTimeout = 5 * time.Second
	// minReadRate is the rate in bytes per second at which a client has to read an answer,
	// beyond unreadTimeout.
	minReadRate = 4 << 10
	// lingerTime bounds the wait for a rejected client to read the rejection.
	lingerTime = 200 * time.Millisecond
	// lingerBytes is how much of what a rejected client still sends is read meanwhile.
	lingerBytes = 64 << 10
)

// errRefused ends the reading from a client that is rejected. It is a net.OpError so that
// net/http sends no answer of its own.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("clientguard: client rejected")}

// conn is a connection of a client. Package net/http reads from it a head while no request is
// active, and the body otherwise.
type conn struct {
	net.Conn
	listener *Listener
	client   *bodybudget.Client
	evicted  atomic.Bool
	deadline sync.Mutex // keeps the reader from replacing the deadline that evict sets
	// phase is of the current request. It decides whether the request is served or rejected
	// by evict, which knows only what the client did a moment ago.
	phase atomic.Int32

	mu        sync.Mutex
	active    bool  // the head of a request has been read
	headBytes int   // of the request whose head is being read
	fields    int   // lines of the head
	lineBytes int   // of its last line
	charged   int64 // reserved for the head
}

// The phases of a request.
const (
	phaseHead     int32 = iota // its head has not been read
	phaseServed                // the server has it
	phaseRejected              // its client was told that it has not run
)

// Read implements net.Conn. It bounds the heads of requests.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if why := c.received(p[:n]); why != reasonNone {
		c.refuse(why)
		return 0, errRefused
	}
	return n, err
}

// received counts bytes of a head and returns why they are refused.
func (c *conn) received(p []byte) reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return reasonNone
	}
	if c.headBytes == 0 {
		c.listener.guard.enter(c.client, bodybudget.StateHead)
	}
	charge, before := int64(headFactor*len(p)), c.fields
	if !c.listener.opts.Encrypted {
		p = c.countFields(p)
	}
	charge += int64(fieldBytes * (c.fields - before))
	if !c.listener.guard.reserve(c.client, charge) {
		return reasonMemory
	}
	c.charged += charge
	c.headBytes += len(p)
	if c.headBytes > c.listener.opts.HeadBytes() || c.fields > MaxHeaderFields+1 { // one is the request line
		return reasonHead
	}
	return reasonNone
}

// countFields counts the lines of a head and returns the part of p that belongs to it: what
// comes after an empty line is the body. It goes on counting in the next call, so a client that
// makes it miss an end gains at most one read.
func (c *conn) countFields(p []byte) []byte {
	for i, b := range p {
		switch b {
		case '\n':
			if c.lineBytes == 0 && c.fields > 0 {
				return p[:i+1]
			}
			c.fields, c.lineBytes = c.fields+1, 0
		case '\r':
		default:
			c.lineBytes++
		}
	}
	return p
}

// headEnded records that the head of a request has been read. It reports whether the request
// may be served: its client may have been told that it has not run.
func (c *conn) headEnded() bool {
	if !c.phase.CompareAndSwap(phaseHead, phaseServed) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	c.listener.guard.enter(c.client, bodybudget.StateServed)
	return true
}

// requestEnded records that a request has been answered. A part of the next head may be in
// net/http's buffer already, so that the next line may not be a first one.
func (c *conn) requestEnded() {
	c.phase.CompareAndSwap(phaseServed, phaseHead)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.headBytes, c.fields, c.lineBytes = false, 0, 0, 1
	c.listener.guard.release(c.client, c.charged)
	c.charged = 0
	c.listener.guard.enter(c.client, bodybudget.StateIdle)
}

// refuse tells a client that its request has not run and will not, and ends the connection.
func (c *conn) refuse(why reason) {
	c.listener.guard.reject(why, c.RemoteAddr())
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	c.evicted.Store(true)
	if !c.listener.opts.Encrypted {
		if _, err := c.Conn.Write([]byte(why.answer())); err != nil {
			return
		}
		c.linger()
	}
}

// linger reads on for a moment, since a connection that is closed with unread bytes is reset and
// the answer lost.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	buf := make([]byte, 4<<10)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if left -= n; err != nil {
			return
		}
	}
}

// evict ends a connection that has to give way. The reader of a body learns of it by an error
// and rejects the request; any other connection is closed.
func (c *conn) evict(why reason, state bodybudget.State) {
	g := c.listener.guard
	g.reject(why, c.RemoteAddr())
	switch state {
	case bodybudget.StateBody:
		c.deadline.Lock()
		c.evicted.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		c.deadline.Unlock()
	case bodybudget.StateUnread:
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // what was not read must not look complete
		}
		_ = c.Close()
	default:
		c.evicted.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Now()) // never waits
		if !c.listener.opts.Encrypted && state == bodybudget.StateHead && c.phase.CompareAndSwap(phaseHead, phaseRejected) {
			c.writeNow(why.answer())
		}
		_ = c.Close()
	}
}

// writeNow writes as much as the kernel takes at once.
func (c *conn) writeNow(text string) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.Sendto(int(fd), []byte(text), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil) // the client may be gone
		})
	}
}

// Write implements net.Conn. It fails if the client reads nothing for unreadTimeout, or too
// slowly.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := c.writeBlock(p[written:min(len(p), written+writeBlockBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *conn) writeBlock(p []byte) (int, error) {
	began := time.Now()
	_ = c.SetWriteDeadline(began.Add(blockedTime))
	n, err := c.Conn.Write(p)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.evicted.Load() {
		return n, err
	}
	g := c.listener.guard
	g.enter(c.client, bodybudget.StateUnread)
	defer g.enter(c.client, bodybudget.StateServed)
	_ = c.SetWriteDeadline(began.Add(unreadTimeout + time.Duration(len(p))*time.Second/minReadRate))
	more, err := c.writeRest(p[n:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.reject(reasonUnread, c.RemoteAddr())
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // what was not read must not look complete
		}
		_ = c.Close()
	}
	return n + more, err
}

// writeRest writes on as long as something is read within unreadTimeout.
func (c *conn) writeRest(p []byte) (int, error) {
	limit := time.Now().Add(unreadTimeout + time.Duration(len(p))*time.Second/minReadRate)
	written := 0
	for {
		next := time.Now().Add(unreadTimeout)
		if next.After(limit) {
			next = limit
		}
		_ = c.SetWriteDeadline(next)
		n, err := c.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || n == 0 || !time.Now().Before(limit) {
			return written, err
		}
	}
}

// SetReadDeadline implements net.Conn. A connection that has to give way keeps the deadline
// that ends its reading.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.evicted.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.guard.disconnect(c.client)
	return c.Conn.Close()
}
