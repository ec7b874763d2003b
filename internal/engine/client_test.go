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

// TestCrossedReportIsAnError answers each report with the one asked for before
// on the same connection, as a peer does that is out of step by one answer.
func TestCrossedReportIsAnError(t *testing.T) {
	const (
		inStep = iota
		late
		silent
	)
	var mode, connections atomic.Int64
	var former [2]string // attempt and boot
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := [2]string{r.Header.Get(HeaderAttempt), "boot of " + r.Header.Get(HeaderAttempt)}
		answer := now
		if mode.Load() == late {
			answer = former
		}
		former = now
		if mode.Load() != silent {
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
	must.NotEq(t, first.Boot, second.Boot, must.Sprint("two calls had one id"))
	must.Eq(t, 1, connections.Load())
	for _, m := range []int64{late, silent} {
		mode.Store(m)
		crossed, err := report()
		must.ErrorIs(t, err, ErrCrossed)
		must.Eq(t, Report{}, crossed)
	}
	mode.Store(inStep)
	_, err = report()
	must.NoError(t, err)
	must.Eq(t, 3, connections.Load(), must.Sprint("a connection out of step was used again"))
}
