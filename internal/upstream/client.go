// Package upstream sends attempts to upstreams over HTTP. It owns the connections
// to them, tells whether a request may have reached an upstream, and removes
// callers' credentials from requests.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// Connection settings.
const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	idleConnsPerHost = 64
	maxHeaderBytes   = 64 << 10
)

// ErrNoAnswer means that an attempt got no answer; Attempt.Sent tells whether it
// may have reached the upstream.
var ErrNoAnswer = errors.New("upstream: no answer")

// Attempt is one request to one upstream.
type Attempt struct {
	ID      string
	Method  string
	Address string // IP:port
	Path    string // with query
	Header  http.Header
	Body    []byte
	// NewConnection requests a new connection that is not reused. A pooled
	// connection may be dead, and net/http resends a request on a new connection
	// if a pooled one was closed, which must never happen to a non-idempotent
	// request.
	NewConnection bool
	// Sent is set once any byte may have reached a connection.
	Sent atomic.Bool
}

// Client holds the connections to upstreams. It is safe for concurrent use.
type Client struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	unpooled := newTransport()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: newTransport(), unpooled: unpooled}
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// Do sends an attempt and returns the answer with its body unread. If ctx ends
// before the body is read, the connection is closed and not reused. It fails
// with ErrNoAnswer.
func (c *Client) Do(ctx context.Context, a *Attempt) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.Sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNoAnswer, a.Address, err)
	}
	req.Header = a.Header
	transport := c.pooled
	if a.NewConnection {
		transport = c.unpooled
	}
	resp, err := httpconn.Checked(transport).RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNoAnswer, a.Address, err)
	}
	return resp, nil
}

// Refuses reports whether an upstream's address refuses connections, as that of a process
// that has ended does. It opens a connection; a failure of another kind is no refusal.
func (c *Client) Refuses(ctx context.Context, _ quarantine.Upstream, address string) bool {
	conn, err := c.unpooled.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// CloseIdle closes pooled connections that no request uses.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

// ErrTooLarge means that a body exceeded the limit of ReadAll.
var ErrTooLarge = errors.New("upstream: answer too large")

// ReadAll reads a whole body of at most limit bytes. It fails with ErrTooLarge if
// the body is longer.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLarge
	}
	return b, nil
}
