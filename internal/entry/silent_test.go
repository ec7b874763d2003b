package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
	"github.com/shoenig/test/must"
)

// stallingService is a plain service whose open connections can be made to stall
// permanently while new ones work.
type stallingService struct {
	mu              sync.Mutex
	connectionEpoch int
	closed          chan struct{}
}

type connectionEpochKey struct{}

func (s *stallingService) stallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connectionEpoch++
}

func (s *stallingService) currentEpoch() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionEpoch
}

func (s *stallingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Context().Value(connectionEpochKey{}) != s.currentEpoch() {
		<-s.closed
		return
	}
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	fmt.Fprint(w, "found")
}

func startStallingService(t *testing.T) (*stallingService, string) {
	s := &stallingService{closed: make(chan struct{})}
	srv := httptest.NewUnstartedServer(s)
	srv.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionEpochKey{}, s.currentEpoch())
	}
	srv.Start()
	t.Cleanup(func() {
		close(s.closed)
		srv.Close()
	})
	return s, strings.TrimPrefix(srv.URL, "http://")
}

// A pooled connection that stays silent must not fail an idempotent call: after
// the attempt timeout the call is retried over a new connection.
func TestIdempotentCallRetriesOnANewConnection(t *testing.T) {
	service, address := startStallingService(t)
	doc := &config.Service{
		Service:       "s",
		Upstreams:     []config.Upstream{{Name: "u", Kind: config.UpstreamPlain, Address: address, MaxRunning: 8}},
		Organisations: []config.Organisation{{Name: config.AnonymousOrganisation}},
		Routes:        []config.Route{{Path: "/lookup/", Methods: []string{"GET"}, Idempotent: true, Open: true, DeadlineMS: 3000}},
		Deadlines:     config.Deadlines{ProgressMS: 300},
	}
	s, _ := newFakeServer(t, doc)
	began := time.Now()
	s.opts.Now = func() time.Duration { return time.Since(began) }
	s.opts.Upstream = upstream.NewClient()
	s.opts.Budget = once.NewBudget(0, once.BudgetOptions{}, rand.New(rand.NewPCG(1, 0)))
	s.opts.Dispatch = startDispatch(t, s.opts.Now)
	lookup := func() int {
		rec := httptest.NewRecorder()
		s.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/services/s/lookup/1", nil))
		return rec.Code
	}
	must.Eq(t, http.StatusOK, lookup())
	service.stallOpenConnections()
	must.Eq(t, http.StatusOK, lookup())
}

func startDispatch(t *testing.T, now func() time.Duration) *dispatch.Controller {
	d := dispatch.New(dispatch.Options{Now: now, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	must.NoError(t, d.Update(func(_ time.Duration, table *route.Table) {
		table.SetUpstream(route.Upstream{Name: "s/u", MaxRunning: 8})
		table.SetResident("s/u", []route.ResidentModel{{Model: plainModel("s"), Ready: true}})
	}))
	return d
}
