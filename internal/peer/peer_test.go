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

type echo struct {
	peerpb.DRPCSyncUnimplementedServer
}

func (echo) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return &peerpb.ExchangeReply{Knowledge: req.Knowledge}, nil
}

func request(hash uint64) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{Knowledge: &peerpb.Knowledge{Hash: hash}}
}

func serve(t *testing.T) *Server { return serveTLS(t, nil) }

func serveTLS(t *testing.T, config *tls.Config) *Server {
	s, err := NewServer("127.0.0.1:0", config)
	must.NoError(t, err)
	must.NoError(t, s.Register(echo{}, peerpb.DRPCSyncDescription{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return s
}

// silentAfter stops the reading of a connection once silent is set: what has
// been sent gets no answer, and nothing is closed.
type silentAfter struct {
	net.Conn
	silent *atomic.Bool
}

func (c *silentAfter) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func TestConnectionThatWentSilentIsNotUsedAgain(t *testing.T) {
	s := serve(t)
	var silent atomic.Bool
	var dials atomic.Int64
	c := NewClient(ClientOptions{CallTimeout: 100 * time.Millisecond, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if dials.Add(1) > 1 {
			return conn, err
		}
		return &silentAfter{Conn: conn, silent: &silent}, err
	}})
	defer c.Close()
	ctx := context.Background()
	_, err := c.Exchange(ctx, s.Address(), request(1))
	must.NoError(t, err)
	silent.Store(true)
	_, err = c.Exchange(ctx, s.Address(), request(2))
	must.ErrorIs(t, err, ErrUnreachable)
	reply, err := c.Exchange(ctx, s.Address(), request(3))
	must.NoError(t, err)
	must.Eq(t, 3, reply.Knowledge.Hash)
	must.Eq(t, 2, dials.Load())
	must.Positive(t, c.Traffic().Sent.Load())
}

// TestMutualTLS: peers with certificates of one authority reach each other, and
// one of another authority reaches nobody.
func TestMutualTLS(t *testing.T) {
	own, other := certstest.NewAuthority(t), certstest.NewAuthority(t)
	load := func(files certstest.Files) *certs.Store {
		store, err := certs.Load(certs.Files(files), slog.New(slog.DiscardHandler))
		must.NoError(t, err)
		return store
	}
	s := serveTLS(t, load(own.Issue(t, "server.pem", 2)).Server())
	exchange := func(store *certs.Store) error {
		c := NewClient(ClientOptions{TLS: store.Client})
		defer c.Close()
		_, err := c.Exchange(context.Background(), s.Address(), request(1))
		return err
	}
	must.NoError(t, exchange(load(own.Issue(t, "client.pem", 3))))
	must.ErrorIs(t, exchange(load(other.Issue(t, "stranger.pem", 4))), ErrUnreachable)
}
