package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/certs"
	"github.com/eelgrassbay/eelgrassbay/internal/certs/certstest"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/shoenig/test/must"
)

type echoServer struct {
	peerpb.DRPCSyncUnimplementedServer
}

func (echoServer) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Knowledge: req.Knowledge}, nil
}

func newRequest(hash uint64) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{Knowledge: &peerpb.Knowledge{Hash: hash}}
}

func startServer(t *testing.T) *Server { return startTLSServer(t, nil) }

func startTLSServer(t *testing.T, config *tls.Config) *Server {
	s, err := NewServer("127.0.0.1:0", config)
	must.NoError(t, err)
	must.NoError(t, s.Register(echoServer{}, peerpb.DRPCSyncDescription{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return s
}

// discardingConn discards writes once discard is set, so that calls get no answer
// although the connection stays open.
type discardingConn struct {
	net.Conn
	discard *atomic.Bool
}

func (c *discardingConn) Write(b []byte) (int, error) {
	if c.discard.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestTimedOutConnectionIsNotReused checks that a call after a timeout uses a new
// connection, because the old one may be dead without having been closed.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	s := startServer(t)
	var discard atomic.Bool
	var dials atomic.Int64
	c := NewClient(ClientOptions{CallTimeout: 100 * time.Millisecond, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if dials.Add(1) > 1 {
			return conn, err
		}
		return &discardingConn{Conn: conn, discard: &discard}, err
	}})
	defer c.Close()
	ctx := context.Background()
	_, err := c.Exchange(ctx, s.Address(), newRequest(1))
	must.NoError(t, err)
	discard.Store(true)
	_, err = c.Exchange(ctx, s.Address(), newRequest(2))
	must.ErrorIs(t, err, ErrUnreachable)
	reply, err := c.Exchange(ctx, s.Address(), newRequest(3))
	must.NoError(t, err)
	must.Eq(t, 3, reply.Knowledge.Hash)
	must.Eq(t, 2, dials.Load())
	must.Positive(t, c.Traffic().Sent.Load())
}

// TestMutualTLS checks that peers with certificates of the same authority reach
// each other, and that a peer with a certificate of another authority does not.
func TestMutualTLS(t *testing.T) {
	own, other := certstest.NewAuthority(t), certstest.NewAuthority(t)
	load := func(files certstest.Files) *certs.Store {
		store, err := certs.Load(certs.Files(files), slog.New(slog.DiscardHandler))
		must.NoError(t, err)
		return store
	}
	s := startTLSServer(t, load(own.Issue(t, "server.pem", 2)).ServerConfig())
	exchange := func(store *certs.Store) error {
		c := NewClient(ClientOptions{TLS: store.ClientConfig})
		defer c.Close()
		_, err := c.Exchange(context.Background(), s.Address(), newRequest(1))
		return err
	}
	must.NoError(t, exchange(load(own.Issue(t, "client.pem", 3))))
	must.ErrorIs(t, exchange(load(other.Issue(t, "stranger.pem", 4))), ErrUnreachable)
}

// failingServer panics on the message with hash 1.
type failingServer struct{ echoServer }

func (s failingServer) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if req.Knowledge.GetHash() == 1 {
		panic("malformed")
	}
	return s.echoServer.Exchange(ctx, req)
}

// A call whose handling panics fails alone.
func TestPanicFailsOneCall(t *testing.T) {
	s, err := NewServer("127.0.0.1:0", nil)
	must.NoError(t, err)
	must.NoError(t, s.Register(failingServer{}, peerpb.DRPCSyncDescription{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	c := NewClient(ClientOptions{})
	_, err = c.Exchange(ctx, s.Address(), newRequest(1))
	must.ErrorContains(t, err, "panic")
	_, err = c.Exchange(ctx, s.Address(), newRequest(2))
	must.NoError(t, err)
	cancel()
	must.NoError(t, <-done)
}

// A server whose listener failed serves again at the same address.
func TestServerListensAgain(t *testing.T) {
	s, err := NewServer("127.0.0.1:0", nil)
	must.NoError(t, err)
	must.NoError(t, s.Register(echoServer{}, peerpb.DRPCSyncDescription{}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	c := NewClient(ClientOptions{})
	_, err = c.Exchange(ctx, s.Address(), newRequest(2))
	must.NoError(t, err)
	must.NoError(t, s.listener.Close())
	must.Error(t, <-done)
	go func() { done <- s.Serve(ctx) }()
	for {
		if _, err = c.Exchange(ctx, s.Address(), newRequest(2)); err == nil {
			break
		}
		must.ErrorIs(t, err, ErrUnreachable)
	}
	cancel()
	must.NoError(t, <-done)
}
