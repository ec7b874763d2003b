package gateway

import (
	"errors"
	"unsafe"

	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
)

// errQuarantined means that a request was not sent because upstreams crash under such
// requests.
var errQuarantined = errors.New("gateway: upstreams crash under such requests")

func (g *Gateway) newCrashWatch() *crashwatch.Watch {
	w := crashwatch.New(crashwatch.Options{
		Name: g.self.Name, Now: g.now, Log: g.log, Metrics: g.metrics, Refuses: g.links.refuses, OnHeld: g.dispatcher.withdrawHeld,
		OnCrash: func(u quarantine.Upstream) { g.dispatcher.recordCrash(u.ID, u.StartedAtMS) },
	})
	w.SetExempt(g.settings.Load().Quarantine.Keys())
	return w
}

// partBytes is the memory that a part of a prompt takes while its request runs: the part and its key.
const partBytes = int(unsafe.Sizeof(fleet.PromptSegment{}) + unsafe.Sizeof(quarantine.Key{}))

// promptKeys returns the keys of the parts of a prompt. The last part is that of the
// request or its session alone.
func promptKeys(service string, parts []fleet.PromptSegment) []quarantine.Key {
	keys := make([]quarantine.Key, 0, max(0, len(parts)-1))
	for i := 0; i < len(parts)-1; i++ {
		keys = append(keys, quarantine.Key{Kind: quarantine.KindPart, Service: service, ID: parts[i].ID})
	}
	return keys
}

func incarnationOf(u *fleet.Upstream) quarantine.Upstream {
	return quarantine.Upstream{ID: u.ID, StartedAtMS: u.StartedAtMS, Zone: u.Zone}
}

// head returns the head of the request's fingerprint.
func (x *exchange) head() quarantine.Head {
	organisation := ""
	if x.org != nil {
		organisation = x.org.Name
	}
	return quarantine.HeadOf(organisation, x.r.Method, x.r.Host, x.r.RequestURI, bodyBytes(x.body))
}

// bodyBytes returns the length of a body in parts.
func bodyBytes(parts [][]byte) int {
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	return n
}

// heldBack returns the refusal of the request if upstreams crash under such requests.
func (x *exchange) heldBack() (fleet.Refusal, bool) {
	retryAfter, held := x.suspect.Held()
	if !held {
		return fleet.Refusal{}, false
	}
	return fleet.Refusal{Reason: fleet.ReasonQuarantined, RetryAfter: retryAfter}, true
}

// recordBroken records that an attempt broke in the beginning of its answer. An upstream
// that leaves may end at any time, which says nothing about its requests.
func (x *exchange) recordBroken(a *attempt) {
	begun := a.firstAt > 0 && x.g.now()-a.firstAt >= quarantine.SuspectTime
	if !begun && x.g.dispatcher.isUsable(a.Placement) {
		x.suspect.Broke(incarnationOf(a.Decision.Upstream), a.Decision.Upstream.Address)
	}
}

// recordSound records that an answer has got beyond its beginning.
func (x *exchange) recordSound(a *attempt) {
	if a.sound {
		return
	}
	a.sound = true
	x.suspect.Sound(max(a.begunAt, a.firstAt))
}
