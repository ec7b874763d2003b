package gateway

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
	"github.com/eelgrassbay/eelgrassbay/internal/sharedlimit"
)

// attemptRecord is one attempt to send a request to an upstream.
type attemptRecord struct {
	relay    string // peer through which it was sent, empty for none
	upstream string
	version  string // of the upstream's software
	outcome  outcome
	run      streamRun
}

// requestRecord collects the data that explains the result of a request, for its
// metrics and its single log line.
type requestRecord struct {
	refusal      fleet.Refusal
	limit        *sharedlimit.Decision // set if the organisation's limit refused the request
	inputs       assign.Inputs
	attempts     []attemptRecord
	stream       *streamState
	queueTime    time.Duration // summed over all attempts
	firstEventAt time.Duration // time of the first event of a stream, 0 if there was none
	status       int
	bytes        int
	lastError    error
	versionFrom  string        // who knew the version of a stream that the caller resumes
	unsentFor    time.Duration // spent on attempts that were not sent
	stalledFor   time.Duration // silence for which the last stalled attempt was closed, 0 if none
	retryDenied  string        // why no further attempt followed, empty if one did
	callerLeft   bool
	abort        bool // close the connection, so that nobody takes the answer for complete
}

// result returns the name of the request's result for metrics and logs.
func (r *requestRecord) result() string {
	switch {
	case r.refusal.Reason != fleet.ReasonNone:
		return r.refusal.Reason.String()
	case r.callerLeft:
		return "caller_left"
	}
	return "ok"
}

// causedByCaller reports whether the request was refused for what its caller sent. Callers
// can send any number of such requests.
func (r *requestRecord) causedByCaller() bool {
	switch r.refusal.Reason {
	case fleet.ReasonNoMemory, fleet.ReasonSlowBody, fleet.ReasonTooLarge, fleet.ReasonNoRoute, fleet.ReasonBadKey, fleet.ReasonBadRequest:
		return true
	}
	return false
}

// write records the request in the metrics and writes its log line. It may omit
// the line of a request that succeeded at the first attempt, or was refused for what its
// caller sent.
func (r *requestRecord) write(x *exchange) {
	now := x.g.now()
	total := now - x.arrived
	organisation, route := x.organisation(), ""
	if x.route != nil {
		route = x.route.Name
	}
	flow := x.g.metrics.Flow(organisation, route)
	flow.RequestEnded(r.result(), total, 0)
	flow.QueueTime(r.queueTime)
	if r.firstEventAt > 0 {
		flow.TimeToFirstToken(r.firstEventAt - x.arrived)
	}
	faulty := false
	for _, a := range r.attempts {
		flow.Attempt(a.outcome.String())
		if a.run.fault != "" {
			faulty = true
			x.g.metrics.StreamFault(x.service, string(a.run.fault))
		}
	}
	if r.retryDenied != "" {
		flow.RetryDenied(r.retryDenied)
	}
	if r.result() == "ok" && len(r.attempts) == 1 && !faulty && !x.g.successLogLimit.allow(now) {
		return
	}
	if r.causedByCaller() && !x.g.callerLogLimit.allow(now) {
		return
	}
	x.g.log.LogAttrs(x.r.Context(), slog.LevelInfo, "request", r.attrs(x, organisation, route, total)...)
}

func (r *requestRecord) attrs(x *exchange, organisation, route string, total time.Duration) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("request", x.req.AttemptID), slog.String("result", r.result()), slog.String("route", route),
		slog.String("organisation", organisation), slog.String("service", x.service), slog.String("model", x.req.Model),
		slog.Int64("total_ms", total.Milliseconds()), slog.Int64("waited_ms", r.queueTime.Milliseconds()),
	}
	if x.req.Adapter != "" {
		attrs = append(attrs, slog.String("adapter", x.req.Adapter))
	}
	if x.config != nil {
		attrs = append(attrs, slog.Int64("config", x.config.Version))
	}
	if r.refusedByConfig() {
		attrs = append(attrs, x.g.configAttrs()...)
	}
	if len(r.attempts) > 0 || r.refusal.Reason != fleet.ReasonNone {
		attrs = append(attrs, slog.Int("candidates", r.inputs.Candidates), slog.Int("queue", r.inputs.QueueLength),
			slog.Int("at_upstream", r.inputs.Requests), slog.Int64("peer_age_ms", r.inputs.PeerAge.Milliseconds()))
	}
	if len(r.attempts) > 0 {
		attrs = append(attrs, slog.String("attempts", r.attemptList()))
	}
	if runs := r.runList(); runs != "" {
		attrs = append(attrs, slog.String("runs", runs))
	}
	if x.req.LastEventID != "" {
		attrs = append(attrs, slog.String("after_event", x.req.LastEventID))
	}
	if x.req.Resumes != "" {
		attrs = append(attrs, slog.String("resumes", x.req.Resumes), slog.String("version_from", r.versionFrom))
		if x.job != nil && x.job.Version != nil {
			attrs = append(attrs, slog.String("stream_version", *x.job.Version))
		}
	}
	if versions := r.versionList(); versions != "" {
		attrs = append(attrs, slog.String("versions", versions))
	}
	if r.broke() && len(x.req.Parts) > 0 {
		attrs = append(attrs, slog.String("parts", partList(x.req.Parts)))
	}
	if r.stalledFor > 0 {
		attrs = append(attrs, slog.Int64("stalled_ms", r.stalledFor.Milliseconds()))
	}
	if r.unsentFor > 0 {
		attrs = append(attrs, slog.Int64("unsent_ms", r.unsentFor.Milliseconds()))
	}
	if r.retryDenied != "" {
		attrs = append(attrs, slog.String("retry_denied", r.retryDenied))
	}
	if r.firstEventAt > 0 {
		attrs = append(attrs, slog.Int64("first_ms", (r.firstEventAt-x.arrived).Milliseconds()), slog.Int("events", r.stream.events),
			slog.Int64("longest_gap_ms", r.stream.longestGap.Milliseconds()))
	}
	if r.status != 0 {
		attrs = append(attrs, slog.Int("status", r.status))
	}
	if r.refusal.RetryAfter > 0 {
		attrs = append(attrs, slog.Int64("retry_after_ms", r.refusal.RetryAfter.Milliseconds()))
	}
	if r.limit != nil {
		attrs = append(attrs, slog.Float64("limit_cost", r.limit.Cost), slog.Float64("limit_rate", r.limit.Rate),
			slog.Float64("limit_burst", r.limit.Burst), slog.Float64("limit_level", r.limit.Level), slog.Float64("limit_share", r.limit.RateFraction),
			slog.Int64("limit_age_ms", r.limit.PeerAge.Milliseconds()))
	}
	if r.broke() {
		attrs = append(attrs, slog.String("fingerprint", strconv.FormatUint(x.suspect.Fingerprint(), 16)))
	}
	if x.suspect != nil && x.suspect.Verdict != nil {
		v := x.suspect.Verdict
		attrs = append(attrs, slog.String("held_keys", quarantine.JoinKeys(v.Keys)), slog.Int("held_crashes", v.Crashes))
	}
	if r.lastError != nil {
		attrs = append(attrs, slog.String("error", r.lastError.Error()))
	}
	return attrs
}

// broke reports whether an attempt ended without a complete answer after it was sent.
func (r *requestRecord) broke() bool {
	return slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.outcome == outcomeUnknown })
}

// maxLoggedParts is the number of parts of a prompt that a log line names, the first ones.
const maxLoggedParts = 8

// partList returns the IDs of the first parts of a prompt, separated by blanks.
func partList(parts []fleet.PromptSegment) string {
	var ids []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(ids, " ")
}

// attemptList returns the upstreams tried with their outcomes, as
// upstream=outcome pairs separated by blanks.
func (r *requestRecord) attemptList() string {
	var b strings.Builder
	for i, a := range r.attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(a.upstream)
		if a.relay != "" {
			b.WriteString("@" + a.relay)
		}
		b.WriteString("=" + a.outcome.String())
	}
	return b.String()
}

// versionList returns the software versions of the upstreams of the attempts, separated by
// blanks, or nothing if they have none.
func (r *requestRecord) versionList() string {
	var versions []string
	for _, a := range r.attempts {
		if a.version != "" {
			versions = append(versions, a.version)
		}
	}
	return strings.Join(versions, " ")
}
