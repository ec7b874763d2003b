package entry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// readHeaderTimeout bounds how long a caller may take to send the request
// headers.
const readHeaderTimeout = 10 * time.Second

const (
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = http.DefaultMaxHeaderBytes / 16
	// tlsHeadBytes is what the handshake and the records of TLS add to it.
	tlsHeadBytes = 64 << 10
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
)

// newHTTPServer returns the HTTP server for callers. Its request timeout is off
// because it would truncate long streams; deadlines come from the documents.
func (n *Node) newHTTPServer() (*khttp.Server, error) {
	lis, err := net.Listen("tcp", n.settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("entry: opening the caller listener: %w", err)
	}
	head := maxHeaderBytes
	if n.callerTLS != nil {
		head += tlsHeadBytes
	}
	guarded := n.clients.Listen(lis, clientguard.ListenerOptions{Encrypted: n.callerTLS != nil, HeadBytes: func() int { return head }})
	opts := []khttp.ServerOption{khttp.Listener(guarded), khttp.Timeout(0)}
	if n.callerTLS != nil {
		opts = append(opts, khttp.TLSConfig(n.callerTLS))
	}
	srv := khttp.NewServer(opts...)
	srv.HandlePrefix("/", n.server.Handler())
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	clientguard.Serve(srv.Server)
	return srv, nil
}
