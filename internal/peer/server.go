package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/supervise"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server answers peers' calls.
type Server struct {
	mux       *drpcmux.Mux
	tlsConfig *tls.Config // nil for plain connections
	address   string
	listener  net.Listener // nil after Serve has failed
	traffic   traffic.Counter
	// http answers HTTP/1.1 requests on the same listener; nil for none.
	http http.Handler
}

// HandleHTTP sets what answers HTTP/1.1 requests on the listener. It must be called before
// Serve.
func (s *Server) HandleHTTP(h http.Handler) { s.http = h }

// NewServer listens on address (IP:port). tlsConfig may be nil.
func NewServer(address string, tlsConfig *tls.Config) (*Server, error) {
	s := &Server{mux: drpcmux.New(), tlsConfig: tlsConfig, address: address}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	return s, nil
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("peer: listening on %s: %w", s.address, err)
	}
	s.listener = &countingListener{Listener: listener, traffic: &s.traffic}
	if s.tlsConfig != nil {
		s.listener = tls.NewListener(s.listener, s.tlsConfig)
	}
	return nil
}

// Register adds a service, given its implementation and generated description.
func (s *Server) Register(impl any, desc drpc.Description) error {
	if err := s.mux.Register(impl, desc); err != nil {
		return fmt.Errorf("peer: registering a service: %w", err)
	}
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

// Traffic returns the counters of bytes sent and received.
func (s *Server) Traffic() *traffic.Counter { return &s.traffic }

// Serve answers calls until ctx ends or the listener fails. It may then be called
// again, and opens the listener anew.
func (s *Server) Serve(ctx context.Context) error {
	if s.listener == nil {
		if err := s.listen(); err != nil {
			return err
		}
	}
	err := s.serveListener(ctx, s.listener) // closes the listener
	s.listener = nil
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) serveListener(ctx context.Context, l net.Listener) error {
	calls := drpcserver.New(recoveringHandler{s.mux})
	if s.http == nil {
		return calls.Serve(ctx, l)
	}
	split := newSplitListener(l)
	httpServer := &http.Server{Handler: s.http, ReadHeaderTimeout: sniffTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = httpServer.Serve(split.http) }() // ends with the listener
	defer httpServer.Close()
	go split.run()
	return calls.Serve(ctx, split.calls)
}

// recoveringHandler turns a panic in the handling of one call into the failure of
// that call.
type recoveringHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return supervise.Recover(func() error { return h.Handler.HandleRPC(stream, rpc) })
}

// maxHeaderBytes bounds the header of a peer's request, which has that of a caller's in it.
const maxHeaderBytes = 64 << 10

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
