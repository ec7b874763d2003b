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

func attempt(address string, fresh bool) *Attempt {
	return &Attempt{
		Method: http.MethodPost, Address: address, Path: "/", Body: []byte("x"), Fresh: fresh,
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	srv := httptest.NewServer(nil)
	address := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	a := attempt(address, true)
	_, err := NewClient().Do(context.Background(), a)
	must.ErrorIs(t, err, ErrFailed)
	must.False(t, a.Sent.Load())
}

// TestFreshAttemptIsSentOnce: an upstream that runs the request and closes the
// connection sees it once, though net/http would send a request with an
// Idempotency-Key again on a connection from the pool.
func TestFreshAttemptIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	var drop atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		runs.Add(1)
		if drop.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	count := func(fresh bool) int64 {
		c := NewClient()
		drop.Store(false)
		resp, err := c.Do(context.Background(), attempt(address, fresh))
		must.NoError(t, err)
		_, _ = io.ReadAll(resp.Body)
		resp.Body.Close()
		before := runs.Load()
		drop.Store(true)
		a := attempt(address, fresh)
		_, err = c.Do(context.Background(), a)
		must.ErrorIs(t, err, ErrFailed)
		must.True(t, a.Sent.Load())
		return runs.Load() - before
	}
	must.Eq(t, 1, count(true))
	must.Eq(t, 2, count(false), must.Sprint("the hazard that Fresh avoids"))
}

func TestCleanHeader(t *testing.T) {
	in := http.Header{
		"Authorization": {"Bearer eg-1-secret"}, "X-Api-Key": {"k"}, "X-Note": {"has secret inside"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Accept": {"text/plain"},
	}
	must.Eq(t, http.Header{"Accept": {"text/plain"}}, CleanHeader(in, "secret"))
	must.True(t, Leaks("/a?b=secret", nil, "secret"))
	must.False(t, Leaks("/a", []byte("b"), "secret"))
}
