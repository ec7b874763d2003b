package main

import (
	"net"
	"sync"
	"time"
)

// link is the way of one machine to the store. While the machine is suspended, nothing passes.
type link struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	held  chan struct{} // closed when what is held up passes on; nil if nothing is held up
	conns []net.Conn
}

func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(cannotRun{err})
	}
	k := &link{to: to, listener: l}
	go k.accept()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		_ = c.Close()
	}
}

// suspend holds up what is sent on the connections that are open.
func (k *link) suspend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = make(chan struct{})
}

// resume lets new connections pass at once, and what is held up after a time.
func (k *link) resume(after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.held
	k.held = nil
	time.AfterFunc(after, func() { close(held) })
}

func (k *link) accept() {
	for {
		near, err := k.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", k.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		k.mu.Lock()
		k.conns = append(k.conns, near, far)
		k.mu.Unlock()
		go k.forward(near, far)
		go k.forward(far, near)
	}
}

func (k *link) forward(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		held := k.held
		k.mu.Unlock()
		if held != nil {
			<-held
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
