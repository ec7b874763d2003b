package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/shoenig/test/must"
)

const callTimeout = 30 * time.Second

// caller sends requests with one key over connections of its own, which it
// keeps open.
type caller struct {
	key    string
	client *http.Client
	dials  atomic.Int64
}

func newCaller(t *testing.T, key string) *caller {
	c := &caller{key: key}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c.dials.Add(1)
		return new(net.Dialer).DialContext(ctx, network, address)
	}}
	c.client = &http.Client{Timeout: callTimeout, Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	return c
}

// newFreshCaller returns a caller that opens a connection for each request, so
// that net/http never sends a request twice.
func newFreshCaller(t *testing.T, key string) *caller {
	c := newCaller(t, key)
	c.client.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// answer is what a caller got; err is set if it is not whole.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, error %v: %s", a.status, a.err, a.body)
}

// refusal is the error in an answer's body.
type refusal struct {
	Code string `json:"code"`
	Ran  string `json:"ran"`
}

func (a answer) refusal() refusal {
	var body struct {
		Error refusal `json:"error"`
	}
	_ = json.Unmarshal(a.body, &body) // zero for an answer without one
	return body.Error
}

func (c *caller) get(url string) answer  { return c.send(http.MethodGet, url, "", nil) }
func (c *caller) post(url string) answer { return c.send(http.MethodPost, url, "", nil) }

func (c *caller) send(method, url, body string, header http.Header) answer {
	res, err := c.open(method, url, body, header)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: text, err: err}
}

func (c *caller) open(method, url, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	return c.client.Do(req)
}

// streamed is what a caller got of a streamed answer.
type streamed struct {
	status  int
	prompt  string
	tokens  int // asked for
	text    string
	done    bool    // the end marker came
	refusal refusal // in the stream or instead of it
	err     error   // the connection broke
}

func (s streamed) String() string {
	return fmt.Sprintf("status %d, %d bytes, done %t, refusal %v, error %v", s.status, len(s.text), s.done, s.refusal, s.err)
}

// want is the text of the whole answer.
func (s streamed) want() string {
	return modelengine.Answer(modelName, strings.Fields(s.prompt), s.tokens)
}

// whole reports whether the answer is whole and the caller's own.
func (s streamed) whole() bool { return s.done && s.text == s.want() }

// saysSo reports whether an answer that is not whole says so: an error, no end
// marker, and nothing but the beginning of the caller's own answer before it.
func (s streamed) saysSo() bool {
	return !s.done && s.refusal.Code != "" && strings.HasPrefix(s.want(), s.text)
}

// event is one event of a stream.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *refusal `json:"error"`
}

// stream asks for a streamed answer and calls onToken after each event.
func (c *caller) stream(base, prompt string, tokens int, onToken func()) streamed {
	s := streamed{prompt: prompt, tokens: tokens}
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": %d, "stream": true}`, modelName, prompt, tokens)
	res, err := c.open(http.MethodPost, base+"/v1/completions", body, nil)
	if err != nil {
		s.err = err
		return s
	}
	defer res.Body.Close()
	s.status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		text, err := io.ReadAll(res.Body)
		s.refusal, s.err = answer{body: text}.refusal(), err
		return s
	}
	s.read(res.Body, onToken)
	return s
}

func (s *streamed) read(body io.Reader, onToken func()) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.done = true
			continue
		}
		var e event
		if s.err = json.Unmarshal(data, &e); s.err != nil {
			return
		}
		if e.Error != nil {
			s.refusal = *e.Error
		}
		if len(e.Choices) > 0 {
			s.text += e.Choices[0].Text
		}
		onToken()
	}
	s.err = lines.Err()
}

// readJSON reads a stand-in's answer.
func readJSON[T any](t *testing.T, url string) T {
	t.Helper()
	res, err := http.Get(url)
	must.NoError(t, err)
	defer res.Body.Close()
	var v T
	must.NoError(t, json.NewDecoder(res.Body).Decode(&v))
	return v
}
