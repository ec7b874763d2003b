package emulator

import (
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// AdapterSeparator stands between model and adapter in the name of a model.
const AdapterSeparator = ":"

// request is one request that waits or runs.
type request struct {
	attempt   string
	name      string // model, or model:adapter
	model     string
	adapter   string
	version   string // version of the model that it runs on
	prompt    []string
	prefixes  []uint64
	prefilled int
	generated int
	length    int // tokens that the answer will have
	stopped   bool
	kv        int64 // KV tokens reserved while it runs
}

func (r *request) prefillLeft() int { return len(r.prompt) - r.prefilled }

// batch is the continuous batch: each step takes up some prompt tokens and
// gives each decoding request one token.
type batch struct {
	live       []*request
	overnight  []*request
	running    []*request
	known      map[string]*request // waiting and running, by attempt
	kvReserved int64
	stepping   bool
	stepEnds   time.Duration
	decoding   []*request // requests that get a token when the step ends
}

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
	r.length, r.stopped = e.answerLength(s)
	if reason := e.refusal(r); reason != "" {
		e.refuse(r, reason)
		return
	}
	e.counters.Accepted++
	e.batch.known[r.attempt] = r
	if s.Batch {
		e.batch.overnight = append(e.batch.overnight, r)
		return
	}
	e.batch.live = append(e.batch.live, r)
}

// answerLength is fixed by the prompt, so that each attempt gives one answer.
func (e *Engine) answerLength(s Submit) (int, bool) {
	if e.set.OutputTokens <= 0 {
		return s.MaxTokens, false
	}
	h := fnv.New64a()
	for _, token := range s.Prompt {
		_, _ = io.WriteString(h, token)
	}
	natural := 1 + int(h.Sum64()%uint64(2*e.set.OutputTokens))
	if natural < s.MaxTokens {
		return natural, true
	}
	return s.MaxTokens, false
}

func (e *Engine) refusal(r *request) Refusal {
	waiting := len(e.batch.live) + len(e.batch.overnight)
	switch {
	case e.batch.known[r.attempt] != nil:
		return RefusalKnown
	case r.kv > e.set.KVTokens:
		return RefusalTooLong
	case !e.memory.ready(r.model, r.adapter):
		return RefusalNotResident
	case !e.inRole(r):
		return RefusalRole
	case waiting >= e.set.MaxQueue && !e.roomFor(r):
		return RefusalQueueFull
	}
	return ""
}

func (e *Engine) refuse(r *request, reason Refusal) {
	e.counters.Refused++
	e.emit(Refused{Attempt: r.attempt, Reason: reason})
}

// roomFor reports whether the batch could take the request at once.
func (e *Engine) roomFor(r *request) bool {
	waiting := len(e.batch.live) + len(e.batch.overnight)
	fits := e.batch.kvReserved+r.kv <= e.set.KVTokens
	return waiting == 0 && len(e.batch.running) < e.set.MaxBatch && fits
}

// admit moves waiting requests into the batch, live ones first. Requests whose
// model went meanwhile are told that they did not run.
func (e *Engine) admit() {
	e.dropHomeless(&e.batch.live)
	e.dropHomeless(&e.batch.overnight)
	for len(e.batch.running) < e.set.MaxBatch {
		queue := &e.batch.live
		if len(*queue) == 0 {
			queue = &e.batch.overnight
		}
		if len(*queue) == 0 || e.batch.kvReserved+(*queue)[0].kv > e.set.KVTokens {
			return
		}
		r := (*queue)[0]
		*queue = (*queue)[1:]
		e.start(r)
	}
}

func (e *Engine) dropHomeless(queue *[]*request) {
	*queue = slices.DeleteFunc(*queue, func(r *request) bool {
		if e.memory.ready(r.model, r.adapter) {
			return false
		}
		delete(e.batch.known, r.attempt)
		e.refuse(r, RefusalNotResident)
		return true
	})
}

// start puts a request into the batch, on the version ready now.
func (e *Engine) start(r *request) {
	r.version = e.memory.readyVersion(r.model)
	e.batch.kvReserved += r.kv
	e.batch.running = append(e.batch.running, r)
}

// startStep begins the next step if the engine is idle and has work.
func (e *Engine) startStep(now time.Duration) {
	if e.batch.stepping {
		return
	}
	e.admit()
	if len(e.batch.running) == 0 {
		return
	}
	e.batch.stepping = true
	e.batch.stepEnds = now + max(e.prefillTime()+e.decodeTime(), time.Microsecond)
}

// prefillTime takes up prompt tokens for this step and returns their time.
func (e *Engine) prefillTime() time.Duration {
	budget := max(e.set.PrefillChunk, 1)
	total := time.Duration(0)
	for _, r := range e.batch.running {
		if r.prefilled == 0 && len(r.prompt) > 0 {
			total += e.takeCached(r)
		}
		chunk := min(budget, r.prefillLeft())
		budget -= chunk
		r.prefilled += chunk
		e.counters.PrefillTokens += uint64(chunk)
		total += time.Duration(chunk) * e.set.PrefillPerToken
	}
	return total
}

// takeCached uses the longest cached prefix, but for the prompt's last token.
func (e *Engine) takeCached(r *request) time.Duration {
	hit := min(e.cache.longest(r.prefixes), len(r.prompt)-1)
	r.prefilled = hit
	e.counters.CachedTokens += uint64(hit)
	return time.Duration(hit) * e.set.CachedPerToken
}

// decodeTime picks the requests that get a token, and returns the time of it.
func (e *Engine) decodeTime() time.Duration {
	e.batch.decoding = e.batch.decoding[:0]
	for _, r := range e.batch.running {
		if r.prefillLeft() == 0 {
			e.batch.decoding = append(e.batch.decoding, r)
		}
	}
	n := len(e.batch.decoding)
	if n == 0 {
		return 0
	}
	return e.set.DecodeBase + time.Duration(n-1)*e.set.DecodePerRequest
}

// endStep gives out the tokens of the step.
func (e *Engine) endStep() {
	e.batch.stepping = false
	for _, r := range e.batch.decoding {
		if e.batch.known[r.attempt] != r {
			continue // cancelled during the step
		}
		e.giveToken(r)
	}
	e.batch.decoding = e.batch.decoding[:0]
}

func (e *Engine) giveToken(r *request) {
	if r.generated == 0 {
		e.cachePrompt(r)
	}
	e.emit(Token{Attempt: r.attempt, Index: r.generated})
	r.generated++
	e.counters.TokensGenerated++
	if r.generated >= r.length {
		e.counters.Finished++
		e.leave(r)
		e.emit(Finished{Attempt: r.attempt, Tokens: r.generated, Stopped: r.stopped})
	}
}

// leave takes a running request out of the batch.
func (e *Engine) leave(r *request) {
	delete(e.batch.known, r.attempt)
	e.batch.kvReserved -= r.kv
	e.batch.running = slices.DeleteFunc(e.batch.running, func(o *request) bool { return o == r })
}

func (e *Engine) cancel(c Cancel) {
	r := e.batch.known[c.Attempt]
	if r == nil {
		return
	}
	e.counters.Cancelled++
	same := func(o *request) bool { return o == r }
	if slices.ContainsFunc(e.batch.running, same) {
		e.leave(r)
	}
	delete(e.batch.known, r.attempt)
	e.batch.live = slices.DeleteFunc(e.batch.live, same)
	e.batch.overnight = slices.DeleteFunc(e.batch.overnight, same)
	e.emit(Finished{Attempt: r.attempt, Tokens: r.generated, Cut: true})
}

// busy reports whether a running request uses the model or adapter.
func (e *Engine) busy(res engine.Resident) bool {
	return slices.ContainsFunc(e.batch.running, func(r *request) bool {
		sameModel := r.model == res.Model
		if res.Adapter != "" {
			return sameModel && r.adapter == res.Adapter
		}
		return sameModel && r.version == res.Version
	})
}
