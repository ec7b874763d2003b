package route

import "time"

// Limits of passive ejection.
const (
	failuresToEject = 3
	minBackoff      = 500 * time.Millisecond
	maxBackoff      = 30 * time.Second
	probeTimeout    = 10 * time.Second
)

// health ejects an upstream after consecutive failures, or at once if it cannot
// be reached. After an exponential backoff, one request at a time probes it.
type health struct {
	failures       int
	ejected        bool
	reachable      bool // the last failed attempt reached the upstream
	backoff        time.Duration
	probeAt        time.Duration // when the next probe is due
	probing        bool
	probeExpiresAt time.Duration // when an unanswered probe counts as lost
}

// healthState tells whether an upstream may get a request.
type healthState uint8

const (
	healthy healthState = iota
	probeDue
	suspect
)

func (h *health) state(now time.Duration) healthState {
	switch {
	case !h.ejected:
		return healthy
	case h.probing && now < h.probeExpiresAt:
		return suspect
	case now >= h.probeAt:
		return probeDue
	default:
		return suspect
	}
}

// probeDelay returns the time until a request may probe the upstream.
func (h *health) probeDelay(now time.Duration) time.Duration {
	due := h.probeAt
	if h.probing {
		due = h.probeExpiresAt
	}
	return max(minBackoff, due-now)
}

func (h *health) attemptStarted(now time.Duration) {
	if h.ejected {
		h.probing = true
		h.probeExpiresAt = now + probeTimeout
	}
}

func (h *health) attemptSucceeded() {
	*h = health{}
}

func (h *health) attemptFailed(now time.Duration, unreachable bool) {
	h.failures++
	h.reachable = !unreachable
	if h.ejected && !h.probing {
		return // the attempt started before the ejection
	}
	if !h.ejected && !unreachable && h.failures < failuresToEject {
		return
	}
	h.backoff = min(maxBackoff, max(minBackoff, 2*h.backoff))
	h.ejected = true
	h.probing = false
	h.probeAt = now + h.backoff
}
