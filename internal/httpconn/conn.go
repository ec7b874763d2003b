// Package httpconn sends HTTP/1.1 requests to upstreams over pooled connections
// and reads the responses. It never retries a request. It returns a connection to
// the pool only if the exchange ended cleanly. Errors tell whether any byte of the
// request was sent.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"golang.org/x/sys/unix"
)

// Errors of an exchange. Both wrap the cause.
var (
	// ErrNotSent means that no byte of the request was written to a connection.
	ErrNotSent = errors.New("httpconn: request not sent")
	// ErrNoConnection means that no connection could be opened. It comes with ErrNotSent.
	ErrNoConnection = errors.New("httpconn: no connection")
	// ErrExchangeFailed means that the exchange failed after the request may have
	// been sent, at least in part.
	ErrExchangeFailed = errors.New("httpconn: exchange broken")
	// ErrHeadTooLarge means that the head of a response does not end within
	// maxHeadBytes or maxHeadLines, or that too many informational responses came before
	// it. It comes with ErrExchangeFailed.
	ErrHeadTooLarge = errors.New("httpconn: head of the response too large")
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, with the informational responses
	// before it. It equals the bound on the heads of callers' requests.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of the same, as each takes much more memory than its
	// bytes. A head may exceed it by the lines of one read.
	maxHeadLines = 512
	// maxInformational is the number of informational responses that may come before
	// a response.
	maxInformational = 16
	// tcpUserTimeout is the TCP_USER_TIMEOUT of connections: the kernel closes a
	// connection whose peer acknowledges no data for this long.
	tcpUserTimeout = 2500 * time.Millisecond
	// reuseMargin is subtracted from the peer's idle timeout. A connection is not
	// reused in the last part of that time, because the peer might close it while
	// a request is in transit.
	reuseMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies if the peer states no idle timeout. It is short
	// because peers do not state idle timeouts below one second.
	defaultIdleTimeout = 150 * time.Millisecond
	// maxIdleTimeout is the upper limit of idle timeouts that peers state.
	maxIdleTimeout = 30 * time.Second
)

// Request is one request as it is sent.
type Request struct {
	Address    string // IP:port
	Method     string
	RequestURI string // path and query, unchanged from the caller's request
	Host       string
	Header     http.Header
	Body       [][]byte // in parts, which are not changed
	// MaySend is asked when the connection is there, right before the request is written. If
	// it fails, nothing is sent. It may be nil.
	MaySend func() error
	// OpenedAfter is a boot time after which the connection must have been opened, 0 for any.
	// An address to which the request was sent before may send its answer once more, late. On
	// a connection that carried the request then, that answer cannot be told from the one to
	// this try, as the request's ID is the same.
	OpenedAfter time.Duration
}

// bodyBytes returns the length of the body.
func (r *Request) bodyBytes() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// Response is the status, the header and the unread body of a response. The
// caller must call Finish when it no longer reads Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Reused is whether the connection carried a request before this one, so that the
	// response may be one to that, unless it names its request.
	Reused bool

	conn         *conn
	raw          *http.Response
	pool         *Pool
	stopCtxWatch func() bool
	finished     bool
}

// Length returns the length of the body as the response states it, in bytes, -1 if it does not.
func (r *Response) Length() int64 {
	if r.Body == http.NoBody { // that of the body that another method would get
		return 0
	}
	return r.raw.ContentLength
}

// framingClose is the framing of a body that ends with its connection.
const framingClose = "close"

// Framing returns what tells the end of the body: "length", "chunked", or "close" for the end of
// the connection.
func (r *Response) Framing() string {
	switch {
	case len(r.raw.TransferEncoding) > 0:
		return "chunked"
	case r.Length() >= 0:
		return "length"
	}
	return framingClose
}

type conn struct {
	net.Conn
	pool    *Pool
	reader  *bufio.Reader // reads through Read
	address string
	opened  time.Duration // boot time
	process string        // key of the process that has said on it who it is, guarded by Pool.openMu
	used    bool          // has carried a request
	expires time.Duration // boot time from which the connection is not reused
	watch   Watch
	told    time.Time // last call of watch.OnSilence in the current silence, zero for none
	readErr error     // ends all further reading
	sending *sending  // of a long body, nil for none
	// inHead is whether a head is being read, of which headLeft more bytes may come.
	// headLines is the number of lines that have come, and head has the bytes since its beginning.
	inHead              bool
	head                []byte
	headLeft, headLines int
}

// Watch supervises the reading of a response. Its functions are called by the
// goroutine that reads.
type Watch struct {
	// Timeout returns how long the upstream may be silent until OnSilence is
	// called. Without a Timeout, or if it returns 0, reading is not supervised.
	Timeout func() time.Duration
	// Silent returns how long the upstream has made no progress, however many bytes
	// it has sent. Without it, each byte is progress.
	Silent func() time.Duration
	// Interval is the time until OnSilence is called again while the silence
	// lasts; 0 means not again.
	Interval time.Duration
	// OnSilence is told how long the upstream has been silent. If it returns an
	// error, reading fails with it; otherwise reading goes on.
	OnSilence func(silent time.Duration) error
}

// Read reads from the connection, supervised by its watch. After an error it
// returns the same error again, because the kernel reports a reset only once.
func (c *conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.watch.Timeout == nil {
		return c.readOnce(p)
	}
	began := time.Now()
	silent := c.watch.Silent
	if silent == nil {
		silent = func() time.Duration { return time.Since(began) }
	}
	for {
		n, err := c.readWithin(p, c.untilSilence(silent()))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// After a suspend the deadline may have passed although data has arrived.
		if c.quiet() {
			c.told = time.Now()
			c.readErr = c.watch.OnSilence(silent())
		}
		if c.readErr != nil {
			return 0, c.readErr
		}
	}
}

// untilSilence returns the time until OnSilence is to be called, given how long the
// upstream has been silent; 0 means never.
func (c *conn) untilSilence(silent time.Duration) time.Duration {
	timeout := c.watch.Timeout()
	switch {
	case timeout <= 0:
		return 0
	case silent < timeout:
		c.told = time.Time{}
		return timeout - silent
	case c.told.IsZero():
		return minReadWait
	case c.watch.Interval <= 0:
		return 0
	}
	return max(c.watch.Interval-time.Since(c.told), minReadWait)
}

// minReadWait is how long a read waits for data if OnSilence is due.
const minReadWait = time.Millisecond

// readWithin reads with a deadline, without one if timeout is 0.
func (c *conn) readWithin(p []byte, timeout time.Duration) (int, error) {
	if timeout <= 0 {
		return c.readOnce(p)
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	return c.readOnce(p)
}

func (c *conn) readOnce(p []byte) (int, error) {
	if c.inHead {
		if c.headLeft <= 0 || c.headLines > maxHeadLines {
			c.readErr = ErrHeadTooLarge
			return 0, c.readErr
		}
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	if c.inHead {
		c.head = append(c.head, p[:n]...)
		c.headLeft -= n
		c.headLines += bytes.Count(p[:n], []byte("\n"))
	}
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// errResetUpload means that the peer closed a connection on both sides while a request was still being sent on it.
var errResetUpload = fmt.Errorf("while the request was being sent: %w", syscall.ECONNRESET)

// endError returns why the connection has ended when a read sees its end: io.EOF if the peer closed it
// in order. While a long request is being sent, a peer that ends its answer closes its own side and reads on
// (RFC 9112, section 9.6). A reset may show in the state of the connection or in the result of the write alone, as the kernel
// reports it once.
func (c *conn) endError() error {
	if err := c.uploadError(); err != nil {
		return err
	}
	return io.EOF
}

// uploadError returns an error if the peer has reset the connection of a long request, also after it had closed its own
// side.
func (c *conn) uploadError() error {
	if c.sending == nil {
		return nil
	}
	if err := c.sending.result(); err != nil && !errors.Is(err, errSending) {
		return fmt.Errorf("%w: %w", errResetUpload, err)
	}
	if info, err := c.info(); err == nil && info.State == unix.BPF_TCP_CLOSE {
		return errResetUpload
	}
	return nil
}

// dial opens a connection to an address (IP:port).
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, pool: p, address: address, opened: boottime.Now()}
	p.track(c)
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// healthy reports whether an idle connection can be reused. It cannot if there is
// unread data, an end of file or an error on it.
func (c *conn) healthy() bool { return c.reader.Buffered() == 0 && c.readErr == nil && c.quiet() }

// quiet reports whether the connection is open and nothing can be read from it. It
// keeps an error that the kernel reports, for the next read.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil || errors.Is(peekErr, unix.EINTR) {
		return false
	}
	if errors.Is(peekErr, unix.EAGAIN) {
		return true
	}
	if peekErr != nil {
		c.readErr = os.NewSyscallError("recvfrom", peekErr)
	}
	return false
}

// send writes the request with one vectored write. sent reports whether any byte
// of it may have been sent.
func (c *conn) send(r *Request) (sent bool, err error) {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return false, err
	}
	length := r.bodyBytes()
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	buffers := append(net.Buffers{[]byte(b.String())}, r.Body...)
	n, err := buffers.WriteTo(c.Conn)
	return n > 0 || err == nil, err
}

// idleTimeout returns how long a connection may be kept idle, by the Keep-Alive
// header of the peer's last response. Zero or less means not to keep it.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(s)*time.Second-reuseMargin, maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}

// brokenError wraps the cause of a failure after sending in ErrExchangeFailed.
func brokenError(err error) error { return fmt.Errorf("%w: %w", ErrExchangeFailed, err) }
