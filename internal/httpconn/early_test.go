package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A response without a length that a reset ends while the request is still being sent was taken for whole,
// as the kernel had told the write of it. One that the peer ends in order is whole, whatever follows.
func TestResponseThatIsResetBesideALongRequestIsNotWhole(t *testing.T) {
	halfClose := func(c *net.TCPConn, _ *bufio.Reader) { _ = c.CloseWrite() }
	for name, end := range map[string]struct {
		end   func(c *net.TCPConn, in *bufio.Reader)
		whole bool
	}{
		"reset":                    {end: func(c *net.TCPConn, _ *bufio.Reader) { _ = c.SetLinger(0) }},
		"closed with unread bytes": {end: func(c *net.TCPConn, _ *bufio.Reader) {}},
		"closed on its side": {whole: true, end: func(c *net.TCPConn, in *bufio.Reader) {
			halfClose(c, in)
			_, _ = io.Copy(io.Discard, in) // until the pool closes the connection
		}},
		"closed on its side, then reset": {whole: true, end: func(c *net.TCPConn, in *bufio.Reader) {
			halfClose(c, in)
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer lis.Close()
			go func() {
				for pause := time.Duration(0); ; pause = (pause + time.Millisecond) % (20 * time.Millisecond) {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						in := bufio.NewReader(c)
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf") // the pool may have disconnected
						time.Sleep(pause)
						end.end(c.(*net.TCPConn), in)
					}()
				}
			}()
			pool, body := New(Options{DialTimeout: time.Second}), [][]byte{make([]byte, 4<<20)}
			whole := 0
			for range 60 {
				resp, err := pool.Do(context.Background(), &Request{Address: lis.Addr().String(), Method: "POST", RequestURI: "/", Host: "h", Body: body})
				if err != nil {
					continue
				}
				if got, err := io.ReadAll(resp.Body); err == nil {
					must.Eq(t, "half", string(got))
					whole++
				}
				resp.Finish(false)
			}
			must.Eq(t, map[bool]int{true: 60}[end.whole], whole)
		})
	}
}
