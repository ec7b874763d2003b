package fault

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newServer(t *testing.T, s *Set, h http.Handler) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(s.WrapAll(s.WrapWork(h)))
	srv.Listener = s.Listener(srv.Listener)
	srv.Config.ConnContext = ConnContext
	srv.Start()
	t.Cleanup(func() {
		s.CloseSilent()
		srv.Close()
	})
	return srv.URL
}

func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func post(t *testing.T, c *http.Client, url, body string) (int, string) {
	t.Helper()
	res, err := c.Post(url, "application/json", strings.NewReader(body))
	must.NoError(t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	return res.StatusCode, string(text)
}

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

func TestPostChangesOnlyWhatItNames(t *testing.T) {
	s := NewSet()
	url := newServer(t, s, http.HandlerFunc(hello))
	c := newHTTPClient(t)
	status, _ := post(t, c, url+Path, `{"latency_ms": 1, "orders": {"lose_next": 2}}`)
	must.Eq(t, http.StatusOK, status)
	_, _ = post(t, c, url+Path, `{"orders": {"duplicate_next": 3}}`)
	must.Eq(t, Faults{LatencyMS: 1, Orders: OrderFaults{DropNext: 2, DuplicateNext: 3}}, s.Get())
	status, body := post(t, c, url+Path, `{"latency": 1}`)
	must.Eq(t, http.StatusBadRequest, status)
	must.StrContains(t, body, "latency")
}

func TestOutageLeavesTheFaultsReachable(t *testing.T) {
	s := NewSet()
	url := newServer(t, s, http.HandlerFunc(hello))
	c := newHTTPClient(t)
	_, _ = post(t, c, url+Path, `{"outage": true}`)
	status, _ := post(t, c, url+"/x", "")
	must.Eq(t, http.StatusServiceUnavailable, status)
	_, _ = post(t, c, url+Path, `{"outage": false}`)
	_, body := post(t, c, url+"/x", "")
	must.Eq(t, "hello", body)
}

func TestSilentConnections(t *testing.T) {
	s := NewSet()
	served := make(chan struct{}, 2)
	url := newServer(t, s, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served <- struct{}{}
		_, _ = io.WriteString(w, "hello")
	}))
	old, control := newHTTPClient(t), newHTTPClient(t)
	_, body := post(t, old, url+"/x", "")
	must.Eq(t, "hello", body)
	<-served
	_, view := post(t, control, url+Path, `{"silent_connections": true}`)
	must.StrContains(t, view, `"silenced":1`)

	old.Timeout = 100 * time.Millisecond
	_, err := old.Post(url+"/x", "", nil)
	must.ErrorContains(t, err, "Timeout")
	must.Eq(t, 0, len(served))
	_, body = post(t, newHTTPClient(t), url+"/x", "")
	must.Eq(t, "hello", body)
	_, body = post(t, control, url+"/x", "")
	must.Eq(t, "hello", body)
}
