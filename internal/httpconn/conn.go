// Package httpconn carries HTTP/1.1 exchanges to upstreams on pooled
// connections. It never repeats a request, never puts a connection back after
// anything doubtful, and says whether any byte of a request was sent.
package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of an exchange. Both wrap the cause.
var (
	// ErrNotSent means that no byte of the request reached a connection.
	ErrNotSent = errors.New("httpconn: request not sent")
	// ErrBroken means that the exchange failed after the request was sent, at
	// least in part.
	ErrBroken = errors.New("httpconn: exchange broken")
)

const (
	readBufferBytes = 4 << 10
	// userTimeout ends a connection whose peer acknowledges nothing.
	userTimeout = 2500 * time.Millisecond
	// reuseMargin is how long before the peer's idle timeout a connection is
	// no longer used, so that a request does not cross the peer's close.
	reuseMargin = 500 * time.Millisecond
	// unstatedIdle is how long a connection is kept whose peer states no idle
	// timeout: timeouts below one second are not stated.
	unstatedIdle = 150 * time.Millisecond
	// maxIdle bounds idle times that peers state.
	maxIdle = 30 * time.Second
)

// Request is one request as it goes on the wire.
type Request struct {
	Address string // IP:port
	Method  string
	Target  string // path and query, as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
}

// Response is the head of an answer. Body must be read to its end or the
// response closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn *conn
	raw  *http.Response
	pool *Pool
	stop func() bool
	done bool
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	expires time.Duration // not used for a new request from then on
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), address: address}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// quiet reports whether nothing waits to be read: a byte, an end or an error
// on an idle connection makes it unusable.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the request in one go. sent tells whether any byte of it may
// have left.
func (c *conn) send(r *Request) (sent bool, err error) {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return false, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := net.Buffers{[]byte(b.String())}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	n, err := buffers.WriteTo(c.Conn)
	return n > 0 || err == nil, err
}

// idleTimeout returns how long a connection may be kept by what its peer said
// last.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(s)*time.Second-reuseMargin, maxIdle)
		}
	}
	return unstatedIdle
}

// broken wraps the cause of a failure after sending.
func broken(err error) error { return fmt.Errorf("%w: %w", ErrBroken, err) }
