// Package emulator is a deterministic emulation of a model engine: continuous
// batching, a prefix cache, and the residency of models and adapters in the memory
// of one accelerator. It is a state machine without clock, sockets or goroutines.
// The caller passes events and the current time to Step, carries out the actions
// that Step returns, and calls Step again at the time that NextEvent returns.
package emulator

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Settings are the capacities and timings of one engine.
type Settings struct {
	MemoryMB           int64         // accelerator memory for models and adapters
	KVTokens           int64         // tokens that the KV memory holds for running requests
	CacheTokens        int           // tokens that the prefix cache holds
	MaxBatch           int           // requests that run at once
	MaxQueue           int           // maximum number of queued requests
	PrefillChunkTokens int           // prompt tokens prefilled per step
	PrefillPerToken    time.Duration // time of one prompt token
	CachedPerToken     time.Duration // time of one prompt token found in the cache
	DecodeBase         time.Duration // time of a decode step with one request
	DecodePerRequest   time.Duration // time that each further request adds to the step
	UnloadTime         time.Duration
	OutputTokens       int  // mean number of tokens generated; 0 to generate max_tokens always
	Fencing            bool // refuse orders whose fencing token is below the highest one seen
	RefuseOvercommit   bool // refuse loads that do not fit into MemoryMB
}

// RefusalReason is the reason why a request was refused.
type RefusalReason string

// Reasons of refused requests. A refused request was not executed.
const (
	RefusalQueueFull        RefusalReason = "queue full"
	RefusalNotResident      RefusalReason = "model not resident"
	RefusalTooLong          RefusalReason = "longer than the KV memory"
	RefusalDuplicateAttempt RefusalReason = "attempt already known"
	RefusalWrongRole        RefusalReason = "not in the engine's role"
)

// Event is an input to Step.
type Event interface{ event() }

// Submit is the arrival of a request.
type Submit struct {
	Attempt   string
	Model     string
	Adapter   string
	Prompt    []string // tokens
	MaxTokens int
	Batch     bool // priority engine.PriorityBatch: queued behind live requests
}

// Cancel ends a queued or running request.
type Cancel struct{ Attempt string }

// OrderArrived is the arrival of an order.
type OrderArrived struct{ Order engine.Order }

// WeightsFetched is the outcome of an earlier FetchWeights.
type WeightsFetched struct {
	ID uint64 // ID of that FetchWeights
	OK bool   // whether the weights were fetched
}

// ImportKV is the import of the KV cache of a prompt prefix. It has no effect if
// the prefix's model is not ready.
type ImportKV struct{ Prefix engine.KVPrefix }

// Tick only advances the engine to the current time.
type Tick struct{}

func (Submit) event()         {}
func (Cancel) event()         {}
func (OrderArrived) event()   {}
func (WeightsFetched) event() {}
func (ImportKV) event()       {}
func (Tick) event()           {}

// Action is an output of Step that the caller carries out.
type Action interface{ action() }

// Refused reports that a request was not executed.
type Refused struct {
	Attempt string
	Reason  RefusalReason
}

// Token is the next token of a running request.
type Token struct {
	Attempt string
	Index   int
}

// Finished is the end of an accepted request. Cancelled is set if it was cancelled.
type Finished struct {
	Attempt      string
	Tokens       int
	StoppedEarly bool // ended before max_tokens
	Cancelled    bool
}

// OrderReplied is the answer to an order.
type OrderReplied struct{ Reply engine.OrderReply }

// FetchWeights asks the caller to fetch weights and to report the outcome with
// WeightsFetched.
type FetchWeights struct {
	ID      uint64 // id of the fetch
	Model   string
	Adapter string
	Version string
}

// CacheChanged is a change of the prefix cache.
type CacheChanged struct{ Event engine.CacheEvent }

func (Refused) action()      {}
func (Token) action()        {}
func (Finished) action()     {}
func (OrderReplied) action() {}
func (FetchWeights) action() {}
func (CacheChanged) action() {}

// Counters are the engine's own counts, which tests compare with what the system
// under test reports.
type Counters struct {
	Overcommit      uint64 `json:"overcommit"`        // residency changes after which more memory was in use than MemoryMB
	MaxUsedMB       int64  `json:"max_used_mb"`       // highest memory in use
	Accepted        uint64 `json:"accepted"`          // requests accepted
	Refused         uint64 `json:"refused"`           // requests refused
	Finished        uint64 `json:"finished"`          // requests that generated all their tokens
	Cancelled       uint64 `json:"cancelled"`         // requests cancelled
	TokensGenerated uint64 `json:"tokens_generated"`  // over all requests
	PrefillTokens   uint64 `json:"prefill_tokens"`    // prompt tokens computed
	CachedTokens    uint64 `json:"cached_tokens"`     // prompt tokens found in the cache
	OrdersAccepted  uint64 `json:"orders_accepted"`   // orders accepted
	OrdersRefused   uint64 `json:"orders_refused"`    // orders refused
	ModelLoads      uint64 `json:"model_loads"`       // model loads started
	AdapterLoads    uint64 `json:"adapter_loads"`     // adapter loads started
	LoadsOfResident uint64 `json:"loads_of_resident"` // load orders for what was already resident
	KVExported      uint64 `json:"kv_exported"`       // tokens of KV cache exported
	KVImported      uint64 `json:"kv_imported"`       // tokens of KV cache imported
}

// Load holds the load figures of a report, which the caller publishes with a
// delay.
type Load struct {
	Running       int
	Queued        int
	QueuedPrefill int64 // prompt tokens not yet prefilled, of queued and running requests
	FreeKVTokens  int64 // KV tokens not reserved by running requests
}

// Engine is one emulated engine. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	batch    batch
	cache    cache
	memory   memory
	role     engine.Role
	counters Counters
	actions  []Action
}

// New returns an engine without resident models.
func New(settings Settings) *Engine {
	return &Engine{
		settings: settings,
		batch:    batch{byAttempt: map[string]*request{}},
		cache:    newCache(settings.CacheTokens),
		memory:   memory{},
		role:     engine.RoleMixed,
	}
}

// Step advances the engine to now, handles the event and returns the actions for
// the caller. now, the time since the start of the engine, must not decrease from
// one call to the next.
func (e *Engine) Step(now time.Duration, ev Event) []Action {
	e.actions = nil
	e.advance(now)
	switch ev := ev.(type) {
	case Submit:
		e.submit(ev)
	case Cancel:
		e.cancel(ev)
	case OrderArrived:
		e.handleOrder(ev.Order)
	case WeightsFetched:
		e.finishFetch(ev)
	case ImportKV:
		e.importKV(ev.Prefix)
	case Tick:
	}
	e.finishUnloads(now)
	e.startStep(now)
	return e.actions
}

// NextEvent returns the time of the next internal event, the end of a step or an
// unload. It returns false if there is none.
func (e *Engine) NextEvent() (time.Duration, bool) {
	due, ok := e.memory.nextFree()
	if e.batch.stepping && (!ok || e.batch.stepEnd < due) {
		due, ok = e.batch.stepEnd, true
	}
	return due, ok
}

// advance completes the steps and unloads that are due by now, in order of time.
func (e *Engine) advance(now time.Duration) {
	for {
		due, ok := e.NextEvent()
		if !ok || due > now {
			return
		}
		if e.batch.stepping && e.batch.stepEnd <= due {
			e.endStep()
		}
		e.finishUnloads(due)
		e.startStep(due)
	}
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// Counters returns the counts so far.
func (e *Engine) Counters() Counters { return e.counters }

// Load returns the current load figures.
func (e *Engine) Load() Load {
	l := Load{
		Running:      len(e.batch.running),
		Queued:       len(e.batch.liveQueue) + len(e.batch.batchQueue),
		FreeKVTokens: e.settings.KVTokens - e.batch.kvReserved,
	}
	for _, q := range [][]*request{e.batch.liveQueue, e.batch.batchQueue, e.batch.running} {
		for _, r := range q {
			l.QueuedPrefill += int64(r.prefillRemaining())
		}
	}
	return l
}
