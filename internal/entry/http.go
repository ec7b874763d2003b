package entry

import (
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// readHeaderTimeout bounds how long a caller may take to send the request
// headers.
const readHeaderTimeout = 10 * time.Second

// newHTTPServer returns the HTTP server for callers. Its request timeout is off
// because it would truncate long streams; deadlines come from the documents.
func (n *Node) newHTTPServer() *khttp.Server {
	opts := []khttp.ServerOption{khttp.Address(n.settings.Listen), khttp.Timeout(0)}
	if n.callerTLS != nil {
		opts = append(opts, khttp.TLSConfig(n.callerTLS))
	}
	srv := khttp.NewServer(opts...)
	srv.HandlePrefix("/", n.server.Handler())
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.MaxHeaderBytes = http.DefaultMaxHeaderBytes / 16
	return srv
}
