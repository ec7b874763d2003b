package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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
	order       eventstream.Order
	events      int
	lastEventAt time.Duration
	longestGap  time.Duration // longest pause between events
}

// newStreamState returns the state of a request of which the caller has received nothing.
func (x *exchange) newStreamState() *streamState {
	if x.route.Kind != fleet.KindStream {
		return &streamState{}
	}
	order := eventstream.NewOrder(x.req.LastEventID, x.route.Repeatable(), x.g.numberings.steps(x.service), maxEventBytes)
	return &streamState{order: *order}
}

// recordGap records the pause before the events that have just been relayed.
func (s *streamState) recordGap(now time.Duration) {
	s.longestGap = max(s.longestGap, now-s.lastEventAt)
	s.lastEventAt = now
}

// relayStream relays events as they arrive. It passes only whole events to the
// caller, so that another upstream can resume the stream after the last one.
func (x *exchange) relayStream(a *attempt) outcome {
	memory := &eventMemory{memory: x.g.answerMemory, from: answerSource{service: x.service, length: -1, abort: a.cancel}}
	a.run.begin(a.Decision.Upstream.StartedAtMS, a.response.Framing())
	err := x.proveEnd(a, memory.end(x.copyEvents(a, memory)))
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

// copyEvents relays events until the stream ends or breaks. It skips the events that the
// caller already has.
func (x *exchange) copyEvents(a *attempt, memory *eventMemory) (err error) {
	order := &x.rec.stream.order
	if x.rec.stream.headSent && mediaType(a.response.Header) != mediaType(x.w.Header()) {
		return errNotResumed // a success of another kind is not the rest of the stream
	}
	order.Begin(a.Decision.Upstream.ID)
	splitter := eventstream.NewSplitter(maxEventBytes)
	defer func() {
		var fault *eventstream.OrderError
		if splitter.Partial() && !errors.As(err, &fault) {
			order.Broke()
		}
	}()
	buf := make([]byte, readBufferBytes)
	for {
		n, readErr := a.response.Body.Read(buf)
		if err := memory.hold(splitter.Buffered() + order.Held() + n); err != nil {
			return err
		}
		if err := splitter.Feed(buf[:n]); err != nil {
			return err
		}
		if err := x.relayEvents(a, splitter); err != nil {
			return err
		}
		switch {
		case errors.Is(readErr, io.EOF) && splitter.Partial():
			return errPartialEvent
		case errors.Is(readErr, io.EOF):
			return x.judgeEnd(a)
		case readErr != nil:
			return readErr
		}
	}
}

// relayEvents relays the whole events that were read.
func (x *exchange) relayEvents(a *attempt, splitter *eventstream.Splitter) (err error) {
	events := x.rec.stream.events
	for event, ok := splitter.Next(); ok && err == nil; event, ok = splitter.Next() {
		if len(event.ID) > maxEventIDBytes {
			err = errEventID
			break
		}
		var passed eventstream.Passed
		if passed, err = x.nextEvent(a, event); err == nil {
			err = x.writeEvents(a, passed, event.ID)
		}
	}
	if x.rec.stream.events == events {
		return err
	}
	return cmp.Or(x.flushEvents(a), err)
}

// nextEvent returns what becomes of the next event of an attempt. One before which others may have been
// left out ends the attempt if another upstream is asked in its place, and is passed on otherwise.
func (x *exchange) nextEvent(a *attempt, event eventstream.Event) (eventstream.Passed, error) {
	order := &x.rec.stream.order
	passed, err := order.Next(event)
	if passed.Filled && x.questioned != nil {
		x.g.dispatcher.recordFailure(x.questioned)
	}
	var fault *eventstream.OrderError
	if !errors.As(err, &fault) || !fault.Undecided || x.askElsewhere(a) {
		return passed, err
	}
	return order.Accept(event)
}

// judgeEnd decides on the end of an answer that came in order. It returns nil if the caller has
// the whole stream.
func (x *exchange) judgeEnd(a *attempt) error {
	held, err := x.rec.stream.order.End()
	var fault *eventstream.OrderError
	if errors.As(err, &fault) && fault.Fault == eventstream.FaultUnconfirmed && !x.mayBeConfirmed(a) {
		err = nil
	}
	if held.Events == 0 {
		return err
	}
	return cmp.Or(x.writeEvents(a, held, nil), err)
}

// mayBeConfirmed reports whether another upstream can be asked whether a stream has ended, now or
// when the caller takes up what was cut here. Where there is none, the word of one has to do.
func (x *exchange) mayBeConfirmed(a *attempt) bool {
	if x.rec.stream.headSent {
		return true
	}
	return x.route.MaxAttempts > 1 && x.g.dispatcher.servesElsewhere(x.job, a.Decision.Upstream.ID)
}

// writeEvents writes to the caller what is passed on at the event with this ID.
func (x *exchange) writeEvents(a *attempt, p eventstream.Passed, id []byte) error {
	a.run.passed(p, id)
	if p.Events == 0 {
		return nil
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
	if _, err := x.w.Write(p.Raw); err != nil {
		return &callerDisconnectedError{err}
	}
	x.rec.stream.events += p.Events
	x.rec.bytes += len(p.Raw)
	return nil
}

// flushEvents sends to the caller what was written.
func (x *exchange) flushEvents(a *attempt) error {
	x.rec.stream.recordGap(x.g.now())
	if x.g.now()-a.firstAt >= quarantine.SoundTime {
		x.recordSound(a)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return &callerDisconnectedError{err}
	}
	return nil
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
