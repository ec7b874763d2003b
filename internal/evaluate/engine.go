package evaluate

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
)

// Timing and sizes of an engine.
const (
	stepPerModel   = 6 * time.Millisecond   // for each model with work in a step
	stepPerToken   = 700 * time.Microsecond // for each sequence that decodes
	promptToken    = 100 * time.Microsecond
	promptChunk    = 256 // prompt tokens computed in one step
	maxRunning     = 32
	cachedPrefixes = 60
	keptAdapters   = 16
)

// cacheEvent is a change of an engine's prefix cache.
type cacheEvent struct {
	prefix  uint64
	tokens  int
	evicted bool
}

// engine is a fake model engine: continuous batching in steps, prompts in
// chunks, an LRU prefix cache, a queue with or without priorities.
type engine struct {
	w        *world
	id       int
	zone     int
	dead     bool
	stepping bool
	diedAt   time.Duration
	homes    []*home
	coming   map[int]int // requests on their way, by model
	waiting  []*job
	running  []*job
	prefixes []cacheEvent // least recently used first
	adapters []int        // least recently used first
	events   []cacheEvent
	loading  time.Duration // adapter loads to add to the next step
}

func (e *engine) submit(j *job) {
	j.prefilled, j.tokens = 0, 0
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// take admits waiting requests, live ones first if priorities are on.
func (e *engine) take() {
	for len(e.running) < maxRunning && len(e.waiting) > 0 {
		at := 0
		if e.w.policies.Priorities {
			at = max(0, slices.IndexFunc(e.waiting, func(j *job) bool { return j.class == fair.Live }))
		}
		j := e.waiting[at]
		e.waiting = slices.Delete(e.waiting, at, at+1)
		e.running = append(e.running, j)
		j.prefilled = e.cached(j)
		e.w.countCached(e, j)
		e.useAdapter(j.adapter)
	}
}

func (e *engine) step() {
	e.take()
	if e.dead || len(e.running) == 0 {
		e.stepping = false
		return
	}
	chunks, took := e.share()
	took += e.loading
	e.loading = 0
	batch := slices.Clone(e.running)
	e.w.after(took, func() { e.finishStep(batch, chunks) })
}

// share divides the prompt tokens of one step among the running requests and
// says how long the step takes.
func (e *engine) share() (chunks []int, took time.Duration) {
	chunks = make([]int, len(e.running))
	left, decoding := promptChunk, 0
	models := map[int]bool{}
	for _, i := range e.order() {
		j := e.running[i]
		models[j.model] = true
		if j.prefilled == j.prompt {
			decoding++
			continue
		}
		chunks[i] = min(left, j.prompt-j.prefilled)
		left -= chunks[i]
	}
	took = time.Duration(len(models))*stepPerModel + time.Duration(decoding)*stepPerToken
	return chunks, took + time.Duration(promptChunk-left)*promptToken
}

// order lists the running requests, live ones first if priorities are on.
func (e *engine) order() []int {
	order := make([]int, len(e.running))
	for i := range order {
		order[i] = i
	}
	if e.w.policies.Priorities {
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(e.running[a].class, e.running[b].class) })
	}
	return order
}

func (e *engine) finishStep(batch []*job, chunks []int) {
	if e.dead {
		return
	}
	for i, j := range batch {
		if j.prefilled < j.prompt {
			j.prefilled += chunks[i]
			if chunks[i] == 0 || j.prefilled < j.prompt {
				continue
			}
			e.store(j)
			j.first = e.w.now
			e.w.instances[j.instance].firstToken(j)
		}
		j.tokens++
		j.last = e.w.now
		if j.tokens >= j.output {
			e.running = slices.DeleteFunc(e.running, func(x *job) bool { return x == j })
			e.w.finished(j)
		}
	}
	e.step()
}

// kill fails all requests of the engine.
func (e *engine) kill() {
	e.dead, e.diedAt = true, e.w.now
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, j := range lost {
		e.w.instances[j.instance].failed(j, failure{mayRetry: j.tokens == 0})
	}
}

func (e *engine) cached(j *job) int {
	at := slices.IndexFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
	if at < 0 {
		return 0
	}
	p := e.prefixes[at]
	e.prefixes = append(slices.Delete(e.prefixes, at, at+1), p)
	return min(p.tokens, j.prefixSize)
}

// holds says whether the prefix of a request is in the cache.
func (e *engine) holds(j *job) bool {
	return slices.ContainsFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
}

// countCached counts the prompt tokens of a request by where they are cached:
// at its engine, or at another one only, from which they could be transferred.
func (x *world) countCached(at *engine, j *job) {
	x.cachedHere.of += j.prompt
	x.cachedElsewhere.of += j.prompt
	x.cachedHere.n += j.prefilled
	if j.prefilled > 0 {
		return
	}
	if slices.ContainsFunc(x.engines, func(e *engine) bool { return e != at && e.holds(j) }) {
		x.cachedElsewhere.n += j.prefixSize
	}
}

func (e *engine) store(j *job) {
	e.prefixes = slices.DeleteFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
	p := cacheEvent{prefix: j.prefix, tokens: j.prefixSize}
	e.prefixes = append(e.prefixes, p)
	e.events = append(e.events, p)
	if len(e.prefixes) > cachedPrefixes {
		old := e.prefixes[0]
		old.evicted = true
		e.events = append(e.events, old)
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
}

func (e *engine) useAdapter(a int) {
	at := slices.Index(e.adapters, a)
	if at >= 0 {
		e.adapters = append(slices.Delete(e.adapters, at, at+1), a)
		return
	}
	e.loading += time.Duration(e.w.load.AdapterLoadUS) * time.Microsecond
	e.adapters = append(e.adapters, a)
	if len(e.adapters) > keptAdapters {
		e.adapters = slices.Delete(e.adapters, 0, 1)
	}
}

func (e *engine) queuedPrefill() int64 {
	n := 0
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, j := range list {
			n += j.prompt - j.prefilled
		}
	}
	return int64(n)
}
