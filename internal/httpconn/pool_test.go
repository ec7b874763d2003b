package httpconn

import (
	"bufio"
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

// upstream is a server whose answers are written byte for byte.
type upstream struct {
	t       *testing.T
	lis     net.Listener
	conns   chan struct{} // one for each connection accepted
	serve   func(c net.Conn, r *http.Request, n int) bool
	pool    *Pool
	address string
}

// newUpstream serves each request with serve, which gets the number of the
// request on its connection and reports whether the connection goes on.
func newUpstream(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) *upstream {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{t: t, lis: lis, conns: make(chan struct{}, 100), serve: serve, address: lis.Addr().String()}
	u.pool = New(Options{DialTimeout: time.Second, IdlePerAddress: 2, Own: func(request, answer http.Header) bool {
		return answer.Get("Id") == "" || answer.Get("Id") == request.Get("Id")
	}})
	go u.accept()
	t.Cleanup(func() { _ = lis.Close() })
	return u
}

func (u *upstream) accept() {
	for {
		c, err := u.lis.Accept()
		if err != nil {
			return
		}
		u.conns <- struct{}{}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body) // a broken body ends at the next read
				if !u.serve(c, r, n) {
					return
				}
			}
		}()
	}
}

func (u *upstream) do(id string) (int, string, error) {
	resp, err := u.pool.Do(context.Background(), &Request{
		Address: u.address, Method: "POST", Target: "/x?q=%2f", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return resp.Status, string(body), err
}

func answer(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func TestWholeAnswersReuseTheConnection(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		must.Eq(t, "/x?q=%2f", r.RequestURI)
		_, err := io.WriteString(c, answer(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	for i := range 3 {
		status, body, err := u.do(fmt.Sprint(i))
		must.NoError(t, err)
		must.Eq(t, 200, status)
		must.Eq(t, "ok", body)
	}
	must.Eq(t, 1, len(u.conns))
}

func TestDoubtfulConnectionsAreNotReused(t *testing.T) {
	for name, write := range map[string]func(id string) string{
		"close":         func(id string) string { return answer(id, "Connection: close\r\n", "ok") },
		"no timeout":    func(id string) string { return strings.Replace(answer(id, "", "ok"), "timeout=5", "timeout=0", 1) },
		"extra answer":  func(id string) string { return answer(id, "", "ok") + answer(id, "", "again") },
		"stray newline": func(id string) string { return answer(id, "", "ok") + "\n" },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				_, err := io.WriteString(c, write(r.Header.Get("Id")))
				return err == nil
			})
			for i := range 2 {
				_, body, err := u.do(fmt.Sprint(i))
				must.NoError(t, err)
				must.Eq(t, "ok", body)
			}
			must.Eq(t, 2, len(u.conns))
		})
	}
}

func TestAnswerOfAnEarlierExchangeIsSkipped(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answer("earlier", "", "not yours")+answer(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	_, body, err := u.do("1")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	_, _, err = u.do("2")
	must.NoError(t, err)
	must.Eq(t, 2, len(u.conns))
}

func TestNothingIsSentTwice(t *testing.T) {
	requests := 0
	u := newUpstream(t, func(c net.Conn, r *http.Request, n int) bool {
		requests++
		if n > 0 {
			return false // closes the reused connection without an answer
		}
		_, err := io.WriteString(c, answer(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	_, _, err := u.do("1")
	must.NoError(t, err)
	_, _, err = u.do("2")
	must.ErrorIs(t, err, ErrBroken)
	must.Eq(t, 2, requests)
}

func TestBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no HTTP":         "garbage\r\n\r\n",
		"nothing":         "",
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, text) // the connection ends in any case
				return false
			})
			_, _, err := u.do("1")
			must.Error(t, err)
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it") // the connection ends in any case
		return false
	})
	_, body, err := u.do("1")
	must.NoError(t, err)
	must.Eq(t, "all of it", body)
}

func TestUnreachableMeansNotSent(t *testing.T) {
	u := newUpstream(t, nil)
	must.NoError(t, u.lis.Close())
	_, _, err := u.do("1")
	must.ErrorIs(t, err, ErrNotSent)
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan error, 1)
	u := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
		close(received)
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received // before, the request would count as not sent
		cancel()
	}()
	_, err := u.pool.Do(ctx, &Request{Address: u.address, Method: "GET", Target: "/", Host: "h"})
	must.ErrorIs(t, err, ErrBroken)
	must.Error(t, <-closed)
}
