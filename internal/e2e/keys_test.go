package e2e

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/shoenig/test/must"
)

// TestWithdrawnKeyStopsOnOpenConnections checks that a caller that reuses its
// connection is refused once its key is withdrawn, also in a zone that is
// partitioned from the platform and can reach only the other zone.
func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	for _, partitioned := range []bool{false, true} {
		key := f.issueKey()
		callers := map[*entry]*caller{}
		for _, e := range f.entries {
			callers[e] = newCaller(t, key)
			res := callers[e].get(e.url() + "/services/lab/lookup/a")
			must.Eq(t, http.StatusOK, res.status, must.Sprint(res))
		}
		if partitioned {
			f.proxies["south"].Blackhole()
		}
		f.withdraw(key)
		for _, e := range f.entries {
			f.eventually(promptTimeout, fmt.Sprintf("%s refuses the withdrawn key, partitioned %t", e.name, partitioned), func() bool {
				return callers[e].get(e.url()+"/services/lab/lookup/a").status == http.StatusUnauthorized
			})
			must.Eq(t, 1, callers[e].dials.Load(), must.Sprint("connections to "+e.name))
		}
	}
}

// requestRecorder is a plain service that records every request it receives.
type requestRecorder struct {
	mu       sync.Mutex
	requests []string
}

func (r *requestRecorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	dump, err := httputil.DumpRequest(req, true)
	r.mu.Lock()
	r.requests = append(r.requests, fmt.Sprint(string(dump), err))
	r.mu.Unlock()
	w.Header().Set(engine.HeaderAttempt, req.Header.Get(engine.HeaderAttempt))
	_, _ = io.WriteString(w, "{}")
}

// TestNoUpstreamSeesAKey checks that a key in any part of a request is not
// forwarded to engines or plain services.
func TestNoUpstreamSeesAKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	rec := &requestRecorder{}
	server := httptest.NewServer(rec)
	t.Cleanup(server.Close)
	key := f.key
	secret := strings.Split(key, "-")[2]
	c := newCaller(t, key)
	for _, e := range f.entries {
		s := c.stream(e.url(), "a b", 3, func() {})
		must.True(t, s.complete(), must.Sprint(s))
		must.Eq(t, http.StatusOK, c.get(e.url()+"/services/lab/lookup/a").status)
	}
	f.edit(func(doc *config.Service) {
		for i := range doc.Upstreams {
			if doc.Upstreams[i].Kind == config.UpstreamPlain {
				doc.Upstreams[i].Address = server.Listener.Addr().String()
			}
		}
	})
	headers := http.Header{"X-Api-Key": {key}, "Cookie": {"k=" + key}, "X-Other": {"token " + secret}, "X-Kept": {"kept"}}
	for _, e := range f.entries {
		f.eventually(promptTimeout, "the document is in force", func() bool {
			before := len(rec.all())
			res := c.send(http.MethodGet, e.url()+"/services/lab/lookup/b?x=1", "", headers)
			must.Eq(t, http.StatusOK, res.status, must.Sprint(res))
			return len(rec.all()) > before
		})
	}
	before := len(rec.all())
	for _, leak := range []response{
		c.get(f.entries[0].url() + "/services/lab/lookup/" + key),
		c.get(f.entries[0].url() + "/services/lab/lookup/c?key=" + key),
		c.send(http.MethodPost, f.entries[0].url()+"/services/lab/checkin/c", `{"key": "`+key+`"}`, nil),
		c.send(http.MethodPost, f.entries[0].url()+"/v1/completions", `{"model": "notes", "prompt": "`+key+`"}`, nil),
	} {
		must.Eq(t, http.StatusBadRequest, leak.status, must.Sprint(leak))
		must.Eq(t, "not_run", leak.apiError().Ran)
	}
	must.Eq(t, before, len(rec.all()))
	for _, seen := range rec.all() {
		must.StrNotContains(t, seen, secret)
		must.StrContains(t, seen, "X-Kept: kept")
	}
	for _, u := range f.upstreams {
		for _, base := range []string{u.engineURL, u.plainURL} {
			must.Eq(t, 0, readJSON[observe.CredentialCount](t, base+observe.CredentialsPath).Count)
		}
	}
}

func (r *requestRecorder) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.requests...)
}
