// Package traffic counts the bytes of connections and the calls on them.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of all connections of one sort, as they pass the
// socket: with TLS, in their encrypted form. It is safe for concurrent use.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
	// Calls is counted by the clients that make them.
	Calls atomic.Int64
}

// Call counts a call; a nil c counts nothing.
func (c *Counter) Call() {
	if c != nil {
		c.Calls.Add(1)
	}
}

// Conn returns conn with its bytes counted by c.
func (c *Counter) Conn(conn net.Conn) net.Conn { return &counted{Conn: conn, counter: c} }

// DialFunc opens a connection, as http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dialer of plain connections counted by c. A nil c counts
// nothing.
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

type counted struct {
	net.Conn
	counter *Counter
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent.Add(int64(n))
	return n, err
}
