// Package peer provides the client and server for calls between entry instances
// over drpc. It owns the connection pool, the timeout of every call and the
// listener. The calls themselves are implemented by the packages that register
// their services with a Server.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// DefaultCallTimeout is the default of ClientOptions.CallTimeout. idleTimeout and
// connsPerPeer are the limits of the connection pool.
const (
	DefaultCallTimeout = time.Second
	idleTimeout        = 30 * time.Second
	connsPerPeer       = 4
)

// ErrUnreachable means that a call got no complete answer within its timeout.
// The call may have run.
var ErrUnreachable = errors.New("peer: unreachable")

// DialFunc opens a connection to a peer's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Caller calls peers; Client implements it.
type Caller interface {
	// Call runs one call with the call timeout. It fails with ErrUnreachable.
	Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error
}

// ClientOptions are the settings of a Client; zero fields mean the defaults.
type ClientOptions struct {
	CallTimeout  time.Duration
	ConnsPerPeer int                // idle connections kept for a peer
	TLS          func() *tls.Config // nil for plain connections
	Dial         DialFunc
}

// Client calls peers by address. It is safe for concurrent use.
type Client struct {
	opts    ClientOptions
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	traffic traffic.Counter
}

// NewClient returns a client without open connections.
func NewClient(opts ClientOptions) *Client {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.ConnsPerPeer == 0 {
		opts.ConnsPerPeer = connsPerPeer
	}
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: opts.ConnsPerPeer})
	return &Client{opts: opts, pool: pool}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// Traffic returns the counters of bytes and of calls started.
func (c *Client) Traffic() *traffic.Counter { return &c.traffic }

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call runs one call on a pooled connection with the call timeout. A connection
// whose call timed out is closed by drpc and not reused. It fails with
// ErrUnreachable.
func (c *Client) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	c.traffic.Call()
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	conn := c.pool.Get(ctx, address, c.dial)
	defer conn.Close()
	if err := call(ctx, conn); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	netConn, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	netConn = c.traffic.Conn(netConn)
	if c.opts.TLS != nil {
		netConn = tls.Client(netConn, c.opts.TLS())
	}
	return drpcconn.New(netConn), nil
}

// Exchange compares documents and instances with a peer.
func (c *Client) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (reply *peerpb.ExchangeReply, err error) {
	err = c.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = peerpb.NewDRPCSyncClient(conn).Exchange(ctx, req)
		return err
	})
	return reply, err
}
