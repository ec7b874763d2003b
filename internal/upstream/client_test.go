package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

func newAttempt(address string, newConnection bool) *Attempt {
	return &Attempt{
		Method: http.MethodPost, Address: address, Path: "/", Body: []byte("x"), NewConnection: newConnection,
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	srv := httptest.NewServer(nil)
	address := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	a := newAttempt(address, true)
	_, err := NewClient().Do(context.Background(), a)
	must.ErrorIs(t, err, ErrNoAnswer)
	must.False(t, a.Sent.Load())
}

// TestFreshAttemptIsSentOnce checks that an upstream that runs a request and
// closes the connection gets the request once. On a pooled connection, net/http
// resends a request that has an Idempotency-Key.
func TestFreshAttemptIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	var abort atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		runs.Add(1)
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	runsOfOneAttempt := func(newConnection bool) int64 {
		c := NewClient()
		abort.Store(false)
		resp, err := c.Do(context.Background(), newAttempt(address, newConnection))
		must.NoError(t, err)
		_, _ = io.ReadAll(resp.Body)
		resp.Body.Close()
		before := runs.Load()
		abort.Store(true)
		a := newAttempt(address, newConnection)
		_, err = c.Do(context.Background(), a)
		must.ErrorIs(t, err, ErrNoAnswer)
		must.True(t, a.Sent.Load())
		return runs.Load() - before
	}
	must.Eq(t, 1, runsOfOneAttempt(true))
	must.Eq(t, 2, runsOfOneAttempt(false), must.Sprint("net/http no longer resends on pooled connections"))
}

func TestCleanHeader(t *testing.T) {
	in := http.Header{
		"Authorization": {"Bearer eg-1-secret"}, "X-Api-Key": {"k"}, "X-Note": {"has secret inside"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Accept": {"text/plain"},
	}
	must.Eq(t, http.Header{"Accept": {"text/plain"}}, CleanHeader(in, "secret"))
	must.True(t, ContainsSecret("/a?b=secret", nil, "secret"))
	must.False(t, ContainsSecret("/a", []byte("b"), "secret"))
}
