package residency

import "github.com/eelgrassbay/eelgrassbay/internal/fleet"

// workPerSlot is the work per second and batch slot, in prompt tokens, that an
// engine does while first tokens are still produced without delay.
const workPerSlot = 600.0

// engineCapacity returns the work that an engine does per second, in prompt tokens.
func engineCapacity(spec *fleet.Engine) float64 {
	return workPerSlot * float64(max(spec.Slots, 1))
}
