package e2e

import (
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// cutProxy is a TCP proxy on the way to one address that can be cut.
type cutProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	links    map[*link]bool
}

type proxyMode int

const (
	modePass   proxyMode = iota
	modeCut              // connections are closed
	modeSilent           // connections stay open and carry nothing
)

// link is one connection through the proxy, with both its ends. Once it is
// silent it stays so, also after the proxy passes again.
type link struct {
	caller, target net.Conn
	silent         bool
}

// newCutProxy returns a proxy to the host of a URL.
func newCutProxy(t *testing.T, url string) *cutProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	p := &cutProxy{listener: l, target: strings.TrimPrefix(url, "http://"), links: map[*link]bool{}}
	go p.serve()
	t.Cleanup(func() {
		_ = l.Close()
		p.Cut()
	})
	return p
}

// URL returns where the target is reached through the proxy.
func (p *cutProxy) URL() string { return "http://" + p.listener.Addr().String() }

// Cut closes all connections, and new ones at once.
func (p *cutProxy) Cut() {
	p.setMode(modeCut, func(l *link) { l.close() })
}

// Silence makes all connections, and new ones, go silent.
func (p *cutProxy) Silence() {
	p.setMode(modeSilent, func(l *link) { l.silent = true })
}

// Restore lets new connections pass.
func (p *cutProxy) Restore() { p.setMode(modePass, func(*link) {}) }

func (p *cutProxy) setMode(mode proxyMode, change func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		change(l)
	}
}

func (p *cutProxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

func (p *cutProxy) connect(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = true
	l.silent = p.mode == modeSilent
	cut := p.mode == modeCut
	p.mu.Unlock()
	if cut {
		l.close()
	}
	go p.carry(l, target, caller)
	p.carry(l, caller, target)
}

// carry copies one direction until either end closes.
func (p *cutProxy) carry(l *link, to, from net.Conn) {
	const bufferBytes = 32 << 10
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.isSilent(l) {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	l.close()
}

func (p *cutProxy) isSilent(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent
}

func (l *link) close() {
	_ = l.caller.Close()
	_ = l.target.Close()
}
