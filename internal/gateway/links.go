package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
)

const (
	// linkTickPeriod is the interval at which silent upstreams are asked for and relayed
	// ones tried again.
	linkTickPeriod = 100 * time.Millisecond
	// retriesPerTick bounds the connections that are opened to relayed upstreams at a time,
	// so that the return of a link makes no wave of them.
	retriesPerTick = 8
	// peersAsked is the number of peers that are asked about an upstream.
	peersAsked = 3
	// relayAvoidedFor is how long others are preferred to a relay that failed.
	relayAvoidedFor = time.Second
	// idlePerRelay is the maximum number of idle connections to one relay.
	idlePerRelay = 16
)

// links is what this instance knows of the links to upstreams, and how it sends through
// peers. It is safe for concurrent use.
type links struct {
	g    *Gateway
	pool *httpconn.Pool // of connections to relays

	relaying atomic.Int64 // requests of peers

	mu       sync.Mutex
	tracker  *reach.Tracker
	avoided  map[string]time.Duration // relays that failed, until when others are preferred
	inFlight map[string]int           // requests of this instance at each relay, by name
}

func newLinks(g *Gateway) *links {
	return &links{
		g: g, pool: httpconn.New(httpconn.Options{DialTimeout: dialTimeout, MaxIdlePerAddress: idlePerRelay}),
		tracker: reach.New(), avoided: map[string]time.Duration{}, inFlight: map[string]int{},
	}
}

func linkOf(u *fleet.Upstream) reach.Upstream {
	return reach.Upstream{ID: u.ID, StartedAtMS: u.StartedAtMS}
}

// with calls f with the tracker and the time.
func (l *links) with(f func(now time.Duration, t *reach.Tracker)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.g.now(), l.tracker)
}

// applyCatalog tells the tracker which upstreams are listed.
func (l *links) applyCatalog() {
	services := map[reach.Upstream]string{}
	for _, u := range l.g.catalog.Usable() {
		services[linkOf(&u)] = u.Service
	}
	l.with(func(_ time.Duration, t *reach.Tracker) { t.Keep(services) })
}

// cutOff reports whether this instance reaches less than half of the upstreams.
func (l *links) cutOff() (cut bool) {
	l.with(func(_ time.Duration, t *reach.Tracker) { cut = t.CutOff() })
	return cut
}

// relayed reports whether requests to an upstream go through a peer now. A request that may
// be repeated may try the link instead.
func (l *links) relayed(u reach.Upstream, repeatable bool) (relayed bool) {
	l.with(func(now time.Duration, t *reach.Tracker) {
		relayed = t.Relayed(u) && !(repeatable && t.Trial(now, u))
	})
	return relayed
}

// sent records that a request was sent over the own link.
func (l *links) sent(u *fleet.Upstream) (w *reach.Wait) {
	l.with(func(now time.Duration, t *reach.Tracker) { w = t.Sent(now, linkOf(u)) })
	return w
}

// answered records that an upstream answers over the own link.
func (l *links) answered(u *fleet.Upstream, w *reach.Wait) {
	restored := false
	l.with(func(now time.Duration, t *reach.Tracker) { restored = t.Answered(now, w) })
	if restored {
		l.logRestored(u, "an answer")
	}
}

// broke records that the connection of a request broke before an answer.
func (l *links) broke(w *reach.Wait) {
	l.with(func(_ time.Duration, t *reach.Tracker) { t.Broke(w) })
}

// ended records that a request is over.
func (l *links) ended(w *reach.Wait) {
	l.with(func(_ time.Duration, t *reach.Tracker) { t.Ended(w) })
}

// dialFailed records that no connection to an upstream could be opened. Without peers there
// is nobody to relay.
func (l *links) dialFailed(u *fleet.Upstream, err error) {
	if l.pick(nil) == nil {
		return
	}
	fresh := false
	l.with(func(now time.Duration, t *reach.Tracker) { fresh = t.DialFailed(now, linkOf(u)) })
	if fresh {
		l.startRelaying(u, "dial", err)
	}
}

func (l *links) startRelaying(u *fleet.Upstream, reason string, err error) {
	l.g.log.Warn("upstream not reached, relaying", "upstream", u.ID, "reason", reason, "error", err)
	l.g.pool.CloseIdle(u.Address)
	l.g.metrics.Count("upstreams_unreached")
}

// relayAnswered records that an upstream answers through a relay: what its link has done to
// its health is forgotten.
func (l *links) relayAnswered(u *fleet.Upstream) {
	l.with(func(_ time.Duration, t *reach.Tracker) { t.RelayAnswered(linkOf(u)) })
	l.g.dispatcher.update(func(_ time.Duration, s *assign.Scheduler) { s.ForgetFailures(u.ID) })
}

func (l *links) logRestored(u *fleet.Upstream, by string) {
	l.g.log.Info("upstream reached again", "upstream", u.ID, "by", by)
}

// relayFailed records that a relay did not reach an upstream either.
func (l *links) relayFailed(u *fleet.Upstream) {
	l.with(func(now time.Duration, t *reach.Tracker) { t.RelayFailed(now, linkOf(u)) })
}

// pick returns a peer that may relay: of the own zone if there is one, and not one of those
// given or one that failed lately, unless there are no others. Of two drawn at random it is the
// one with fewer requests of this instance for its capacity.
func (l *links) pick(except []string) *meshpb.MemberInfo { return l.pickFor(except, nil) }

// pickFor is pick for a request with allowed regions, nil for any.
func (l *links) pickFor(except, regions []string) *meshpb.MemberInfo {
	now, regionOf := l.g.now(), l.g.settings.Load().Zones
	var best []*meshpb.MemberInfo
	bestRank := 0
	members := l.g.mesh.Members()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range members {
		if p.Name == l.g.self.Name || slices.Contains(except, p.Name) || !assign.MayCarry(regionOf, regions, l.g.self.Zone, p.Zone) {
			continue
		}
		rank := 0
		if p.Zone != l.g.self.Zone {
			rank++
		}
		if now < l.avoided[p.Name] {
			rank += 2
		}
		if len(best) == 0 || rank < bestRank {
			best, bestRank = best[:0], rank
		}
		if rank == bestRank {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return nil
	}
	a, b := best[rand.IntN(len(best))], best[rand.IntN(len(best))]
	if l.loadOf(b) < l.loadOf(a) {
		return b
	}
	return a
}

// loadOf returns the requests of this instance at a relay for its capacity.
func (l *links) loadOf(p *meshpb.MemberInfo) float64 {
	return float64(l.inFlight[p.Name]) / float64(max(p.Capacity, 1))
}

func (l *links) begin(relay string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[relay]++
}

func (l *links) end(relay string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[relay]--; l.inFlight[relay] <= 0 {
		delete(l.inFlight, relay)
	}
}

// avoid lets others be preferred to a relay for a while.
func (l *links) avoid(relay string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoided[relay] = l.g.now() + relayAvoidedFor
}
