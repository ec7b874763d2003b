package gateway

import (
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// incarnation is one run of an upstream.
type incarnation struct {
	id          string
	startedAtMS int64
}

// noticeBook holds the last notice of each upstream that said anything about itself. It
// is safe for concurrent use.
type noticeBook struct {
	mu   sync.Mutex
	last map[incarnation]fleet.Notice
}

// record stores a notice and reports whether it differs from the last one in anything but
// the pause.
func (b *noticeBook) record(u incarnation, n fleet.Notice) bool {
	n.Pause = 0
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last[u] == n {
		return false
	}
	if b.last == nil {
		b.last = map[incarnation]fleet.Notice{}
	}
	b.last[u] = n
	return true
}

// recordNotice records what an upstream says about itself in the answer to an attempt.
func (g *Gateway) recordNotice(a *attempt) {
	u := a.Decision.Upstream
	n, err := g.codec.DecodeNotice(a.response.Status, a.response.Header)
	if err != nil {
		g.log.Warn("malformed notice of an upstream skipped", "upstream", u.ID, "error", err)
	}
	if n.Pause > 0 {
		g.log.Info("upstream asks for a pause", "upstream", u.ID, "pause_ms", n.Pause.Milliseconds())
	}
	if g.notices.record(incarnation{u.ID, u.StartedAtMS}, n) {
		g.log.Info("upstream says of itself", "upstream", u.ID, "limited", n.Limited, "rate_per_s", n.RatePerS, "leaving", n.Leaving)
	}
}
