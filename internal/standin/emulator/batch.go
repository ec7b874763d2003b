package emulator

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// AdapterSeparator separates the model from the adapter in the name of a model.
const AdapterSeparator = ":"

// request is one request that is queued or running.
type request struct {
	attempt      string
	name         string // model, or model:adapter
	model        string
	adapter      string
	version      string // version of the model that it runs on
	prompt       []string
	prefixes     []uint64 // hashes of the prompt's prefixes, as engine.PrefixHashes returns them
	prefilled    int      // prompt tokens computed or found in the cache
	generated    int      // tokens generated so far
	outputTokens int      // tokens that it will generate
	stopsEarly   bool     // generates fewer than max_tokens
	kv           int64    // KV tokens reserved while it runs
}

// prefillRemaining returns the number of prompt tokens not yet prefilled.
func (r *request) prefillRemaining() int { return len(r.prompt) - r.prefilled }

// batch is the state of continuous batching: the queues and the running requests.
// Each step prefills some prompt tokens and generates one token for each decoding
// request.
type batch struct {
	liveQueue  []*request
	batchQueue []*request
	running    []*request
	byAttempt  map[string]*request // queued and running, by attempt id
	kvReserved int64               // KV tokens reserved by running requests
	stepping   bool                // a step is running; it ends at stepEnd
	stepEnd    time.Duration
	decoding   []*request // requests that get a token when the step ends
}

// submit queues a request or refuses it.
func (e *Engine) submit(s Submit) {
	name := s.Model
	if s.Adapter != "" {
		name += AdapterSeparator + s.Adapter
	}
	r := &request{
		attempt:  s.Attempt,
		name:     name,
		model:    s.Model,
		adapter:  s.Adapter,
		prompt:   s.Prompt,
		prefixes: engine.PrefixHashes(name, s.Prompt),
		kv:       int64(len(s.Prompt) + s.MaxTokens),
	}
	r.outputTokens, r.stopsEarly = e.outputLength(s)
	if reason := e.refusalReason(r); reason != "" {
		e.refuse(r, reason)
		return
	}
	e.counters.Accepted++
	e.batch.byAttempt[r.attempt] = r
	if s.Batch {
		e.batch.batchQueue = append(e.batch.batchQueue, r)
		return
	}
	e.batch.liveQueue = append(e.batch.liveQueue, r)
}

// outputLength returns the number of tokens to generate, and whether that is less
// than max_tokens. The prompt determines it, so that all attempts of a request
// generate the same answer.
func (e *Engine) outputLength(s Submit) (int, bool) {
	if e.settings.OutputTokens <= 0 {
		return s.MaxTokens, false
	}
	h := fnv.New64a()
	for _, token := range s.Prompt {
		_, _ = io.WriteString(h, token)
	}
	naturalLength := 1 + int(h.Sum64()%uint64(2*e.settings.OutputTokens))
	if naturalLength < s.MaxTokens {
		return naturalLength, true
	}
	return s.MaxTokens, false
}

// refusalReason returns why a request cannot be queued, or "" if it can.
func (e *Engine) refusalReason(r *request) RefusalReason {
	queued := len(e.batch.liveQueue) + len(e.batch.batchQueue)
	switch {
	case e.batch.byAttempt[r.attempt] != nil:
		return RefusalDuplicateAttempt
	case r.kv > e.settings.KVTokens:
		return RefusalTooLong
	case !e.memory.ready(r.model, r.adapter):
		return RefusalNotResident
	case !e.matchesRole(r):
		return RefusalWrongRole
	case queued >= e.settings.MaxQueue && !e.canStartNow(r):
		return RefusalQueueFull
	}
	return ""
}

// refuse counts a refusal and emits it.
func (e *Engine) refuse(r *request, reason RefusalReason) {
	e.counters.Refused++
	e.emit(Refused{Attempt: r.attempt, Reason: reason})
}

// canStartNow reports whether the batch has room for the request and none is
// queued before it.
func (e *Engine) canStartNow(r *request) bool {
	queued := len(e.batch.liveQueue) + len(e.batch.batchQueue)
	fits := e.batch.kvReserved+r.kv <= e.settings.KVTokens
	return queued == 0 && len(e.batch.running) < e.settings.MaxBatch && fits
}

// admit moves queued requests into the batch, live ones first. It refuses queued
// requests whose model is no longer ready.
func (e *Engine) admit() {
	e.refuseNotReady(&e.batch.liveQueue)
	e.refuseNotReady(&e.batch.batchQueue)
	for len(e.batch.running) < e.settings.MaxBatch {
		queue := &e.batch.liveQueue
		if len(*queue) == 0 {
			queue = &e.batch.batchQueue
		}
		if len(*queue) == 0 || e.batch.kvReserved+(*queue)[0].kv > e.settings.KVTokens {
			return
		}
		r := (*queue)[0]
		*queue = (*queue)[1:]
		e.start(r)
	}
}

// refuseNotReady refuses the requests of a queue whose model or adapter is not
// ready.
func (e *Engine) refuseNotReady(queue *[]*request) {
	*queue = slices.DeleteFunc(*queue, func(r *request) bool {
		if e.memory.ready(r.model, r.adapter) {
			return false
		}
		delete(e.batch.byAttempt, r.attempt)
		e.refuse(r, RefusalNotResident)
		return true
	})
}

// start puts a request into the batch. It runs on the version of its model that
// is ready now.
func (e *Engine) start(r *request) {
	r.version = e.memory.readyVersion(r.model)
	e.batch.kvReserved += r.kv
	e.batch.running = append(e.batch.running, r)
}

// startStep begins the next step if none is running and there are requests to
// run.
func (e *Engine) startStep(now time.Duration) {
	if e.batch.stepping {
		return
	}
	e.admit()
	if len(e.batch.running) == 0 {
		return
	}
	e.batch.stepping = true
	e.batch.stepEnd = now + max(e.schedulePrefill()+e.scheduleDecode(), time.Microsecond)
}

// schedulePrefill assigns prompt tokens to this step, up to PrefillChunkTokens
// that are not cached, and returns the time that they take.
func (e *Engine) schedulePrefill() time.Duration {
	budget := max(e.settings.PrefillChunkTokens, 1)
	total := time.Duration(0)
	for _, r := range e.batch.running {
		if r.prefilled == 0 && len(r.prompt) > 0 {
			total += e.applyCachedPrefix(r)
		}
		chunk := min(budget, r.prefillRemaining())
		budget -= chunk
		r.prefilled += chunk
		e.counters.PrefillTokens += uint64(chunk)
		total += time.Duration(chunk) * e.settings.PrefillPerToken
	}
	return total
}

// applyCachedPrefix takes the longest cached prefix of a prompt, except the
// prompt's last token, as prefilled and returns the time that this takes.
func (e *Engine) applyCachedPrefix(r *request) time.Duration {
	cached := min(e.cache.longestPrefix(r.prefixes), len(r.prompt)-1)
	r.prefilled = cached
	e.counters.CachedTokens += uint64(cached)
	return time.Duration(cached) * e.settings.CachedPerToken
}

// scheduleDecode selects the requests that get a token at the end of this step,
// and returns the time that decoding takes.
func (e *Engine) scheduleDecode() time.Duration {
	e.batch.decoding = e.batch.decoding[:0]
	for _, r := range e.batch.running {
		if r.prefillRemaining() == 0 {
			e.batch.decoding = append(e.batch.decoding, r)
		}
	}
	n := len(e.batch.decoding)
	if n == 0 {
		return 0
	}
	return e.settings.DecodeBase + time.Duration(n-1)*e.settings.DecodePerRequest
}

// endStep ends the step and emits its tokens.
func (e *Engine) endStep() {
	e.batch.stepping = false
	for _, r := range e.batch.decoding {
		if e.batch.byAttempt[r.attempt] != r {
			continue // cancelled during the step
		}
		e.emitToken(r)
	}
	e.batch.decoding = e.batch.decoding[:0]
}

// emitToken emits the next token of a request and finishes the request with its
// last one. The first token puts the prompt into the prefix cache.
func (e *Engine) emitToken(r *request) {
	if r.generated == 0 {
		e.cachePrompt(r)
	}
	e.emit(Token{Attempt: r.attempt, Index: r.generated})
	r.generated++
	e.counters.TokensGenerated++
	if r.generated >= r.outputTokens {
		e.counters.Finished++
		e.removeRunning(r)
		e.emit(Finished{Attempt: r.attempt, Tokens: r.generated, StoppedEarly: r.stopsEarly})
	}
}

// removeRunning removes a running request from the batch.
func (e *Engine) removeRunning(r *request) {
	delete(e.batch.byAttempt, r.attempt)
	e.batch.kvReserved -= r.kv
	e.batch.running = slices.DeleteFunc(e.batch.running, func(o *request) bool { return o == r })
}

// cancel ends a queued or running request. It ignores an unknown attempt.
func (e *Engine) cancel(c Cancel) {
	r := e.batch.byAttempt[c.Attempt]
	if r == nil {
		return
	}
	e.counters.Cancelled++
	same := func(o *request) bool { return o == r }
	if slices.ContainsFunc(e.batch.running, same) {
		e.removeRunning(r)
	}
	delete(e.batch.byAttempt, r.attempt)
	e.batch.liveQueue = slices.DeleteFunc(e.batch.liveQueue, same)
	e.batch.batchQueue = slices.DeleteFunc(e.batch.batchQueue, same)
	e.emit(Finished{Attempt: r.attempt, Tokens: r.generated, Cancelled: true})
}

// inUse reports whether a running request uses the model or adapter.
func (e *Engine) inUse(res engine.Resident) bool {
	return slices.ContainsFunc(e.batch.running, func(r *request) bool {
		sameModel := r.model == res.Model
		if res.Adapter != "" {
			return sameModel && r.adapter == res.Adapter
		}
		return sameModel && r.version == res.Version
	})
}
