package eventstream

import (
	"math/big"
	"slices"
)

// Steps is what is known of the numbers in the streams of a service. The zero value is nothing.
type Steps struct {
	Step      uint64 // between an event and the next, 0 if unknown
	Irregular bool   // numbers increase, no more
}

// defaultStep is the step of streams that may be resumed, if nothing is known: another upstream
// can tell if it is wrong.
const defaultStep = 1

// minSteps is the number of equal steps of a stream that say how its service numbers events.
const minSteps = 2

// expectation is how far the next number of a stream may lie above the last one.
type expectation struct {
	resumable bool
	irregular bool
	step      uint64 // 0 for unknown
	byDefault bool   // the service has not shown the step

	gaps      []gap  // after the last number
	gapStep   uint64 // of the last gap
	agreed    bool   // two upstreams have left out the same numbers after one of theirs: there are none
	confirmed uint64 // first step of the stream, on which they agreed while it was unknown, 0 for none
	denied    bool   // another upstream had what one left out
	unasked   bool   // a gap after an event that an upstream had brought was passed on without another one's word

	steps    int    // between the events of the stream that were passed on
	lastStep uint64 // the last of them
	unequal  bool   // they differ
	whole    bool   // the stream was brought whole by one attempt
	by       string // upstream of the last event
	broken   bool   // a number was beyond the expected one
	scratch  big.Int
}

// gap is a number that an upstream sent after the last one, beyond the expected number.
type gap struct {
	upstream string
	number   big.Int
	within   bool // the upstream sent the last number, too
}

func newExpectation(s Steps, resumable bool) expectation {
	e := expectation{resumable: resumable, irregular: s.Irregular, step: s.Step}
	if resumable && e.step == 0 {
		e.step, e.byDefault = defaultStep, true
	}
	return e
}

// follows reports whether an event with a number may follow the last one. A larger step than
// the expected one may if another upstream takes it, too, or if none can ever be asked. brought is
// whether an upstream brought the last number, within whether this one sent it in the same answer.
func (e *expectation) follows(upstream string, last, this *number, brought, within bool) bool {
	e.by = upstream
	step := this.above(last, &e.scratch)
	if !e.irregular && e.step != 0 && step > e.step {
		switch {
		case !e.resumable:
			e.gapStep = step
			e.passUnasked(brought)
		case !e.agrees(gap{upstream: upstream, within: within}, this, step, brought):
			e.broken = e.broken || brought
			return false
		}
	}
	e.denied = e.denied || len(e.gaps) > 0 && !e.agreed
	e.gaps = e.gaps[:0]
	e.unequal = e.unequal || e.steps > 0 && step != e.lastStep
	e.lastStep = step
	e.steps++
	if step < e.confirmed { // steps vary
		e.confirmed = 0
	}
	switch {
	case e.step == 0, step < e.step && e.resumable:
		e.step = step
	case step < e.step: // nobody could tell whether a larger one leaves something out
		e.irregular = true
	}
	return true
}

// assumed reports whether neither the service nor the stream has shown the expected step.
func (e *expectation) assumed() bool { return e.byDefault && e.steps == 0 }

// passUnasked lets the last gap pass, as no other upstream can be asked. Its step is expected from then
// on, or any if those of the stream differ. It teaches nothing of the service if the caller named the
// number before it, and no upstream brought that.
func (e *expectation) passUnasked(brought bool) {
	e.irregular = !e.resumable || e.unequal || e.steps > 0 && e.gapStep != e.lastStep
	e.step, e.unasked = e.gapStep, e.unasked || brought
	e.gaps = e.gaps[:0]
}

// seenBefore reports whether an earlier attempt had nothing between the last number and the rejected
// one, either: it went on with the same number or a higher one.
func (e *expectation) seenBefore(this *number) bool {
	earlier := e.gaps[:max(0, len(e.gaps)-1)]
	return slices.ContainsFunc(earlier, func(g gap) bool { return g.number.Cmp(&this.value) >= 0 })
}

// shown reports whether the service has shown the expected step, or the stream in equal ones alone.
func (e *expectation) shown() bool {
	return !e.byDefault || e.steps >= minSteps && !e.unequal
}

// agrees reports whether another upstream has sent the same number after the last one, and one of
// them both numbers: rests that begin too late may be a fault of a version, which several have. From
// then on only increase is required of the stream. It teaches nothing of the service if the caller
// named the last number, and no upstream brought it.
func (e *expectation) agrees(g gap, this *number, step uint64, brought bool) bool {
	for i := range e.gaps {
		before := &e.gaps[i]
		if before.upstream != g.upstream && before.number.Cmp(&this.value) == 0 && (before.within || g.within) {
			e.irregular, e.agreed = true, brought
			if brought && e.assumed() {
				e.confirmed = step
			}
			return true
		}
	}
	e.gapStep = step
	e.gaps = append(e.gaps, g)
	e.gaps[len(e.gaps)-1].number.Set(&this.value)
	return false
}

// Numbering learns from the streams of a service how their events are numbered. One upstream
// alone teaches nothing, as it may be the faulty one.
type Numbering struct {
	steps Steps
	whole struct { // last stream that one attempt brought whole
		upstream string
		step     uint64
	}
	sure     bool   // two upstreams have shown the step
	gapAt    string // upstream whose stream had uneven steps while nothing was known
	unjudged struct {
		streams int    // in a row that broke at, or passed, a gap on which no other upstream had a say
		step    uint64 // of the last one's gap
		varies  bool
	}
}

// maxUnjudged is the number of streams with a gap which no other upstream confirms or denies before
// its step is believed: the service may have one upstream only.
const maxUnjudged = 3

// Steps returns what is known.
func (n *Numbering) Steps() Steps { return n.steps }

// Learn is told of a stream that has ended.
func (n *Numbering) Learn(o *Order) {
	e := &o.steps
	switch {
	case e.confirmed != 0:
		n.steps, n.sure = Steps{Step: e.confirmed}, true
	case e.agreed:
		n.steps = Steps{Irregular: true}
	case n.steps.Irregular:
	case e.whole && e.steps >= minSteps && !e.unequal:
		n.learnWhole(e.by, e.lastStep)
		if e.unasked && n.steps.Step != e.lastStep {
			n.learnUnjudged(e.gapStep, false)
		} else {
			n.unjudged.streams = 0
		}
	case (e.broken || e.unasked) && !e.denied:
		n.learnUnjudged(e.gapStep, !e.resumable) // the steps of such a stream differ
		if !e.resumable && !n.sure {
			n.steps.Irregular = n.steps.Irregular || n.gapAt != "" && n.gapAt != e.by
			n.gapAt = e.by
		}
	}
}

// learnWhole learns from a whole stream of an upstream that had the same step throughout.
func (n *Numbering) learnWhole(upstream string, step uint64) {
	if n.whole.upstream != "" && n.whole.upstream != upstream && n.whole.step == step {
		n.steps, n.sure = Steps{Step: step, Irregular: n.sure && n.steps.Step != step}, true
	}
	n.whole.upstream, n.whole.step = upstream, step
}

// learnUnjudged learns from a stream with a gap on which no other upstream had a say.
// Where all have the same one, it is the service's step.
func (n *Numbering) learnUnjudged(step uint64, varies bool) {
	u := &n.unjudged
	u.varies = varies || u.streams > 0 && (u.varies || step != u.step)
	u.step = step
	if u.streams++; u.streams < maxUnjudged {
		return
	}
	u.streams = 0
	if n.steps.Step != 0 || u.varies {
		n.steps = Steps{Irregular: true}
		return
	}
	n.steps.Step = step
}
