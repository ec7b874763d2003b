package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
	"github.com/eelgrassbay/eelgrassbay/internal/relay"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// The questions of instances about the links to upstreams, and their answers.

// watchLinks asks peers for upstreams that are silent and tries the links to relayed ones,
// until ctx ends.
func (g *Gateway) watchLinks(ctx context.Context) error {
	for wait.Sleep(ctx, linkTickPeriod) {
		var ask, retry []reach.Upstream
		g.links.with(func(now time.Duration, t *reach.Tracker) {
			ask, retry = t.Ask(now), t.Retry(now, retriesPerTick)
		})
		if len(ask) > 0 {
			go g.links.askPeers(ctx, ask)
		}
		for _, u := range retry {
			go g.links.retry(ctx, u)
		}
	}
	return nil
}

// retry opens a connection to a relayed upstream.
func (l *links) retry(ctx context.Context, key reach.Upstream) {
	u, ok := l.listed(key)
	if !ok || l.g.pool.Connect(ctx, u.Address) != nil {
		return
	}
	restored := false
	l.with(func(_ time.Duration, t *reach.Tracker) { restored = t.Connected(key) })
	if restored {
		l.logRestored(u, "a connection")
	}
}

// listed returns the upstream of an incarnation if it may be used.
func (l *links) listed(key reach.Upstream) (*fleet.Upstream, bool) {
	u, ok := l.g.catalog.UsableByID(key.ID)
	if !ok || linkOf(&u) != key {
		return nil, false
	}
	return &u, true
}

// ask puts questions to several peers and calls answer with what each says.
func (l *links) ask(ctx context.Context, question func(address string) *httpconn.Request, answer func(relay.Links)) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var asked []string
	for range peersAsked {
		p := l.pick(asked)
		if p == nil {
			break
		}
		asked = append(asked, p.Name)
		wg.Go(func() {
			resp, err := l.pool.Do(ctx, question(p.PeerAddress))
			if err != nil {
				return
			}
			told, err := relay.ReadLinks(resp)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answer(told)
		})
	}
	wg.Wait()
}

// askPeers asks peers when silent upstreams answered them last.
func (l *links) askPeers(ctx context.Context, silent []reach.Upstream) {
	l.ask(ctx, func(address string) *httpconn.Request { return relay.Question(address, silent) }, func(told relay.Links) {
		for _, key := range silent {
			age, ok := told.Age(key.ID)
			fresh := false
			l.with(func(now time.Duration, t *reach.Tracker) { fresh = ok && t.PeerAnswered(now, key, age) })
			if u, listed := l.listed(key); fresh && listed {
				l.startRelaying(u, "silent here, answers a peer", nil)
			}
		}
	})
}

// refuses reports whether the process of an upstream has ended: it refuses connections here,
// and no peer can open one. A link that resets connections looks the same from here alone.
func (l *links) refuses(ctx context.Context, suspect quarantine.Upstream, address string) bool {
	if !l.g.pool.Refuses(ctx, address) {
		return false
	}
	key, accepted := reach.Upstream{ID: suspect.ID, StartedAtMS: suspect.StartedAtMS}, false
	l.ask(ctx, func(peer string) *httpconn.Request { return relay.RefusesQuestion(peer, key) }, func(told relay.Links) {
		accepted = accepted || told.Accepts != nil && *told.Accepts
	})
	if u, ok := l.listed(key); accepted && ok {
		l.dialFailed(u, errRefusedHere)
	}
	return !accepted
}

// errRefusedHere means that an upstream refuses connections of this instance only.
var errRefusedHere = errors.New("gateway: the upstream accepts connections of a peer")

// ServeHTTP answers peers that want a request relayed or ask about links. It implements
// http.Handler.
func (l *links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if key, ok := relay.Target(r.Header); ok {
		l.serveRelay(w, r, key)
		return
	}
	ages, refuses := relay.Questions(r.Header)
	out := relay.Links{AgeMS: map[string]int64{}}
	l.with(func(now time.Duration, t *reach.Tracker) {
		for _, u := range ages {
			if age, ok := t.Age(now, u); ok && !t.Relayed(u) {
				out.AgeMS[u.ID] = age.Milliseconds()
			}
		}
	})
	if refuses != nil {
		out.Accepts = l.accepts(r.Context(), *refuses)
	}
	_ = relay.WriteLinks(w, out) // the peer may have disconnected
}

// accepts reports whether an upstream accepts connections, nil if this instance does not
// know.
func (l *links) accepts(ctx context.Context, key reach.Upstream) *bool {
	u, ok := l.listed(key)
	if !ok || l.relayed(key, false) {
		return nil
	}
	accepts := l.g.pool.Connect(ctx, u.Address) == nil
	return &accepts
}
