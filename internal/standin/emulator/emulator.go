// Package emulator is a model engine as a stepped value: continuous batching,
// a prefix cache, and the residency of models and adapters in the memory of
// one accelerator. It has no clock, socket or goroutine: the caller steps it
// with events, carries out the actions, and steps it again at Next.
package emulator

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Settings are the sizes and timings of one engine.
type Settings struct {
	MemoryMB         int64         // memory of the accelerator for models and adapters
	KVTokens         int64         // tokens that the KV memory holds for running requests
	CacheTokens      int           // tokens that the prefix cache holds
	MaxBatch         int           // requests that run at once
	MaxQueue         int           // requests that wait at most
	PrefillChunk     int           // prompt tokens taken up per step
	PrefillPerToken  time.Duration // time of one prompt token
	CachedPerToken   time.Duration // time of one prompt token found in the cache
	DecodeBase       time.Duration // decode step of one running request
	DecodePerRequest time.Duration // added to it by each further one
	UnloadTime       time.Duration
	OutputTokens     int // mean length of an answer; 0 for max_tokens always
	Fencing          bool
	RefuseOvercommit bool
}

// Refusal says why a request or order was not taken up.
type Refusal string

// The refusals of requests. None of the requests ran.
const (
	RefusalQueueFull   Refusal = "queue full"
	RefusalNotResident Refusal = "model not resident"
	RefusalTooLong     Refusal = "longer than the KV memory"
	RefusalKnown       Refusal = "attempt already known"
	RefusalRole        Refusal = "not in the engine's role"
)

// Event is something that happens to the engine.
type Event interface{ event() }

// Submit brings a request.
type Submit struct {
	Attempt   string
	Model     string
	Adapter   string
	Prompt    []string // tokens
	MaxTokens int
	Batch     bool // waits behind live requests
}

// Cancel ends a request, waiting or running.
type Cancel struct{ Attempt string }

// OrderArrived brings an order.
type OrderArrived struct{ Order engine.Order }

// Fetched says that the weights of an earlier Fetch are there, or failed.
type Fetched struct {
	Load uint64
	OK   bool
}

// ImportKV brings the KV cache of a prompt prefix. It is dropped if its model
// is not ready.
type ImportKV struct{ Prefix engine.KVPrefix }

// Tick lets due steps end.
type Tick struct{}

func (Submit) event()       {}
func (Cancel) event()       {}
func (OrderArrived) event() {}
func (Fetched) event()      {}
func (ImportKV) event()     {}
func (Tick) event()         {}

// Action is something that the caller carries out.
type Action interface{ action() }

// Refused tells a request that it did not run.
type Refused struct {
	Attempt string
	Reason  Refusal
}

// Token is one more token of a running request.
type Token struct {
	Attempt string
	Index   int
}

// Finished is the end of a request that ran. Cut is set if it was cancelled.
type Finished struct {
	Attempt string
	Tokens  int
	Stopped bool // ended before max_tokens
	Cut     bool
}

// Replied is the answer to an order.
type Replied struct{ Reply engine.OrderReply }

// Fetch asks for weights; the caller answers with Fetched.
type Fetch struct {
	Load    uint64
	Model   string
	Adapter string
	Version string
}

// Cached is a change of the prefix cache.
type Cached struct{ Event engine.CacheEvent }

func (Refused) action()  {}
func (Token) action()    {}
func (Finished) action() {}
func (Replied) action()  {}
func (Fetch) action()    {}
func (Cached) action()   {}

// Counters are the engine's own truth, kept for proofs.
type Counters struct {
	Overcommit      uint64 `json:"overcommit"`        // residency changes that left more memory in use than there is
	MaxUsedMB       int64  `json:"max_used_mb"`       // highest memory in use
	Accepted        uint64 `json:"accepted"`          // requests taken up
	Refused         uint64 `json:"refused"`           // requests not taken up
	Finished        uint64 `json:"finished"`          // requests that ran to their end
	Cancelled       uint64 `json:"cancelled"`         // requests cancelled
	TokensGenerated uint64 `json:"tokens_generated"`  // over all requests
	PrefillTokens   uint64 `json:"prefill_tokens"`    // prompt tokens computed
	CachedTokens    uint64 `json:"cached_tokens"`     // prompt tokens found in the cache
	OrdersAccepted  uint64 `json:"orders_accepted"`   // orders taken up
	OrdersRefused   uint64 `json:"orders_refused"`    // orders refused
	ModelLoads      uint64 `json:"model_loads"`       // model loads begun
	AdapterLoads    uint64 `json:"adapter_loads"`     // adapter loads begun
	LoadsOfResident uint64 `json:"loads_of_resident"` // load orders of what was there
	KVExported      uint64 `json:"kv_exported"`       // tokens of KV cache exported
	KVImported      uint64 `json:"kv_imported"`       // tokens of KV cache imported
}

// Load is the part of a report that lags.
type Load struct {
	Running       int
	Queued        int
	QueuedPrefill int64
	FreeKVTokens  int64
}

// Engine is one emulated engine. It is not safe for concurrent use.
type Engine struct {
	set      Settings
	batch    batch
	cache    cache
	memory   memory
	role     engine.Role
	counters Counters
	actions  []Action
}

// New returns an engine with nothing resident.
func New(set Settings) *Engine {
	return &Engine{
		set:    set,
		batch:  batch{known: map[string]*request{}},
		cache:  newCache(set.CacheTokens),
		memory: memory{},
		role:   engine.RoleMixed,
	}
}

// Step handles an event at now, after all steps that are due by then.
// Moments never go back from one call to the next.
func (e *Engine) Step(now time.Duration, ev Event) []Action {
	e.actions = nil
	e.advance(now)
	switch ev := ev.(type) {
	case Submit:
		e.submit(ev)
	case Cancel:
		e.cancel(ev)
	case OrderArrived:
		e.order(ev.Order)
	case Fetched:
		e.fetched(ev)
	case ImportKV:
		e.importKV(ev.Prefix)
	case Tick:
	}
	e.finishUnloads(now)
	e.startStep(now)
	return e.actions
}

// Next returns the next moment at which something is due.
func (e *Engine) Next() (time.Duration, bool) {
	due, ok := e.memory.nextUnload()
	if e.batch.stepping && (!ok || e.batch.stepEnds < due) {
		due, ok = e.batch.stepEnds, true
	}
	return due, ok
}

// advance ends the steps and unloads that are due by now, in order.
func (e *Engine) advance(now time.Duration) {
	for {
		due, ok := e.Next()
		if !ok || due > now {
			return
		}
		if e.batch.stepping && e.batch.stepEnds <= due {
			e.endStep()
		}
		e.finishUnloads(due)
		e.startStep(due)
	}
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// Counters returns the engine's truth.
func (e *Engine) Counters() Counters { return e.counters }

// Load returns the load figures as they are now.
func (e *Engine) Load() Load {
	l := Load{
		Running:      len(e.batch.running),
		Queued:       len(e.batch.live) + len(e.batch.overnight),
		FreeKVTokens: e.set.KVTokens - e.batch.kvReserved,
	}
	for _, q := range [][]*request{e.batch.live, e.batch.overnight, e.batch.running} {
		for _, r := range q {
			l.QueuedPrefill += int64(r.prefillLeft())
		}
	}
	return l
}
