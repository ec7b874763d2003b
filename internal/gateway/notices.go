package gateway

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// memberUpdateInterval is the interval at which the limits of upstreams and the quarantine
// learn which instances there are.
const memberUpdateInterval = 250 * time.Millisecond

// noticeBook holds the last notice of each upstream that said anything about itself. It
// is safe for concurrent use.
type noticeBook struct {
	mu   sync.Mutex
	last map[upstreamlimit.Upstream]fleet.Notice
	// malformed has the last error of each upstream whose notice was malformed.
	malformed map[upstreamlimit.Upstream]string
}

// maxNotices bounds the number of incarnations whose notices are kept. Beyond it, all
// are forgotten, and logged again when they come.
const maxNotices = 4096

// record stores a notice and reports whether it differs from the last one in anything but
// the pause and the time for which the upstream stays cold.
func (b *noticeBook) record(u upstreamlimit.Upstream, n fleet.Notice) bool {
	n.Pause, n.HasColdLeft, n.ColdLeft = 0, false, 0
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last[u] == n {
		return false
	}
	if len(b.last) == 0 || len(b.last) >= maxNotices {
		b.last = map[upstreamlimit.Upstream]fleet.Notice{}
	}
	b.last[u] = n
	return true
}

// recordMalformed stores the error of a malformed notice and reports whether it differs from
// the upstream's last one.
func (b *noticeBook) recordMalformed(u upstreamlimit.Upstream, text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.malformed[u] == text {
		return false
	}
	if len(b.malformed) == 0 || len(b.malformed) >= maxNotices {
		b.malformed = map[upstreamlimit.Upstream]string{}
	}
	b.malformed[u] = text
	return true
}

// RecordMalformedNotice logs and counts malformed headers of an upstream's answer, once for
// each error. It may be called at any time.
func (g *Gateway) RecordMalformedNotice(u *fleet.Upstream, err error) {
	if !g.notices.recordMalformed(upstreamlimit.Upstream{ID: u.ID, StartedAtMS: u.StartedAtMS}, fmt.Sprintf("%.200v", err)) {
		return
	}
	g.metrics.Count("malformed_notices")
	g.log.Warn("malformed notice of an upstream skipped", "upstream", u.ID, "error", err)
}

// recordNotice records what an upstream says about itself in the answer to an attempt.
func (g *Gateway) recordNotice(a *attempt, kind fleet.AnswerKind) {
	n, err := g.codec.DecodeNotice(a.response.Status, a.response.Header)
	if err != nil {
		g.RecordMalformedNotice(a.Decision.Upstream, err)
	}
	switch {
	case kind == fleet.AnswerMismatched: // at least the address asks for the pause
		n = fleet.Notice{Pause: n.Pause, LimitUnknown: true}
	case kind != fleet.AnswerOwn && !n.Limited:
		n.LimitUnknown = true // a rejection may not say all
	}
	g.applyNotice(a.begunAt, a.Decision.Upstream, n)
}

// RecordNotice records what an upstream says about itself elsewhere than in the answer to a
// caller's request. It may be called at any time.
func (g *Gateway) RecordNotice(u *fleet.Upstream, n fleet.Notice) { g.applyNotice(g.now(), u, n) }

// applyNotice puts a notice in force that is in the answer to a request sent at sentAt.
func (g *Gateway) applyNotice(sentAt time.Duration, u *fleet.Upstream, n fleet.Notice) {
	if n.Pause > 0 {
		g.log.Info("upstream asks for a pause", "upstream", u.ID, "pause_ms", n.Pause.Milliseconds())
	}
	if n.Leaving {
		g.catalog.MarkDraining(u.ID, u.StartedAtMS)
	}
	g.dispatcher.recordNotice(sentAt, u, n)
	if !n.LimitUnknown && g.notices.record(upstreamlimit.Upstream{ID: u.ID, StartedAtMS: u.StartedAtMS}, n) {
		g.log.Info("upstream says of itself", "upstream", u.ID, "limited", n.Limited, "rate_per_s", n.RatePerS, "leaving", n.Leaving, "brittle", n.Brittle, "max_rejections", n.MaxRejections)
	}
}

// updateMembers tells the limits of upstreams and the quarantine which instances there
// are, until ctx ends.
func (g *Gateway) updateMembers(ctx context.Context) error {
	for wait.Sleep(ctx, memberUpdateInterval) {
		names := g.mesh.Names()
		g.crashes.SetMembers(names)
		g.reportEstimates(names)
		g.dispatcher.update(func(now time.Duration, s *assign.Scheduler) { s.Limits().SetMembers(now, names) })
	}
	return nil
}

// mergeLimits records the limits of upstreams that a peer has told as of at.
func (g *Gateway) mergeLimits(at time.Duration, in []*meshpb.UpstreamLimit) {
	if len(in) == 0 {
		return
	}
	told := make([]upstreamlimit.Observation, 0, len(in))
	for _, m := range in {
		if !(m.RatePerS >= 0) || math.IsInf(m.RatePerS, 0) {
			g.log.Warn("malformed limit of an upstream skipped", "upstream", m.Upstream, "origin", m.Origin, "rate_per_s", m.RatePerS)
			continue
		}
		told = append(told, upstreamlimit.Observation{
			Upstream: upstreamlimit.Upstream{ID: m.Upstream, StartedAtMS: m.Born}, Limited: m.Limited, RatePerS: m.RatePerS,
			At: at - time.Duration(m.AgeMs)*time.Millisecond, Origin: m.Origin, Sequence: m.Sequence,
		})
	}
	g.dispatcher.update(func(now time.Duration, s *assign.Scheduler) {
		for _, u := range s.MergeLimits(now, told) {
			rate, _ := s.Limits().Rate(now, u)
			g.log.Info("limit of an upstream learned from a peer", "upstream", u.ID, "rate_per_s", rate)
		}
	})
}

// limitsToWire returns what this instance knows of limits, to be sent to peers.
func (g *Gateway) limitsToWire(now time.Duration) []*meshpb.UpstreamLimit {
	var out []*meshpb.UpstreamLimit
	for _, o := range g.dispatcher.limitObservations() {
		out = append(out, &meshpb.UpstreamLimit{
			Upstream: o.Upstream.ID, Born: o.Upstream.StartedAtMS, Limited: o.Limited, RatePerS: o.RatePerS,
			AgeMs: uint32(max(now-o.At, 0).Milliseconds()), Origin: o.Origin, Sequence: o.Sequence,
		})
	}
	return out
}

// mergeRooms records what a peer has told of brittle upstreams as of at.
func (g *Gateway) mergeRooms(at time.Duration, in []*meshpb.BrittleUpstream) {
	if len(in) == 0 {
		return
	}
	told := make([]upstreamlimit.Room, 0, len(in))
	for _, m := range in {
		r := upstreamlimit.Room{
			Upstream: upstreamlimit.Upstream{ID: m.Upstream, StartedAtMS: m.Born}, Service: m.Service, SaidAt: at - time.Duration(m.SaidAgoMs)*time.Millisecond,
		}
		if m.Rejected {
			r.RejectedAt = at - time.Duration(m.RejectedAgoMs)*time.Millisecond
		}
		told = append(told, r)
	}
	g.dispatcher.update(func(_ time.Duration, s *assign.Scheduler) { s.MergeRooms(told) })
}

// roomsToWire returns what this instance knows of brittle upstreams, to be sent to peers.
func (g *Gateway) roomsToWire(now time.Duration) []*meshpb.BrittleUpstream {
	var out []*meshpb.BrittleUpstream
	for _, r := range g.dispatcher.rooms() {
		out = append(out, &meshpb.BrittleUpstream{
			Upstream: r.Upstream.ID, Born: r.Upstream.StartedAtMS, Service: r.Service, SaidAgoMs: uint32(max(now-r.SaidAt, 0).Milliseconds()),
			Rejected: r.RejectedAt > 0, RejectedAgoMs: uint32(max(now-r.RejectedAt, 0).Milliseconds()),
		})
	}
	return out
}

// leavingToWire returns the upstreams that said that they leave, to be told to peers.
func (g *Gateway) leavingToWire() []*meshpb.UpstreamIncarnation {
	var out []*meshpb.UpstreamIncarnation
	for _, u := range g.catalog.Leaving() {
		out = append(out, &meshpb.UpstreamIncarnation{Upstream: u.ID, Born: u.StartedAtMS})
	}
	return out
}
