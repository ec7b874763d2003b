// Package emptyline lets an HTTP/1.1 server ignore empty lines before a request line (RFC 9112,
// 2.2), which net/http accepts after a POST request only. A listener of this package drops them
// from what the server reads. It follows the requests on a connection to know where one begins.
// Where it does not know for certain that net/http sees the same, it drops nothing for the rest
// of the connection.
package emptyline

import (
	"bytes"
	"net"
	"strconv"
)

// maxDropped bounds the bytes that are dropped before one request: two empty lines, as net/http
// does after a POST request. What is beyond reaches the server, which rejects it.
const maxDropped = 4

// NewListener returns a listener whose connections drop empty lines before requests.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection of a caller. The server reads it with one goroutine at a time.
type conn struct {
	net.Conn
	requests filter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		kept := c.requests.apply(p[:n])
		if kept > 0 || n == 0 || err != nil {
			return kept, err
		}
	}
}

// CloseWrite closes the sending side. net/http uses it so that a caller can read the answer to
// a request that is not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// position is where in a request the next byte is.
type position uint8

const (
	atStart   position = iota // before the request line
	inHead                    // in the request line or a header line
	inBody                    // in a body of known length
	untracked                 // not known until the connection ends
)

// maxTrackedLine is the length up to which header lines are looked at: that of Content-Length
// with a number of 19 digits, and some space.
const maxTrackedLine = 64

// filter follows the requests of one connection. Its zero value is at the start of the first.
type filter struct {
	at      position
	dropped int    // before this request
	line    []byte // beginning of the current line, maxTrackedLine bytes at most
	lines   int    // that have ended in this head
	length  int64  // of the body; in it, what is left
	framed  bool   // a length was given
}

// apply removes the bytes to drop from p and returns the number of those that stay, which are
// at its beginning.
func (f *filter) apply(p []byte) int {
	kept := 0
	for i := 0; i < len(p); {
		if f.at == atStart && f.drop(p[i]) {
			i++
			continue
		}
		n := f.advance(p[i:])
		if kept != i {
			copy(p[kept:], p[i:i+n])
		}
		kept += n
		i += n
	}
	return kept
}

// drop reports whether a byte before a request line is dropped. Otherwise the request begins.
func (f *filter) drop(b byte) bool {
	if (b == '\r' || b == '\n') && f.dropped < maxDropped {
		f.dropped++
		return true
	}
	*f = filter{at: inHead, line: f.line[:0]}
	if b == '\r' || b == '\n' {
		f.at = untracked
	}
	return false
}

// advance follows the request over the beginning of p and returns its length, above 0.
func (f *filter) advance(p []byte) int {
	switch f.at {
	case inHead:
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			f.addToLine(p)
			return len(p)
		}
		f.addToLine(p[:i])
		f.endLine()
		return i + 1
	case inBody:
		n := int(min(f.length, int64(len(p))))
		if f.length -= int64(n); f.length == 0 {
			f.at = atStart
		}
		return n
	}
	return len(p)
}

func (f *filter) addToLine(p []byte) {
	f.line = append(f.line, p[:min(len(p), maxTrackedLine-len(f.line))]...)
}

// endLine records the end of a line of the head.
func (f *filter) endLine() {
	line := f.line
	if len(line) < maxTrackedLine {
		line = bytes.TrimSuffix(line, []byte{'\r'})
	}
	f.line = f.line[:0]
	f.lines++
	switch {
	case len(line) == 0 && f.length > 0:
		f.at = inBody
	case len(line) == 0:
		f.at = atStart
	case f.lines > 1:
		f.readHeader(line)
	}
}

var (
	nameLength   = []byte("Content-Length")
	nameEncoding = []byte("Transfer-Encoding")
)

// readHeader records what a header line says of the length of the body. Lines that continue
// others, chunks and lengths that are not a plain number end the tracking.
func (f *filter) readHeader(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t' || bytes.EqualFold(name, nameEncoding):
		f.at = untracked
	case bytes.EqualFold(name, nameLength):
		length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		if err != nil || f.framed || len(line) == maxTrackedLine {
			f.at = untracked
		}
		f.length, f.framed = int64(length), true
	}
}
