package clientguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
)

const (
	// The first block of a body has at least minBlockBytes unless its length is known, the
	// second midBlockBytes, and all others maxBlockBytes. Blocks are not copied when a body
	// grows, so that it never takes more than was reserved.
	minBlockBytes = 4 << 10
	midBlockBytes = 16 << 10
	maxBlockBytes = 64 << 10

	// MaxBodyTime is the longest time that a body may take.
	MaxBodyTime = 20 * time.Second
	// bodyGrace is the time after which a body has to have come at minBodyRate or more.
	bodyGrace = 5 * time.Second
	// minBodyRate is that rate in bytes per second.
	minBodyRate = 2 << 10
	// unreadBodyTime bounds the reading of a body that nobody wants, so that the connection
	// can be kept.
	unreadBodyTime = 500 * time.Millisecond
	// maxUnreadBytes is the size of a body up to which it is read for that.
	maxUnreadBytes = 64 << 10
)

// Errors of reading a body. The request has not run.
var (
	ErrTooLarge = errors.New("clientguard: too large")
	ErrMemory   = errors.New("clientguard: no memory left for clients")
	ErrSlow     = errors.New("clientguard: body too slow")
)

// Holding is memory that is reserved for one request.
type Holding struct {
	guard    *Guard
	client   *bodybudget.Client
	conn     *conn // nil for a request that does not come from a Listener
	attached bool
	mu       sync.Mutex
	n        int64 // bytes
}

// Hold returns a holding without memory for the request with a context.
func (g *Guard) Hold(ctx context.Context) *Holding {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && c.listener.guard == g {
		return &Holding{guard: g, client: c.client, conn: c}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Holding{guard: g, client: g.budget.Attach(g.opts.Now()), attached: true}
}

// Take reserves n bytes more and reports whether they were.
func (h *Holding) Take(n int) bool {
	if !h.guard.reserve(h.client, int64(n)) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.n += int64(n)
	return true
}

// Release returns all memory. Repeated calls do nothing.
func (h *Holding) Release() {
	h.mu.Lock()
	n := h.n
	h.n = 0
	h.mu.Unlock()
	if h.attached {
		h.guard.disconnect(h.client)
		return
	}
	h.guard.release(h.client, n)
}

// ReadBlocks reads to the end in blocks, for which memory is taken as bytes come. length is
// the expected number of bytes, negative if unknown. It fails with ErrTooLarge beyond limit,
// with ErrMemory, or with the error of reading; what was read is returned with it.
func (h *Holding) ReadBlocks(r io.Reader, length, limit int64) (blocks [][]byte, err error) {
	total := int64(0)
	for {
		size := blockBytes(len(blocks), length, total)
		if !h.Take(size) {
			return blocks, ErrMemory
		}
		block := make([]byte, 0, size)
		for len(block) < size {
			var n int
			n, err = r.Read(block[len(block):size])
			block = block[:len(block)+n]
			if total += int64(n); total > limit {
				err = ErrTooLarge
			}
			if err != nil {
				break
			}
		}
		if len(block) > 0 {
			blocks = append(blocks, block)
		}
		if errors.Is(err, io.EOF) {
			return blocks, nil
		}
		if err != nil {
			return blocks, err
		}
	}
}

// blockBytes returns the size of the next block after so many blocks and bytes.
func blockBytes(blocks int, length, total int64) int {
	size := int64(maxBlockBytes)
	switch blocks {
	case 0:
		size = minBlockBytes
	case 1:
		size = midBlockBytes
	}
	if length >= total {
		size = min(size, length-total+1) // one more to meet the end
	}
	return int(size)
}

// ReadBody reads the body of a request within limit bytes and the times and rates of this
// package, and takes memory for it. It fails with ErrTooLarge, ErrMemory, ErrSlow, or an error of
// reading; the connection is then closed after the answer.
func (h *Holding) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([][]byte, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, h.fail(w, r, ErrTooLarge)
	}
	h.guard.enter(h.client, bodybudget.StateBody)
	body := &paced{body: r.Body, control: http.NewResponseController(w), began: time.Now()}
	blocks, err := h.ReadBlocks(body, r.ContentLength, limit)
	h.guard.enter(h.client, bodybudget.StateServed)
	if err != nil {
		return nil, h.fail(w, r, err)
	}
	_ = body.control.SetReadDeadline(time.Time{})
	return blocks, nil
}

// fail ends the reading of a body with an error, which it returns.
func (h *Holding) fail(w http.ResponseWriter, r *http.Request, err error) error {
	h.Release()
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	var timeout net.Error
	why := reasonNone
	switch {
	case h.conn != nil && h.conn.evicted.Load():
		return ErrMemory // counted when it was decided
	case errors.Is(err, ErrMemory):
		why = reasonMemory
	case errors.Is(err, ErrTooLarge):
		why = reasonTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		why, err = reasonSlow, ErrSlow
	default:
		return err
	}
	h.guard.reject(why, remoteAddr(r.RemoteAddr))
	return err
}

// remoteAddr is the address of a client as text.
type remoteAddr string

// Network implements net.Addr.
func (remoteAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a remoteAddr) String() string { return string(a) }

// paced reads a body and sets the deadline by which more of it has to come.
type paced struct {
	body     io.Reader
	control  *http.ResponseController
	began    time.Time
	received int64
	deadline time.Time // that is set, zero for none
}

// deadlineStep is the least change of a deadline, so that not every read sets one.
const deadlineStep = 250 * time.Millisecond

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	allowed := max(bodyGrace, time.Duration(p.received)*time.Second/minBodyRate)
	if next := p.began.Add(min(allowed, MaxBodyTime)); next.Sub(p.deadline) >= deadlineStep {
		p.deadline = next
		_ = p.control.SetReadDeadline(next)
	}
	n, err := p.body.Read(b)
	p.received += int64(n)
	return n, err
}

// SkipBody prepares the answer to a request whose body is not read. A small body is read for a
// moment, so that the connection can be kept; otherwise the connection is closed.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxUnreadBytes {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// WithoutBody returns a handler that never reads the bodies of requests.
func WithoutBody(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SkipBody(w, r)
		inner.ServeHTTP(w, r)
	})
}
