package eventstream

import "math/big"

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

	gaps    []gap  // after the last number
	gapStep uint64 // of the last gap
	filled  bool   // the last number lies in a gap of another attempt
	agreed  bool   // two upstreams had nothing at the expected number after one of theirs: there is none
	judged  bool   // another upstream had a say on a gap
	open    bool   // a gap after an event that an upstream had brought ended an attempt or was passed

	steps    int    // between the events of the stream that were passed on
	lastStep uint64 // the last of them
	unequal  bool   // they differ
	whole    bool   // the stream was brought whole by one attempt
	by       string // upstream of the last event
	scratch  big.Int
}

// gap records that an upstream went on beyond the expected number after the last one.
type gap struct {
	upstream string
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
// the expected one may if another upstream has one, too, or if none can ever be asked. brought is
// whether an upstream brought the last number, within whether this one sent it in the same answer.
func (e *expectation) follows(upstream string, last, this *number, brought, within bool) bool {
	e.by = upstream
	step := this.above(last, &e.scratch)
	larger := !e.irregular && e.step != 0 && step > e.step
	if larger {
		e.gapStep = step
		switch {
		case !e.resumable:
			e.passUnasked(brought)
		case !e.agrees(gap{upstream: upstream, within: within}, brought):
			e.open = e.open || brought
			return false
		}
	}
	e.filled = len(e.gaps) > 0 && !larger
	e.judged = e.judged || len(e.gaps) > 0
	e.gaps = e.gaps[:0]
	e.unequal = e.unequal || e.steps > 0 && step != e.lastStep
	e.lastStep = step
	e.steps++
	switch {
	case e.unequal && e.open && !e.judged, step < e.step && !e.resumable:
		e.irregular = true // nobody could tell whether a larger step leaves something out
	case e.step == 0, step < e.step:
		e.step = step
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
	e.step, e.open = e.gapStep, e.open || brought
	e.gaps = e.gaps[:0]
}

// agrees reports whether another upstream had nothing at the expected number after the last one, either, and
// one of them sent the last number: rests that begin too late may be a fault of a version, which several
// have. Which numbers they sent does not matter, as two runs may divide their tokens differently. From then on
// only increase is required of the stream. It teaches nothing of the service if the caller named the last
// number, and no upstream brought it.
func (e *expectation) agrees(g gap, brought bool) bool {
	for _, before := range e.gaps {
		if before.upstream != g.upstream && (before.within || g.within) {
			e.irregular, e.agreed = true, brought
			return true
		}
	}
	e.gaps = append(e.gaps, g)
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
	sure     bool // two upstreams have shown the step
	unjudged struct {
		streams int    // in a row with a gap on which no other upstream had a say
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
	case e.agreed && n.steps == Steps{} && !e.unequal:
		n.steps, n.sure = Steps{Step: e.lastStep}, true
	case e.agreed:
		n.steps = Steps{Irregular: true}
	case n.steps.Irregular:
	case e.whole && e.steps >= minSteps && !e.unequal:
		n.learnWhole(e.by, e.lastStep)
		if e.open && n.steps.Step != e.lastStep {
			n.learnUnjudged(e.gapStep, false)
		} else {
			n.unjudged.streams = 0
		}
	case e.open && !e.judged:
		n.learnUnjudged(e.gapStep, e.unequal)
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
