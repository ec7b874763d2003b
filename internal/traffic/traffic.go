// Package traffic counts the bytes that connections send and receive, and the
// calls that clients make on them. It wraps connections and dialers.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of all connections of one kind at the socket, so that
// with TLS it counts the encrypted bytes. It is safe for concurrent use.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
	// Calls is the number of calls, which the clients count by Call.
	Calls atomic.Int64
}

// Call counts a call; a nil c counts nothing.
func (c *Counter) Call() {
	if c != nil {
		c.Calls.Add(1)
	}
}

// Conn returns a connection that wraps conn and counts its bytes in c.
func (c *Counter) Conn(conn net.Conn) net.Conn { return &countingConn{Conn: conn, counter: c} }

// DialFunc opens a connection, like http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function for plain connections whose bytes are counted in c.
// A nil c counts nothing.
func (c *Counter) Dial() DialFunc {
	dial := new(net.Dialer).DialContext
	if c == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	counter *Counter
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent.Add(int64(n))
	return n, err
}
