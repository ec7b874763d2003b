package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
)

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdlePerAddress bounds the idle connections to one upstream.
	IdlePerAddress int
	// Own reports whether an answer belongs to the exchange, by its header
	// and the request's: one left over from an earlier exchange is skipped.
	Own func(request, answer http.Header) bool
}

// Pool holds the idle connections. It is safe for concurrent use.
type Pool struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a pool without connections.
func New(opts Options) *Pool { return &Pool{opts: opts, idle: map[string][]*conn{}} }

// maxForeign is how many answers to earlier exchanges are skipped before one
// exchange.
const maxForeign = 2

// Do sends a request and reads the head of its answer. When ctx ends, the
// connection is closed, also while the body is read. It fails with ErrNotSent
// or ErrBroken.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx, r.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		stop()
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	resp, err := p.exchange(c, r)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

// writeResult is the outcome of sending, which may go on while the answer is
// read: an upstream may answer before it has read a long body.
type writeResult struct {
	sent bool
	err  error
}

// inlineBody is the largest body that is sent before the answer is read.
const inlineBody = 16 << 10

func (p *Pool) exchange(c *conn, r *Request) (*Response, error) {
	if len(r.Body) <= inlineBody {
		sent, err := c.send(r)
		if err != nil && !sent {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err != nil {
			return nil, broken(err)
		}
		return p.readHead(c, r, nil)
	}
	wrote := make(chan writeResult, 1)
	go func() {
		sent, err := c.send(r)
		wrote <- writeResult{sent, err}
	}()
	return p.readHead(c, r, wrote)
}

// readHead reads the head of the answer, past those of earlier exchanges.
func (p *Pool) readHead(c *conn, r *Request, wrote <-chan writeResult) (*Response, error) {
	skipped := 0
	for {
		raw, err := readResponse(c.reader, r.Method)
		if err != nil {
			return nil, broken(err)
		}
		if skipped < maxForeign && p.opts.Own != nil && !p.opts.Own(r.Header, raw.Header) {
			skipped++
			if _, err := io.Copy(io.Discard, io.LimitReader(raw.Body, readBufferBytes*16)); err != nil || raw.Close {
				return nil, broken(errForeign)
			}
			continue
		}
		if skipped > 0 || !finished(wrote) {
			raw.Close = true // whatever else may come on this connection is not wanted
		}
		return &Response{Status: raw.StatusCode, Header: raw.Header, Body: raw.Body, conn: c, raw: raw, pool: p}, nil
	}
}

var errForeign = errors.New("answer to another request")

func finished(wrote <-chan writeResult) bool {
	if wrote == nil {
		return true
	}
	select {
	case res := <-wrote:
		return res.err == nil
	default:
		return false
	}
}

// readResponse skips informational answers.
func readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}

// take returns an idle connection that is quiet, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	now := boottime.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now < c.expires && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for later.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.opts.IdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
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
		clear(list[len(kept):])
		p.idle[address] = kept
	}
}

// Finish ends an exchange. With whole, the body was read to its end without an
// error, and the connection is kept if the peer allows it.
func (r *Response) Finish(whole bool) {
	if r.done {
		return
	}
	r.done = true
	alive := r.stop()
	framed := r.raw.ContentLength >= 0 || len(r.raw.TransferEncoding) > 0
	idle := idleTimeout(r.Header)
	if !alive || !whole || !framed || r.raw.Close || idle <= 0 || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.expires = boottime.Now() + idle
	r.pool.put(r.conn)
}
