package residency

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// maxOrderDelay is how long after it was sent an order without an answer may be carried out.
const maxOrderDelay = 15 * time.Second

// sentLoad is a load that was ordered and of which no answer says whether it is carried out.
//
// An engine that starts again under its ID counts its orders anew, and its fences are gone. Invariant:
// until such a load can't be carried out any more, a later incarnation of its engine keeps room for it.
type sentLoad struct {
	model, adapter string
	expected       int64 // sequence at which it is carried out
	startedAtMS    int64 // of the incarnation to which it was sent
	at             time.Duration
}

// recordSent records an order that is being sent.
func (p *Planner) recordSent(now time.Duration, e *Engine, o *fleet.Order) {
	if o.Kind == fleet.OrderLoad {
		id := e.Upstream.ID
		p.sent[id] = append(p.sent[id], sentLoad{o.Model, o.Adapter, o.ExpectedSequence, e.Upstream.StartedAtMS, now})
	}
}

// forgetSent forgets an order whose outcome is known, the last one that was sent to the engine. An
// earlier one like it may still come.
func (p *Planner) forgetSent(id string, startedAtMS int64, o fleet.Order) {
	for i, s := range slices.Backward(p.sent[id]) {
		if s.startedAtMS == startedAtMS && s.expected == o.ExpectedSequence && s.model == o.Model && s.adapter == o.Adapter {
			p.sent[id] = slices.Delete(p.sent[id], i, i+1)
			return
		}
	}
}

// lateLoads returns the loads that were sent to former incarnations of an engine and may still be
// carried out, and forgets those that can't.
func (p *Planner) lateLoads(now time.Duration, u *fleet.Upstream) (late []sentLoad) {
	sent, ok := p.sent[u.ID]
	if !ok {
		return nil
	}
	sent = slices.DeleteFunc(sent, func(s sentLoad) bool { return now-s.at >= maxOrderDelay })
	if p.sent[u.ID] = sent; len(sent) == 0 {
		delete(p.sent, u.ID)
	}
	for _, s := range sent {
		if s.startedAtMS != u.StartedAtMS {
			late = append(late, s)
		}
	}
	return late
}

// lateMB returns the memory that late loads may take, without that of a model or adapter which the
// engine holds or is to load: it is there once.
func (e *Engine) lateMB(model, adapter string) float64 {
	mb := 0.0
	for _, s := range e.late {
		spec, held := e.Spec.Models[s.model], fleet.FindModel(e.Models, s.model)
		switch {
		case spec == nil, s.expected < e.Sequence, s.model == model && s.adapter == adapter:
		case s.adapter == "" && held == nil:
			mb += spec.WeightsMB
		case s.adapter != "" && (held == nil || !held.HasAdapter(s.adapter)):
			mb += spec.AdapterMB
		}
	}
	return mb
}

// lateAdapters returns the number of late loads of adapters.
func (e *Engine) lateAdapters() int {
	n := 0
	for _, s := range e.late {
		if s.adapter != "" && s.expected >= e.Sequence {
			n++
		}
	}
	return n
}
