package load

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/standin"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

const testKey = "eg-0123-very-secret"

// startStandIns starts a stand-in engine with model m and a plain service, both
// with faults, and returns their URLs.
func startStandIns(t *testing.T, engineFaults, plainFaults fault.Faults) (engineURL, plainURL string) {
	t.Helper()
	g, err := standin.Start(standin.Config{
		Engines: []standin.Engine{{
			Name: "e", Address: "127.0.0.1:0", MemoryMB: 100,
			Resident: []standin.ResidentModel{{Model: "m", MemoryMB: 10}},
			Timing:   &standin.Timing{DecodeMS: 0.2, DecodePerRequestMS: 0.01, PrefillTokenMS: 0.001},
		}},
		PlainServices: []standin.PlainService{{Name: "p", Address: "127.0.0.1:0"}},
	}, slog.New(slog.DiscardHandler))
	must.NoError(t, err)
	t.Cleanup(func() { _ = g.Stop() })
	urls := map[string]string{}
	for name, f := range map[string]fault.Faults{"e": engineFaults, "p": plainFaults} {
		urls[name] = "http://" + g.Address(name)
		body, err := json.Marshal(f)
		must.NoError(t, err)
		res, err := http.Post(urls[name]+fault.Path, "application/json", strings.NewReader(string(body)))
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
		must.Eq(t, http.StatusOK, res.StatusCode)
	}
	return urls["e"], urls["p"]
}

func testExperiment(url string, flows ...Flow) *Experiment {
	e := DefaultExperiment()
	e.Name, e.Seed, e.Verify = "test", 7, true
	e.Duration = settings.Duration(200 * time.Millisecond)
	e.Drain = settings.Duration(5 * time.Second)
	e.Targets = TargetSet{URLs: []string{url}}
	e.Flows = flows
	return e
}

func modelFlow(name string, kind Kind, stream bool) Flow {
	return Flow{
		Name: name, Organisation: "org-" + name, Key: testKey, Kind: kind, Class: ClassLive,
		Rate:      Rate{PerS: 100, EvenlySpaced: true},
		Models:    []ModelShare{{Name: "m"}},
		Prompt:    Prompt{MinWords: 4, MaxWords: 40, SharedPrefixWords: 3, Prefixes: 2},
		MaxTokens: 8, Stream: stream,
	}
}

func allFlows() []Flow {
	batch := modelFlow("chat", KindChat, false)
	batch.Class = ClassBatch
	plainFlow := func(name string, kind Kind) Flow {
		return Flow{Name: name, Organisation: "org-plain", Kind: kind, Class: ClassLive, Rate: Rate{PerS: 50}}
	}
	return []Flow{
		modelFlow("streamed", KindCompletion, true),
		modelFlow("chat-streamed", KindChat, true),
		batch,
		plainFlow("lookups", KindLookup),
		plainFlow("check-ins", KindCheckin),
	}
}

func runTest(t *testing.T, e *Experiment) *Report {
	t.Helper()
	r, err := Run(context.Background(), e, Options{RunID: "r"})
	must.NoError(t, err)
	return r
}

func flowCounts(t *testing.T, r *Report, name string) Counts {
	t.Helper()
	for _, g := range r.Flows {
		if g.Name == name {
			return g.Counts
		}
	}
	t.Fatalf("no flow %s", name)
	return Counts{}
}

func TestHealthyTargetsAnswerAllRequests(t *testing.T) {
	engineURL, plainURL := startStandIns(t, fault.Faults{}, fault.Faults{})
	flows := allFlows()
	r := runTest(t, testExperiment(engineURL, flows[:3]...))
	must.Eq(t, r.Total.Counts.Intended, r.Total.Counts.OK)
	must.Eq(t, 60, r.Total.Counts.OK)
	must.Eq(t, int64(40), r.Total.FirstToken.Count)
	must.Eq(t, int64(40), r.Total.WorstGap.Count)
	must.Len(t, 3, r.Organisations)
	must.Len(t, 2, r.Classes)
	must.Eq(t, 0, r.Violations())

	e := testExperiment(plainURL, flows[3:]...)
	e.PlainServices = []string{plainURL}
	r = runTest(t, e)
	must.Eq(t, r.Total.Counts.Intended, r.Total.Counts.OK)
	must.Eq(t, &CheckInCounts{CheckIns: flowCounts(t, r, "check-ins").OK}, r.CheckInCounts)
}

func TestResponsesToOtherRequestsAreWrong(t *testing.T) {
	const pairs = 3
	engineURL, plainURL := startStandIns(t, fault.Faults{SwapResponses: pairs}, fault.Faults{SwapResponses: pairs})
	flows := allFlows()
	for _, f := range flows[:4] {
		url := engineURL
		if f.Kind.isPlain() {
			url = plainURL
		}
		_, err := http.Post(url+fault.Path, "", strings.NewReader(`{"cross_answers": 3}`))
		must.NoError(t, err)
		r := runTest(t, testExperiment(url, f))
		must.Eq(t, 2*pairs, r.Total.Counts.Mismatch, must.Sprintf("%s %+v", f.Name, r.Total.Counts))
		must.Eq(t, r.Total.Counts.Intended, r.Total.Counts.OK+2*pairs, must.Sprint(f.Name))
		must.Eq(t, 2*pairs, r.Violations())
	}
}

func TestTruncatedStreamsAreCountedAsCut(t *testing.T) {
	engineURL, _ := startStandIns(t, fault.Faults{TruncateStreamAfterTokens: 3}, fault.Faults{})
	r := runTest(t, testExperiment(engineURL, allFlows()[:3]...))
	must.Eq(t, 20, flowCounts(t, r, "streamed").Truncated)
	must.Eq(t, 20, flowCounts(t, r, "chat-streamed").Truncated)
	// A response that is not streamed fails before any of it was sent.
	must.Eq(t, 20, flowCounts(t, r, "chat").Failed)
	must.Eq(t, 0, r.Total.Counts.Attained)
}

func TestRefusalsAndRepeatsAreCounted(t *testing.T) {
	engineURL, plainURL := startStandIns(t, fault.Faults{Refuse: true}, fault.Faults{})
	flows := allFlows()
	r := runTest(t, testExperiment(engineURL, flows[0]))
	must.Eq(t, map[string]int{"refused": r.Total.Counts.Intended}, r.Total.Counts.Refused)

	e := testExperiment(plainURL, flows[4])
	runTest(t, e)
	e.PlainServices = []string{plainURL}
	r = runTest(t, e) // with the same run id, all check-ins run a second time
	must.Eq(t, r.Total.Counts.OK, r.CheckInCounts.Repeated)
	must.Greater(t, 0, r.Violations())
}

func TestKeysAppearInNoReport(t *testing.T) {
	engineURL, _ := startStandIns(t, fault.Faults{}, fault.Faults{})
	e := testExperiment(engineURL, allFlows()...)
	r := runTest(t, e)
	file := filepath.Join(t.TempDir(), "r.json")
	must.NoError(t, WriteFile(file, r))
	text, err := os.ReadFile(file)
	must.NoError(t, err)
	var log strings.Builder
	must.NoError(t, r.WriteText(&log))
	slog.New(slog.NewJSONHandler(&log, nil)).Info("x", "experiment", e, "key", e.Flows[0].Key)
	whole, err := json.Marshal(e)
	must.NoError(t, err)
	must.StrNotContains(t, string(text)+log.String()+string(whole), "secret")

	reread, err := ReadReport(file)
	must.NoError(t, err)
	for _, image := range []string{"r.png", "r.svg"} {
		must.NoError(t, reread.WritePlot(filepath.Join(t.TempDir(), image)))
	}
	must.ErrorIs(t, reread.WritePlot("r.gif"), ErrPlotFormat)
}

// transport is a function that implements http.RoundTripper.
type transport func(*http.Request) (*http.Response, error)

func (f transport) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func streamOf(body string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}
}

const completeStream = `data: {"choices":[{"text":"a "}]}` + "\n\n" + `data: {"choices":[{"text":"b ","finish_reason":"length"}]}` + "\n\ndata: [DONE]\n\n"

func TestLatencyIsMeasuredFromTheIntendedSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall = 2 * time.Second
		start := time.Now()
		f := modelFlow("f", KindCompletion, true)
		f.Rate = Rate{PerS: 10, EvenlySpaced: true}
		e := testExperiment("http://127.0.0.1:1", f)
		e.Verify, e.Duration, e.MaxInFlight = false, settings.Duration(4*time.Second), 1
		// The target stalls once, and the limit of requests in flight keeps the
		// generator from sending meanwhile.
		r, err := Run(context.Background(), e, Options{Transport: transport(func(*http.Request) (*http.Response, error) {
			if since := time.Since(start); since < stall {
				time.Sleep(stall - since)
			}
			return streamOf(completeStream), nil
		})})
		must.NoError(t, err)
		must.Eq(t, 40, r.Total.Counts.OK)
		// Half of the requests were due during the stall, and waited for 1.95 s
		// to 0.05 s; only one of them was in flight.
		must.Eq(t, 25, r.Total.Counts.Attained)
		must.InDelta(t, 1950, r.Total.FirstToken.Max, 2)
		must.InDelta(t, 950, r.Total.FirstToken.Curve[4].MS, 2) // 75%
		must.InDelta(t, 1850, r.Total.SendDelay.Max, 2)
	})
}

func TestOutcomes(t *testing.T) {
	for name, tc := range map[string]struct {
		body string
		want Outcome
	}{
		"whole":               {completeStream, OutcomeOK},
		"no last event":       {strings.TrimSuffix(completeStream, "data: [DONE]\n\n"), OutcomeIncomplete},
		"truncation reported": {`data: {"error":{"code":"stream_cut"}}` + "\n\ndata: [DONE]\n\n", OutcomeTruncated},
		"no JSON":             {"data: x\n\n", OutcomeTruncated},
	} {
		f := modelFlow("f", KindCompletion, true)
		c := call{flow: &f, arrival: Arrival{Words: 4, MaxTokens: 2}, intended: time.Now()}
		client := &http.Client{Transport: transport(func(*http.Request) (*http.Response, error) { return streamOf(tc.body), nil })}
		r := c.run(context.Background(), client, target{url: "http://127.0.0.1:1"})
		must.Eq(t, tc.want, r.Outcome, must.Sprint(name))
	}
}

func TestAttainmentNeedsBothDeadlines(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		r              Result
		attained, mean int
	}{
		{Result{Streamed: true, FirstToken: 480 * ms, WorstGap: 66 * ms, MeanGap: 60 * ms, Tokens: 3}, 1, 1},
		{Result{Streamed: true, FirstToken: 481 * ms, WorstGap: 66 * ms, MeanGap: 60 * ms, Tokens: 3}, 0, 0},
		{Result{Streamed: true, FirstToken: 480 * ms, WorstGap: 67 * ms, MeanGap: 60 * ms, Tokens: 3}, 0, 1},
		{Result{Total: (480 + 2*66) * ms, Tokens: 3}, 1, 1},
		{Result{Total: (480+2*66)*ms + 1, Tokens: 3}, 0, 0},
		{Result{Total: 481 * ms}, 0, 0},
	} {
		tally := NewTally(DefaultExperiment().Deadlines)
		tc.r.Outcome = OutcomeOK
		tally.Add(tc.r)
		must.Eq(t, tc.attained, tally.Counts.Attained, must.Sprintf("%+v", tc.r))
		must.Eq(t, tc.mean, tally.Counts.AttainedMean, must.Sprintf("%+v", tc.r))
		tc.r.Outcome = OutcomeTruncated
		tally.Add(tc.r)
		must.Eq(t, tc.attained, tally.Counts.Attained)
	}
}

func TestAStuckTargetTimesOutAndTheRestIsUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := modelFlow("f", KindCompletion, true)
		f.Rate = Rate{PerS: 10, EvenlySpaced: true}
		e := testExperiment("http://127.0.0.1:1", f)
		e.Duration, e.MaxInFlight, e.RequestTimeout = settings.Duration(time.Second), 4, settings.Duration(time.Hour)
		r, err := Run(context.Background(), e, Options{Transport: transport(func(req *http.Request) (*http.Response, error) {
			<-req.Context().Done()
			return nil, req.Context().Err()
		})})
		must.NoError(t, err)
		must.Eq(t, Counts{Intended: 10, Timeout: 4, Unsent: 6, Refused: map[string]int{}}, r.Total.Counts)
	})
}

func TestComparisonAlternatesWithTheSameSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := modelFlow("f", KindCompletion, true)
		f.Rate = Rate{PerS: 50}
		e := testExperiment("http://127.0.0.1:1", f)
		e.Verify, e.Duration = false, settings.Duration(4*time.Second)
		e.Compare = ComparisonSettings{Round: settings.Duration(time.Second), WarmUp: settings.Duration(500 * time.Millisecond)}
		off := false
		e.Baseline = &TargetSet{URLs: []string{"http://127.0.0.1:2"}, SendKeys: &off}
		c, err := RunComparison(context.Background(), e, Options{Transport: transport(func(r *http.Request) (*http.Response, error) {
			direct := r.URL.Port() == "2"
			must.Eq(t, direct, r.Header.Get("Authorization") == "")
			if !direct {
				time.Sleep(3 * time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			return streamOf(completeStream), nil
		})})
		must.NoError(t, err)
		must.Greater(t, 100, c.Target.Total.Counts.OK)
		must.Eq(t, c.Baseline.Total.Counts, c.Target.Total.Counts)
		must.Eq(t, "added_first_token_p50_ms", c.AddedLatencies[0].Name)
		must.InDelta(t, 3, c.AddedLatencies[0].MS, 0.05)
		must.Eq(t, []AddedLatency{{"paired_added_first_token_p50_ms", 3}, {"paired_added_first_token_p99_ms", 3}}, c.AddedLatencies[6:])
		var text strings.Builder
		must.NoError(t, c.WriteText(&text))
		must.StrContains(t, text.String(), "first_token_p99_ms")
	})
}

func TestScheduleFollowsTheRate(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		e := DefaultExperiment()
		e.Seed = rapid.Uint64().Draw(t, "seed")
		e.Duration = settings.Duration(60 * time.Second)
		f := modelFlow("f", KindCompletion, true)
		f.Rate = Rate{
			PerS:         rapid.Float64Range(5, 50).Draw(t, "per_s"),
			Ramp:         &Ramp{Start: settings.Duration(20 * time.Second), Length: settings.Duration(10 * time.Second), Factor: 10},
			Burst:        &Burst{Period: settings.Duration(10 * time.Second), Length: settings.Duration(time.Second), Factor: 2},
			EvenlySpaced: rapid.Bool().Draw(t, "even"),
		}
		e.Flows = []Flow{f}
		list := e.Schedule(0)
		must.True(t, slices.Equal(list, e.Schedule(0)))
		want := 0.0
		const step = 20 * time.Millisecond
		for at := time.Duration(0); at < e.Duration.Std(); at += step {
			want += f.Rate.at(at) * step.Seconds()
			must.LessEq(t, f.Rate.peak(), f.Rate.at(at))
		}
		must.InDelta(t, 1, float64(len(list))/want, 0.1)
		must.True(t, slices.IsSortedFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) }))
	})
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	valid, err := os.ReadFile("../../examples/load.hujson")
	must.NoError(t, err)
	file := filepath.Join(t.TempDir(), "load.hujson")
	for _, tc := range []struct{ old, new, field, want string }{
		{`"seed"`, `"sed"`, "sed", `did you mean "seed"?`},
		{`"http://127.0.0.1:7200"`, `"127.0.0.1:7200"`, "targets/urls/0", "want a base URL"},
		{`"class": "batch"`, `"class": "night"`, "flows/1/class", "want live or batch"},
		{`"per_s": 5, "even": true`, `"steps": [{"at": "2s"}, {"at": "1s"}]`, "flows/3/rate/steps/1/at", "after the previous"},
		{`"shared_prefix_words": 48`, `"shared_prefix_words": 64`, "flows/0/prompt/shared_prefix_words", "less than min_words"},
		{`"warm_up": "2s"`, `"warm_up": "30s"`, "compare/warm_up", "less than the duration"},
		{`"kind": "chat"`, `"kind": "talk"`, "flows/1/kind", "want completion"},
	} {
		must.StrContains(t, string(valid), tc.old)
		must.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(valid), tc.old, tc.new, 1)), 0o600))
		_, err := LoadExperiment(file)
		var fe *settings.FieldError
		must.True(t, errors.As(err, &fe), must.Sprint(tc.new))
		must.Eq(t, tc.field, fe.Field)
		must.StrContains(t, fe.Message, tc.want)
	}
	_, err = LoadExperiment("../../examples/compare.hujson")
	must.NoError(t, err)
	e, err := LoadExperiment("../../examples/load.hujson")
	must.NoError(t, err)
	must.NoError(t, e.CheckTargets(false))
	e.Targets.URLs = []string{"http://192.0.2.1:80"}
	must.ErrorIs(t, e.CheckTargets(false), ErrRemote)
	must.NoError(t, e.CheckTargets(true))
}
