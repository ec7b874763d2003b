package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
)

// Options configures a Pool.
type Options struct {
	// DialTimeout is the time limit to open a connection.
	DialTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections to one address.
	MaxIdlePerAddress int
	// IsResponseTo reports whether a response belongs to a request, by the
	// headers of both. Responses left over from earlier exchanges are skipped. If
	// IsResponseTo is nil, all responses belong.
	IsResponseTo func(request, response http.Header) bool
	// Settle is the time within which all connections of a process close when it ends.
	// Response.ProveEnd waits for so long.
	Settle time.Duration
}

// Pool sends requests and keeps idle connections for reuse. It is safe for
// concurrent use.
type Pool struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn

	openMu sync.Mutex // taken after mu
	open   map[string]map[*conn]struct{}
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	return &Pool{opts: opts, idle: map[string][]*conn{}, open: map[string]map[*conn]struct{}{}}
}

// maxStaleResponses is the maximum number of responses to earlier requests that
// are skipped in one exchange.
const maxStaleResponses = 2

// Do sends a request and reads the status and header of the response. When ctx
// ends, the connection is closed, also while the body is read. Do fails with
// ErrNotSent or ErrExchangeFailed.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	e, err := p.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	return e.Response()
}

// Exchange is a request that was sent, at least in part, and whose response has
// not been read. The caller must call Response or Close.
type Exchange struct {
	pool         *Pool
	conn         *conn
	request      *Request
	reused       bool // see Response.Reused
	stopCtxWatch func() bool
}

// Send sends a request. When ctx ends, the connection is closed, also while the
// response is read. Send fails with ErrNotSent or ErrExchangeFailed.
func (p *Pool) Send(ctx context.Context, r *Request) (*Exchange, error) {
	c, err := p.get(ctx, r.Address, r.OpenedAfter)
	if err != nil {
		return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrNoConnection, err)
	}
	e := &Exchange{pool: p, conn: c, request: r, reused: c.used, stopCtxWatch: context.AfterFunc(ctx, func() { _ = c.Close() })}
	if ctx.Err() != nil {
		e.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			e.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.used = true
	if err = c.start(r); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Watch sets the watch for reading the response, also its body.
func (e *Exchange) Watch(w Watch) { e.conn.watch, e.conn.told = w, time.Time{} }

// Response reads the status and header of the response. It fails with
// ErrExchangeFailed.
func (e *Exchange) Response() (*Response, error) {
	resp, err := e.pool.readHead(e.conn, e.request)
	if err != nil {
		e.Close()
		return nil, err
	}
	resp.stopCtxWatch, resp.Reused = e.stopCtxWatch, e.reused
	return resp, nil
}

// Close closes the connection.
func (e *Exchange) Close() {
	e.stopCtxWatch()
	_ = e.conn.Close()
}

// sending is a request that is sent in the background. A long body is sent while the
// response is read, because an upstream may respond before it has read the whole body.
type sending struct {
	done chan struct{}
	err  error // set before done is closed
}

// maxInlineBodyBytes is the size of the largest body that is sent completely
// before the response is read.
const maxInlineBodyBytes = 16 << 10

// start sends the request, in the background if it is long.
func (c *conn) start(r *Request) error {
	c.sending = nil
	if r.bodyBytes() <= maxInlineBodyBytes {
		sent, err := c.send(r)
		if err != nil && !sent {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return brokenError(err)
		}
		return nil
	}
	s := &sending{done: make(chan struct{})}
	c.sending = s
	go func() {
		defer close(s.done)
		_, s.err = c.send(r)
	}()
	return nil
}

// readHead reads the status and header of the response and skips responses to
// earlier requests.
func (p *Pool) readHead(c *conn, r *Request) (*Response, error) {
	skipped := 0
	for {
		raw, err := c.readResponse(r.Method)
		if err != nil {
			return nil, brokenError(err)
		}
		if skipped < maxStaleResponses && p.opts.IsResponseTo != nil && !p.opts.IsResponseTo(r.Header, raw.Header) {
			skipped++
			if !skipBody(raw) {
				return nil, brokenError(errStaleResponse)
			}
			continue
		}
		if skipped > 0 || c.sending != nil && c.sending.result() != nil {
			raw.Close = true // do not reuse the connection: further stale data may arrive on it
		}
		return &Response{Status: raw.StatusCode, Header: raw.Header, Body: raw.Body, conn: c, raw: raw, pool: p}, nil
	}
}

var errStaleResponse = errors.New("response to another request")

// maxStaleBytes is the size of the largest body of a response to an earlier request that is
// skipped.
const maxStaleBytes = 64 << 10

// skipBody reads the body of a response to an earlier request and reports whether the next
// response begins after it. That is not known if this request is a HEAD, whose response has no
// body, and the earlier one was not.
func skipBody(raw *http.Response) bool {
	if raw.Close || raw.Request.Method == http.MethodHead {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(raw.Body, maxStaleBytes+1))
	return err == nil && n <= maxStaleBytes
}

// errSending means that a request is still being sent.
var errSending = errors.New("request not sent yet")

// result returns the error of sending, or errSending.
func (s *sending) result() error {
	select {
	case <-s.done:
		return s.err
	default:
		return errSending
	}
}

// errSwitched means that the upstream speaks another protocol from now on, which it was not
// asked to: what follows is no response.
var errSwitched = errors.New("upstream switched protocols")

// readResponse reads the next response and skips informational ones (1xx). It fails with
// errSwitched at a 101, and with ErrHeadTooLarge if the head does not end within its bounds.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.inHead, c.headLeft, c.headLines = true, maxHeadBytes, 0
	defer func() { c.inHead, c.head = false, nil }()
	for range maxInformational + 1 {
		resp, err := c.readOne(&http.Request{Method: method})
		if errors.Is(c.readErr, ErrHeadTooLarge) { // err may tell of the line that was cut instead
			return nil, c.readErr
		}
		if err != nil {
			return nil, shortened(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
	}
	return nil, ErrHeadTooLarge
}

// readOne reads one response, also an informational one, and checks its head.
func (c *conn) readOne(r *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head = append(c.head[:0], buffered...)
	resp, err := http.ReadResponse(c.reader, r)
	if err == nil {
		err = checkHead(resp, c.head[:len(c.head)-c.reader.Buffered()])
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// maxQuotedBytes bounds the text of an error that quotes what an upstream sent.
const maxQuotedBytes = 256

// shortened returns an error with the beginning of the text of err if that is long.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxQuotedBytes {
		return errors.New(text[:maxQuotedBytes] + "...")
	}
	return err
}

// get returns a healthy idle connection that has not expired and was opened after a time, or a
// new one.
func (p *Pool) get(ctx context.Context, address string, openedAfter time.Duration) (*conn, error) {
	now := boottime.Now()
	for {
		c := p.pop(address, openedAfter)
		if c == nil {
			break
		}
		if now < c.expires && c.healthy() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// Refuses reports whether an address refuses connections, as that of a process that has
// ended does. It opens a connection; a failure of another kind is no refusal.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// Connect opens a connection to an address and keeps it for reuse for a moment.
func (p *Pool) Connect(ctx context.Context, address string) error {
	_, err := p.connect(ctx, address)
	return err
}

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	c.expires = boottime.Now() + defaultIdleTimeout
	p.put(c)
	return c, nil
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// pop removes and returns the most recently used idle connection to an address that was
// opened after a time, nil if there is none.
func (p *Pool) pop(address string, openedAfter time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if openedAfter == 0 || c.opened > openedAfter {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// put stores an idle connection for reuse. It closes the connection if the pool
// already holds MaxIdlePerAddress connections to the address.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.opts.MaxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.expires {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
	}
}

// Finish ends an exchange. complete means that the body was read to its end
// without an error; then the connection is kept for reuse if the peer allows it.
// Otherwise it is closed. Further calls do nothing.
func (r *Response) Finish(complete bool) {
	if r.finished {
		return
	}
	r.finished = true
	r.conn.watch = Watch{}
	open := r.stopCtxWatch()
	// A late copy of the response to a HEAD states the length of a body that it does not have.
	framed := !r.Unframed() && r.raw.Request.Method != http.MethodHead
	idle := idleTimeout(r.Header)
	if !open || !complete || !framed || r.raw.Close || idle <= 0 || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = boottime.Now() + idle
	r.pool.put(r.conn)
}
