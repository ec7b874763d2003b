package load

import (
	"strconv"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Rate is the rate of requests that a flow intends to send over time, in
// requests per second. The steps set the base rate; the ramp and the bursts
// multiply it.
type Rate struct {
	PerS  float64 `json:"per_s"`
	Steps []Step  `json:"steps"` // in order of At
	Ramp  *Ramp   `json:"ramp"`
	Burst *Burst  `json:"burst"`
	// EvenlySpaced spaces the requests evenly instead of by a Poisson process.
	EvenlySpaced bool `json:"even"`
}

// Step sets the base rate to PerS from the time At of the run onwards.
type Step struct {
	At   settings.Duration `json:"at"`
	PerS float64           `json:"per_s"`
}

// Ramp changes the rate linearly to Factor times the base rate and then keeps it
// there.
type Ramp struct {
	Start  settings.Duration `json:"start"`
	Length settings.Duration `json:"length"`
	Factor float64           `json:"factor"`
}

// Burst multiplies the rate by Factor for the first Length of each period.
type Burst struct {
	Period settings.Duration `json:"every"`
	Length settings.Duration `json:"length"`
	Factor float64           `json:"factor"`
}

// at returns the rate at time t of the run, in requests per second.
func (r Rate) at(t time.Duration) float64 {
	rate := r.PerS
	for _, s := range r.Steps {
		if t >= s.At.Std() {
			rate = s.PerS
		}
	}
	return rate * r.Ramp.factor(t) * r.Burst.factor(t)
}

// peak returns an upper bound of at over the run, in requests per second.
func (r Rate) peak() float64 {
	rate := r.PerS
	for _, s := range r.Steps {
		rate = max(rate, s.PerS)
	}
	if r.Ramp != nil {
		rate *= max(r.Ramp.Factor, 1)
	}
	if r.Burst != nil {
		rate *= max(r.Burst.Factor, 1)
	}
	return rate
}

func (r *Ramp) factor(t time.Duration) float64 {
	if r == nil || t <= r.Start.Std() {
		return 1
	}
	part := min(float64(t-r.Start.Std())/float64(r.Length.Std()), 1)
	return 1 + part*(r.Factor-1)
}

func (b *Burst) factor(t time.Duration) float64 {
	if b == nil || t%b.Period.Std() >= b.Length.Std() {
		return 1
	}
	return b.Factor
}

func (r Rate) check(c *settings.Checks, field string) {
	c.Require(r.PerS >= 0, field+"/per_s", "want 0 or more requests a second")
	for i, s := range r.Steps {
		at := field + "/steps/" + strconv.Itoa(i)
		c.Require(s.PerS >= 0, at+"/per_s", "want 0 or more requests a second")
		c.Require(i == 0 || s.At > r.Steps[i-1].At, at+"/at", "want a time after the previous step")
	}
	if r.Ramp != nil {
		c.Require(r.Ramp.Start >= 0, field+"/ramp/start", "want 0 or more")
		c.Require(r.Ramp.Length > 0, field+"/ramp/length", "want more than 0")
		c.Require(r.Ramp.Factor > 0, field+"/ramp/factor", "want more than 0")
	}
	if r.Burst != nil {
		c.Require(r.Burst.Length > 0, field+"/burst/length", "want more than 0")
		c.Require(r.Burst.Period > r.Burst.Length, field+"/burst/every", "want more than the length")
		c.Require(r.Burst.Factor >= 0, field+"/burst/factor", "want 0 or more")
	}
	peak := r.peak()
	c.Require(peak > 0 && peak <= maxRate, field, "want a peak rate above 0 and up to %g requests a second, got %g", maxRate, peak)
}
