package gateway

import (
	"errors"
	"fmt"
	"io"
	"math/big"
	"strings"
	"syscall"

	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// Faults of the order of a stream's events, as they appear in the log and the metrics.
const (
	faultRepeated = "repeated" // the number of the event before came again
	faultBack     = "back"     // a lower number than that of the event before
	faultSkipped  = "skipped"  // numbers that differed by 1 before, or the caller's last one, were left out
)

// maxLoggedID is the length of the event IDs that a log line names.
const maxLoggedID = 40

// streamRun is the part of a stream that one attempt brought, for the log.
type streamRun struct {
	begun       bool
	startedAtMS int64  // of the upstream as it was listed
	framing     string // what tells the end of the answer
	end         string // how the answer ended
	first, last string // IDs of the events that were passed on
	events      int    // passed on
	skipped     int    // that the caller had already
	fault       string // first one, empty for none
	faultAt     string // IDs between which it is
}

func (r *streamRun) begin(startedAtMS int64, framing string) {
	r.begun, r.startedAtMS, r.framing = true, startedAtMS, framing
}

// passed records an event that was passed on, after the one with the ID before, empty for none.
func (r *streamRun) passed(before, id string) {
	r.events++
	if id == "" {
		return
	}
	if r.first == "" {
		r.first = id
	}
	r.last = id
	if fault := orderFault(before, id); fault != "" && r.fault == "" {
		r.fault, r.faultAt = fault, shortID(before)+">"+shortID(id)
	}
}

// orderFault returns what is wrong with an event that follows another one, empty for nothing.
func orderFault(before, id string) string {
	last, ok := new(big.Int).SetString(before, 10)
	this, ok2 := new(big.Int).SetString(id, 10)
	if !ok || !ok2 {
		return ""
	}
	switch step := this.Sub(this, last); {
	case step.Sign() == 0:
		return faultRepeated
	case step.Sign() < 0:
		return faultBack
	case step.Cmp(big.NewInt(1)) > 0:
		return faultSkipped
	}
	return ""
}

// endedWith records how reading the answer ended.
func (r *streamRun) endedWith(err error) {
	switch {
	case err == nil:
		r.end = "end"
	case errors.Is(err, httpconn.ErrEndUnproven):
		r.end = "unproven"
	case errors.Is(err, errHandedOver):
		r.end = "handed_over"
	case errors.Is(err, errPartialEvent), errors.Is(err, errEventMissing):
		r.end = "partial"
	case errors.Is(err, errNotResumed):
		r.end = "other_type"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.end = "reset"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		r.end = "closed"
	case errors.Is(err, httpconn.ErrExchangeFailed):
		r.end = "broken"
	default:
		r.end = "given_up"
	}
}

// String returns the run as FIRST-LAST/EVENTS+SKIPPED,FRAMING,END, with !FAULT:FROM>TO behind.
func (r *streamRun) String() string {
	s := fmt.Sprintf("%s-%s/%d+%d,%s,%s", shortID(r.first), shortID(r.last), r.events, r.skipped, r.framing, r.end)
	if r.fault != "" {
		s += ",!" + r.fault + ":" + r.faultAt
	}
	return s
}

// shortID returns an event's ID as it is written in a list that is separated by blanks.
func shortID(id string) string {
	id = strings.ReplaceAll(id, " ", "_")
	if len(id) > maxLoggedID {
		return id[:maxLoggedID] + "..."
	}
	return id
}

// runList returns what the attempts brought of a stream, separated by blanks, as
// UPSTREAM/STARTED:RUN, or nothing if no attempt brought a stream.
func (r *requestRecord) runList() string {
	var runs []string
	for _, a := range r.attempts {
		if a.run.begun {
			runs = append(runs, fmt.Sprintf("%s/%d:%s", a.upstream, a.run.startedAtMS, &a.run))
		}
	}
	return strings.Join(runs, " ")
}
