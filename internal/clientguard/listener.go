package clientguard

import (
	"net"

	"github.com/eelgrassbay/eelgrassbay/internal/bodybudget"
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// MaxConnections is the greatest number of connections, 0 for that of callers.
	MaxConnections int
	// HeadBytes returns the greatest size of a request's head in bytes.
	HeadBytes func() int
	// Encrypted is whether the connections carry TLS, so that header fields cannot be counted.
	Encrypted bool
}

// Listener accepts connections of clients for a Guard.
type Listener struct {
	net.Listener
	guard *Guard
	opts  ListenerOptions
	group *bodybudget.Group
}

// Listen returns a listener that guards the connections of inner.
func (g *Guard) Listen(inner net.Listener, opts ListenerOptions) *Listener {
	if opts.MaxConnections == 0 {
		opts.MaxConnections = g.maxConnections
	}
	l := &Listener{Listener: inner, guard: g, opts: opts, group: bodybudget.NewGroup(opts.MaxConnections)}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.groups = append(g.report.groups, l.group)
	return l
}

// Accept implements net.Listener. If there are too many connections, it closes the least
// active one, or else the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
	}
}

func (l *Listener) admit(raw net.Conn) *conn {
	g := l.guard
	g.mu.Lock()
	client, evicted := g.budget.Connect(g.opts.Now(), l.group)
	var c *conn
	if client != nil {
		c = &conn{Conn: raw, listener: l, client: client}
		g.conns[client] = c
	}
	others := g.take([]*bodybudget.Client{evicted})
	g.mu.Unlock()
	for _, v := range others {
		v.conn.evict(reasonConnections, v.state)
	}
	if c == nil {
		g.reject(reasonConnections, raw.RemoteAddr())
		_ = raw.Close()
	}
	return c
}
