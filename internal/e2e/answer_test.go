package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/observe"
	"github.com/shoenig/test/must"
)

// TestAnswersAreWholeAndOwn: whatever happens to a stream between an engine and
// an instance, its caller gets the whole answer to its own request, or the
// beginning of it with an error and without the end marker.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 10
	f := startFleet(t, opts)
	f.run("crossed answers", crossedAnswers)
	f.run("cut streams", cutStreams)
	f.run("silent connections", silentConnections)
	f.run("engine dies", engineDies)
	f.run("refusal of another attempt", refusalOfAnotherAttempt)
}

// streams asks for so many streams at once, spread over the instances, and
// returns them when all have ended. Once each has begun, during is called.
func (f *fleet) streams(count, tokens int, during func()) []streamed {
	var wg, begun sync.WaitGroup
	answers := make([]streamed, count)
	begun.Add(count)
	for i := range count {
		c, e := newFreshCaller(f.t, f.key), f.entries[i%len(f.entries)]
		first := sync.OnceFunc(begun.Done)
		wg.Go(func() {
			defer first()
			answers[i] = c.stream(e.url(), fmt.Sprintf("panel %d", i), tokens, first)
		})
	}
	begun.Wait()
	during()
	wg.Wait()
	return answers
}

// engineFaults changes the faults of all engines.
func (f *fleet) engineFaults(json string) {
	f.t.Helper()
	for _, u := range f.upstreams {
		Faults(f.t, u.engine, json)
	}
}

// crossedAnswers: callers whose answers an engine crossed get their own
// whole answers, or an error.
func crossedAnswers(t *testing.T, f *fleet) {
	const pairs = 4
	f.engineFaults(fmt.Sprintf(`{"cross_answers": %d}`, pairs))
	crossed := func() (n int) {
		for _, u := range f.upstreams {
			n += pairs - readJSON[fault.View](t, u.engine+fault.Path).CrossAnswers
		}
		return n
	}
	f.eventually(callTimeout, "answers were crossed", func() bool {
		for _, s := range f.streams(8, 10, func() {}) {
			must.True(t, s.whole() || s.saysSo(), must.Sprint(s))
		}
		return crossed() >= pairs
	})
	f.engineFaults(`{"cross_answers": 0}`)
	f.eventually(callTimeout, "plain answers were crossed", func() bool {
		return f.crossPlain() > 0
	})
}

// crossPlain sends lookups while plain services cross answers, and returns how
// many pairs were crossed.
func (f *fleet) crossPlain() (crossed int) {
	f.t.Helper()
	for _, u := range f.upstreams {
		Faults(f.t, u.plain, `{"cross_answers": 1}`)
	}
	var wg sync.WaitGroup
	answers := make([]answer, 4)
	for i := range answers {
		c := newFreshCaller(f.t, f.key)
		wg.Go(func() { answers[i] = c.get(fmt.Sprintf("%s/services/lab/lookup/id-%d", f.entries[i].url(), i)) })
	}
	wg.Wait()
	for i, a := range answers {
		own := a.status == http.StatusOK && strings.Contains(string(a.body), fmt.Sprintf(`"id-%d"`, i))
		must.True(f.t, own || a.refusal().Code != "", must.Sprint(i, a))
	}
	for _, u := range f.upstreams {
		crossed += 1 - readJSON[fault.View](f.t, u.plain+fault.Path).CrossAnswers
		Faults(f.t, u.plain, `{"cross_answers": 0}`)
	}
	return crossed
}

// cutStreams: a stream that breaks is resumed, as often as it breaks.
func cutStreams(t *testing.T, f *fleet) {
	const cutAfter = 5
	f.engineFaults(fmt.Sprintf(`{"cut_stream_after_tokens": %d}`, cutAfter))
	for _, s := range f.streams(8, 4*cutAfter+2, func() {}) {
		must.True(t, s.whole(), must.Sprint(s))
	}
	f.engineFaults(`{"cut_stream_after_tokens": 0}`)
}

// engineDies: when an engine dies in mid-answer, the caller gets the whole
// answer of another engine alone, or the beginning of its own and an error,
// and never parts of both.
func engineDies(t *testing.T, f *fleet) {
	const tokens = 100
	before := f.engineWork()
	c := newFreshCaller(t, f.key)
	var wg sync.WaitGroup
	wholes := make([]answer, 8)
	answers := f.streams(len(wholes), tokens, func() {
		for i := range wholes {
			body := fmt.Sprintf(`{"model": %q, "prompt": "whole %d", "max_tokens": %d}`, modelName, i, tokens)
			wg.Go(func() { wholes[i] = c.send(http.MethodPost, f.entries[0].url()+"/v1/completions", body, nil) })
		}
		zone := zoneNames[0]
		for z, n := range f.engineWork() {
			if n-before[z] > f.engineWork()[zone]-before[zone] {
				zone = z
			}
		}
		f.upstreams[zone].proc.Kill()
	})
	wg.Wait()
	cut := 0
	for _, s := range answers {
		must.True(t, s.whole() || s.saysSo(), must.Sprint(s))
		if !s.whole() {
			must.Eq(t, "unknown", s.refusal.Ran)
			cut++
		}
	}
	must.Positive(t, cut)
	for i, a := range wholes {
		want := modelengine.Answer(modelName, []string{"whole", strconv.Itoa(i)}, tokens)
		must.True(t, a.refusal().Code != "" || wholeText(a) == want, must.Sprint(a))
	}
}

// engineWork returns how many requests reached each zone's engine.
func (f *fleet) engineWork() map[string]uint64 {
	work := map[string]uint64{}
	for zone, u := range f.upstreams {
		work[zone] = readJSON[observe.Arrivals](f.t, u.engine+"/counters").Work
	}
	return work
}

// wholeText returns the text of an answer that is not streamed.
func wholeText(a answer) string {
	var e event
	if json.Unmarshal(a.body, &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text
}

// silentConnections: streams whose connections to the engine go silent are
// resumed over new ones, and later requests do not wait for the old ones.
func silentConnections(t *testing.T, f *fleet) {
	const tokens = 150
	answers := f.streams(8, tokens, func() { f.engineFaults(`{"silent_connections": true}`) })
	for _, s := range answers {
		must.True(t, s.whole(), must.Sprint(s))
	}
	silenced := 0
	for _, u := range f.upstreams {
		silenced += readJSON[fault.View](t, u.engine+fault.Path).Silenced
	}
	must.Positive(t, silenced)
	for _, s := range f.streams(8, 5, func() {}) {
		must.True(t, s.whole(), must.Sprint(s))
	}
}

// fakeEngine reports a model and answers work with a refusal of its own.
type fakeEngine struct {
	attempt func(*http.Request) string // that the refusal names
}

func (e fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == engine.PathReport {
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		_ = json.NewEncoder(w).Encode(engine.Report{
			Boot: "1", Seq: 1, MemoryMB: engineMemoryMB, FreeKVTokens: 1000, Role: engine.RoleMixed,
			Resident: []engine.Resident{{Model: modelName, MemoryMB: 100, State: engine.ResidencyReady}},
		})
		return
	}
	w.Header().Set(engine.HeaderAttempt, e.attempt(r))
	w.Header().Set(engine.HeaderRan, engine.RanNo)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusalOfAnotherAttempt: an engine's word that it did not run a request
// counts only if it is about this attempt.
func refusalOfAnotherAttempt(t *testing.T, f *fleet) {
	for _, test := range []struct {
		ran     string
		attempt func(*http.Request) string
	}{
		{"not_run", func(r *http.Request) string { return r.Header.Get(engine.HeaderAttempt) }},
		{"unknown", func(*http.Request) string { return "another" }},
	} {
		server := httptest.NewServer(fakeEngine{test.attempt})
		t.Cleanup(server.Close)
		f.edit(func(doc *config.Service) {
			for i := range doc.Upstreams {
				if doc.Upstreams[i].Kind == config.UpstreamEngine {
					doc.Upstreams[i].Address = server.Listener.Addr().String()
				}
			}
		})
		c := newCaller(t, f.key)
		f.eventually(promptBound, "refused as "+test.ran, func() bool {
			s := c.stream(f.entries[0].url(), "a", 3, func() {})
			return s.status != http.StatusOK && s.refusal.Code != "no_upstream" && s.refusal.Ran == test.ran
		})
		s := c.stream(f.entries[0].url(), "a", 3, func() {})
		must.True(t, s.refusal.Ran == test.ran || s.refusal.Code == "no_upstream", must.Sprint(s))
	}
}
