package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"

	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
)

// maxLoggedID is the length of the event IDs that a log line names.
const maxLoggedID = 40

// streamRun is the part of a stream that one attempt brought, for the log.
type streamRun struct {
	begun       bool
	startedAtMS int64             // of the upstream as it was listed
	framing     string            // what tells the end of the answer
	end         string            // how the answer ended
	first, last []byte            // IDs of the events that were passed on
	events      int               // passed on
	skipped     int               // that the caller had already
	fault       eventstream.Fault // first one, empty for none
	faultAt     string            // IDs between which it is
}

func (r *streamRun) begin(startedAtMS int64, framing string) {
	r.begun, r.startedAtMS, r.framing = true, startedAtMS, framing
}

// passed records what became of the event with the ID, empty for none.
func (r *streamRun) passed(p eventstream.Passed, id []byte) {
	r.events += p.Events
	if p.Fault != "" {
		r.foundFault(p.Fault, string(id), string(id))
	}
	switch {
	case p.Events == 0 && !p.Held:
		r.skipped++
	case p.Events > 0 && len(id) > 0:
		if len(r.first) == 0 {
			r.first = bytes.Clone(id)
		}
		r.last = append(r.last[:0], id...)
	}
}

// foundFault records the first fault of the order, between the events with two IDs.
func (r *streamRun) foundFault(fault eventstream.Fault, before, id string) {
	if r.fault == "" {
		r.fault, r.faultAt = fault, shortID(before)+">"+shortID(id)
	}
}

// endedWith records how reading the answer ended.
func (r *streamRun) endedWith(err error) {
	var fault *eventstream.OrderError
	switch {
	case err == nil:
		r.end = "end"
	case errors.As(err, &fault) && fault.OfUpstream():
		r.end = "rejected"
		r.foundFault(fault.Fault, fault.Before, fault.ID)
	case fault != nil:
		r.end = string(fault.Fault)
		if fault.Assumed {
			r.foundFault(fault.Fault, fault.Before, fault.ID)
		}
	case errors.Is(err, httpconn.ErrEndUnproven):
		r.end = "unproven"
	case errors.Is(err, errHandedOver):
		r.end = "handed_over"
	case errors.Is(err, errPartialEvent):
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
	s := fmt.Sprintf("%s-%s/%d+%d,%s,%s", shortID(string(r.first)), shortID(string(r.last)), r.events, r.skipped, r.framing, r.end)
	if r.fault != "" {
		s += ",!" + string(r.fault) + ":" + r.faultAt
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
