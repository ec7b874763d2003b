package entry

import (
	"context"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// Limiter charges organisations' limits; quota.Duty implements it.
type Limiter interface {
	Admit(ctx context.Context, org string, charge int64) limit.Decision
	Refund(r limit.Receipt, used int64)
	Rate(org string) int64
}

// admit charges a call to its organisation's limits.
func (s *Server) admit(ctx context.Context, c *call, tokens int64) *Error {
	d := s.opts.Limiter.Admit(ctx, c.org.String(), tokens)
	if !d.Admitted && s.opts.Limiter.Rate(c.org.String()) == 0 {
		return refuseFor(http.StatusServiceUnavailable, CodeNoShare, "this instance has no share of the organisation's limits", d.RetryAfter)
	}
	if !d.Admitted {
		return refuseFor(http.StatusTooManyRequests, CodeRateLimited, "the organisation's rate and burst are used up", d.RetryAfter)
	}
	c.receipt = d.Receipt
	e := s.entry(c, record.KindAdmitted)
	e.Tokens = tokens
	s.opts.Record.Append(e)
	return nil
}

// settle refunds what the call did not use. Where the use is not known the
// whole charge counts.
func (m *modelCall) settle() {
	used := m.charge
	switch {
	case !m.ran:
		used = 0
	case m.used > 0:
		used = m.used
	}
	m.server.opts.Limiter.Refund(m.call.receipt, used)
}
