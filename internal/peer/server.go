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
	mux      *drpcmux.Mux
	listener net.Listener
	traffic  traffic.Counter
}

// NewServer listens on address (IP:port). tlsConfig may be nil.
func NewServer(address string, tlsConfig *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	s := &Server{mux: drpcmux.New()}
	s.listener = &countingListener{Listener: listener, traffic: &s.traffic}
	if tlsConfig != nil {
		s.listener = tls.NewListener(s.listener, tlsConfig)
	}
	return s, nil
}

// Register adds a service, given its implementation and generated description.
func (s *Server) Register(impl any, desc drpc.Description) error {
	if err := s.mux.Register(impl, desc); err != nil {
		return fmt.Errorf("peer: registering a service: %w", err)
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Traffic returns the counters of bytes sent and received.
func (s *Server) Traffic() *traffic.Counter { return &s.traffic }

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	err := drpcserver.New(s.mux).Serve(ctx, s.listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const keepAlivePeriod = 5 * time.Second

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic.Counter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlivePeriod(keepAlivePeriod)
	}
	return l.traffic.Conn(conn), nil
}
