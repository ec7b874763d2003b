package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	modelServers   = 12
	partsTenants   = 5
	partsPerSecond = 75
	partsFor       = 90 * time.Second
	// headerBytes is the limit of the configuration on the headers of a request. The long list
	// of a prompt's parts stays below it, with all other headers.
	headerBytes   = 16 << 10
	listBytes     = 15 << 10
	ordinaryPause = 50 * time.Millisecond
	// checkinTimeout is the timeout of the route of the ordinary requests. By RULES.md (CONFIG) at
	// least half of those that are unanswered then have an answer answerSlack later.
	checkinTimeout = 1500 * time.Millisecond
	answerSlack    = 500 * time.Millisecond
	// minUnanswered is the number of unanswered requests that are judged at least, as in the other
	// text of CONFIG on timeouts. maxUnanswered of them end the case.
	minUnanswered = 8
	maxUnanswered = 400
)

func smallConfig() map[string]any {
	var tenants []any
	for i := range partsTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant%d", i), "api_keys": []string{fmt.Sprintf("key%d", i)}, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 80_000, "burst": 160_000,
		})
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "note-batch", "host": host, "path_prefix": "/lohu930/", "route_kind": "streaming", "timeout_ms": 20000, "slo_ms": 4000,
				"priority": 0, "service": "models", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 300},
			map[string]any{"name": "note", "host": host, "path_prefix": "/wuba840/", "route_kind": "streaming", "timeout_ms": 15000, "slo_ms": 400,
				"priority": 0, "service": "models", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300},
			map[string]any{"name": "checkin", "host": host, "path_prefix": "/puxa403/", "route_kind": "non_idempotent", "timeout_ms": checkinTimeout.Milliseconds(), "slo_ms": 300,
				"priority": 2, "service": "desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/healthz", "max_connections": 370, "engine": map[string]any{
				"slots": 64, "kv_capacity": 149759, "weights_mb": 230000.0, "adapter_slots": 8, "loads_per_s": 2.1,
				"models": []any{map[string]any{"name": "daka510000", "weights_mb": 65100.0, "load_time_s": 3.8, "adapters": 0, "adapter_size_mb": 12.0, "warmup_s": 0.45, "disk_s": 0.76}},
			}},
			map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 110},
		},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// longList returns a list of a prompt's parts that is as long as the headers may be, of which the
// first part belongs to the request alone. It also returns the tokens of the prompt.
func longList() (list string, tokens int) {
	var b strings.Builder
	fmt.Fprintf(&b, "%x:1", rand.Uint64())
	for tokens = 1; b.Len()+4 <= listBytes; tokens++ {
		b.WriteString(",1:1")
	}
	return b.String(), tokens
}

// shortList returns a list as on the pages, of a prompt with so many tokens.
func shortList(tokens int) string {
	return fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:%d", rand.Uint64(), tokens-1210)
}

// playParts sends requests whose prompts have as many parts as the limit on headers allows. All are
// served. Judged is whether the process stays within the memory of its machine.
func playParts(b *bed) (int, error) {
	servers, machines, err := b.startSmall(1, &server{work: 130 * time.Millisecond, events: 2, pause: 5 * time.Millisecond})
	if err != nil {
		return 0, err
	}
	m := machines[0]
	defer m.kill()
	go m.limitMemory()
	var notes, checkins tally
	var late lateness
	var wait sync.WaitGroup
	end := time.Now().Add(partsFor)
	over := func() bool { return time.Now().After(end) || !m.running() || late.enough() }
	every(&wait, over, time.Second/partsPerSecond, func(c *client) {
		list, tokens := longList()
		if !b.trouble {
			list = shortList(tokens)
		}
		o := c.do(m.frontend, request{method: "POST", path: "/lohu930/2f", key: fmt.Sprintf("key%d", rand.IntN(partsTenants)), body: "prompt", deadline: 20 * time.Second,
			headers: map[string]string{"X-Model": "daka510000", "X-Token-Usage": fmt.Sprintf("%d,2", tokens), "X-Prefix-Hash": list}})
		notes.add(o)
	})
	every(&wait, over, ordinaryPause, func(c *client) {
		sentAt := time.Now()
		o := c.do(m.frontend, request{method: "POST", path: "/puxa403/2f", key: "key0", body: "checkin", deadline: 3 * time.Second})
		checkins.add(o)
		if ranOn := m.running(); ranOn || time.Since(sentAt) > checkinTimeout+answerSlack {
			late.add(o)
		}
	})
	for !over() {
		time.Sleep(2 * time.Second)
		b.note("memory at most %d MB of %d MB; notes %s; check-ins %s; %s", m.peakKB.Load()>>10, m.memoryMB, &notes, &checkins, &late)
	}
	alive := m.running()
	if alive {
		b.note("the process runs; GET /api/ready: %v", m.isReady())
	}
	m.kill()
	wait.Wait()
	for _, s := range servers {
		b.note("%s ran %d requests", s.id, s.runs())
	}
	b.note("memory at most %d MB of %d MB; notes %s; check-ins %s; %s", m.peakKB.Load()>>10, m.memoryMB, &notes, &checkins, &late)
	switch {
	case m.exceeded.Load():
		b.note("the process exceeded the memory of its machine and was killed for it, as DEPLOY.md says")
	case !alive:
		b.note("the process ended by itself")
	}
	if late.broken() || !alive {
		return broken, nil
	}
	return held, nil
}

// lateness counts the requests that had no answer at the timeout of their route, and those of
// them that had none answerSlack later.
type lateness struct {
	mu                    sync.Mutex
	atTimeout, unanswered int
}

func (l *lateness) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.seconds > checkinTimeout.Seconds() {
		l.atTimeout++
		if o.seconds > (checkinTimeout + answerSlack).Seconds() {
			l.unanswered++
		}
	}
}

func (l *lateness) enough() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered >= maxUnanswered
}

func (l *lateness) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered >= minUnanswered && 2*l.unanswered > l.atTimeout
}

func (l *lateness) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d check-ins unanswered at the timeout of their route, %d of them 0.5 s later", l.atTimeout, l.unanswered)
}

// every calls f at an interval until over, each call in its own goroutine, with a client that keeps its
// connections.
func every(wait *sync.WaitGroup, over func() bool, interval time.Duration, f func(*client)) {
	c := newClient(2000)
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for range ticker.C {
			if over() {
				return
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				f(c)
			}()
		}
	}()
}
