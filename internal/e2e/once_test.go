package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
	"github.com/shoenig/test/must"
)

// setPlainFaults changes the injected faults of all plain services.
func (f *fleet) setPlainFaults(json string) {
	f.t.Helper()
	for _, u := range f.upstreams {
		SetFaults(f.t, u.plainURL, json)
	}
}

// checkInRuns returns how often a check-in ran, summed over all plain services.
func (f *fleet) checkInRuns(id string) (n uint64) {
	f.t.Helper()
	for _, u := range f.upstreams {
		n += readJSON[plain.Runs](f.t, u.plainURL+"/runs/"+id).Runs
	}
	return n
}

// TestCheckInsRunAtMostOnce checks that no failure makes a non-idempotent call run
// twice, and that no error reports "not run" for a call that may have run.
func TestCheckInsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.workMS = 500
	f := startFleet(t, opts)
	f.runSubtest("lost replies and refusals", lostAndRefusedReplies)
	f.runSubtest("killed instance", killedInstance)
	f.runSubtest("killed upstreams", killedUpstreams)
}

func checkInURL(e *entry, id string) string { return e.url() + "/services/lab/checkin/" + id }

// lostAndRefusedReplies checks that a non-idempotent call whose reply is lost is
// not retried, and that the error reports its outcome as unknown. A call that
// every upstream refused is reported as not run.
func lostAndRefusedReplies(t *testing.T, f *fleet) {
	c := newCallerWithoutKeepAlive(t, f.key)
	for i, e := range f.entries {
		f.setPlainFaults(`{"lose_replies": 1}`)
		id := fmt.Sprintf("lost-%d", i)
		res := c.post(checkInURL(e, id))
		must.Eq(t, http.StatusBadGateway, res.status, must.Sprint(res))
		must.Eq(t, "unknown", res.apiError().Ran)
		must.Eq(t, "unknown", res.header.Get("X-Request-Ran"))
		must.Eq(t, 1, f.checkInRuns(id))
		f.setPlainFaults(`{"lose_replies": 0, "refuse": true}`)
		id = fmt.Sprintf("refused-%d", i)
		res = c.post(checkInURL(e, id))
		must.Eq(t, http.StatusServiceUnavailable, res.status, must.Sprint(res))
		must.Eq(t, "not_run", res.apiError().Ran)
		must.Eq(t, 0, f.checkInRuns(id))
		f.setPlainFaults(`{"refuse": false}`)
	}
}

// killedInstance checks that an instance that is killed during a call does not
// retry it after its restart, and that the other instances do not run it again
// when the caller retries with the same idempotency key. No response may report
// that the call did not run.
func killedInstance(t *testing.T, f *fleet) {
	e := f.entry("north-1")
	responses := make(chan response, 1)
	idempotent := http.Header{"Idempotency-Key": {"specimen-7"}}
	c := newCallerWithoutKeepAlive(t, f.key)
	go func() { responses <- c.send(http.MethodPost, checkInURL(e, "killed"), "", idempotent) }()
	f.eventually(callTimeout, "the call runs", func() bool { return f.checkInRuns("killed") > 0 })
	e.proc.Kill()
	res := <-responses
	must.Error(t, res.err)
	must.NotEq(t, "not_run", res.apiError().Ran)
	for _, other := range f.others(e) {
		res = c.send(http.MethodPost, checkInURL(other, "killed"), "", idempotent)
		must.NotEq(t, "not_run", res.apiError().Ran, must.Sprint(res))
		must.NotEq(t, http.StatusOK, res.status, must.Sprint(res))
	}
	f.startEntry(e)
	f.awaitReady(e)
	f.awaitServing(promptTimeout, e)
	must.Eq(t, 1, f.checkInRuns("killed"))
}

// killedUpstreams checks that a call is reported with an unknown outcome if the
// upstream is killed while it runs the call, and that a call made when no upstream
// is reachable is reported as not run.
func killedUpstreams(t *testing.T, f *fleet) {
	responses := make(chan response, 1)
	go func() { responses <- newCallerWithoutKeepAlive(t, f.key).post(checkInURL(f.entries[0], "cut")) }()
	f.eventually(callTimeout, "the call runs", func() bool { return f.checkInRuns("cut") > 0 })
	for _, zone := range zoneNames {
		f.upstreams[zone].proc.Kill()
	}
	res := <-responses
	must.Eq(t, http.StatusBadGateway, res.status, must.Sprint(res))
	must.Eq(t, "unknown", res.apiError().Ran)
	for _, e := range f.entries {
		res := newCallerWithoutKeepAlive(t, f.key).post(checkInURL(e, "unreachable"))
		must.Eq(t, http.StatusServiceUnavailable, res.status, must.Sprint(res))
		must.Eq(t, "not_run", res.apiError().Ran)
	}
}
