package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/boottime"
	"github.com/shoenig/test/must"
)

// rawServer is a server whose responses are written byte for byte.
type rawServer struct {
	t       *testing.T
	lis     net.Listener
	conns   chan struct{} // receives one value for each accepted connection
	serve   func(c net.Conn, r *http.Request, n int) bool
	pool    *Pool
	address string
}

// newRawServer starts a server that handles each request with serve. serve gets
// the number of the request on its connection, from 0, and reports whether the
// connection stays open.
func newRawServer(t *testing.T, serve func(c net.Conn, r *http.Request, n int) bool) *rawServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &rawServer{t: t, lis: lis, conns: make(chan struct{}, 100), serve: serve, address: lis.Addr().String()}
	u.pool = New(Options{DialTimeout: time.Second, MaxIdlePerAddress: 2, IsResponseTo: func(request, response http.Header) bool {
		return response.Get("Id") == "" || response.Get("Id") == request.Get("Id")
	}})
	go u.accept()
	t.Cleanup(func() { _ = lis.Close() })
	return u
}

func (u *rawServer) accept() {
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
				_, _ = io.Copy(io.Discard, r.Body) // an incomplete body fails the next read
				if !u.serve(c, r, n) {
					return
				}
			}
		}()
	}
}

func (u *rawServer) do(id string) (int, string, error) {
	resp, err := u.pool.Do(context.Background(), &Request{
		Address: u.address, Method: "POST", RequestURI: "/x?q=%2f", Host: "h.example", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte("body")},
	})
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return resp.Status, string(body), err
}

func response(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func TestCompleteResponsesReuseTheConnection(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		must.Eq(t, "/x?q=%2f", r.RequestURI)
		_, err := io.WriteString(c, response(r.Header.Get("Id"), "", "ok"))
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

func TestUncleanConnectionsAreNotReused(t *testing.T) {
	for name, write := range map[string]func(id string) string{
		"close":         func(id string) string { return response(id, "Connection: close\r\n", "ok") },
		"no timeout":    func(id string) string { return strings.Replace(response(id, "", "ok"), "timeout=5", "timeout=0", 1) },
		"extra answer":  func(id string) string { return response(id, "", "ok") + response(id, "", "again") },
		"stray newline": func(id string) string { return response(id, "", "ok") + "\n" },
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
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

func TestResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, response("earlier", "", "not yours")+response(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	_, body, err := u.do("1")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	_, _, err = u.do("2")
	must.NoError(t, err)
	must.Eq(t, 2, len(u.conns))
}

// The body of a response to an earlier request must not pass for a response, however long it is
// and to whatever method.
func TestBodyOfAnEarlierResponseIsNoResponse(t *testing.T) {
	for _, method := range []string{"POST", "HEAD"} {
		for _, skipped := range []int{0, 64 << 10} {
			t.Run(fmt.Sprint(method, skipped), func(t *testing.T) {
				u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
					_, _ = io.WriteString(c, response("earlier", "", strings.Repeat("x", skipped)+response(r.Header.Get("Id"), "", "not yours")))
					return false
				})
				resp, err := u.pool.Do(context.Background(), &Request{Address: u.address, Method: method, RequestURI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
				if err == nil {
					resp.Finish(false)
				}
				must.ErrorIs(t, err, ErrExchangeFailed)
			})
		}
	}
}

// On a connection that carried a HEAD, the body of a response could be taken for that of a late
// copy of the response to the HEAD, and what follows for a response.
func TestConnectionOfAHeadRequestIsNotReused(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
		text := "HTTP/1.1 200 OK\r\nId: head\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n"
		if r.Method != http.MethodHead {
			text = response(r.Header.Get("Id"), "", response(r.Header.Get("Id"), "", "part"))
			if n > 0 {
				text = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: head\r\nContent-Length: %d\r\n\r\n", strings.Index(text, "\r\n\r\n")+4) + text
			}
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	resp, err := u.pool.Do(context.Background(), &Request{Address: u.address, Method: "HEAD", RequestURI: "/", Host: "h", Header: http.Header{"Id": {"head"}}})
	must.NoError(t, err)
	resp.Finish(true)
	_, body, err := u.do("1")
	must.NoError(t, err)
	must.Eq(t, response("1", "", "part"), body)
}

func TestRequestIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	u := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
		requests.Add(1)
		if n > 0 {
			return false // closes the reused connection without a response
		}
		_, err := io.WriteString(c, response(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	_, _, err := u.do("1")
	must.NoError(t, err)
	_, _, err = u.do("2")
	must.ErrorIs(t, err, ErrExchangeFailed)
	must.Eq(t, 2, requests.Load())
}

func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"truncated chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no HTTP":         "garbage\r\n\r\n",
		"nothing":         "",
	} {
		t.Run(name, func(t *testing.T) {
			u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, text) // an error is ignored: the connection is closed next
				return false
			})
			_, _, err := u.do("1")
			must.Error(t, err)
		})
	}
}

func TestResponseWithoutLengthEndsWithTheConnection(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it") // an error is ignored: the connection is closed next
		return false
	})
	_, body, err := u.do("1")
	must.NoError(t, err)
	must.Eq(t, "all of it", body)
}

func TestDialFailureIsErrNotSent(t *testing.T) {
	u := newRawServer(t, nil)
	must.NoError(t, u.lis.Close())
	_, _, err := u.do("1")
	must.ErrorIs(t, err, ErrNotSent)
}

func TestContextCancellationClosesTheConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan error, 1)
	u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		close(received)
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received // cancelled earlier, Do would fail with ErrNotSent
		cancel()
	}()
	_, err := u.pool.Do(ctx, &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h"})
	must.ErrorIs(t, err, ErrExchangeFailed)
	must.Error(t, <-closed)
}

// silences returns a watch that counts the silences of 10 ms in n.
func silences(n *atomic.Int32) Watch {
	return Watch{
		Timeout: func() time.Duration { return 10 * time.Millisecond }, Interval: 10 * time.Millisecond,
		OnSilence: func(time.Duration) error { n.Add(1); return nil },
	}
}

func TestSilentExchangeGoesOn(t *testing.T) {
	var n atomic.Int32
	silent := func() { // waits for another silence
		for before := n.Load(); n.Load() == before; time.Sleep(time.Millisecond) {
		}
	}
	u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		for _, part := range []string{"HTTP/1.1 200", " OK\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nha", "lf\r\n4\r\nrest\r\n", "0\r\n\r\n"} {
			silent()
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return true
	})
	e, err := u.pool.Send(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h"})
	must.NoError(t, err)
	e.Watch(silences(&n))
	resp, err := e.Response()
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "halfrest", string(body))
	resp.Finish(true)
	must.Eq(t, 1, len(u.pool.idle[u.address])) // the connection is kept
}

func TestErrorOfTheWatchEndsReading(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		_, _ = c.Read(make([]byte, 1)) // until the client closes
		return false
	})
	e, err := u.pool.Send(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h"})
	must.NoError(t, err)
	enough := errors.New("enough")
	e.Watch(Watch{Timeout: func() time.Duration { return 10 * time.Millisecond }, OnSilence: func(time.Duration) error { return enough }})
	resp, err := e.Response()
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, enough)
	resp.Finish(false)
}

// A body without a length that ends with a reset is incomplete, also if the reset
// arrives while the upstream is silent.
func TestResetDuringASilenceIsNotTheEndOfABody(t *testing.T) {
	var n atomic.Int32
	for name, watch := range map[string]Watch{"not watched": {}, "watched": silences(&n)} {
		t.Run(name, func(t *testing.T) {
			u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
				time.Sleep(55 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false // closes with a reset
			})
			e, err := u.pool.Send(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h"})
			must.NoError(t, err)
			e.Watch(watch)
			resp, err := e.Response()
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.Error(t, err) // must not look complete
			must.Eq(t, "half", string(body))
		})
	}
}

// A reset that the check of a connection meets first is not lost to the next read.
func TestResetSeenByTheCheckEndsReading(t *testing.T) {
	reset := make(chan struct{})
	u := newRawServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		close(reset)
		return false
	})
	e, err := u.pool.Send(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h"})
	must.NoError(t, err)
	<-reset
	for e.conn.quiet() {
		time.Sleep(time.Millisecond)
	}
	_, err = e.Response()
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// An upstream that sends a byte now and then and makes no progress is silent.
func TestBytesWithoutProgressAreSilence(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 400 {
			if _, err := io.WriteString(w, "x"); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}))
	t.Cleanup(srv.Close)
	e, err := New(Options{DialTimeout: time.Second}).Send(context.Background(), &Request{Address: strings.TrimPrefix(srv.URL, "http://"), Method: "GET", RequestURI: "/", Host: "h"})
	must.NoError(t, err)
	began, enough := time.Now(), errors.New("enough")
	calls := 0
	e.Watch(Watch{
		Timeout: func() time.Duration { return 60 * time.Millisecond }, Silent: func() time.Duration { return time.Since(began) }, Interval: 40 * time.Millisecond,
		OnSilence: func(silent time.Duration) error {
			must.GreaterEq(t, 60*time.Millisecond+time.Duration(calls)*40*time.Millisecond, silent)
			if calls++; calls == 3 {
				return enough
			}
			return nil
		},
	})
	resp, err := e.Response()
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.ErrorIs(t, err, enough)
	resp.Finish(false)
}

// What binds is the moment at which bytes go out: the connection was there before.
func TestNothingIsSentIfItMayNotOnceTheConnectionIsThere(t *testing.T) {
	served := make(chan struct{}, 1)
	u := newRawServer(t, func(net.Conn, *http.Request, int) bool {
		served <- struct{}{}
		return false
	})
	errLeft := errors.New("the upstream has left")
	asked := false
	_, err := u.pool.Send(context.Background(), &Request{
		Address: u.address, Method: "POST", RequestURI: "/", Header: http.Header{},
		MaySend: func() error {
			<-u.conns // the connection was accepted
			asked = true
			return errLeft
		},
	})
	must.ErrorIs(t, err, ErrNotSent)
	must.ErrorIs(t, err, errLeft)
	must.True(t, asked)
	must.Eq(t, 0, len(served))
}

// doAfter sends a request on a connection that was opened after a time.
func (u *rawServer) doAfter(id string, after time.Duration) (string, error) {
	resp, err := u.pool.Do(context.Background(), &Request{
		Address: u.address, Method: "POST", RequestURI: "/", Host: "h.example", Header: http.Header{"Id": {id}}, OpenedAfter: after,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Finish(err == nil)
	return string(body), err
}

// A server may send an answer once more when the same request comes again on the connection,
// also after others in between. A request that is repeated takes one that has not carried it
// (review/2).
func TestRepeatedRequestTakesAnotherConnection(t *testing.T) {
	var tries atomic.Int32
	u := newRawServer(t, func(c net.Conn, r *http.Request, n int) bool {
		text := response(r.Header.Get("Id"), "", fmt.Sprint("try ", tries.Add(1)))
		if n == 2 {
			text = response(r.Header.Get("Id"), "", "a copy") + text
		}
		_, err := io.WriteString(c, text)
		return err == nil
	})
	_, _, err := u.do("1")
	must.NoError(t, err)
	sent := boottime.Now()
	_, _, err = u.do("2") // in between
	must.NoError(t, err)
	body, err := u.doAfter("1", sent)
	must.NoError(t, err)
	must.Eq(t, "try 3", body)
	must.Eq(t, 2, len(u.conns))
	body, err = u.doAfter("3", sent) // the connection that was opened since serves others
	must.NoError(t, err)
	must.Eq(t, "try 4", body)
	must.Eq(t, 2, len(u.conns))
}

// A response says whether something else was asked on its connection before.
func TestResponseTellsWhetherItsConnectionWasUsed(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, response("", "", "ok"))
		return err == nil
	})
	must.NoError(t, u.pool.Connect(context.Background(), u.address))
	for i, reused := range []bool{false, true} {
		resp, err := u.pool.Do(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}})
		must.NoError(t, err)
		must.Eq(t, reused, resp.Reused, must.Sprint(i))
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		resp.Finish(true)
	}
	must.Eq(t, 1, len(u.conns))
}

// Beyond maxStaleResponses a response to another request is handed up, and the caller tells by
// its headers that it is none to this one.
func TestThirdStaleResponseIsHandedUp(t *testing.T) {
	u := newRawServer(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, strings.Repeat(response("earlier", "", "not yours"), maxStaleResponses+1)+response(r.Header.Get("Id"), "", "ok"))
		return err == nil
	})
	resp, err := u.pool.Do(context.Background(), &Request{Address: u.address, Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
	must.NoError(t, err)
	must.Eq(t, "earlier", resp.Header.Get("Id"))
	resp.Finish(true)
	_, _, err = u.do("2")
	must.NoError(t, err)
	must.Eq(t, 2, len(u.conns)) // the first one is not used again
}
