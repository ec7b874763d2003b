package testbed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host is the host of all requests.
const Host = "app.example"

var attempts atomic.Int64

// NewAttemptID returns an ID that no other attempt has.
func NewAttemptID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, attempts.Add(1))
}

// Post returns the bytes of a POST request with a body of two bytes. fields are header lines.
func Post(path string, fields ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Key: " + Key + "\r\n" + strings.Join(fields, "\r\n") + "\r\nContent-Length: 2\r\n\r\n{}"
}

// Answer is what a caller got. Err is of reading it to its end.
type Answer struct {
	Status int
	Body   string
	Err    error
}

// Send sends a request on a connection and reads the answer.
func Send(c net.Conn, in *bufio.Reader, request string) (a Answer) {
	if _, a.Err = io.WriteString(c, request); a.Err != nil {
		return a
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{resp.StatusCode, string(body), err}
}

// SendOnce sends a request on a connection of its own.
func SendOnce(address, request string, limit time.Duration) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return Answer{Err: err}
	}
	return Send(c, bufio.NewReader(c), request)
}
