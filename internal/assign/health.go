package assign

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/upstreamstats"
)

const (
	// failureRateWeight is the weight of one response in the failure rate.
	failureRateWeight = 0.12
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected.
	ejectAfterFailures = 3
	// baseEjectionTime is the duration of the first ejection. It doubles with
	// each further ejection up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// maxExcessFailureRate is how far the failure rate of an upstream may exceed
	// the lowest of its service before the upstream counts as failing part of
	// its requests.
	maxExcessFailureRate = 0.25
	// suspectProbeInterval is the interval at which a suspect upstream, which
	// was ejected since its last success or fails part of its requests, still
	// gets a request.
	suspectProbeInterval = 700 * time.Millisecond
)

// health detects upstreams that fail some or all of their requests although
// their health check passes. It counts failures from responses. An upstream
// that fails several times in a row is ejected for a while; one that fails more
// often than the others of its service gets only occasional probe requests.
type health struct {
	failureRate         float64               // moving average of failures seen by this instance, 0 to 1
	responses           int                   // that went into failureRate, at most enoughResponses
	fleet               *upstreamstats.Series // share of failures over all instances
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
	probedAt            time.Duration // last request sent while suspect
	succeededAt         time.Duration // last success, 0 for none
}

// enoughResponses is the number of responses from which on an instance goes by its own failure
// rate: its link to the upstream may differ from those of others.
const enoughResponses = 8

// rate returns the failure rate: that of the fleet as far as this instance has seen few
// responses itself.
func (h *health) rate() float64 {
	if h.fleet == nil { // Options.OwnEstimates
		return h.failureRate
	}
	_, weight := h.fleet.Value()
	weight = min(weight, float64(enoughResponses-h.responses))
	if weight <= 0 {
		return h.failureRate
	}
	own := float64(h.responses)
	return (own*h.failureRate + weight*h.fleet.Share()) / (own + weight)
}

func (h *health) recordSuccess(now time.Duration) {
	h.succeededAt = now
	h.responses = min(h.responses+1, enoughResponses)
	h.failureRate -= failureRateWeight * h.failureRate
	h.consecutiveFailures, h.ejections = 0, 0
}

func (h *health) recordFailure(now time.Duration) {
	h.responses = min(h.responses+1, enoughResponses)
	h.failureRate += failureRateWeight * (1 - h.failureRate)
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectAfterFailures {
		return
	}
	h.ejectedUntil = now + min(baseEjectionTime<<min(h.ejections, 8), maxEjectionTime)
	h.ejections++
	h.consecutiveFailures = ejectAfterFailures - 1 // one more failure after the ejection ejects again
}

// recordCrash ejects an upstream whose process has ended for the longest time. It is
// listed until the platform notices.
func (h *health) recordCrash(now time.Duration) {
	h.ejectedUntil = now + maxEjectionTime
	h.ejections++
	h.consecutiveFailures = ejectAfterFailures - 1
}

// usable reports whether a request may be sent. lowestRate is the lowest
// failure rate among the upstreams of the service.
func (h *health) usable(now time.Duration, lowestRate float64) bool {
	if now < h.ejectedUntil {
		return false
	}
	if h.ejections > 0 || h.rate() > lowestRate+maxExcessFailureRate {
		return now-h.probedAt >= suspectProbeInterval
	}
	return true
}

// suspect reports whether the upstream has been ejected since its last success
// or fails part of its requests.
func (h *health) suspect(lowestRate float64) bool {
	return h.ejections > 0 || h.rate() > lowestRate+maxExcessFailureRate
}
