package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A head that doesn't end is given up after maxHeadBytes, long before the deadline of the
// request: an upstream that sends bytes until it is cut off must not fill the memory.
func TestHeadWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 8<<10)
	for name, parts := range map[string]struct{ first, then string }{
		"status line":          {"HTTP/1.1 200 ", block},
		"header line":          {"HTTP/1.1 200 OK\r\nA: ", block},
		"header lines":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 1000)},
		"informational":        {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
		"informational header": {"", "HTTP/1.1 103 Early Hints\r\nA: " + block + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, err := c.Write([]byte(parts.first))
				for err == nil {
					_, err = c.Write([]byte(parts.then))
				}
				return false
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := s.pool.Do(ctx, &Request{Address: s.address, Method: "GET", RequestURI: "/", Host: "h"})
			must.ErrorIs(t, err, ErrExchangeFailed)
			must.ErrorIs(t, err, ErrHeadTooLarge)
			must.NoError(t, ctx.Err())
		})
	}
}

// A head of very many short lines is given up, although it has few bytes: 200 of them took 200 MB.
func TestHeadOfVeryManyLines(t *testing.T) {
	var lines strings.Builder
	for i := 0; lines.Len() < maxHeadBytes-1<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+lines.String()) // the pool may have disconnected
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := s.pool.Do(ctx, &Request{Address: s.address, Method: "GET", RequestURI: "/", Host: "h"})
	must.ErrorIs(t, err, ErrHeadTooLarge)
	must.NoError(t, ctx.Err())
}

// An error must not keep what an upstream sent in place of an answer: it goes into the log.
func TestErrorsQuoteOnlyTheBeginning(t *testing.T) {
	long := strings.Repeat("\xff", maxHeadBytes-1<<10)
	for _, text := range []string{long + "\r\n\r\n", "HTTP/1.1 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n"} {
		s := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(c, text) // the pool may have disconnected
			return false
		})
		_, err := s.pool.Do(context.Background(), &Request{Address: s.address, Method: "GET", RequestURI: "/", Host: "h"})
		must.ErrorIs(t, err, ErrExchangeFailed)
		must.StrContains(t, err.Error(), "malformed")
		must.Less(t, 1<<10, len(err.Error()))
	}
}

// A large head below the bound is read, and the bounds do not count the body.
func TestLargeHeadAndBody(t *testing.T) {
	body := strings.Repeat("b\n", 2*maxHeadBytes)
	s := newRawServer(t, func(c net.Conn, _ *http.Request, n int) bool {
		fmt.Fprint(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInformational))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nA: %s\r\n%sContent-Length: %d\r\n\r\n%s", strings.Repeat("x", maxHeadBytes/2), strings.Repeat("B:\r\n", 400), len(body), body)
		return true
	})
	for range 3 {
		resp, err := s.pool.Do(context.Background(), &Request{Address: s.address, Method: "GET", RequestURI: "/", Host: "h"})
		must.NoError(t, err)
		raw := make([]byte, len(body)+1)
		n := 0
		for {
			m, err := resp.Body.Read(raw[n:])
			n += m
			if err != nil {
				break
			}
		}
		must.Eq(t, len(body), n)
		resp.Finish(true)
	}
}
