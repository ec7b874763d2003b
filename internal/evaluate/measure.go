package evaluate

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
)

// Measures holds the results of one run.
type Measures struct {
	// Attainment is the share of live requests within rate that met both
	// deadlines. Worst and Best are the lowest and the highest attainment of an
	// organisation during the flood.
	Attainment, Worst, Best float64
	// Organisations holds the attainments from which Worst and Best are taken,
	// in the workload's order.
	Organisations []float64
	// WorstOther and BestOther exclude the organisation that floods.
	WorstOther, BestOther float64
	// FloodOverExact is the number of tokens admitted from the flood, divided by
	// the number that the exact limiter admits.
	FloodOverExact float64
	// LateFirstToken and LateTokenGap are the shares of live requests within rate
	// that were completed but missed the deadline of the first token, or only the
	// deadline between tokens.
	LateFirstToken, LateTokenGap float64
	// BatchCompleted is the share of batch requests within rate that were
	// completed.
	BatchCompleted float64
	// ModelLoads is the number of model loads.
	ModelLoads int
	// RateLimited is the share of requests within rate, without those of the
	// flood, that were refused by the rate limit. OverloadRefused is the share of
	// requests within rate that were refused for overload.
	RateLimited, OverloadRefused float64
	// ExcessTokens is the number of tokens by which the worst window of each
	// organisation exceeded rate x window + burst, summed over organisations.
	ExcessTokens float64
	// Attempts is the mean number of attempts of the requests that were sent to a
	// server, after a kill.
	Attempts float64
	// Cached is the share of prompt tokens found in the cache of the engine that
	// got the request, CachedElsewhere the share found only in the cache of
	// another engine.
	Cached, CachedElsewhere float64
	// ReplicaSkew is the mean of the ratio of the largest to the mean load of the
	// replicas of a model.
	ReplicaSkew float64
}

// attained reports whether a live request met both deadlines: the first token's,
// measured from the arrival at the instance, and the one of the mean time
// between tokens.
func (j *job) attained() bool {
	if j.outcome != completed || j.firstTokenAt-j.arrival > firstTokenDeadline {
		return false
	}
	return j.generatedTokens < 2 || (j.lastTokenAt-j.firstTokenAt)/time.Duration(j.generatedTokens-1) <= tokenGapDeadline
}

// isFlood reports whether a request belongs to the flood: it is from the
// organisation that floods and arrived during the flood.
func (sim *simulation) isFlood(j *job) bool {
	return sim.workload.Organisations[j.org].Name == sim.workload.Flood.Organisation && sim.duringFlood(j)
}

// duringFlood reports whether a request arrived during the flood.
func (sim *simulation) duringFlood(j *job) bool {
	f := &sim.workload.Flood
	return j.arrival >= warmUp+seconds(f.FromS) && j.arrival < warmUp+seconds(f.ToS)
}

// isEligible reports whether a request counts as within rate, so that it should
// be served. Which requests of the flood are within rate depends on the limiter;
// of these, the admitted ones count.
func (sim *simulation) isEligible(j *job) bool {
	if sim.isFlood(j) {
		return j.outcome != rateLimited
	}
	return j.withinRate
}

// ratio is the fraction n/total, kept as two counts.
type ratio struct{ n, total int }

func (r *ratio) add(yes bool) {
	r.total++
	if yes {
		r.n++
	}
}

func (r ratio) value() float64 { return float64(r.n) / float64(max(1, r.total)) }

func (sim *simulation) measure() Measures {
	m := Measures{ModelLoads: sim.modelLoads, Worst: 1, WorstOther: 1}
	var all, batch, rateLimitedRatio, refusedRatio, attempts, lateFirst, lateGap, flood ratio
	orgs := make([]ratio, len(sim.workload.Organisations))
	for i := range sim.jobs {
		j := &sim.jobs[i]
		if sim.isFlood(j) && j.outcome != rateLimited {
			flood.n += j.promptTokens + j.outputTokens
		}
		if sim.isFlood(j) && j.withinRate {
			flood.total += j.promptTokens + j.outputTokens
		}
		if j.attempts > 0 && j.arrival >= warmUp+sim.policies.KillAt {
			attempts.n += j.attempts
			attempts.total++
		}
		if !sim.isEligible(j) {
			continue
		}
		if !sim.isFlood(j) {
			rateLimitedRatio.add(j.outcome == rateLimited)
		}
		refusedRatio.add(j.outcome == refused)
		if j.class == fair.Batch {
			batch.add(j.outcome == completed)
			continue
		}
		all.add(j.attained())
		late := j.outcome == completed && j.firstTokenAt-j.arrival > firstTokenDeadline
		lateFirst.add(late)
		lateGap.add(j.outcome == completed && !late && !j.attained())
		if sim.duringFlood(j) {
			orgs[j.org].add(j.attained())
		}
	}
	for i, o := range orgs {
		m.Organisations = append(m.Organisations, o.value())
		m.Worst = min(m.Worst, o.value())
		m.Best = max(m.Best, o.value())
		if sim.workload.Organisations[i].Name != sim.workload.Flood.Organisation {
			m.WorstOther = min(m.WorstOther, o.value())
			m.BestOther = max(m.BestOther, o.value())
		}
	}
	m.Attainment, m.BatchCompleted = all.value(), batch.value()
	m.RateLimited, m.OverloadRefused = rateLimitedRatio.value(), refusedRatio.value()
	m.LateFirstToken, m.LateTokenGap = lateFirst.value(), lateGap.value()
	m.FloodOverExact = flood.value()
	m.Attempts = attempts.value()
	m.ExcessTokens = sim.excessTokens()
	m.Cached, m.CachedElsewhere = sim.cachedHere.value(), sim.cachedElsewhere.value()
	for _, s := range sim.skew {
		m.ReplicaSkew += s / float64(len(sim.skew))
	}
	return m
}

// excessTokens returns the value of Measures.ExcessTokens. It finds the worst
// windows with leaky buckets that drain at the rates: a level is the largest sum
// of tokens, less rate x window, over all windows that end at that time.
func (sim *simulation) excessTokens() float64 {
	levels := make([]bucket, len(sim.workload.Organisations))
	worst := make([]float64, len(levels))
	for i := range sim.jobs {
		j := &sim.jobs[i]
		if j.attempts == 0 {
			continue
		}
		b := &levels[j.org]
		b.level = max(0, b.level-sim.workload.rate(j.org)*(j.arrival-b.at).Seconds()) + float64(j.chargedTokens())
		b.at = j.arrival
		worst[j.org] = max(worst[j.org], b.level)
	}
	sum := 0.0
	for i := range worst {
		sum += max(0, worst[i]-sim.workload.burst(i))
	}
	return sum
}
