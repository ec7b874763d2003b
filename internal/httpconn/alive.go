package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"golang.org/x/sys/unix"
)

// ErrEndUnproven means that a body ended with its connection, and that the process that sent it
// is not shown to be there any more. It wraps the cause.
var ErrEndUnproven = errors.New("httpconn: end of a body not proven")

// errClosed means that the connections to a process closed while it was watched.
var errClosed = errors.New("connections closed")

// maxWitnesses is the number of connections that are watched for the end of a process.
const maxWitnesses = 8

// maxIdentityBytes bounds the body in which a process says who it is.
const maxIdentityBytes = 1 << 20

// identityTimeout is the time within which a process has to say who it is.
const identityTimeout = time.Second

// Process tells the process that sent a response from others that may serve its address later.
type Process struct {
	// Key is unique for the process. It is empty if that is not known.
	Key string
	// Ask asks whoever serves the address who it is, which is set in it. It may be sent twice.
	Ask *Request
	// Check returns an error if the response to Ask is that of another process. body is nil if its end is not
	// marked.
	Check func(status int, h http.Header, body []byte) error
}

// Unframed reports whether the body ends with its connection.
func (r *Response) Unframed() bool { return r.Framing() == framingClose }

// ProveEnd reports why the end of a body that was read without an error may not be the one that
// was meant, nil if it is. A body with a length or chunks says so itself. One without ends with
// its connection, which the kernel closes in the same way for a process that is killed. Then it
// is the end only if the process that sent it is still there Options.Settle later, for which it waits: whoever
// accepts connections at the address may be the next one. It fails with ErrEndUnproven.
func (r *Response) ProveEnd(ctx context.Context, sender Process) error {
	if !r.Unframed() {
		return nil
	}
	if err := r.pool.staysAlive(ctx, r.conn, sender); err != nil {
		return fmt.Errorf("%w: %w", ErrEndUnproven, err)
	}
	return nil
}

// staysAlive returns nil if the process at the other end of a connection that has ended is there Options.Settle
// later. Connections to it of which most are open show it: a link that loses packets brings the close of
// some late. Otherwise it has to answer, as upstreams may close single connections, and others may have its address.
func (p *Pool) staysAlive(ctx context.Context, ended *conn, sender Process) error {
	witnesses := p.witnesses(ended, sender.Key)
	if len(witnesses) == 0 { // opened now, as it may be refused
		if _, err := p.connect(ctx, ended.address); err != nil {
			return err
		}
	}
	if p.opts.Settle > 0 && !wait.Sleep(ctx, p.opts.Settle) {
		return ctx.Err()
	}
	if err := ended.uploadError(); err != nil { // the reset may come after the end
		return err
	}
	open, closed := 0, 0
	for _, c := range witnesses {
		switch established, err := c.state(); {
		case err != nil: // closed on this side
		case established:
			open++
		default:
			closed++
		}
	}
	if open > closed {
		return nil
	}
	if err := p.identify(ctx, ended.address, sender); err != nil {
		return fmt.Errorf("%w: %w", errClosed, err)
	}
	return nil
}

// witnesses returns some connections to the process at the other end of one that has ended, which the peer has not
// closed: those that were there before it was opened, and those on which the process has said who it is.
func (p *Pool) witnesses(ended *conn, key string) []*conn {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	var out []*conn
	for c := range p.open[ended.address] {
		if (c.opened < ended.opened || key != "" && c.process == key) && len(out) < maxWitnesses && c.established() {
			out = append(out, c)
		}
	}
	return out
}

// identify asks whoever serves an address who it is, and returns nil if it is the process. A connection that is kept
// may be closed while the request is on its way: then a new one is asked.
func (p *Pool) identify(ctx context.Context, address string, process Process) error {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	ask := *process.Ask
	ask.Address = address
	reused, err := p.identifyOnce(ctx, process, &ask)
	if err != nil && reused {
		ask.OpenedAfter = boottime.Now()
		_, err = p.identifyOnce(ctx, process, &ask)
	}
	return err
}

// identifyOnce is identify over one connection. It reports whether that had carried a request before.
func (p *Pool) identifyOnce(ctx context.Context, process Process, ask *Request) (reused bool, err error) {
	e, err := p.Send(ctx, ask)
	if err != nil {
		return errors.Is(err, ErrExchangeFailed), err
	}
	resp, err := e.Response()
	if err != nil {
		return e.reused, err
	}
	defer func() { resp.Finish(err == nil) }()
	var body []byte
	if !resp.Unframed() {
		if body, err = io.ReadAll(io.LimitReader(resp.Body, maxIdentityBytes)); err != nil {
			return resp.Reused, err
		}
	}
	if err := process.Check(resp.Status, resp.Header, body); err != nil {
		return false, err
	}
	p.openMu.Lock()
	defer p.openMu.Unlock()
	resp.conn.process = process.Key
	return false, nil
}

// established reports whether neither side has closed the connection.
func (c *conn) established() bool {
	open, err := c.state()
	return err == nil && open
}

// state reports whether the peer has not closed the connection. It fails once this side has. Unlike
// a read it takes no error from the kernel, so that it may be called while another goroutine reads.
func (c *conn) state() (open bool, err error) {
	info, err := c.info()
	return err == nil && info.State == unix.BPF_TCP_ESTABLISHED, err
}

// info returns the kernel's state of the connection.
func (c *conn) info() (*unix.TCPInfo, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, infoErr)
}

// track counts a connection as open until it is closed.
func (p *Pool) track(c *conn) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	if p.open[c.address] == nil {
		p.open[c.address] = map[*conn]struct{}{}
	}
	p.open[c.address][c] = struct{}{}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.pool.forget(c)
	return c.Conn.Close()
}

func (p *Pool) forget(c *conn) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
}
