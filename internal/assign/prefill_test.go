package assign

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Half of the observations are slow because of requests that this instance does not
// know of. The rate stays within a quarter of what the engine reads, above and below
// the default.
func TestPrefillRateIsLearned(t *testing.T) {
	for _, tokensPerMs := range []float64{8, 22.1, 29.4, 80} {
		rng := rand.New(rand.NewPCG(1, 1))
		var r prefillRate
		for range 300 {
			tokens := 600 + rng.IntN(3000)
			took := baseFirstTokenTime + time.Duration(float64(tokens)/tokensPerMs*float64(time.Millisecond))
			if rng.IntN(2) == 0 {
				took += time.Duration(rng.IntN(100)) * time.Millisecond
			}
			r.observe(tokens, took)
		}
		must.Between(t, 0.75*tokensPerMs, r.rate(), 1.05*tokensPerMs)
	}
}

// Prompts that wait behind others say nothing about the rate.
func TestQueuedPromptsAreNotObserved(t *testing.T) {
	s := newTestScheduler(1, "m")
	submit := func() *Placement {
		j := newChatJob(1, start)
		j.PromptTokens, j.Objective = 2000, start+2*time.Second
		p, _ := s.Submit(start, j)
		must.NotNil(t, p)
		return p
	}
	for range 50 {
		first, second := submit(), submit()
		s.RecordFirstToken(start+100*time.Millisecond, first)
		s.RecordFirstToken(start+900*time.Millisecond, second)
		s.Release(start+time.Second, first, ResultOK)
		s.Release(start+time.Second, second, ResultOK)
	}
	must.MapLen(t, 1, s.PrefillRates())
	must.Greater(t, 20_000.0, s.PrefillRates()["chat"])
}
