// Package clientguard protects a process from its clients: it carries out the decisions of
// package bodybudget on HTTP servers. A Guard holds the memory budget of the process,
// its Listeners bound the number of connections, the heads of requests and the time for which
// an answer may be unread, and ReadBody reads the bodies of requests within the budget.
package clientguard

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
)

const (
	// budgetDivisor is the inverse of the part of the process's memory that clients may take.
	// The runtime keeps about as much again in memory that is not collected yet, and 144 MB
	// have to hold 35 MB of the process itself and the connections besides.
	budgetDivisor = 4
	// defaultMemoryMB is assumed if the memory has no limit.
	defaultMemoryMB = 536
	// connectionBytes is what one connection takes in buffers and stacks: 37 KB were
	// measured for a client that sends slowly.
	connectionBytes = 40 << 10
	// connectionDivisor is the inverse of the part of the memory for connections of callers.
	connectionDivisor = 4
	// descriptorDivisor is the inverse of the part of the descriptors for connections of
	// callers. Upstreams, peers and the store need the others.
	descriptorDivisor = 2
	// minConnections is the least bound on the connections of callers.
	minConnections = 64
)

// Metrics counts rejected clients.
type Metrics interface {
	Count(name string)
	SetGauge(name string, value float64)
}

// Options configure a Guard.
type Options struct {
	MemoryMB int                  // of the process, 0 for no limit
	Now      func() time.Duration // monotonic
	Log      *slog.Logger
	Metrics  Metrics
}

// Guard is the budget of one process. It is safe for concurrent use.
type Guard struct {
	opts           Options
	maxConnections int
	mu             sync.Mutex
	budget         *bodybudget.Budget
	conns          map[*bodybudget.Client]*conn
	report         report
}

// New returns a guard without clients.
func New(opts Options) *Guard {
	memory := int64(opts.MemoryMB) << 20
	if memory == 0 {
		memory = defaultMemoryMB << 20
	}
	connections := int(memory / connectionDivisor / connectionBytes)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		connections = int(min(uint64(connections), files.Cur/descriptorDivisor))
	}
	return &Guard{
		opts: opts, maxConnections: max(connections, minConnections),
		budget: bodybudget.New(memory / budgetDivisor), conns: map[*bodybudget.Client]*conn{}, report: newReport(),
	}
}

// Used returns the memory that is reserved, in bytes.
func (g *Guard) Used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used()
}

// Limit returns the size of the budget in bytes.
func (g *Guard) Limit() int64 { return g.budget.Limit() }

// MaxConnections returns the greatest number of connections of callers.
func (g *Guard) MaxConnections() int { return g.maxConnections }

// Serve prepares an HTTP server for the connections of a Listener. It must be called before
// the server serves.
func Serve(srv *http.Server) {
	srv.ConnState = connState
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded := guardedConn(c); guarded != nil {
			return context.WithValue(ctx, connKey{}, guarded)
		}
		return ctx
	}
}

type connKey struct{}

// guardedConn returns the connection of a Listener below c, nil if there is none.
func guardedConn(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }: // a TLS connection
			c = inner.NetConn()
		default:
			return nil
		}
	}
}

func connState(c net.Conn, s http.ConnState) {
	guarded := guardedConn(c)
	if guarded == nil {
		return
	}
	switch s {
	case http.StateActive:
		if !guarded.headEnded() {
			panic(http.ErrAbortHandler) // ends the connection before the handler is called
		}
	case http.StateIdle:
		guarded.requestEnded()
	}
}

// reserve takes n bytes for a client and closes those that have to give way to it. It waits
// while memory may become free, and the client is not being read from meanwhile.
func (g *Guard) reserve(c *bodybudget.Client, n int64) bool {
	for {
		switch g.tryReserve(c, n) {
		case bodybudget.Reserved:
			return true
		case bodybudget.Refused:
			return false
		}
		time.Sleep(reserveInterval)
	}
}

// reserveInterval is the time between two attempts to reserve memory.
const reserveInterval = 50 * time.Millisecond

func (g *Guard) tryReserve(c *bodybudget.Client, n int64) bodybudget.Verdict {
	g.mu.Lock()
	evicted, v := g.budget.Reserve(g.opts.Now(), c, n)
	victims := g.take(evicted)
	g.mu.Unlock()
	for _, e := range victims {
		e.conn.evict(reasonMemory, e.state)
	}
	return v
}

// EvictUnread closes the connection of the client that has not read for longest what is being
// sent to it. It reports whether there was one.
func (g *Guard) EvictUnread() bool {
	g.mu.Lock()
	victims := g.take([]*bodybudget.Client{g.budget.EvictUnread()})
	g.mu.Unlock()
	for _, e := range victims {
		e.conn.evict(reasonUnread, e.state)
	}
	return len(victims) > 0
}

// victim is a connection that has to give way, with what its client was doing.
type victim struct {
	conn  *conn
	state bodybudget.State
}

// take removes the connections of clients that the budget has removed. g.mu must be held.
func (g *Guard) take(clients []*bodybudget.Client) []victim {
	var out []victim
	for _, c := range clients {
		if e := g.conns[c]; e != nil {
			delete(g.conns, c)
			out = append(out, victim{e, c.State()})
		}
	}
	return out
}

func (g *Guard) release(c *bodybudget.Client, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(c, n)
}

func (g *Guard) enter(c *bodybudget.Client, s bodybudget.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Enter(g.opts.Now(), c, s)
}

func (g *Guard) disconnect(c *bodybudget.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Disconnect(c)
	delete(g.conns, c)
}
