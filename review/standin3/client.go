package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, key, body string
	deadline                time.Duration
	headers                 map[string]string
}

// outcome is what a client saw of an attempt.
type outcome struct {
	id      string
	status  int // 0 if there was no answer
	signed  bool
	whole   bool // the body came to its end
	body    string
	seconds float64
	reused  bool // the connection carried a request before
	// timedOut is whether the client gave up.
	timedOut bool
	err      error
}

const host = "ficu95.example"

// client keeps connections open to one instance.
type client struct{ http *http.Client }

func newClient(connections int) *client {
	return &client{&http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) do(address string, in request) (out outcome) {
	out.id = newID()
	began := time.Now()
	defer func() { out.seconds = time.Since(began).Seconds() }()
	var body io.Reader
	if in.body != "" {
		body = &onceReader{text: in.body}
	}
	r, err := http.NewRequest(in.method, "http://"+address+in.path, body)
	if err != nil {
		out.err = err
		return out
	}
	r.ContentLength = int64(len(in.body))
	r.GetBody = nil // never sent twice
	r.Host = host
	r.Header.Set("X-Attempt-Id", out.id)
	r.Header.Set("X-Key", in.key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(in.deadline.Milliseconds()))
	for name, value := range in.headers {
		r.Header.Set(name, value)
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { out.reused = i.Reused }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), in.deadline)
	defer cancel()
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		out.err, out.timedOut = err, ctx.Err() != nil
		return out
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	out.status, out.signed, out.whole, out.body, out.err = resp.StatusCode, resp.Header.Get("X-Server-Signature") != "", err == nil, string(text), err
	out.timedOut = ctx.Err() != nil
	return out
}

// onceReader is a body that net/http cannot send again by itself.
type onceReader struct {
	text string
	at   int
}

func (r *onceReader) Read(p []byte) (int, error) {
	if r.at == len(r.text) {
		return 0, io.EOF
	}
	n := copy(p, r.text[r.at:])
	r.at += n
	return n, nil
}

// tally counts outcomes.
type tally struct {
	mu    sync.Mutex
	count map[string]int
	worst float64
}

func (t *tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == nil {
		t.count = map[string]int{}
	}
	name := fmt.Sprint(o.status)
	switch {
	case o.status == 0:
		name = "no answer"
	case !o.whole:
		name = "cut"
	}
	t.count[name]++
	t.worst = max(t.worst, o.seconds)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%v, slowest %.2f s", t.count, t.worst)
}
