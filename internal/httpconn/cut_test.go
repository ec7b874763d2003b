package httpconn

import (
	"bufio"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test"
)

// cutConn is a connection on which an answer ends early. As the kernel does, it reports a
// reset only once.
type cutConn struct {
	net.Conn
	in    io.Reader
	reset bool
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	if n == 0 && err == io.EOF && c.reset {
		c.reset = false
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *cutConn) SetReadDeadline(time.Time) error { return nil }

// readCut reads an answer of which nothing comes after text, at once or byte by byte.
func readCut(method, text string, reset, split bool) error {
	var in io.Reader = strings.NewReader(text)
	if split {
		in = iotest.OneByteReader(in)
	}
	c := &conn{Conn: &cutConn{in: in, reset: reset}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	resp, err := c.readResponse(method)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	return err
}

// An answer that is cut at any byte, by a close or by a reset, must fail, unless its framing
// says that it is whole there.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	const (
		atEnd   = iota // whole with the last byte only
		atClose        // whole with an orderly close after the head
		never          // its framing is faulty
	)
	for _, c := range []struct {
		name, method, text string
		whole              int
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\nhello, world", atEnd},
		{"length first", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nA: b\r\n\r\nhello, world", atEnd},
		{"no body", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", atEnd},
		{"equal lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 12\r\n\r\nhello, world", atEnd},
		{"unequal lengths", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n", atEnd},
		{"chunks and a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", atEnd},
		{"extensions and trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc;a=b\r\nhello, world\r\n0;c=d\r\nX-T: 1\r\n\r\n", atEnd},
		{"unknown coding", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chun\r\n\r\nhello, world", never},
		{"after informational ones", "PUT", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", atEnd},
		{"informational with a length", "PUT", "HTTP/1.1 102 Processing\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", atEnd},
		{"folded", "GET", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\td\r\nContent-Length: 2\r\nE: f\r\n g\r\n\r\nok", atEnd},
		{"bare line feeds", "GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", atEnd},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", atEnd},
		{"HEAD, chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", atEnd},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", atEnd},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", atEnd},
		{"blank after the name of the length", "GET", "HTTP/1.1 200 OK\r\nContent-Length : 12\r\n\r\nhello, world", never},
		{"blank after the name of the coding", "GET", "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", never},
		{"HTTP/1.0, blank after the name of the length", "GET", "HTTP/1.0 200 OK\r\nContent-Length : 12\r\n\r\nhello, world", never},
		{"blank after another name", "GET", "HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"blank in a name", "GET", "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"blank in the name of the length", "GET", "HTTP/1.1 200 OK\r\nContent Length: 12\r\n\r\nhello, world", never},
		{"blank in the name of the coding", "GET", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", never},
		{"blank before a name", "GET", "HTTP/1.1 200 OK\r\nA: b\r\n B: c\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"control byte in a name", "GET", "HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"control byte in a value", "GET", "HTTP/1.1 200 OK\r\nA: b\x01\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"carriage return in a value", "GET", "HTTP/1.1 200 OK\r\nA: b\r\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"no name", "GET", "HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 12\r\n\r\nhello, world", never},
		{"status 000 with an answer as its body", "GET", "HTTP/1.1 000 \r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"status 099", "GET", "HTTP/1.1 099 A\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"status +20", "GET", "HTTP/1.1 +20 A\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"status -00", "GET", "HTTP/1.1 -00 A\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"status 600", "GET", "HTTP/1.1 600 A\r\nContent-Length: 2\r\n\r\nok", never},
		{"status 999", "GET", "HTTP/1.1 999 A\r\nContent-Length: 2\r\n\r\nok", never},
		{"control byte in the status line", "GET", "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok", never},
		{"another protocol", "GET", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"no reason", "GET", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", atEnd},
		{"a later version of HTTP/1", "GET", "HTTP/1.7 200 OK\r\nContent-Length: 2\r\n\r\nok", atEnd},
		{"switched protocols", "GET", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", never},
		{"no length", "GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello, world", atClose},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nA: b\r\n\r\nhello, world", atClose},
		{"HTTP/1.0, length", "GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 12\r\n\r\nhello, world", atEnd},
		{"HTTP/1.0, informational", "GET", "HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", atEnd},
		{"HTTP/1.0, chunks", "GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", never},
		{"HTTP/1.0, chunks and a length", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", never},
	} {
		t.Run(c.name, func(t *testing.T) {
			headEnd := strings.Index(c.text, "\r\n\r\n") + len("\r\n\r\n")
			for cut := range len(c.text) + 1 {
				for i := range 4 {
					reset, split := i&1 != 0, i&2 != 0
					whole := c.whole == atEnd && cut == len(c.text) || c.whole == atClose && cut >= headEnd && !reset
					err := readCut(c.method, c.text[:cut], reset, split)
					test.Eq(t, whole, err == nil, test.Sprintf("%q, reset %t: %v", c.text[:cut], reset, err))
				}
			}
		})
	}
}
