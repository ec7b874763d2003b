package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/shoenig/test/must"
)

// startSlowService serves an idempotent route through a plain service that answers
// after delay and has room for maxRunning requests. It returns the URL of the route.
func startSlowService(t *testing.T, delay time.Duration, maxRunning int, deadlineMS int64, budget once.BudgetOptions, onRequest func()) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		onRequest()
		time.Sleep(delay)
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		fmt.Fprint(w, "found")
	}))
	t.Cleanup(srv.Close)
	return startSilenceServer(t, &config.Service{
		Service:       "s",
		Upstreams:     []config.Upstream{{Name: "u", Kind: config.UpstreamPlain, Address: strings.TrimPrefix(srv.URL, "http://"), MaxRunning: maxRunning}},
		Organisations: []config.Organisation{{Name: config.AnonymousOrganisation}},
		Routes:        []config.Route{{Path: "/lookup/", Methods: []string{"GET"}, Idempotent: true, Open: true, DeadlineMS: deadlineMS}},
		Deadlines:     config.Deadlines{ProgressMS: silenceProgress.Milliseconds()},
	}, budget) + "/services/s/lookup/1"
}

// lookup returns the status of a call, 0 without an answer.
func lookup(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// An idempotent call to a plain service must not be given up if no other attempt may
// follow.
func TestPlainAttemptIsKeptUnlessReplaced(t *testing.T) {
	url := startSlowService(t, 2*silenceProgress, 8, 3000, once.BudgetOptions{Reserve: 0.01, RetryRatio: 0.01}, func() {})
	must.Eq(t, http.StatusOK, lookup(url))
}

// An attempt must not be given up while there is no place for another one: the
// request behind it in the queue would take its place.
func TestAttemptIsKeptWithoutPlaceForAnother(t *testing.T) {
	var url string
	second := make(chan int, 1)
	sendSecond := sync.OnceFunc(func() { go func() { second <- lookup(url) }() })
	url = startSlowService(t, 3*silenceProgress, 1, 1500, once.BudgetOptions{}, sendSecond)
	must.Eq(t, http.StatusOK, lookup(url))
	t.Logf("the second request got %d", <-second)
}
