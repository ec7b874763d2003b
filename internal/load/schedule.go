package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Arrival is one request of a schedule, which is fixed before the run.
type Arrival struct {
	At        time.Duration // intended send time, since the start of the run
	Seq       int           // sequence number within the flow, from 0
	Model     string        // with its adapter, if any, after a colon
	Words     int           // number of words of the prompt
	Prefix    int           // group of prompts that share a prefix
	MaxTokens int
}

// Schedule returns the arrivals of flow i in order of time. They depend on the
// experiment only, and not on its other flows.
func (e *Experiment) Schedule(i int) []Arrival {
	f := e.Flows[i]
	rng := rand.New(rand.NewPCG(e.Seed, uint64(i)+1))
	var list []Arrival
	for t := time.Duration(0); ; {
		t = f.Rate.next(t, e.Duration.Std(), rng)
		if t >= e.Duration.Std() {
			return list
		}
		list = append(list, f.arrival(t, len(list), rng))
	}
}

// evenStep is the step of the integration of an even rate over time.
const evenStep = time.Millisecond

// next returns the time of the next arrival after t, or end if there is none
// before it.
func (r Rate) next(t, end time.Duration, rng *rand.Rand) time.Duration {
	if r.EvenlySpaced {
		return r.nextEven(t, end)
	}
	peak := r.peak()
	for t < end {
		t += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		// Thinning turns a Poisson process of the peak rate into one whose rate
		// varies.
		if rng.Float64()*peak < r.at(t) {
			return t
		}
	}
	return end
}

// nextEven returns the time at which the integral of the rate since t reaches
// one request, or half a request for the first one.
func (r Rate) nextEven(t, end time.Duration) time.Duration {
	accumulated := 0.0
	if t == 0 {
		accumulated = 0.5
	}
	for ; t < end; t += evenStep {
		rate := r.at(t)
		step := rate * evenStep.Seconds()
		if accumulated+step >= 1 {
			return t + time.Duration((1-accumulated)/rate*float64(time.Second))
		}
		accumulated += step
	}
	return end
}

func (f Flow) arrival(t time.Duration, seq int, rng *rand.Rand) Arrival {
	a := Arrival{At: t, Seq: seq, MaxTokens: f.MaxTokens}
	if f.Kind.isPlain() {
		return a
	}
	a.Model = f.pickModel(rng)
	a.Words = f.Prompt.MinWords + rng.IntN(f.Prompt.MaxWords-f.Prompt.MinWords+1)
	a.Prefix = rng.IntN(max(f.Prompt.Prefixes, 1))
	return a
}

func (f Flow) pickModel(rng *rand.Rand) string {
	total := 0.0
	for _, m := range f.Models {
		total += m.weight()
	}
	left := rng.Float64() * total
	picked := f.Models[len(f.Models)-1]
	for _, m := range f.Models {
		if left < m.weight() {
			picked = m
			break
		}
		left -= m.weight()
	}
	if len(picked.Adapters) == 0 {
		return picked.Name
	}
	return picked.Name + ":" + picked.Adapters[rng.IntN(len(picked.Adapters))]
}

func (m ModelShare) weight() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// prompt returns the prompt of an arrival. The first word names the prefix group
// and the first word after the shared prefix is the request id, so that two
// prompts share a cached prefix only where they are meant to. The other words
// are short, at about four bytes a word.
func (f Flow) prompt(id string, a Arrival) string {
	words := make([]string, a.Words)
	for i := range words {
		words[i] = "w" + strconv.Itoa(i%vocabularySize)
	}
	words[0] = f.Organisation + "-" + strconv.Itoa(a.Prefix)
	words[f.Prompt.SharedPrefixWords] = id
	return strings.Join(words, " ")
}

// vocabularySize is the number of different filler words of a prompt.
const vocabularySize = 100
