package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// ColdSettings say how many requests an upstream that is cold bears in any second, from all
// instances together: Overage times the rate that the configuration gives, and Slack.
type ColdSettings struct {
	Overage float64 `json:"overage"`
	Slack   float64 `json:"slack"`
}

func (s *ColdSettings) bounds() upstreamlimit.ColdBounds {
	return upstreamlimit.ColdBounds{Overage: s.Overage, Slack: s.Slack}
}

// beginSend reports whether the request of a placement may still be sent, which then has to
// happen at once.
func (d *dispatcher) beginSend(p *assign.Placement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.BeginSend(d.now(), p)
}

// coldTimes returns for how long upstreams count as cold, by upstream ID.
func (d *dispatcher) coldTimes() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.ColdTimes(d.now())
}

// coldReport returns for how long upstreams count as cold, by upstream ID, and the number of
// requests that this instance has sent to cold upstreams.
func (d *dispatcher) coldReport() (left map[string]time.Duration, sent uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.ColdTimes(d.now()), d.sched.Limits().ColdSent()
}

// coldToTell returns the cold upstreams that peers may not know of.
func (d *dispatcher) coldToTell() []upstreamlimit.ColdUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sched.Limits().ColdToTell(d.now())
}

// mergeCold records the cold upstreams that a peer has told. What is left counts from now,
// since too few requests to an upstream for the time of a message do less harm than too many.
func (g *Gateway) mergeCold(peer string, in []*meshpb.ColdUpstream) {
	if len(in) == 0 {
		return
	}
	told := make([]upstreamlimit.ColdUpstream, 0, len(in))
	for _, m := range in {
		told = append(told, upstreamlimit.ColdUpstream{
			Upstream: upstreamlimit.Upstream{ID: m.Upstream, StartedAtMS: m.Born}, Left: time.Duration(m.ColdMs) * time.Millisecond,
		})
	}
	g.dispatcher.update(func(now time.Duration, s *assign.Scheduler) {
		for _, u := range s.MergeCold(now, told) {
			g.log.Info("upstream cold by a peer's word", "upstream", u.ID, "born", u.StartedAtMS, "peer", peer, "left_ms", s.ColdTimes(now)[u.ID].Milliseconds())
		}
	})
}

// coldToWire returns the cold upstreams to tell peers.
func (g *Gateway) coldToWire() []*meshpb.ColdUpstream {
	var out []*meshpb.ColdUpstream
	for _, c := range g.dispatcher.coldToTell() {
		if ms := c.Left.Milliseconds(); ms > 0 {
			out = append(out, &meshpb.ColdUpstream{Upstream: c.Upstream.ID, Born: c.Upstream.StartedAtMS, ColdMs: uint32(ms)})
		}
	}
	return out
}

const (
	// coldReportInterval is how often the cold upstreams are counted and logged.
	coldReportInterval = time.Second
	// maxColdLogged bounds the upstreams that one log line names, as a zone may return at once.
	maxColdLogged = 16
)

// reportCold logs until ctx ends which upstreams become cold and which no longer are, and
// sets the metrics.
func (g *Gateway) reportCold(ctx context.Context) error {
	before := map[string]time.Duration{}
	for wait.Sleep(ctx, coldReportInterval) {
		cold, sent := g.dispatcher.coldReport()
		g.logCold("upstreams cold", missingIn(before, cold), cold)
		g.logCold("upstreams no longer cold", missingIn(cold, before), cold)
		g.metrics.SetGauge("cold_upstreams", float64(len(cold)))
		g.metrics.SetGauge("cold_requests_sent", float64(sent))
		before = cold
	}
	return nil
}

// missingIn returns the IDs of list that are not in known, sorted.
func missingIn(known, list map[string]time.Duration) []string {
	var out []string
	for id := range list {
		if _, ok := known[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// logCold logs the upstreams of a change. left_ms is the longest time that one of them stays
// cold.
func (g *Gateway) logCold(message string, ids []string, cold map[string]time.Duration) {
	if len(ids) == 0 {
		return
	}
	longest := time.Duration(0)
	for _, id := range ids {
		longest = max(longest, cold[id])
	}
	g.log.Info(message, "count", len(ids), "upstreams", ids[:min(len(ids), maxColdLogged)], "left_ms", longest.Milliseconds(), "all_cold", len(cold))
}
