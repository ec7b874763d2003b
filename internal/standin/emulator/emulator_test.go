package emulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

func settings() Settings {
	return Settings{
		MemoryMB:           100,
		KVTokens:           1000,
		CacheTokens:        320,
		MaxBatch:           2,
		MaxQueue:           2,
		PrefillChunkTokens: 64,
		PrefillPerToken:    time.Millisecond,
		DecodeBase:         10 * time.Millisecond,
		DecodePerRequest:   5 * time.Millisecond,
		UnloadTime:         time.Second,
	}
}

func load(id string, token uint64, model string, mb int64) OrderArrived {
	return OrderArrived{Order: engine.Order{ID: id, FencingToken: token, Op: engine.OpLoad, Model: model, MemoryMB: mb}}
}

func unload(id, model string) OrderArrived {
	return OrderArrived{Order: engine.Order{ID: id, Op: engine.OpUnload, Model: model}}
}

// newReadyEngine returns an engine on which model "m" is ready.
func newReadyEngine(t *testing.T, cfg Settings) *Engine {
	t.Helper()
	e := New(cfg)
	actions := e.Step(0, load("l1", 0, "m", 60))
	must.SliceContains(t, actions, Action(FetchWeights{ID: 1, Model: "m"}))
	e.Step(0, WeightsFetched{ID: 1, OK: true})
	return e
}

func submit(attempt string, promptTokens, maxTokens int, batch bool) Submit {
	prompt := slices.Repeat([]string{"w"}, promptTokens)
	return Submit{Attempt: attempt, Model: "m", Prompt: prompt, MaxTokens: maxTokens, Batch: batch}
}

// runToEnd steps an engine until nothing is due and returns the time at which each
// attempt finished.
func runToEnd(e *Engine) map[string]time.Duration {
	ends := map[string]time.Duration{}
	for {
		next, ok := e.NextEvent()
		if !ok {
			return ends
		}
		for _, a := range e.Step(next, Tick{}) {
			if f, ok := a.(Finished); ok && !f.Cancelled {
				ends[f.Attempt] = next
			}
		}
	}
}

func TestBatchTiming(t *testing.T) {
	cases := []struct {
		name    string
		submits []Submit
		want    map[string]time.Duration
	}{
		{"one request: prefill, then one step per token", []Submit{submit("a", 4, 3, false)},
			map[string]time.Duration{"a": 34 * time.Millisecond}},
		{"steps grow with the batch", []Submit{submit("a", 1, 2, false), submit("b", 1, 2, false)},
			// The second request arrives during the first step.
			map[string]time.Duration{"a": 27 * time.Millisecond, "b": 37 * time.Millisecond}},
		{"live goes before batch", []Submit{
			submit("a", 1, 1, false), submit("b", 1, 1, false), submit("night", 1, 1, true), submit("c", 1, 1, false),
		}, map[string]time.Duration{
			"a": 11 * time.Millisecond, "b": 28 * time.Millisecond, "c": 28 * time.Millisecond, "night": 39 * time.Millisecond,
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cfg := settings()
			cfg.MaxQueue = 4
			e := newReadyEngine(t, cfg)
			for _, s := range tc.submits {
				e.Step(0, s)
			}
			must.Eq(t, tc.want, runToEnd(e))
		})
	}
}

func TestCachedPrefixIsCheaper(t *testing.T) {
	e := newReadyEngine(t, settings())
	e.Step(0, submit("a", 40, 1, false))
	must.Eq(t, 50*time.Millisecond, runToEnd(e)["a"])
	e.Step(50*time.Millisecond, submit("b", 40, 1, false))
	must.Eq(t, 68*time.Millisecond, runToEnd(e)["b"])
	must.Eq(t, 32, e.Counters().CachedTokens)
}

func TestRefusalsRunNothing(t *testing.T) {
	e := newReadyEngine(t, settings())
	reason := func(actions []Action) RefusalReason {
		must.Len(t, 1, actions)
		return actions[0].(Refused).Reason
	}
	must.Eq(t, RefusalTooLong, reason(e.Step(0, submit("long", 999, 2, false))))
	other := submit("other", 1, 1, false)
	other.Adapter = "x"
	must.Eq(t, RefusalNotResident, reason(e.Step(0, other)))
	for _, id := range []string{"a", "b", "c"} {
		must.Len(t, 0, e.Step(0, submit(id, 1, 1, false)))
	}
	must.Eq(t, RefusalQueueFull, reason(e.Step(0, submit("d", 1, 1, false))))
	must.Eq(t, RefusalDuplicateAttempt, reason(e.Step(0, submit("a", 1, 1, false))))
	must.MapLen(t, 3, runToEnd(e))
}

func TestCancelFreesTheBatch(t *testing.T) {
	e := newReadyEngine(t, settings())
	e.Step(0, submit("a", 1, 500, false))
	e.Step(0, submit("b", 1, 1, false))
	actions := e.Step(time.Millisecond, Cancel{Attempt: "a"})
	must.Eq(t, []Action{Finished{Attempt: "a", Cancelled: true}}, actions)
	must.MapContainsKey(t, runToEnd(e), "b")
	must.Eq(t, 1000, e.Load().FreeKVTokens)
}

func TestOrders(t *testing.T) {
	reply := func(actions []Action) engine.OrderReply {
		for _, a := range actions {
			if r, ok := a.(OrderReplied); ok {
				return r.Reply
			}
		}
		t.Fatal("no reply")
		return engine.OrderReply{}
	}
	t.Run("overcommit is accepted and counted", func(t *testing.T) {
		e := newReadyEngine(t, settings())
		must.True(t, reply(e.Step(0, load("l2", 0, "n", 60))).Accepted)
		must.Eq(t, 1, e.Counters().Overcommit)
	})
	t.Run("overcommit is refused if configured", func(t *testing.T) {
		cfg := settings()
		cfg.RefuseOvercommit = true
		e := newReadyEngine(t, cfg)
		must.Eq(t, ReasonNoMemory, reply(e.Step(0, load("l2", 0, "n", 60))).Reason)
		must.Eq(t, 0, e.Counters().Overcommit)
	})
	t.Run("stale fencing token is refused", func(t *testing.T) {
		cfg := settings()
		cfg.Fencing = true
		e := newReadyEngine(t, cfg)
		must.True(t, reply(e.Step(0, load("l2", 7, "n", 10))).Accepted)
		must.Eq(t, engine.OrderReply{Reason: ReasonStaleFencingToken, FencingToken: 7}, reply(e.Step(0, load("l3", 6, "o", 10))))
	})
	t.Run("a duplicate load order loads again after the unload", func(t *testing.T) {
		e := newReadyEngine(t, settings())
		must.Eq(t, ReasonAlreadyResident, reply(e.Step(0, load("l1", 0, "m", 60))).Reason)
		e.Step(0, unload("u1", "m"))
		e.Step(time.Second, Tick{})
		must.Len(t, 0, e.Residency().Resident)
		e.Step(time.Second, load("l1", 0, "m", 60))
		must.Eq(t, "l1", e.Residency().Resident[0].OrderID)
		want := []engine.OrderOutcome{{OrderID: "l1", Applied: true}, {OrderID: "u1", Applied: true}}
		must.Eq(t, want, e.Residency().Outcomes)
	})
	t.Run("an unload waits for running requests and includes adapters", func(t *testing.T) {
		e := newReadyEngine(t, settings())
		e.Step(0, OrderArrived{Order: engine.Order{ID: "a1", Op: engine.OpLoadAdapter, Model: "m", Adapter: "x", MemoryMB: 1}})
		e.Step(0, WeightsFetched{ID: 2, OK: true})
		e.Step(0, submit("a", 1, 1, false))
		e.Step(0, unload("u1", "m"))
		must.Eq(t, 61, usedMB(e))
		e.Step(1010*time.Millisecond, Tick{})
		must.Eq(t, 60, usedMB(e)) // no request used the adapter
		e.Step(1011*time.Millisecond, Tick{})
		must.Eq(t, 0, usedMB(e))
	})
	t.Run("a failed load leaves nothing resident", func(t *testing.T) {
		e := New(settings())
		e.Step(0, load("l1", 0, "m", 60))
		e.Step(0, WeightsFetched{ID: 1})
		must.Len(t, 0, e.Residency().Resident)
		must.Eq(t, []engine.OrderOutcome{{OrderID: "l1"}}, e.Residency().Outcomes)
	})
}

func usedMB(e *Engine) int64 {
	sum := int64(0)
	for _, r := range e.Residency().Resident {
		sum += r.MemoryMB
	}
	return sum
}

func TestUnloadRefusesQueuedRequests(t *testing.T) {
	e := newReadyEngine(t, settings())
	for _, id := range strings.Fields("a b c") {
		e.Step(0, submit(id, 1, 1, false))
	}
	e.Step(0, unload("u1", "m"))
	refused := 0
	for _, a := range e.Step(11*time.Millisecond, Tick{}) {
		if _, ok := a.(Refused); ok {
			refused++
		}
	}
	must.Eq(t, 2, refused)
}

func TestImportedKVIsCached(t *testing.T) {
	from, to := newReadyEngine(t, settings()), newReadyEngine(t, settings())
	prompt := slices.Repeat([]string{"w"}, 40)
	must.Eq(t, 0, from.ExportKV("m", prompt).Tokens())
	from.Step(0, Submit{Attempt: "a", Model: "m", Prompt: prompt, MaxTokens: 1})
	runToEnd(from)
	kv := from.ExportKV("m", prompt)
	must.Eq(t, 32, kv.Tokens())

	to.Step(0, ImportKV{Prefix: engine.KVPrefix{Model: "other", Blocks: kv.Blocks}})
	must.Eq(t, 0, to.ExportKV("m", prompt).Tokens())
	actions := to.Step(0, ImportKV{Prefix: kv})
	must.Len(t, 2, actions) // a cache event for each block
	to.Step(0, Submit{Attempt: "b", Model: "m", Prompt: prompt, MaxTokens: 1})
	runToEnd(to)
	c := to.Counters()
	must.Eq(t, []uint64{32, 8, 32}, []uint64{c.CachedTokens, c.PrefillTokens, c.KVImported})
	must.Eq(t, 32, from.Counters().KVExported)
}

func TestRolesRefuseOtherRequests(t *testing.T) {
	cfg := settings()
	cfg.Fencing = true
	e := newReadyEngine(t, cfg)
	role := func(token uint64, r engine.Role) engine.OrderReply {
		o := engine.Order{ID: "r", FencingToken: token, Op: engine.OpSetRole, Role: r}
		return e.Step(0, OrderArrived{Order: o})[0].(OrderReplied).Reply
	}
	refused := func(s Submit) bool {
		actions := e.Step(0, s)
		runToEnd(e)
		return slices.Contains(actions, Action(Refused{Attempt: s.Attempt, Reason: RefusalWrongRole}))
	}
	must.True(t, role(2, engine.RolePrefill).Accepted)
	must.Eq(t, engine.RolePrefill, e.Residency().Role)
	must.True(t, refused(submit("a", 32, 2, false)))
	must.False(t, refused(submit("b", 32, 1, false)))
	must.Eq(t, ReasonStaleFencingToken, role(1, engine.RoleMixed).Reason)
	must.Eq(t, ReasonUnknownRole, role(2, "other").Reason)
	must.True(t, role(3, engine.RoleDecode).Accepted)
	must.False(t, refused(submit("c", 32, 2, false)))
	must.True(t, refused(submit("d", 64, 2, false)))
	must.True(t, role(3, engine.RoleMixed).Accepted)
	must.False(t, refused(submit("d", 64, 2, false)))
}
