// Package logstory explains the result of a request from the collected logs of
// entry instances. Its input is the lines of the logs and the ID of the request.
// Its output is the log line of the request, a sentence that states the cause of
// the result, and the log lines of other events that may have led to it.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// lookback is how long before a request's arrival an event may have
	// happened to count as related: long enough for a load of a model and the
	// order for it.
	lookback = 10 * time.Second
	// maxEvents is the maximum number of events of an explanation; the latest
	// ones are kept.
	maxEvents = 20
	// maxLineBytes is the maximum size of one log line.
	maxLineBytes = 1 << 20
)

// ErrNotFound means that the logs contain no line with the result of the request.
var ErrNotFound = errors.New("logstory: no line of this request; if it was served at once, its line may have been left out (log.requests_per_s)")

// Line is one parsed log line. Which of the fields are set depends on Msg.
type Line struct {
	At       time.Time `json:"time"`
	Msg      string    `json:"msg"`
	Instance string    `json:"instance"`
	Raw      string    `json:"-"`

	Request      string  `json:"request"`
	Result       string  `json:"result"`
	Route        string  `json:"route"`
	Organisation string  `json:"organisation"`
	Service      string  `json:"service"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter"`
	Upstream     string  `json:"upstream"`
	Attempts     string  `json:"attempts"`
	StalledMS    int64   `json:"stalled_ms"`
	RetryDenied  string  `json:"retry_denied"`
	Error        any     `json:"error"`
	TotalMS      int64   `json:"total_ms"`
	WaitedMS     int64   `json:"waited_ms"`
	FirstMS      int64   `json:"first_ms"`
	LongestGapMS int64   `json:"longest_gap_ms"`
	Candidates   int     `json:"candidates"`
	Queue        int     `json:"queue"`
	Config       int64   `json:"config"`
	PeerAgeMS    int64   `json:"peer_age_ms"`
	LimitRate    float64 `json:"limit_rate"`
	LimitBurst   float64 `json:"limit_burst"`
	LimitLevel   float64 `json:"limit_level"`
	LimitCost    float64 `json:"limit_cost"`
	LimitAgeMS   int64   `json:"limit_age_ms"`
	Resumes      string  `json:"resumes"`
	Version      string  `json:"stream_version"`
	VersionFrom  string  `json:"version_from"`
	HeldKeys     string  `json:"held_keys"`
	HeldCrashes  int     `json:"held_crashes"`
	ConfigSource string  `json:"config_source"`
	ConfigAgeMS  int64   `json:"config_age_ms"`
	Skipped      int     `json:"config_skipped"`
	Revision     uint64  `json:"config_revision"`
	Held         uint64  `json:"config_held"`    // revision of a configuration that is held back
	Refused      uint64  `json:"config_refused"` // revision of one that could not be decoded
	Newest       uint64  `json:"config_newest"`  // latest revision that the instance heard of
	Suspects     string  `json:"suspects"`       // of a crash
	Keys         string  `json:"keys"`           // of a verdict
}

// Read returns the parsed lines of a log. It ignores the text that a log collector
// puts before the JSON of a line, and skips lines without valid JSON.
func Read(r io.Reader) ([]Line, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	var out []Line
	for in.Scan() {
		text := in.Bytes()
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		l := Line{Raw: string(text[at:])}
		if json.Unmarshal(text[at:], &l) != nil || l.Msg == "" {
			continue // not written by an entry instance
		}
		out = append(out, l)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("logstory: %w", err)
	}
	return out, nil
}

// Explanation explains the result of a request.
type Explanation struct {
	Request Line
	Cause   string
	Events  []Line // events that may have led to the result, ordered by time
}

// Explain returns the explanation of the request with the given ID, based on the
// last line of that request. It returns ErrNotFound if there is none.
func Explain(lines []Line, id string) (Explanation, error) {
	var e Explanation
	for _, l := range lines {
		if l.Msg == "request" && l.Request == id && !l.At.Before(e.Request.At) {
			e.Request = l
		}
	}
	if e.Request.Msg == "" {
		return Explanation{}, ErrNotFound
	}
	e.Cause = explain(&e.Request)
	from := e.Request.At.Add(-time.Duration(e.Request.TotalMS)*time.Millisecond - lookback)
	for _, l := range lines {
		if l.Msg == "request" || l.At.After(e.Request.At) {
			continue
		}
		if isEvidence(&e.Request, &l) || !l.At.Before(from) && isRelated(&e.Request, &l) {
			e.Events = append(e.Events, l)
		}
	}
	slices.SortStableFunc(e.Events, func(a, b Line) int { return a.At.Compare(b.At) })
	e.Events = e.Events[max(0, len(e.Events)-maxEvents):]
	return e, nil
}

// isRelated reports whether an event may have led to the result of a request: it
// concerns an upstream that was tried, the model, the holder of the placement
// lease, or the instance itself.
func isRelated(r, l *Line) bool {
	switch {
	case l.Upstream != "" && strings.Contains(r.Attempts, l.Upstream):
		return true
	case l.Model != "" && l.Model == r.Model:
		return l.Adapter == "" || l.Adapter == r.Adapter
	case l.Msg == "lease" || l.Msg == "placement begins":
		return true
	}
	switch l.Msg {
	case "configuration in force", "dependency lost", "dependency reached", "started", "stopping", "settings reloaded":
		return l.Instance == r.Instance
	}
	return false
}

// isEvidence reports whether an event, however long ago, is why a request was held back or
// refused.
func isEvidence(r, l *Line) bool {
	if r.Result == "no_route" || r.Result == "bad_key" {
		switch l.Msg {
		case "configuration refused", "part of the configuration skipped", "configuration of an older copy of the store held back", "document behind":
			return l.Instance == r.Instance
		}
	}
	return r.HeldKeys != "" && (l.Keys == r.HeldKeys || sharesKey(l.Suspects, r.HeldKeys))
}

// sharesKey reports whether two lists of keys, separated by blanks, have one in common.
func sharesKey(a, b string) bool {
	keys := strings.Fields(b)
	return slices.ContainsFunc(strings.Fields(a), func(k string) bool { return slices.Contains(keys, k) })
}

// explain returns a sentence that states the cause of a request's result.
func explain(r *Line) string {
	what := "what it needs"
	if r.Model != "" {
		what = "model " + r.Model
		if r.Adapter != "" {
			what += " with adapter " + r.Adapter
		}
	}
	switch r.Result {
	case "limit":
		return fmt.Sprintf("organisation %s was over its limit: a cost of %.0f with %.0f left of a burst of %.0f, which fills by %.0f a second; peers' use was known as of %d ms before",
			r.Organisation, r.LimitCost, r.LimitLevel, r.LimitBurst, r.LimitRate, r.LimitAgeMS)
	case "model_absent":
		return fmt.Sprintf("no upstream held %s within %d ms: see who unloaded it, or that its upstream went, and when it was ordered again", what, r.WaitedMS)
	case "quarantined":
		return fmt.Sprintf("held back: %d upstreams crashed under requests with %s; see where they crashed in the lines \"upstream crashed\" of all instances", r.HeldCrashes, r.HeldKeys)
	case "version_unknown":
		return fmt.Sprintf("its caller resumes the stream of request %s, and no instance that was asked knew at which of the versions of service %s it began: those that keep its record ended or were cut off; see the lines of that request, and which instances ended", r.Resumes, r.Service)
	case "version_gone":
		return fmt.Sprintf("its caller resumes the stream of request %s, which began at version %s of service %s, as %s knew: no upstream of that version was listed and usable", r.Resumes, r.Version, r.Service, r.VersionFrom)
	case "no_route", "bad_key":
		return explainRefusedByConfig(r)
	case "evacuated":
		return fmt.Sprintf("all upstreams of service %s that it could be sent to are in evacuated zones; see the lines \"evacuation in force\"", r.Service)
	case "region":
		return fmt.Sprintf("no upstream of service %s is in the allowed regions of its route and organisation; see allowed_regions of both, and zones in the settings", r.Service)
	case "exceeds_memory":
		return fmt.Sprintf("its prompt and expected output need more memory than any engine of service %s has: compare the lengths that its caller states with kv_tokens of the configuration", r.Service)
	case "overloaded":
		if r.Attempts != "" {
			return fmt.Sprintf("no upstream ran it: %s", r.Attempts)
		}
		return fmt.Sprintf("the upstreams that hold %s were full, with %d requests waiting before it; it waited %d ms", what, r.Queue, r.WaitedMS)
	case "no_upstream":
		if r.Attempts != "" {
			return fmt.Sprintf("no upstream of service %s was left besides those tried: %s", r.Service, r.Attempts)
		}
		return fmt.Sprintf("no upstream of service %s was listed and usable", r.Service)
	case "outcome_unknown":
		return explainUnknown(r)
	case "timeout":
		return fmt.Sprintf("its time was over after %d ms, %d of them waiting: %s", r.TotalMS, r.WaitedMS, attemptsOrNone(r.Attempts))
	case "caller_left":
		return fmt.Sprintf("the caller left after %d ms", r.TotalMS)
	case "ok":
		return explainSuccess(r, what)
	}
	return "refused on arrival: " + r.Result
}

// explainRefusedByConfig returns a sentence that states why the configuration in force did not
// allow a request, as far as the instance knew.
func explainRefusedByConfig(r *Line) string {
	what := "no route of its host and path"
	if r.Result == "bad_key" {
		what = "no organisation with its key"
	}
	text := fmt.Sprintf("%s in version %d of the configuration, in force for %d ms, from %s", what, r.Config, r.ConfigAgeMS, r.ConfigSource)
	switch {
	case r.Refused > r.Revision:
		return text + fmt.Sprintf("; the newer revision %d could not be decoded", r.Refused)
	case r.Held > r.Revision:
		return text + fmt.Sprintf("; revision %d is held back, since the store came back from an older copy", r.Held)
	case r.Newest > r.Revision:
		return text + fmt.Sprintf("; the instance had heard of revision %d and lacked it", r.Newest)
	case r.Skipped > 0:
		return text + fmt.Sprintf("; %d items of it could not be decoded in full", r.Skipped)
	}
	return text + "; the instance had heard of no newer one"
}

// explainUnknown returns a sentence that states why a request that may have run
// ended without an answer.
func explainUnknown(r *Line) string {
	what := "an upstream took it and broke off"
	if r.StalledMS > 0 {
		what = fmt.Sprintf("the instance closed an attempt after %d ms without an event", r.StalledMS)
	}
	denied := ""
	if r.RetryDenied != "" {
		denied = " (" + r.RetryDenied + ")"
	}
	return fmt.Sprintf("%s, so that it may have run and could not be sent again%s: %s, %v", what, denied, attemptsOrNone(r.Attempts), r.Error)
}

// explainSuccess returns a sentence that states what took longest in a request
// that was answered.
func explainSuccess(r *Line, what string) string {
	switch {
	case r.WaitedMS > r.TotalMS/2 || r.FirstMS > 0 && r.WaitedMS > r.FirstMS/2:
		return fmt.Sprintf("answered; it waited %d ms for a place at an upstream that holds %s", r.WaitedMS, what)
	case strings.Contains(r.Attempts, " "):
		return fmt.Sprintf("answered after more than one attempt: %s", r.Attempts)
	case r.LongestGapMS > r.FirstMS:
		return fmt.Sprintf("answered; the upstream paused for %d ms between events: %s", r.LongestGapMS, r.Attempts)
	case r.FirstMS > 0:
		return fmt.Sprintf("answered; the upstream took %d ms to the first event: %s", r.FirstMS-r.WaitedMS, r.Attempts)
	}
	return fmt.Sprintf("answered; the upstream took %d ms: %s", r.TotalMS-r.WaitedMS, r.Attempts)
}

func attemptsOrNone(attempts string) string {
	if attempts == "" {
		return "no attempt"
	}
	return attempts
}
