package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/httpconn"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 256 << 10
	// maxEventIDBytes is that of its ID, which is kept, and sent as a header to resume the
	// stream.
	maxEventIDBytes = 4 << 10
	readBufferBytes = 16 << 10
)

// streamState is the part of a stream that the caller has received so far.
type streamState struct {
	headSent    bool // the status and headers were sent to the caller
	eventBegun  bool // an upstream broke off within the event after the last one
	lastEventID string
	events      int
	lastEventAt time.Duration
	longestGap  time.Duration // longest pause between events
}

// recordGap records the pause before the events that have just been relayed.
func (s *streamState) recordGap(now time.Duration) {
	s.longestGap = max(s.longestGap, now-s.lastEventAt)
	s.lastEventAt = now
}

// lastID returns the ID of the last event that was relayed to the caller.
func (s *streamState) lastID() string { return s.lastEventID }

// relayStream relays events as they arrive. It passes only whole events to the
// caller, so that another upstream can resume the stream after the last one.
func (x *exchange) relayStream(a *attempt) outcome {
	memory := &eventMemory{memory: x.g.answerMemory, from: answerSource{service: x.service, length: -1, abort: a.cancel}}
	a.run.begin(a.Decision.Upstream.StartedAtMS, a.response.Framing())
	err := memory.end(x.copyEvents(a, memory))
	a.run.endedWith(err)
	a.response.Finish(err == nil)
	var disconnected *callerDisconnectedError
	switch {
	case err == nil:
		if len(x.rec.attempts) == 0 && x.req.LastEventID == "" { // otherwise the events are those of a part
			x.g.dispatcher.recordOutput(a.Placement, x.rec.stream.events)
		}
		x.release(a, assign.ResultOK)
		x.recordSound(a)
		x.rec.status = http.StatusOK
		x.sendHead(a.response) // an answer without any events is complete, too
		return outcomeDelivered
	case errors.As(err, &disconnected):
		x.rec.lastError = err
		x.release(a, assign.ResultUnknown)
		return outcomeCallerLeft
	}
	return x.endBrokenAttempt(a, err)
}

// callerDisconnectedError means that an event could not be written to the
// caller.
type callerDisconnectedError struct{ err error }

func (e *callerDisconnectedError) Error() string {
	return "gateway: writing to the caller: " + e.err.Error()
}

var errEventID = errors.New("gateway: ID of an event too large")

var errPartialEvent = errors.New("gateway: stream ended in the middle of an event")

// errEventMissing means that a stream ended without the event that an upstream before had begun.
var errEventMissing = errors.New("gateway: resumed stream ended without the event that was begun")

// copyEvents relays events until the stream ends or breaks. In a resumed stream
// it skips the events that the caller already has.
func (x *exchange) copyEvents(a *attempt, memory *eventMemory) error {
	splitter := eventstream.NewSplitter(maxEventBytes)
	defer func() { x.rec.stream.eventBegun = x.rec.stream.eventBegun || splitter.Partial() }()
	buf := make([]byte, readBufferBytes)
	resumed := x.rec.stream.headSent
	if resumed && mediaType(a.response.Header) != mediaType(x.w.Header()) {
		return errNotResumed // a success of another kind is not the rest of the stream
	}
	for {
		n, readErr := a.response.Body.Read(buf)
		if err := memory.hold(splitter.Buffered() + n); err != nil {
			return err
		}
		if err := splitter.Feed(buf[:n]); err != nil {
			return err
		}
		wrote := false
		for event, ok := splitter.Next(); ok; event, ok = splitter.Next() {
			if len(event.ID) > maxEventIDBytes {
				return errEventID
			}
			if resumed && !x.isNewEvent(event.ID) {
				a.run.skipped++
				continue
			}
			if x.rec.stream.events == 0 {
				x.recordVersion(a)
				x.rec.firstEventAt = x.g.now()
				x.rec.stream.lastEventAt = x.rec.firstEventAt
			}
			if a.firstAt == 0 {
				a.firstAt = x.g.now()
				x.g.dispatcher.firstToken(a.Placement)
			}
			x.sendHead(a.response)
			if _, err := x.w.Write(event.Raw); err != nil {
				return &callerDisconnectedError{err}
			}
			x.rec.stream.eventBegun = false
			x.rec.stream.events++
			x.rec.bytes += len(event.Raw)
			a.run.passed(x.lastKnownID(), string(event.ID))
			if len(event.ID) > 0 {
				x.rec.stream.lastEventID = string(event.ID)
			}
			wrote = true
		}
		if wrote {
			x.rec.stream.recordGap(x.g.now())
			if x.g.now()-a.firstAt >= quarantine.SoundTime {
				x.recordSound(a)
			}
			if err := http.NewResponseController(x.w).Flush(); err != nil {
				return &callerDisconnectedError{err}
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && splitter.Partial():
			return errPartialEvent
		case errors.Is(readErr, io.EOF) && resumed && x.rec.stream.eventBegun:
			return errEventMissing
		case errors.Is(readErr, io.EOF):
			return nil
		case readErr != nil:
			return readErr
		}
	}
}

// mediaType returns the type of a body without parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// sendHead sends the status and headers of the answer, once per request; a
// resumed stream keeps those of its first upstream.
func (x *exchange) sendHead(resp *httpconn.Response) {
	if x.rec.stream.headSent {
		return
	}
	x.rec.stream.headSent = true
	x.leaveShutdown()
	x.g.codec.CopyResponseHeader(x.w.Header(), resp.Header)
	x.closeInStop()
	x.w.WriteHeader(resp.Status)
}

// isNewEvent reports whether the caller does not yet have an event of a resumed
// stream. Events are compared by numeric ID; without one, an event counts as new.
func (x *exchange) isNewEvent(id []byte) bool {
	if x.rec.stream.lastEventID == "" || len(id) == 0 {
		return true
	}
	last, errLast := strconv.ParseInt(x.rec.stream.lastEventID, 10, 64)
	this, errThis := strconv.ParseInt(string(id), 10, 64)
	return errLast != nil || errThis != nil || this > last
}

// lastKnownID returns the ID of the last event that the caller has, also from a request before.
func (x *exchange) lastKnownID() string {
	return cmp.Or(x.rec.stream.lastEventID, x.req.LastEventID)
}

// recordVersion records that the stream began at the version of an attempt's upstream. From
// now on it goes on at that version only, here and wherever its caller resumes it.
func (x *exchange) recordVersion(a *attempt) {
	version := a.Decision.Upstream.Version
	x.job.Version = &version
	if x.req.LastEventID == "" && x.req.AttemptID != "" && x.route.Repeatable() {
		x.g.streamVersions.began(x.organisation(), x.req.AttemptID, x.service, version)
		x.g.streamVersions.begunAt(a.Decision.Upstream, x.organisation(), x.req.AttemptID)
	}
}

// versionRetryAfter is the retry-after time of a stream that nobody knows: an instance that
// does may be reached then.
const versionRetryAfter = 300 * time.Millisecond

// resolveVersion lets a stream that its caller resumes go on only at the version at which it
// began, and at the service at which it began while the route has that. An unknown stream may go on
// anywhere if the service, with those that share its route or did so lately, had one version only
// for as long as streams are resumed, also before this process began. An instance that is out of touch
// cannot tell, as others may have begun it at a version that is not in its list. That those whom it
// asks do not know the stream proves nothing then: after a while it asks only those that it reaches.
func (x *exchange) resolveVersion(ctx context.Context) fleet.Refusal {
	if !x.takesUp() {
		return fleet.Refusal{}
	}
	began, from, ok := x.g.streamVersions.find(ctx, x.organisation(), x.req.Resumes, x.g.streamVersions.servicesFor(x.route, x.service))
	x.rec.versionFrom = from
	switch {
	case ok:
		x.job.Version = &began.version
		if began.service != x.service && slices.Contains(servicesOf(x.route), began.service) {
			x.moveTo(began.service)
		}
	case x.g.streamVersions.mayDiffer(x.service), !x.g.streamVersions.listConfirmed():
		return fleet.Refusal{Reason: fleet.ReasonVersionUnknown, RetryAfter: versionRetryAfter}
	}
	return fleet.Refusal{}
}
