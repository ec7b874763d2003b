package evaluate

import (
	"cmp"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
)

// Timing and capacities of a simulated engine.
const (
	stepTimePerModel      = 6 * time.Millisecond   // for each model with work in a step
	decodeTimePerSequence = 700 * time.Microsecond // for each decoding sequence
	promptTokenTime       = 100 * time.Microsecond
	promptChunkTokens     = 256 // prompt tokens computed in one step
	maxRunning            = 32
	maxCachedPrefixes     = 60
	maxAdapters           = 16
)

// cacheEvent is an insertion into or an eviction from an engine's prefix cache.
// It also serves as the cache entry.
type cacheEvent struct {
	prefix  uint64
	tokens  int
	evicted bool
}

// engine simulates a model engine: continuous batching in steps, chunked
// prefill, an LRU prefix cache, and a queue with or without priorities.
type engine struct {
	sim             *simulation
	id              int
	zone            int
	dead            bool
	stepping        bool
	killedAt        time.Duration
	replicas        []*replica
	inTransit       map[int]int // requests in transit to the engine, by model
	queued          []*job
	running         []*job
	prefixes        []cacheEvent // least recently used first
	adapters        []int        // least recently used first
	events          []cacheEvent
	adapterLoadTime time.Duration // time of adapter loads to add to the next step
}

func (e *engine) submit(j *job) {
	j.prefilledTokens, j.generatedTokens = 0, 0
	e.queued = append(e.queued, j)
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// admitQueued moves queued requests into the running batch, live ones first if
// priorities are on.
func (e *engine) admitQueued() {
	for len(e.running) < maxRunning && len(e.queued) > 0 {
		at := 0
		if e.sim.policies.EnginePriorities {
			at = max(0, slices.IndexFunc(e.queued, func(j *job) bool { return j.class == fair.Live }))
		}
		j := e.queued[at]
		e.queued = slices.Delete(e.queued, at, at+1)
		e.running = append(e.running, j)
		j.prefilledTokens = e.useCachedPrefix(j)
		e.sim.countCached(e, j)
		e.useAdapter(j.adapter)
	}
}

func (e *engine) step() {
	e.admitQueued()
	if e.dead || len(e.running) == 0 {
		e.stepping = false
		return
	}
	chunks, took := e.planStep()
	took += e.adapterLoadTime
	e.adapterLoadTime = 0
	batch := slices.Clone(e.running)
	e.sim.after(took, func() { e.finishStep(batch, chunks) })
}

// planStep divides the prompt tokens of one step among the running requests. It
// returns the number for each request and the duration of the step.
func (e *engine) planStep() (chunks []int, took time.Duration) {
	chunks = make([]int, len(e.running))
	left, decoding := promptChunkTokens, 0
	models := map[int]bool{}
	for _, i := range e.batchOrder() {
		j := e.running[i]
		models[j.model] = true
		if j.prefilledTokens == j.promptTokens {
			decoding++
			continue
		}
		chunks[i] = min(left, j.promptTokens-j.prefilledTokens)
		left -= chunks[i]
	}
	took = time.Duration(len(models))*stepTimePerModel + time.Duration(decoding)*decodeTimePerSequence
	return chunks, took + time.Duration(promptChunkTokens-left)*promptTokenTime
}

// batchOrder returns the indices of the running requests, live ones first if
// priorities are on.
func (e *engine) batchOrder() []int {
	order := make([]int, len(e.running))
	for i := range order {
		order[i] = i
	}
	if e.sim.policies.EnginePriorities {
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(e.running[a].class, e.running[b].class) })
	}
	return order
}

func (e *engine) finishStep(batch []*job, chunks []int) {
	if e.dead {
		return
	}
	for i, j := range batch {
		if j.prefilledTokens < j.promptTokens {
			j.prefilledTokens += chunks[i]
			if chunks[i] == 0 || j.prefilledTokens < j.promptTokens {
				continue
			}
			e.storePrefix(j)
			j.firstTokenAt = e.sim.now
			e.sim.instances[j.instance].firstTokenSent(j)
		}
		j.generatedTokens++
		j.lastTokenAt = e.sim.now
		if j.generatedTokens >= j.outputTokens {
			e.running = slices.DeleteFunc(e.running, func(x *job) bool { return x == j })
			e.sim.finished(j)
		}
	}
	e.step()
}

// kill marks the engine as dead and fails all its requests.
func (e *engine) kill() {
	e.dead, e.killedAt = true, e.sim.now
	lost := append(e.running, e.queued...)
	e.running, e.queued = nil, nil
	for _, j := range lost {
		e.sim.instances[j.instance].failed(j, failure{mayRetry: j.generatedTokens == 0})
	}
}

// useCachedPrefix returns the number of prompt tokens found in the prefix cache
// and marks the prefix as most recently used.
func (e *engine) useCachedPrefix(j *job) int {
	at := slices.IndexFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
	if at < 0 {
		return 0
	}
	p := e.prefixes[at]
	e.prefixes = append(slices.Delete(e.prefixes, at, at+1), p)
	return min(p.tokens, j.prefixTokens)
}

// hasPrefix reports whether the prefix of a request is in the cache.
func (e *engine) hasPrefix(j *job) bool {
	return slices.ContainsFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
}

// countCached counts the prompt tokens of a request that are cached at its
// engine, and those cached at another engine only, from which they could be
// transferred.
func (sim *simulation) countCached(at *engine, j *job) {
	sim.cachedHere.total += j.promptTokens
	sim.cachedElsewhere.total += j.promptTokens
	sim.cachedHere.n += j.prefilledTokens
	if j.prefilledTokens > 0 {
		return
	}
	if slices.ContainsFunc(sim.engines, func(e *engine) bool { return e != at && e.hasPrefix(j) }) {
		sim.cachedElsewhere.n += j.prefixTokens
	}
}

func (e *engine) storePrefix(j *job) {
	e.prefixes = slices.DeleteFunc(e.prefixes, func(p cacheEvent) bool { return p.prefix == j.prefix })
	p := cacheEvent{prefix: j.prefix, tokens: j.prefixTokens}
	e.prefixes = append(e.prefixes, p)
	e.events = append(e.events, p)
	if len(e.prefixes) > maxCachedPrefixes {
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
	e.adapterLoadTime += time.Duration(e.sim.workload.AdapterLoadUS) * time.Microsecond
	e.adapters = append(e.adapters, a)
	if len(e.adapters) > maxAdapters {
		e.adapters = slices.Delete(e.adapters, 0, 1)
	}
}

func (e *engine) queuedPrefill() int64 {
	n := 0
	for _, list := range [][]*job{e.running, e.queued} {
		for _, j := range list {
			n += j.promptTokens - j.prefilledTokens
		}
	}
	return int64(n)
}
