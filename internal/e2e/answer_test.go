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

// TestAnswersAreWholeAndOwn checks that under any fault between an engine and an
// instance a caller gets the complete response to its own request, or a prefix
// of it followed by an error and without the end marker.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	t.Parallel()
	opts := defaultFleet()
	opts.decodeMS = 10
	f := startFleet(t, opts)
	f.runSubtest("swapped responses", swappedResponses)
	f.runSubtest("truncated streams", truncatedStreams)
	f.runSubtest("silent connections", silentConnections)
	f.runSubtest("killed engine", killedEngine)
	f.runSubtest("refusal of another attempt", refusalOfAnotherAttempt)
}

// runStreams sends count streamed requests concurrently, spread over the
// instances, and returns the responses when all have ended. It calls during once
// every stream has received its first event or ended.
func (f *fleet) runStreams(count, tokens int, during func()) []streamResponse {
	var wg, started sync.WaitGroup
	responses := make([]streamResponse, count)
	started.Add(count)
	for i := range count {
		c, e := newCallerWithoutKeepAlive(f.t, f.key), f.entries[i%len(f.entries)]
		firstToken := sync.OnceFunc(started.Done)
		wg.Go(func() {
			defer firstToken()
			responses[i] = c.stream(e.url(), fmt.Sprintf("panel %d", i), tokens, firstToken)
		})
	}
	started.Wait()
	during()
	wg.Wait()
	return responses
}

// setEngineFaults changes the injected faults of all engines.
func (f *fleet) setEngineFaults(json string) {
	f.t.Helper()
	for _, u := range f.upstreams {
		SetFaults(f.t, u.engineURL, json)
	}
}

// swappedResponses checks that callers whose responses were swapped with each
// other by an engine get their own complete responses, or an error. It checks
// the same for plain services.
func swappedResponses(t *testing.T, f *fleet) {
	const pairs = 4
	f.setEngineFaults(fmt.Sprintf(`{"cross_answers": %d}`, pairs))
	swappedPairs := func() (n int) {
		for _, u := range f.upstreams {
			n += pairs - readJSON[fault.View](t, u.engineURL+fault.Path).SwapResponses
		}
		return n
	}
	f.eventually(callTimeout, "an engine swapped responses", func() bool {
		for _, s := range f.runStreams(8, 10, func() {}) {
			must.True(t, s.complete() || s.truncatedWithError(), must.Sprint(s))
		}
		return swappedPairs() >= pairs
	})
	f.setEngineFaults(`{"cross_answers": 0}`)
	f.eventually(callTimeout, "a plain service swapped responses", func() bool {
		return f.swapPlainResponses() > 0
	})
}

// swapPlainResponses sends lookups while each plain service swaps the responses
// of one pair of requests. It checks that each caller got its own response or an
// error, and returns how many pairs were swapped.
func (f *fleet) swapPlainResponses() (swapped int) {
	f.t.Helper()
	for _, u := range f.upstreams {
		SetFaults(f.t, u.plainURL, `{"cross_answers": 1}`)
	}
	var wg sync.WaitGroup
	responses := make([]response, 4)
	for i := range responses {
		c := newCallerWithoutKeepAlive(f.t, f.key)
		wg.Go(func() { responses[i] = c.get(fmt.Sprintf("%s/services/lab/lookup/id-%d", f.entries[i].url(), i)) })
	}
	wg.Wait()
	for i, res := range responses {
		own := res.status == http.StatusOK && strings.Contains(string(res.body), fmt.Sprintf(`"id-%d"`, i))
		must.True(f.t, own || res.apiError().Code != "", must.Sprint(i, res))
	}
	for _, u := range f.upstreams {
		swapped += 1 - readJSON[fault.View](f.t, u.plainURL+fault.Path).SwapResponses
		SetFaults(f.t, u.plainURL, `{"cross_answers": 0}`)
	}
	return swapped
}

// truncatedStreams checks that a stream whose connection to the engine breaks
// repeatedly is resumed each time.
func truncatedStreams(t *testing.T, f *fleet) {
	const truncateAfterTokens = 5
	f.setEngineFaults(fmt.Sprintf(`{"cut_stream_after_tokens": %d}`, truncateAfterTokens))
	for _, s := range f.runStreams(8, 4*truncateAfterTokens+2, func() {}) {
		must.True(t, s.complete(), must.Sprint(s))
	}
	f.setEngineFaults(`{"cut_stream_after_tokens": 0}`)
}

// killedEngine checks that when an engine is killed in the middle of a response,
// the caller gets the complete response of another engine, or a prefix of the
// first one and an error, and never a mix of both.
func killedEngine(t *testing.T, f *fleet) {
	const tokens = 100
	requestsBefore := f.engineRequests()
	c := newCallerWithoutKeepAlive(t, f.key)
	var wg sync.WaitGroup
	unstreamed := make([]response, 8)
	responses := f.runStreams(len(unstreamed), tokens, func() {
		for i := range unstreamed {
			body := fmt.Sprintf(`{"model": %q, "prompt": "whole %d", "max_tokens": %d}`, modelName, i, tokens)
			wg.Go(func() { unstreamed[i] = c.send(http.MethodPost, f.entries[0].url()+"/v1/completions", body, nil) })
		}
		// Kill the engine that received the most of these requests.
		zone := zoneNames[0]
		for z, n := range f.engineRequests() {
			if n-requestsBefore[z] > f.engineRequests()[zone]-requestsBefore[zone] {
				zone = z
			}
		}
		f.upstreams[zone].proc.Kill()
	})
	wg.Wait()
	truncated := 0
	for _, s := range responses {
		must.True(t, s.complete() || s.truncatedWithError(), must.Sprint(s))
		if !s.complete() {
			must.Eq(t, "unknown", s.apiErr.Ran)
			truncated++
		}
	}
	must.Positive(t, truncated)
	for i, res := range unstreamed {
		want := modelengine.ExpectedText(modelName, []string{"whole", strconv.Itoa(i)}, tokens)
		must.True(t, res.apiError().Code != "" || completionText(res) == want, must.Sprint(res))
	}
}

// engineRequests returns how many requests reached the engine of each zone.
func (f *fleet) engineRequests() map[string]uint64 {
	requests := map[string]uint64{}
	for zone, u := range f.upstreams {
		requests[zone] = readJSON[observe.Arrivals](f.t, u.engineURL+"/counters").Work
	}
	return requests
}

// completionText returns the text of a response that is not streamed.
func completionText(res response) string {
	var e streamEvent
	if json.Unmarshal(res.body, &e) != nil || len(e.Choices) == 0 {
		return ""
	}
	return e.Choices[0].Text
}

// silentConnections checks that streams whose connections to the engine stay
// open but carry no data are resumed over new connections, and that later
// requests are not queued behind the old ones.
func silentConnections(t *testing.T, f *fleet) {
	const tokens = 150
	responses := f.runStreams(8, tokens, func() { f.setEngineFaults(`{"silent_connections": true}`) })
	for _, s := range responses {
		must.True(t, s.complete(), must.Sprint(s))
	}
	silenced := 0
	for _, u := range f.upstreams {
		silenced += readJSON[fault.View](t, u.engineURL+fault.Path).Silenced
	}
	must.Positive(t, silenced)
	for _, s := range f.runStreams(8, 5, func() {}) {
		must.True(t, s.complete(), must.Sprint(s))
	}
}

// fakeEngine reports a ready model and refuses every request with status 503 and
// the claim that the request was not run.
type fakeEngine struct {
	attemptID func(*http.Request) string // returns the attempt ID that the refusal carries
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
	w.Header().Set(engine.HeaderAttempt, e.attemptID(r))
	w.Header().Set(engine.HeaderExecuted, engine.ExecutedNo)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusalOfAnotherAttempt checks that an engine's statement that it did not run a
// request is used only if the response names the same attempt.
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
		f.eventually(promptTimeout, "refused as "+test.ran, func() bool {
			s := c.stream(f.entries[0].url(), "a", 3, func() {})
			return s.status != http.StatusOK && s.apiErr.Code != "no_upstream" && s.apiErr.Ran == test.ran
		})
		s := c.stream(f.entries[0].url(), "a", 3, func() {})
		must.True(t, s.apiErr.Ran == test.ran || s.apiErr.Code == "no_upstream", must.Sprint(s))
	}
}
