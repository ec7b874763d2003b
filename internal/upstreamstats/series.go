// Package upstreamstats estimates properties of upstreams, such as how slow they are, from the
// observations of all instances. It does no I/O and reads no clock.
//
// Each series is a moving average whose weight decays with each further observation: it ages by
// evidence, so that its error after a number of observations does not depend on how many
// instances made them. An instance tells peers its own series with the number of observations
// that went in. From two such reports a receiver gets back exactly what was observed between
// them, whatever reports were lost, and adds that to its estimate once.
package upstreamstats

import (
	"math"
	"time"
)

// Kind is the quantity that a series estimates.
type Kind uint8

// The kinds of series.
const (
	// Slowness is the observed time to the first token relative to the expected one.
	Slowness Kind = iota
	// ServiceTime is the duration of a plain request in milliseconds.
	ServiceTime
	// Failures is the share of requests that failed.
	Failures
	// PrefillTime is the time that a model needs for a prompt token, relative to the reference.
	PrefillTime

	kinds
)

// bounds of the values of each kind; observations are clamped, reports beyond are rejected.
var bounds = [kinds]struct{ low, high float64 }{
	Slowness: {0.05, 12}, ServiceTime: {0.01, 600_000}, Failures: {0, 1}, PrefillTime: {0.02, 20},
}

// window is the number of observations after which earlier ones have lost 1/e of their weight,
// by kind. The prefill time of a model is a property of all its engines and changes rarely.
var window = [kinds]float64{Slowness: 12, ServiceTime: 12, Failures: 12, PrefillTime: 60}

// Key names a series: a quantity of one incarnation of an upstream or, for PrefillTime, of a
// model.
type Key struct {
	Subject     string
	StartedAtMS int64
	Kind        Kind
}

// average is a moving average that decays with each observation.
type average struct {
	weight, mean float64
	count        uint64 // observations
}

// retained returns the part of the weight that is left after n further observations.
func (k Kind) retained(n float64) float64 { return math.Exp(-n / window[k]) }

var fullWeight = func() (w [kinds]float64) {
	for k := range kinds {
		w[k] = 1 / (1 - k.retained(1))
	}
	return w
}()

// full is the weight to which a series converges.
func (k Kind) full() float64 { return fullWeight[k] }

// add adds observations of a total weight and mean, n in number.
func (a *average) add(k Kind, n uint64, weight, mean float64) {
	kept := a.weight * k.retained(float64(n))
	a.mean = (kept*a.mean + weight*mean) / (kept + weight)
	a.weight, a.count = kept+weight, a.count+n
}

// blend adds observations that are about as old as those that a holds already.
func (a *average) blend(k Kind, weight, mean float64) {
	a.mean = (a.weight*a.mean + weight*mean) / (a.weight + weight)
	a.weight = min(a.weight+weight, k.full())
}

// Estimate is the state of a series, as instances tell it.
type Estimate struct {
	Key
	Weight   float64
	Mean     float64
	Sequence uint64        // number of observations of the origin in this scope
	Age      time.Duration // of the last observation
}

// valid reports whether the figures of an estimate can be meant.
func (e *Estimate) valid() bool {
	if e.Kind >= kinds || e.Sequence == 0 {
		return false
	}
	b := bounds[e.Kind]
	return e.Weight > 0 && e.Weight <= e.Kind.full()*1.01 && e.Mean >= b.low && e.Mean <= b.high
}

// Series is the estimate of one quantity by the fleet. Its methods belong to Stats.
type Series struct {
	key   Key
	group *group
	fleet average
	turn  float64       // rounds of the group at the last observation
	at    time.Duration // of the last observation
	told  change        // of fleet, to members
	own   scoped
	zone  scoped
}

// scoped is the average over the observations of one instance or of one zone.
type scoped struct {
	average
	at   time.Duration
	told change
}

// change tells whether a series changed since a receiver was last told.
type change struct {
	version uint64 // of the Stats at the last change worth telling
	count   uint64 // observations at that change
	weight  float64
	mean    float64
}

const (
	// toldMeanChange is the relative change of a mean, and toldFailureChange the change of a
	// share of failures, below which a sum is not told again. The mean of a full window of
	// observations that spread by 0.3 varies by 0.06.
	toldMeanChange    = 0.06
	toldFailureChange = 0.02
	// toldWeightFactor is the growth of the weight from which on they are told again.
	toldWeightFactor = 1.5
	// toldZoneCount is the number of observations of a zone after which leads of other zones
	// are told. They add what was observed since, so that nothing is lost by waiting.
	// toldFleetCount is the same for members, which may have lost the last message.
	toldZoneCount  = 5
	toldFleetCount = 10
)

// differs reports whether an average differs enough from what was told.
func (c *change) differs(k Kind, a *average) bool {
	if a.weight > toldWeightFactor*c.weight && (k != Failures || a.mean > 0) {
		return true
	}
	if k == Failures {
		return math.Abs(a.mean-c.mean) > toldFailureChange
	}
	return math.Abs(a.mean-c.mean) > toldMeanChange*c.mean
}

// group is a set of upstreams that serve the same requests. The observations of its members tell
// how much evidence the others could have had.
type group struct {
	members int
	rounds  float64 // observations per member
}

// maxRoundStep bounds the observations of one report that count as rounds. After a partition the
// first reports stand for many, and those that come first would appear idle beside the others.
const maxRoundStep = 12

func (g *group) observed(n uint64) {
	g.rounds += float64(min(n, maxRoundStep)) / float64(max(g.members, 1))
}

const (
	// idleRounds is the number of observations per upstream of the group that a series stays in
	// force without an observation of its own; then its weight halves each idleHalfLife. So an
	// upstream that was slow, and gets no requests for it, is tried again after as much traffic
	// whatever its rate.
	idleRounds   = 24
	idleHalfLife = 12
)

// Value returns the estimate and its weight in observations, 0 if nothing is known.
func (s *Series) Value() (mean, weight float64) {
	if s.fleet.weight == 0 {
		return 0, 0
	}
	weight = s.fleet.weight
	if idle := s.group.rounds - s.turn - idleRounds; idle > 0 {
		weight *= math.Exp2(-idle / idleHalfLife)
	}
	return s.fleet.mean, weight
}

// priorObservations is the weight of the assumption that an upstream is as fast as expected and
// fails no requests, in observations, while there is little evidence. One observation may be a
// pause, a full upstream or a broken link.
const priorObservations = 6

// Factor returns the estimate of a series of factors, such as Slowness. It is 1 without evidence
// and equals the mean once there is a full window of it.
func (s *Series) Factor() float64 { return s.shrunk(1) }

// Share returns the estimate of a series of shares, such as Failures, which is 0 without evidence.
func (s *Series) Share() float64 { return s.shrunk(0) }

func (s *Series) shrunk(toward float64) float64 {
	mean, weight := s.Value()
	prior := priorObservations * max(1-weight/s.key.Kind.full(), 0)
	return (weight*mean + prior*toward) / (weight + prior)
}
