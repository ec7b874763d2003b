package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy is the link between the entry instances and one server. While it is cut, nothing
// passes in either direction, also not the end of a connection; what was sent meanwhile
// arrives when the cut has healed.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	p.healed = sync.NewCond(&p.mu)
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.healed.Broadcast()
}

// pass waits until the link is whole.
func (p *proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.healed.Wait()
	}
}

func (p *proxy) run() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(conn net.Conn) {
	p.pass()
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(conn) // a port without a listener
		return
	}
	go p.copy(server, conn)
	p.copy(conn, server)
}

// copy passes on what comes from one side, and how it ends.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite() // the other side may be closed
			return
		case errors.Is(err, syscall.ECONNRESET):
			reset(to)
			return
		case err != nil:
			return
		}
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
