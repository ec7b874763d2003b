package entry

import (
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// Recorder appends to the service record; recorder.Recorder implements it.
type Recorder interface {
	Append(e record.Entry)
	Full() bool
}

// newRecordEntry returns an entry of the service record about a call.
func (s *Server) newRecordEntry(c *call, kind record.Kind) record.Entry {
	return record.Entry{
		Kind: kind, RequestID: c.id, Service: c.org.Service, Organisation: c.org.Organisation, Model: c.model,
		ConfigVersion: c.snapshot.Versions[c.org.Service], KeyID: c.keyID, KeyAgeMS: c.keyAge.Milliseconds(),
		ShareRate: float64(s.opts.Limiter.Rate(c.org.String())),
	}
}

// recordAttempt records that an attempt is about to be sent.
func (s *Server) recordAttempt(c *call, attempt, upstream string) {
	e := s.newRecordEntry(c, record.KindAttempt)
	e.Detail = attempt + " " + upstream
	s.opts.Record.Append(e)
}

// recordEnd records how a call ended: as refused if it failed before any attempt
// was sent, otherwise as an outcome. Calls that belong to no organisation are
// not recorded.
func (s *Server) recordEnd(c *call, code Code, err *Error) {
	if c.service == nil {
		return
	}
	kind := record.KindOutcome
	if err != nil && !c.attempted {
		kind = record.KindRefused
	}
	e := s.newRecordEntry(c, kind)
	e.Detail = string(code)
	e.Code = http.StatusOK
	e.Tokens = int64(c.deliveredTokens)
	if err != nil {
		e.Code = err.Status
		e.Detail += " " + string(err.Ran)
	}
	s.opts.Record.Append(e)
}
