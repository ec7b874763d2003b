package placer

import (
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

// RequestCost returns the accelerator time that a request takes: the prefill of
// its prompt at the rate of the service's engines, plus its share of each decode
// step.
func RequestCost(service *config.Service, promptTokens, outputTokens int) time.Duration {
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

// inFlightKey identifies a model, or an adapter of it, on one upstream.
type inFlightKey struct {
	upstream string // service/upstream
	model    string
	adapter  string
}

// usageMeter measures one instance's demand and counts its requests in flight.
// It is safe for concurrent use.
type usageMeter struct {
	mu       sync.Mutex
	demand   map[string]time.Duration // accelerator time by service/model, since the last report
	inFlight map[inFlightKey]int64
	active   map[inFlightKey]bool // a request started since the last report
}

func newMeter() *usageMeter {
	return &usageMeter{demand: map[string]time.Duration{}, inFlight: map[inFlightKey]int64{}, active: map[inFlightKey]bool{}}
}

func (m *usageMeter) addDemand(model string, cost time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand[model] += cost
}

func (m *usageMeter) begin(f inFlightKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[f]++
	m.active[f] = true
}

func (m *usageMeter) end(f inFlightKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[f]--
	if m.inFlight[f] <= 0 {
		delete(m.inFlight, f)
	}
}

// usageReport is the content of one report of an instance.
type usageReport struct {
	demand   map[string]time.Duration
	inFlight map[inFlightKey]int64
}

// collect returns the usage since the last call of collect.
func (m *usageMeter) collect() usageReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := usageReport{demand: m.demand, inFlight: make(map[inFlightKey]int64, len(m.active))}
	for f := range m.active {
		u.inFlight[f] = 0
	}
	for f, n := range m.inFlight {
		u.inFlight[f] = n
	}
	m.demand = map[string]time.Duration{}
	clear(m.active)
	return u
}

// RecordDemand adds the accelerator time of a request to the demand for a model,
// named service/model. It is also called for requests that are refused because
// the model has no home zone.
func (c *Controller) RecordDemand(model string, cost time.Duration) { c.meter.addDemand(model, cost) }

// BeginRequest counts a request as in flight on an upstream, named
// service/upstream, until the returned function is called.
func (c *Controller) BeginRequest(upstream, model, adapter string) (ended func()) {
	f := inFlightKey{upstream, model, adapter}
	c.meter.begin(f)
	return func() { c.meter.end(f) }
}
