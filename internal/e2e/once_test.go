package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
	"github.com/shoenig/test/must"
)

// plainFaults changes the faults of all plain services.
func (f *fleet) plainFaults(json string) {
	f.t.Helper()
	for _, u := range f.upstreams {
		Faults(f.t, u.plain, json)
	}
}

// runs returns how often a check-in ran in all plain services together.
func (f *fleet) runs(id string) (n uint64) {
	f.t.Helper()
	for _, u := range f.upstreams {
		n += readJSON[plain.Runs](f.t, u.plain+"/runs/"+id).Runs
	}
	return n
}

// TestCheckInsRunAtMostOnce: no failure makes a non-idempotent call run twice,
// and no error says "not run" of a call that may have run.
func TestCheckInsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.workMS = 500
	f := startFleet(t, opts)
	f.run("lost replies and refusals", lostAndRefused)
	f.run("instance dies", instanceDies)
	f.run("upstream dies", upstreamDies)
}

func checkIn(e *entry, id string) string { return e.url() + "/services/lab/checkin/" + id }

// lostAndRefused: a non-idempotent call whose reply is lost is not
// repeated, and the error says that its outcome is unknown. One that no
// upstream ran is answered as not run.
func lostAndRefused(t *testing.T, f *fleet) {
	c := newFreshCaller(t, f.key)
	for i, e := range f.entries {
		f.plainFaults(`{"lose_replies": 1}`)
		id := fmt.Sprintf("lost-%d", i)
		a := c.post(checkIn(e, id))
		must.Eq(t, http.StatusBadGateway, a.status, must.Sprint(a))
		must.Eq(t, "unknown", a.refusal().Ran)
		must.Eq(t, "unknown", a.header.Get("X-Request-Ran"))
		must.Eq(t, 1, f.runs(id))
		f.plainFaults(`{"lose_replies": 0, "refuse": true}`)
		id = fmt.Sprintf("refused-%d", i)
		a = c.post(checkIn(e, id))
		must.Eq(t, http.StatusServiceUnavailable, a.status, must.Sprint(a))
		must.Eq(t, "not_run", a.refusal().Ran)
		must.Eq(t, 0, f.runs(id))
		f.plainFaults(`{"refuse": false}`)
	}
}

// instanceDies: an instance killed in mid-call repeats nothing, and nor do the
// others when the caller repeats the call under its idempotency key. Nobody is
// told that the call did not run.
func instanceDies(t *testing.T, f *fleet) {
	e := f.entry("north-1")
	answered := make(chan answer, 1)
	idempotent := http.Header{"Idempotency-Key": {"specimen-7"}}
	c := newFreshCaller(t, f.key)
	go func() { answered <- c.send(http.MethodPost, checkIn(e, "killed"), "", idempotent) }()
	f.eventually(callTimeout, "the call runs", func() bool { return f.runs("killed") > 0 })
	e.proc.Kill()
	a := <-answered
	must.Error(t, a.err)
	must.NotEq(t, "not_run", a.refusal().Ran)
	for _, other := range f.others(e) {
		a = c.send(http.MethodPost, checkIn(other, "killed"), "", idempotent)
		must.NotEq(t, "not_run", a.refusal().Ran, must.Sprint(a))
		must.NotEq(t, http.StatusOK, a.status, must.Sprint(a))
	}
	f.startEntry(e)
	f.awaitReady(e)
	f.awaitServing(promptBound, e)
	must.Eq(t, 1, f.runs("killed"))
}

// upstreamDies: a call that was cut in the upstream may have run, and the error
// does not say otherwise; one to an upstream that is gone has not run.
func upstreamDies(t *testing.T, f *fleet) {
	answered := make(chan answer, 1)
	go func() { answered <- newFreshCaller(t, f.key).post(checkIn(f.entries[0], "cut")) }()
	f.eventually(callTimeout, "the call runs", func() bool { return f.runs("cut") > 0 })
	for _, zone := range zoneNames {
		f.upstreams[zone].proc.Kill()
	}
	a := <-answered
	must.Eq(t, http.StatusBadGateway, a.status, must.Sprint(a))
	must.Eq(t, "unknown", a.refusal().Ran)
	for _, e := range f.entries {
		a := newFreshCaller(t, f.key).post(checkIn(e, "unreachable"))
		must.Eq(t, http.StatusServiceUnavailable, a.status, must.Sprint(a))
		must.Eq(t, "not_run", a.refusal().Ran)
	}
}
