package residency

import "time"

const (
	// expectationTTL is how long after the first request of a service models are
	// still expected to be requested because many engines held them.
	expectationTTL = 10 * time.Second
	// expectedShare is the work that is expected for each engine that held a model,
	// as a share of its capacity.
	expectedShare = 0.1
)

// expectations are what the placement that a planner found says about the demand, by
// service: operators start with the busiest models on many engines.
type expectations map[string]*expectation

type expectation struct {
	replicas       map[string]int // most engines that held each model before the first request
	firstRequestAt time.Duration  // 0 before the first request
}

// apply gives the models that several engines held, and that have not been requested
// yet, the work that is expected of them.
func (x expectations) apply(now time.Duration, service string, states map[string]*modelState, capacity float64) {
	e := x[service]
	if e == nil {
		e = &expectation{replicas: map[string]int{}}
		x[service] = e
	}
	if e.firstRequestAt == 0 {
		for name, m := range states {
			e.replicas[name] = max(e.replicas[name], m.replicas)
			if m.requested {
				e.firstRequestAt = now
			}
		}
	}
	if e.firstRequestAt == 0 || now-e.firstRequestAt > expectationTTL {
		return
	}
	for name, m := range states {
		if n := e.replicas[name]; n > 1 && !m.requested {
			m.slowRate = expectedShare * capacity * float64(n)
		}
	}
}
