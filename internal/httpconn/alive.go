package httpconn

import (
	"context"
	"errors"
	"fmt"
	"syscall"

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

// Unframed reports whether the body ends with its connection.
func (r *Response) Unframed() bool { return r.Framing() == framingClose }

// ProveEnd reports why the end of a body that was read without an error may not be the one that
// was meant, nil if it is. A body with a length or chunks says so itself. One without ends with
// its connection, which the kernel closes in the same way for a process that is killed. Then it
// is the end only if the process is still there Options.Settle later: it waits so long, and opens
// a connection if the pool has no other one to the address. It fails with ErrEndUnproven.
func (r *Response) ProveEnd(ctx context.Context) error {
	if !r.Unframed() {
		return nil
	}
	if err := r.pool.staysAlive(ctx, r.conn.address); err != nil {
		return fmt.Errorf("%w: %w", ErrEndUnproven, err)
	}
	return nil
}

// staysAlive returns nil if a process that serves the address now is there Options.Settle later.
// Connections of which most are open then show it: a link that loses packets brings the close of
// some late. Upstreams may close single ones, so that one more is opened where too many have
// closed: what accepts it is not the process of before if that was replaced within the time.
func (p *Pool) staysAlive(ctx context.Context, address string) error {
	witnesses := p.established(address)
	if len(witnesses) == 0 {
		c, err := p.connect(ctx, address)
		if err != nil {
			return err
		}
		witnesses = append(witnesses, c)
	}
	if p.opts.Settle > 0 && !wait.Sleep(ctx, p.opts.Settle) {
		return ctx.Err()
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
	if _, err := p.connect(ctx, address); err != nil {
		return fmt.Errorf("%w: %w", errClosed, err)
	}
	return nil
}

// established returns some connections to an address that the peer has not closed.
func (p *Pool) established(address string) []*conn {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	var out []*conn
	for c := range p.open[address] {
		if len(out) < maxWitnesses && c.established() {
			out = append(out, c)
		}
	}
	return out
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
