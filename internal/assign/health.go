package assign

import "time"

const (
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.12
	// ejectAfter consecutive failures take an upstream out of use.
	ejectAfter = 3
	// ejectBase is the first time out of use; it doubles up to ejectMax.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 4 * time.Second
	// greyRate is how far an upstream's failure rate may lie above the best
	// of its service before it counts as grey.
	greyRate = 0.25
	// greyProbeEvery is how often a grey upstream gets a request all the same.
	greyProbeEvery = 700 * time.Millisecond
)

// health answers upstreams that fail part or all of their requests while
// their health check is good: failures are counted from answers, upstreams
// that fail several times in a row are left alone for a while, and those that
// fail more than their peers get a request now and then to see.
type health struct {
	rate      float64 // moving average of failures, 0 to 1
	inRow     int
	ejections int
	until     time.Duration // ejected until
	probedAt  time.Duration // a request was sent to a suspect last
}

func (h *health) succeeded() {
	h.rate -= failureWeight * h.rate
	h.inRow, h.ejections = 0, 0
}

func (h *health) failed(now time.Duration) {
	h.rate += failureWeight * (1 - h.rate)
	h.inRow++
	if h.inRow < ejectAfter {
		return
	}
	h.until = now + min(ejectBase<<min(h.ejections, 8), ejectMax)
	h.ejections++
	h.inRow = ejectAfter - 1 // one more failure after the pause ejects again
}

// usable reports whether a request may be sent; best is the lowest failure
// rate among the upstreams of the service.
func (h *health) usable(now time.Duration, best float64) bool {
	if now < h.until {
		return false
	}
	if h.ejections > 0 || h.rate > best+greyRate {
		return now-h.probedAt >= greyProbeEvery
	}
	return true
}

func (h *health) suspect(best float64) bool { return h.ejections > 0 || h.rate > best+greyRate }
