package residency

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

const (
	// defaultPrefillRate is the number of prompt tokens that an engine reads per
	// second, assumed until answers show it. It is low, so that an unknown engine
	// is not overloaded.
	defaultPrefillRate = 20_000.0
	// decodingStep is the assumed time of one decoding step of a full batch, in
	// which each running request gets one output token.
	decodingStep = 7 * time.Millisecond
)

// engineCapacity returns the work that an engine does at most, in prompt tokens per
// second. An engine with many slots is bound by reading prompts, one with few slots
// by the decoding steps of its batch. prefillRate is the number of prompt tokens that
// it was seen to read per second, 0 if that is not known.
func engineCapacity(spec *fleet.Engine, prefillRate float64) float64 {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	decoding := float64(max(spec.Slots, 1)) * fleet.OutputTokenWork / decodingStep.Seconds()
	return min(prefillRate, decoding)
}
