package peer

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// sniffTimeout is the time within which a peer has to begin on a new connection.
const sniffTimeout = 5 * time.Second

// splitListener hands the connections of a listener to the server of calls or to that of
// HTTP/1.1, by their first byte: methods of HTTP begin with a capital, which no frame of a
// call does.
type splitListener struct {
	net.Listener
	calls, http *partListener
}

func newSplitListener(l net.Listener) *splitListener {
	closed := make(chan struct{})
	var once sync.Once
	closeAll := func() error {
		err := net.ErrClosed
		once.Do(func() {
			close(closed)
			err = l.Close()
		})
		return err
	}
	part := func() *partListener {
		return &partListener{addr: l.Addr(), conns: make(chan net.Conn), failed: make(chan error, 1), closed: closed, close: closeAll}
	}
	return &splitListener{Listener: l, calls: part(), http: part()}
}

// run accepts connections until the listener is closed or fails.
func (s *splitListener) run() {
	for {
		conn, err := s.Accept()
		if err != nil {
			s.calls.failed <- err
			return
		}
		go s.hand(conn)
	}
}

func (s *splitListener) hand(conn net.Conn) {
	c := &sniffedConn{Conn: conn, reader: bufio.NewReaderSize(conn, 512)}
	_ = conn.SetReadDeadline(time.Now().Add(sniffTimeout))
	first, err := c.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil {
		_ = conn.Close()
		return
	}
	to := s.calls
	if first[0] >= 'A' && first[0] <= 'Z' {
		to = s.http
	}
	select {
	case to.conns <- c:
	case <-to.closed:
		_ = conn.Close()
	}
}

// sniffedConn is a connection whose first byte was looked at.
type sniffedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *sniffedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// partListener has a part of the connections of a splitListener.
type partListener struct {
	addr   net.Addr
	conns  chan net.Conn
	failed chan error
	closed chan struct{}
	close  func() error
}

// Accept implements net.Listener.
func (l *partListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *partListener) Close() error { return l.close() }

// Addr implements net.Listener.
func (l *partListener) Addr() net.Addr { return l.addr }
