package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server answers peers' calls.
type Server struct {
	mux   *drpcmux.Mux
	lis   net.Listener
	bytes traffic.Counter
}

// NewServer listens on address (IP:port). tlsConfig may be nil.
func NewServer(address string, tlsConfig *tls.Config) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	s := &Server{mux: drpcmux.New()}
	s.lis = &countedListener{Listener: lis, bytes: &s.bytes}
	if tlsConfig != nil {
		s.lis = tls.NewListener(s.lis, tlsConfig)
	}
	return s, nil
}

// Register adds a service, as a generated description and its implementation.
func (s *Server) Register(impl any, desc drpc.Description) error {
	if err := s.mux.Register(impl, desc); err != nil {
		return fmt.Errorf("peer: register: %w", err)
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.lis.Addr().String() }

// Traffic returns the counters of bytes sent and received.
func (s *Server) Traffic() *traffic.Counter { return &s.bytes }

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	err := drpcserver.New(s.mux).Serve(ctx, s.lis)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const keepAlivePeriod = 5 * time.Second

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *traffic.Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlivePeriod(keepAlivePeriod)
	}
	return l.bytes.Conn(conn), nil
}
