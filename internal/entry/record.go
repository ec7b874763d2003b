package entry

import (
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// Recorder keeps the service record; recorder.Duty implements it.
type Recorder interface {
	Append(e record.Entry)
	Full() bool
}

// entry returns an entry of the service record on a call.
func (s *Server) entry(c *call, kind record.Kind) record.Entry {
	return record.Entry{
		Kind: kind, RequestID: c.id, Service: c.org.Service, Organisation: c.org.Organisation, Model: c.model,
		ConfigVersion: c.known.Versions[c.org.Service], KeyID: c.keyID, KeyAgeMS: c.keyAge.Milliseconds(),
		ShareRate: float64(s.opts.Limiter.Rate(c.org.String())),
	}
}

// recordAttempt records that an attempt goes out.
func (s *Server) recordAttempt(c *call, attempt, upstream string) {
	e := s.entry(c, record.KindAttempt)
	e.Detail = attempt + " " + upstream
	s.opts.Record.Append(e)
}

// recordEnd records how a call ended. A call that was refused before any
// attempt went out reads as refused, any other as an outcome. Calls that
// belong to no organisation are not recorded.
func (s *Server) recordEnd(c *call, code Code, err *Error) {
	if c.service == nil {
		return
	}
	kind := record.KindOutcome
	if err != nil && !c.attempted {
		kind = record.KindRefused
	}
	e := s.entry(c, kind)
	e.Detail = string(code)
	e.Code = http.StatusOK
	e.Tokens = int64(c.tokens)
	if err != nil {
		e.Code = err.Status
		e.Detail += " " + string(err.Ran)
	}
	s.opts.Record.Append(e)
}
