package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

func runsOf(t *testing.T, url, id string) uint64 {
	t.Helper()
	res, err := http.Get(url + "/runs/" + id)
	must.NoError(t, err)
	defer res.Body.Close()
	var runs Runs
	must.NoError(t, json.NewDecoder(res.Body).Decode(&runs))
	return runs.Runs
}

func TestRunsAreCountedWhenAnswersAreLostOrRefused(t *testing.T) {
	s := New(Options{Name: "p"})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	checkin := func() (*http.Response, error) {
		req, err := http.NewRequest(http.MethodPost, srv.URL+"/checkin/7", nil)
		must.NoError(t, err)
		req.Header.Set(engine.HeaderAttempt, "a1")
		return http.DefaultClient.Do(req)
	}

	res, err := checkin()
	must.NoError(t, err)
	must.Eq(t, "a1", res.Header.Get(engine.HeaderAttempt))
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.StrContains(t, string(body), Result("7"))
	must.NoError(t, res.Body.Close())
	must.Eq(t, 1, runsOf(t, srv.URL, "7"))

	s.Faults().Update(func(f *fault.Faults) { f.DropReplies = 1 })
	_, err = checkin()
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 2, runsOf(t, srv.URL, "7"))

	s.Faults().Update(func(f *fault.Faults) { f.Refuse = true })
	res, err = checkin()
	must.NoError(t, err)
	must.NoError(t, res.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
	must.Eq(t, engine.ExecutedNo, res.Header.Get(engine.HeaderExecuted))
	must.Eq(t, 2, runsOf(t, srv.URL, "7"))
}

func TestArrivalsAfterLeavingAreCounted(t *testing.T) {
	s := New(Options{Name: "p"})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	for _, leaving := range []bool{false, true} {
		s.Faults().Update(func(f *fault.Faults) { f.Leaving = leaving })
		res, err := http.Get(srv.URL + "/lookup/1")
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
	}
	a := s.counter.Arrivals()
	must.Eq(t, 2, a.Work)
	must.Eq(t, 1, a.AfterLeaving)
}
