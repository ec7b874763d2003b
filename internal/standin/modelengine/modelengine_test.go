package modelengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/fault"
)

// testEngine is an engine that serves over HTTP, with model "m" resident.
type testEngine struct {
	t      *testing.T
	server *Server
	url    string
}

func newTestEngine(t *testing.T, decode time.Duration) testEngine {
	t.Helper()
	s := New(Options{
		Name: "e",
		Emulator: emulator.Settings{
			MemoryMB: 100, KVTokens: 100000, CacheTokens: 160, MaxBatch: 4, MaxQueue: 4,
			PrefillChunkTokens: 64, DecodeBase: decode,
		},
		Resident: []InitialModel{{Model: "m", MemoryMB: 60}},
	})
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	go s.Run(t.Context())
	return testEngine{t: t, server: s, url: srv.URL}
}

type header map[string]string

func (e testEngine) post(path, body string, h header) *http.Response {
	e.t.Helper()
	req, err := http.NewRequestWithContext(e.t.Context(), http.MethodPost, e.url+path, strings.NewReader(body))
	must.NoError(e.t, err)
	for k, v := range h {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(e.t, err)
	e.t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// stream reads the chunks of a streamed response and reports whether it was
// complete.
func (e testEngine) stream(res *http.Response) ([]Chunk, bool) {
	e.t.Helper()
	var chunks []Chunk
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return chunks, true
		}
		var c Chunk
		must.NoError(e.t, json.Unmarshal(data, &c))
		chunks = append(chunks, c)
	}
	return chunks, false
}

func textFrom(chunks []Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		if t := c.Choices[0].Text; t != nil {
			b.WriteString(*t)
		}
		if d := c.Choices[0].Delta; d != nil {
			b.WriteString(d.Content)
		}
	}
	return b.String()
}

const completion = `{"model":"m","prompt":"one two","max_tokens":5,"stream":true}`

func TestStreamAndWholeAnswerAgree(t *testing.T) {
	e := newTestEngine(t, 0)
	want := ExpectedText("m", []string{"one", "two"}, 5)
	res := e.post("/v1/completions", completion, header{engine.HeaderAttempt: "a1"})
	must.Eq(t, "a1", res.Header.Get(engine.HeaderAttempt))
	chunks, whole := e.stream(res)
	must.True(t, whole)
	must.Eq(t, want, textFrom(chunks))
	for i, c := range chunks {
		must.Eq(t, i, c.Offset)
		must.Eq(t, "a1", c.Attempt)
	}
	must.Eq(t, &Usage{PromptTokens: 2, CompletionTokens: 5, TotalTokens: 7}, chunks[5].Usage)

	res = e.post("/v1/completions", strings.Replace(completion, "true", "false", 1), nil)
	var c Chunk
	must.NoError(t, json.NewDecoder(res.Body).Decode(&c))
	must.Eq(t, want, *c.Choices[0].Text)
	must.Eq(t, "length", *c.Choices[0].FinishReason)
}

func TestChat(t *testing.T) {
	e := newTestEngine(t, 0)
	res := e.post("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_completion_tokens":2,"stream":true}`, nil)
	chunks, whole := e.stream(res)
	must.True(t, whole)
	must.Eq(t, "assistant", chunks[0].Choices[0].Delta.Role)
	must.Eq(t, ExpectedText("m", []string{"user", "hi"}, 2), textFrom(chunks))
}

func TestTruncatedStreamResumesAtOffset(t *testing.T) {
	e := newTestEngine(t, 0)
	e.server.Faults().Update(func(f *fault.Faults) { f.TruncateStreamAfterTokens = 2 })
	first, whole := e.stream(e.post("/v1/completions", completion, header{engine.HeaderAttempt: "a1"}))
	must.False(t, whole)
	must.Len(t, 2, first)
	e.server.Faults().Update(func(f *fault.Faults) { f.TruncateStreamAfterTokens = 0 })
	rest, whole := e.stream(e.post("/v1/completions", completion, header{
		engine.HeaderAttempt: "a1", engine.HeaderOffset: strconv.Itoa(len(first)),
	}))
	must.True(t, whole)
	must.Eq(t, ExpectedText("m", []string{"one", "two"}, 5), textFrom(first)+textFrom(rest))

	res := e.post("/v1/completions", completion, header{engine.HeaderAttempt: "a2", engine.HeaderOffset: "1"})
	must.Eq(t, http.StatusConflict, res.StatusCode)
	must.Eq(t, engine.ExecutedNo, res.Header.Get(engine.HeaderExecuted))
	must.Eq(t, 1, e.server.Counters().Accepted)
}

func TestCrossedAnswersCarryTheOtherAttempt(t *testing.T) {
	e := newTestEngine(t, 0)
	e.server.Faults().Update(func(f *fault.Faults) { f.SwapResponses = 1 })
	got := make(chan string, 2)
	for _, id := range []string{"a1", "a2"} {
		go func() {
			got <- id + " " + e.post("/v1/completions", completion, header{engine.HeaderAttempt: id}).Header.Get(engine.HeaderAttempt)
		}()
	}
	must.SliceContainsAll(t, []string{"a1 a2", "a2 a1"}, []string{<-got, <-got})
	must.Eq(t, 0, e.server.Faults().Get().SwapResponses)
}

func TestCancelBreaksTheStream(t *testing.T) {
	e := newTestEngine(t, time.Millisecond)
	res := e.post("/v1/completions", `{"model":"m","prompt":"x","max_tokens":90000,"stream":true}`, header{engine.HeaderAttempt: "a1"})
	must.Eq(t, http.StatusOK, e.post(engine.PathCancel+"a1", "", nil).StatusCode)
	_, whole := e.stream(res)
	must.False(t, whole)
	must.Eq(t, http.StatusNotFound, e.post(engine.PathCancel+"a9", "", nil).StatusCode)
}

func TestRefusals(t *testing.T) {
	e := newTestEngine(t, 0)
	cases := map[string]int{
		`{`:                             http.StatusBadRequest,
		`{"model":"m","prompt":""}`:     http.StatusBadRequest,
		`{"model":"none","prompt":"x"}`: http.StatusNotFound,
		`{"model":"m:none","prompt":"x","stream":true}`:        http.StatusNotFound,
		`{"model":"m","prompt":"x","max_tokens":100000}`:       http.StatusBadRequest,
		`{"model":"m","prompt":"x","max_tokens":0}`:            http.StatusBadRequest,
		`{"model":"m","prompt":{"a":1},"max_tokens":1}`:        http.StatusBadRequest,
		`{"model":"m","messages":[{"role":"u","content":"x"}]`: http.StatusBadRequest,
	}
	for body, status := range cases {
		res := e.post("/v1/completions", body, nil)
		must.Eq(t, status, res.StatusCode, must.Sprint(body))
		must.Eq(t, engine.ExecutedNo, res.Header.Get(engine.HeaderExecuted))
	}
	must.Eq(t, 0, e.server.Counters().Accepted)
}

func (e testEngine) order(o engine.Order) (engine.OrderReply, error) {
	body, err := json.Marshal(o)
	must.NoError(e.t, err)
	res, err := http.Post(e.url+engine.PathOrders, "application/json", bytes.NewReader(body))
	if err != nil {
		return engine.OrderReply{}, err
	}
	defer res.Body.Close()
	var reply engine.OrderReply
	return reply, json.NewDecoder(res.Body).Decode(&reply)
}

func TestOrderFaults(t *testing.T) {
	e := newTestEngine(t, 0)
	o := engine.Order{ID: "l2", Op: engine.OpLoad, Model: "n", MemoryMB: 30}
	e.server.Faults().Update(func(f *fault.Faults) { f.Orders = fault.OrderFaults{DropNext: 1} })
	_, err := e.order(o)
	must.Error(t, err)
	must.Len(t, 1, e.server.Report().Resident)

	e.server.Faults().Update(func(f *fault.Faults) { f.Orders = fault.OrderFaults{DropReplies: 1} })
	_, err = e.order(o)
	must.Error(t, err)
	must.Len(t, 2, e.server.Report().Resident)

	e.server.Faults().Update(func(f *fault.Faults) { f.Orders = fault.OrderFaults{DuplicateNext: 1} })
	reply, err := e.order(o)
	must.NoError(t, err)
	must.True(t, reply.Accepted)
	must.Eq(t, fault.OrderFaults{}, e.server.Faults().Get().Orders)
}

func TestCredentialsAreCounted(t *testing.T) {
	e := newTestEngine(t, 0)
	e.post("/v1/completions", completion, nil)
	e.post("/v1/completions", completion, header{"Authorization": "Bearer k"})
	res, err := http.Get(e.url + "/seen-credentials")
	must.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	must.Eq(t, "{\"count\":1}\n", string(body))
}

func TestReportLags(t *testing.T) {
	h := loadHistory{lag: time.Second}
	for i := range 4 {
		now := time.Duration(i) * time.Second
		h.add(now, emulator.Load{Running: i})
		load, age := h.at(now + time.Second/2)
		must.Eq(t, max(i-1, 0), load.Running)
		must.Eq(t, min(now+time.Second/2, time.Second), age)
	}
	load, _ := h.at(4 * time.Second)
	must.Eq(t, 3, load.Running)
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	l := cacheEventLog{delay: time.Second, gap: 2}
	for seq := range uint64(5) {
		l.add(time.Duration(seq)*time.Second, engine.CacheEvent{Seq: seq + 1})
	}
	got := l.since(3*time.Second, 0)
	must.Eq(t, engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{{Seq: 1}, {Seq: 3}}}, got)
}

func TestKVMovesToAnotherEngine(t *testing.T) {
	from, to := newTestEngine(t, 0), newTestEngine(t, 0)
	prompt := strings.Repeat("w ", 20)
	body := `{"model":"m","prompt":"` + prompt + `","max_tokens":1}`
	res := from.post("/v1/completions", body, nil)
	_, err := io.ReadAll(res.Body)
	must.NoError(t, err)

	kv, err := io.ReadAll(from.post(engine.PathKVExport, body, nil).Body)
	must.NoError(t, err)
	imported, err := io.ReadAll(to.post(engine.PathKVImport, string(kv), nil).Body)
	must.NoError(t, err)
	must.Eq(t, "{\"tokens\":16}\n", string(imported))
	_, err = io.ReadAll(to.post("/v1/completions", body, nil).Body)
	must.NoError(t, err)
	must.Eq(t, 16, to.server.Counters().CachedTokens)

	other := strings.Replace(string(kv), `"m"`, `"n"`, 1)
	must.Eq(t, http.StatusNotFound, to.post(engine.PathKVImport, other, nil).StatusCode)
}

func TestReportEchoesItsAttempt(t *testing.T) {
	e := newTestEngine(t, 0)
	report, err := engine.NewClient(nil).Report(t.Context(), strings.TrimPrefix(e.url, "http://"))
	must.NoError(t, err)
	must.Eq(t, "m", report.Resident[0].Model)
}
