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

// caller sends requests with one API key. It has its own connections and keeps
// them alive.
type caller struct {
	key    string
	client *http.Client
	dials  atomic.Int64 // connections opened so far
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

// newCallerWithoutKeepAlive returns a caller that opens a connection for each
// request, so that net/http never sends a request twice.
func newCallerWithoutKeepAlive(t *testing.T, key string) *caller {
	c := newCaller(t, key)
	c.client.Transport.(*http.Transport).DisableKeepAlives = true
	return c
}

// response is what a caller received; err is set if it is incomplete.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r response) String() string {
	return fmt.Sprintf("status %d, error %v: %s", r.status, r.err, r.body)
}

// apiError is the error object in the body of a response.
type apiError struct {
	Code string `json:"code"`
	Ran  string `json:"ran"`
}

func (r response) apiError() apiError {
	var body struct {
		Error apiError `json:"error"`
	}
	_ = json.Unmarshal(r.body, &body) // the zero value if the body holds no error
	return body.Error
}

func (c *caller) get(url string) response  { return c.send(http.MethodGet, url, "", nil) }
func (c *caller) post(url string) response { return c.send(http.MethodPost, url, "", nil) }

func (c *caller) send(method, url, body string, header http.Header) response {
	res, err := c.open(method, url, body, header)
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: text, err: err}
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

// streamResponse is what a caller received of a streamed response.
type streamResponse struct {
	status    int
	prompt    string
	maxTokens int // max_tokens of the request
	text      string
	endMarker bool     // the end marker was received
	apiErr    apiError // error event in the stream, or error response instead of a stream
	err       error    // read error of the connection
}

func (s streamResponse) String() string {
	return fmt.Sprintf("status %d, %d bytes, end marker %t, API error %v, error %v", s.status, len(s.text), s.endMarker, s.apiErr, s.err)
}

// wantText returns the text of the complete response.
func (s streamResponse) wantText() string {
	return modelengine.ExpectedText(modelName, strings.Fields(s.prompt), s.maxTokens)
}

// complete reports whether the response has the end marker and is the complete
// text for this request.
func (s streamResponse) complete() bool { return s.endMarker && s.text == s.wantText() }

// truncatedWithError reports whether an incomplete response is marked as such: it
// has an error and no end marker, and its text is a prefix of the response to
// this request.
func (s streamResponse) truncatedWithError() bool {
	return !s.endMarker && s.apiErr.Code != "" && strings.HasPrefix(s.wantText(), s.text)
}

// streamEvent is one server-sent event of a streamed response.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

// stream sends a streamed completion request and calls onToken after each event.
func (c *caller) stream(baseURL, prompt string, maxTokens int, onToken func()) streamResponse {
	s := streamResponse{prompt: prompt, maxTokens: maxTokens}
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": %d, "stream": true}`, modelName, prompt, maxTokens)
	res, err := c.open(http.MethodPost, baseURL+"/v1/completions", body, nil)
	if err != nil {
		s.err = err
		return s
	}
	defer res.Body.Close()
	s.status = res.StatusCode
	if res.StatusCode != http.StatusOK {
		text, err := io.ReadAll(res.Body)
		s.apiErr, s.err = response{body: text}.apiError(), err
		return s
	}
	s.read(res.Body, onToken)
	return s
}

func (s *streamResponse) read(body io.Reader, onToken func()) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.endMarker = true
			continue
		}
		var e streamEvent
		if s.err = json.Unmarshal(data, &e); s.err != nil {
			return
		}
		if e.Error != nil {
			s.apiErr = *e.Error
		}
		if len(e.Choices) > 0 {
			s.text += e.Choices[0].Text
		}
		onToken()
	}
	s.err = lines.Err()
}

// readJSON gets a URL of a stand-in and decodes the JSON body.
func readJSON[T any](t *testing.T, url string) T {
	t.Helper()
	res, err := http.Get(url)
	must.NoError(t, err)
	defer res.Body.Close()
	var v T
	must.NoError(t, json.NewDecoder(res.Body).Decode(&v))
	return v
}
