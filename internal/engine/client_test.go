package engine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCrossedReportIsAnError checks that the client rejects an answer without a
// call id, and the answer to an earlier call on the same connection, which a
// server sends whose answers lag one call behind.
func TestCrossedReportIsAnError(t *testing.T) {
	const (
		matching = iota
		oneBehind
		withoutID
	)
	var mode, connections atomic.Int64
	var previous [2]string // attempt and boot
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := [2]string{r.Header.Get(HeaderAttempt), "boot of " + r.Header.Get(HeaderAttempt)}
		answer := current
		if mode.Load() == oneBehind {
			answer = previous
		}
		previous = current
		if mode.Load() != withoutID {
			w.Header().Set(HeaderAttempt, answer[0])
		}
		_ = json.NewEncoder(w).Encode(Report{Boot: answer[1]})
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := NewClient(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	report := func() (Report, error) { return c.Report(context.Background(), address) }

	first, err := report()
	must.NoError(t, err)
	second, err := report()
	must.NoError(t, err)
	must.NotEq(t, first.Boot, second.Boot, must.Sprint("two calls had the same id"))
	must.Eq(t, 1, connections.Load())
	for _, m := range []int64{oneBehind, withoutID} {
		mode.Store(m)
		mismatched, err := report()
		must.ErrorIs(t, err, ErrMismatchedReply)
		must.Eq(t, Report{}, mismatched)
	}
	mode.Store(matching)
	_, err = report()
	must.NoError(t, err)
	must.Eq(t, 3, connections.Load(), must.Sprint("a connection with a mismatched answer was reused"))
}
