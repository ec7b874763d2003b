package entry

import (
	"context"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// Limiter charges requests to organisations' token limits; quota.Controller
// implements it.
type Limiter interface {
	Admit(ctx context.Context, org string, charge int64) limit.Decision
	Refund(r limit.Receipt, used int64)
	Rate(org string) int64
}

// admit charges tokens to the limits of the call's organisation. It returns an
// error if the limits or the instance's share of them do not allow the call.
func (s *Server) admit(ctx context.Context, c *call, tokens int64) *Error {
	d := s.opts.Limiter.Admit(ctx, c.org.String(), tokens)
	if !d.Admitted && s.opts.Limiter.Rate(c.org.String()) == 0 {
		return newRetryableError(http.StatusServiceUnavailable, CodeNoShare, "this instance has no share of the organisation's limits", d.RetryAfter)
	}
	if !d.Admitted {
		return newRetryableError(http.StatusTooManyRequests, CodeRateLimited, "the organisation's rate and burst are used up", d.RetryAfter)
	}
	c.receipt = d.Receipt
	e := s.newRecordEntry(c, record.KindAdmitted)
	e.Tokens = tokens
	s.opts.Record.Append(e)
	return nil
}

// refundUnused refunds the charged tokens that the call did not use. If an
// attempt may have run and the usage is not known, nothing is refunded.
func (m *modelCall) refundUnused() {
	usedTokens := m.chargedTokens
	switch {
	case !m.ran:
		usedTokens = 0
	case m.usedTokens > 0:
		usedTokens = m.usedTokens
	}
	m.server.opts.Limiter.Refund(m.call.receipt, usedTokens)
}
