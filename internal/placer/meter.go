package placer

import (
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

// Cost is the accelerator time that a request takes: its prompt at the pace of
// the service's engines, and a share of each step that decodes it.
func Cost(service *config.Service, promptTokens, outputTokens int) time.Duration {
	rate, running := int64(config.DefaultPrefillTokensPerS), config.DefaultMaxRunning
	for _, u := range service.Upstreams {
		if u.Kind == config.UpstreamEngine {
			rate, running = u.PrefillTokensPerS, u.MaxRunning
			break
		}
	}
	prefill := time.Duration(promptTokens) * time.Second / time.Duration(max(rate, 1))
	step := time.Duration(service.Deadlines.BetweenMS) * time.Millisecond / time.Duration(max(running, 1))
	return prefill + time.Duration(outputTokens)*step
}

// flight is a model or adapter on one upstream.
type flight struct {
	upstream string // service/upstream
	model    string
	adapter  string
}

// meter counts what one instance is asked for and has in flight. It is safe
// for concurrent use.
type meter struct {
	mu      sync.Mutex
	demand  map[string]time.Duration // by service/model, since the last report
	running map[flight]int64
	used    map[flight]bool // since the last report
}

func newMeter() *meter {
	return &meter{demand: map[string]time.Duration{}, running: map[flight]int64{}, used: map[flight]bool{}}
}

func (m *meter) asked(model string, cost time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand[model] += cost
}

func (m *meter) started(f flight) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[f]++
	m.used[f] = true
}

func (m *meter) ended(f flight) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[f]--
	if m.running[f] <= 0 {
		delete(m.running, f)
	}
}

// usage is what one instance reports at a time.
type usage struct {
	demand  map[string]time.Duration
	flights map[flight]int64
}

// take returns what happened since the last take.
func (m *meter) take() usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := usage{demand: m.demand, flights: make(map[flight]int64, len(m.used))}
	for f := range m.used {
		u.flights[f] = 0
	}
	for f, n := range m.running {
		u.flights[f] = n
	}
	m.demand = map[string]time.Duration{}
	clear(m.used)
	return u
}

// Asked counts a request for a model, service/model, by its accelerator time,
// also if it was refused for want of a home.
func (d *Duty) Asked(model string, cost time.Duration) { d.meter.asked(model, cost) }

// Started counts a request in flight on an upstream, service/upstream, until
// the returned function is called.
func (d *Duty) Started(upstream, model, adapter string) (ended func()) {
	f := flight{upstream, model, adapter}
	d.meter.started(f)
	return func() { d.meter.ended(f) }
}
