package proctest

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Proxy is a TCP proxy to one target address that injects network faults.
type Proxy struct {
	listener net.Listener
	target   string
	address  string
	mu       sync.Mutex
	mode     faultMode
	delay    time.Duration
	conns    map[*proxiedConn]bool
	cut      Cut
	cutPIDs  []int
}

type faultMode int

const (
	modePass        faultMode = iota
	modeClose                 // connections are closed on accept
	modeBlackhole             // connections stay open, data is dropped in both directions
	modeDropReplies           // data from the target is dropped
	modeDelay                 // data is forwarded after a delay
)

// proxiedConn is one connection through the proxy, which consists of a connection
// to the client and one to the target. Once blackholed or dropReplies is set, it
// stays set, also after Restore.
type proxiedConn struct {
	client, target          net.Conn
	blackholed, dropReplies bool
}

// NewProxy starts a proxy to the host of an http URL or to an IP:port address. It
// is closed when the test ends.
func NewProxy(t testing.TB, url string) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("proctest: listen for the proxy: %v", err)
	}
	p := &Proxy{listener: l, address: l.Addr().String(), target: strings.TrimPrefix(url, "http://"), conns: map[*proxiedConn]bool{}}
	go p.serve(l)
	t.Cleanup(func() {
		p.mu.Lock()
		_ = p.listener.Close()
		p.mu.Unlock()
		p.Disconnect()
	})
	return p
}

// URL returns the http URL of the proxy.
func (p *Proxy) URL() string { return "http://" + p.Address() }

// Address returns the address of the proxy as IP:port.
func (p *Proxy) Address() string { return p.address }

// Refuse closes the listener and all connections, as a process that ends does, until
// Listen.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.set(modePass, 0, func(conn *proxiedConn) { conn.close() })
}

// Listen accepts connections again after Refuse. It fails if another process has taken
// the port.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.serve(l)
	return nil
}

// Disconnect closes all connections; new ones are closed right after they are
// accepted.
func (p *Proxy) Disconnect() { p.set(modeClose, 0, func(conn *proxiedConn) { conn.close() }) }

// Reset closes all connections with a TCP reset. New ones are closed right after
// they are accepted, as with Disconnect.
func (p *Proxy) Reset() {
	p.set(modeClose, 0, func(conn *proxiedConn) {
		for _, c := range []net.Conn{conn.client, conn.target} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // on error the connection is closed without a reset, which is a fault as well
			}
		}
		conn.close()
	})
}

// Blackhole keeps all connections and new ones open but drops their data in both
// directions.
func (p *Proxy) Blackhole() {
	p.set(modeBlackhole, 0, func(conn *proxiedConn) { conn.blackholed = true })
}

// DropReplies drops the data that the target sends, on all connections and new
// ones.
func (p *Proxy) DropReplies() {
	p.set(modeDropReplies, 0, func(conn *proxiedConn) { conn.dropReplies = true })
}

// Delay forwards all data after a delay of d.
func (p *Proxy) Delay(d time.Duration) { p.set(modeDelay, d, func(*proxiedConn) {}) }

// Restore forwards new connections without a fault. Connections that Blackhole or
// DropReplies affected stay so.
func (p *Proxy) Restore() { p.set(modePass, 0, func(*proxiedConn) {}) }

func (p *Proxy) set(mode faultMode, delay time.Duration, change func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	for conn := range p.conns {
		change(conn)
	}
}

func (p *Proxy) serve(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(client)
	}
}

func (p *Proxy) handle(client net.Conn) {
	cut := p.cutFor(client)
	if cut == CutReset || cut == CutNew {
		resetConn(client)
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, target: target}
	p.mu.Lock()
	p.conns[conn] = true
	conn.blackholed, conn.dropReplies = p.mode == modeBlackhole || cut == CutHang, p.mode == modeDropReplies
	closeNow := p.mode == modeClose
	p.mu.Unlock()
	if closeNow {
		conn.close()
	}
	go p.copyOneWay(conn, target, client)
	p.copyOneWay(conn, client, target)
}

// copyOneWay copies one direction until either end closes.
func (p *Proxy) copyOneWay(conn *proxiedConn, to, from net.Conn) {
	const bufferBytes = 32 << 10
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if delay, pass := p.forwards(conn, from); n > 0 && pass {
			time.Sleep(delay)
			_, _ = to.Write(buf[:n]) // a closed connection shows up in the next read
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	conn.close()
}

// forwards returns the delay for data read from one end of a connection, and
// whether the data is forwarded at all.
func (p *Proxy) forwards(conn *proxiedConn, from net.Conn) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, !conn.blackholed && !(conn.dropReplies && from == conn.target)
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.target.Close()
}
