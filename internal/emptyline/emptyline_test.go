package emptyline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// filtered returns what a server reads of text if it arrives in pieces of the given size.
func filtered(text string, size int) string {
	var f filter
	var out bytes.Buffer
	for len(text) > 0 {
		p := []byte(text[:min(size, len(text))])
		text = text[len(p):]
		out.Write(p[:f.apply(p)])
	}
	return out.String()
}

const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

func put(body string) string {
	return fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Empty lines are dropped before requests and nowhere else, however the bytes arrive. Otherwise
// a body that begins or ends with line ends would be changed.
func TestOnlyLeadingEmptyLinesAreDropped(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		var sent, want strings.Builder
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			body := rapid.StringOfN(rapid.SampledFrom([]rune("\r\na:")), 0, 12, -1).Draw(t, "body")
			request := rapid.SampledFrom([]string{get, put(body), strings.ReplaceAll(put(body), "\r\nHost", "\nhost"), "GET /" + strings.Repeat("x", 200) + " HTTP/1.1\r\nHost: h\r\n\r\n"}).Draw(t, "request")
			sent.WriteString(rapid.SampledFrom([]string{"", "\r\n", "\n", "\r\n\r\n"}).Draw(t, "lines") + request)
			want.WriteString(request)
		}
		must.Eq(t, want.String(), filtered(sent.String(), rapid.IntRange(1, 40).Draw(t, "piece")))
	})
}

// Where the end of a request is not certain, all that follows is left as it is, since an
// empty line dropped inside a request could change where net/http sees its end.
func TestNothingIsDroppedWhereTheEndOfARequestIsUncertain(t *testing.T) {
	for name, head := range map[string]string{
		"chunks":               "Transfer-Encoding: chunked\r\n",
		"two lengths":          "Content-Length: 1\r\nContent-Length: 1\r\n",
		"sign":                 "Content-Length: +1\r\n",
		"list":                 "Content-Length: 1, 1\r\n",
		"continued line":       "X: a\r\n Content-Length: 1\r\n",
		"line of white space":  " \r\n",
		"length after padding": "Content-Length: " + strings.Repeat(" ", 64) + "1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			text := "PUT / HTTP/1.1\r\n" + head + "\r\n\r\n\r\n" + get + "\r\n" + get
			must.Eq(t, text, filtered(text, 7))
		})
	}
	many := strings.Repeat("\r\n", 3) + get
	must.Eq(t, "\r\n"+get, filtered(many, 5)) // a server rejects what is beyond the bound
}

// net/http and the filter agree on where requests end: a server that ignores empty lines before
// requests itself reads the same with and without the filter.
func FuzzServerReadsTheSame(f *testing.F) {
	f.Add("Content-Length: 3\r\n", "\r\nx")
	f.Add("Transfer-Encoding: chunked\r\n", "3\r\n\r\nx\r\n0\r\n\r\n")
	f.Add("content-length:0003\n", "\n\nx")
	f.Add(" \r\n", "\r\n")
	f.Fuzz(func(t *testing.T, head, body string) {
		text := "PUT /a HTTP/1.1\r\nHost: h\r\n" + head + "\r\n" + body + get
		must.Eq(t, readAll(text), readAll(filtered("\r\n"+text, 11)))
	})
}

// readAll returns the requests that net/http reads until it rejects one, if empty lines before
// them are skipped.
func readAll(text string) (out []string) {
	in := bufio.NewReader(strings.NewReader(text))
	for {
		for next, _ := in.Peek(1); len(next) > 0 && (next[0] == '\r' || next[0] == '\n'); next, _ = in.Peek(1) {
			_, _ = in.Discard(1) // was peeked
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(r.Body)
		out = append(out, fmt.Sprint(r.Method, r.Header, string(body), err))
		if err != nil {
			return out
		}
	}
}

// A server behind the listener answers requests after empty lines: the first one on a
// connection, one after a request without a body, and one that arrives with the request
// before it.
func TestServerAnswersAfterEmptyLines(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, r.Method, string(body))
	}))
	srv.Listener = NewListener(srv.Listener)
	srv.Start()
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	in := bufio.NewReader(c)
	expect := func(want string) {
		t.Helper()
		resp, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, want, string(body))
	}
	_, _ = io.WriteString(c, "\r\n"+get) // a failure shows in the answer
	expect("GET")
	_, _ = io.WriteString(c, "\r\n"+get+"\r\n"+put("\r\nab\r\n")+"\r\n"+get)
	expect("GET")
	expect("PUT\r\nab\r\n")
	expect("GET")
}
