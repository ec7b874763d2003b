package streamversion

import (
	"cmp"
	"slices"
	"time"
)

// MaxVersions bounds the versions of a service that a History keeps, those listed last.
const MaxVersions = 8

// Span is the time in which a version of a service was listed, as far as known.
type Span struct {
	Service, Version string
	First, Last      time.Duration
}

// History is which versions of each service were listed, and when, within a horizon: the
// longest time from the beginning of a stream until it is resumed. It is not safe for
// concurrent use.
type History struct {
	horizon  time.Duration
	services map[string][]Span
	groups   map[string][]string // services at which streams of the same routes may have begun, by each of them
}

// NewHistory returns an empty history.
func NewHistory(horizon time.Duration) *History {
	return &History{horizon: horizon, services: map[string][]Span{}}
}

// SetHorizon changes the horizon.
func (h *History) SetHorizon(horizon time.Duration) { h.horizon = horizon }

// Observe records that a version of a service is listed.
func (h *History) Observe(now time.Duration, service, version string) {
	h.Merge(now, Span{Service: service, Version: version, First: now, Last: now})
}

// Merge records what another instance knows of a version.
func (h *History) Merge(now time.Duration, s Span) {
	if s.Last < now-h.horizon {
		return
	}
	spans := h.services[s.Service]
	i := slices.IndexFunc(spans, func(known Span) bool { return known.Version == s.Version })
	if i >= 0 {
		spans[i].First, spans[i].Last = min(spans[i].First, s.First), max(spans[i].Last, s.Last)
		return
	}
	spans = append(h.within(now, s.Service), s)
	if len(spans) > MaxVersions {
		slices.SortFunc(spans, func(a, b Span) int { return cmp.Compare(b.Last, a.Last) })
		spans = spans[:MaxVersions]
	}
	h.services[s.Service] = spans
}

// within returns the versions of a service that were listed within the horizon, by the time
// at which they were first.
func (h *History) within(now time.Duration, service string) []Span {
	var out []Span
	for _, s := range h.services[service] {
		if s.Last >= now-h.horizon {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Span) int { return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Version, b.Version)) })
	return out
}

// SetGroups sets which services share routes, or did so within the horizon: a stream that is
// resumed at one of them may have begun at another.
func (h *History) SetGroups(groups [][]string) {
	h.groups = map[string][]string{}
	for _, group := range groups {
		for _, service := range group {
			for _, other := range group {
				if other != service && !slices.Contains(h.groups[service], other) {
					h.groups[service] = append(h.groups[service], other)
				}
			}
		}
	}
}

// Several reports whether more than one version of a service, or of those that share a route
// with it, was listed within the horizon.
func (h *History) Several(now time.Duration, service string) bool {
	spans := h.within(now, service)
	for _, other := range h.groups[service] {
		spans = append(spans, h.within(now, other)...)
	}
	return slices.ContainsFunc(spans, func(s Span) bool { return s.Version != spans[0].Version })
}

// Versions returns the versions of each service that were listed within the horizon, sorted.
func (h *History) Versions(now time.Duration) map[string][]string {
	out := map[string][]string{}
	for service := range h.services {
		for _, s := range h.within(now, service) {
			out[service] = append(out[service], s.Version)
		}
		slices.Sort(out[service])
	}
	return out
}

// Spans returns what to tell other instances: the versions of the services of which Several
// holds.
func (h *History) Spans(now time.Duration) []Span {
	var out []Span
	for service := range h.services {
		if h.Several(now, service) {
			out = append(out, h.within(now, service)...)
		}
	}
	slices.SortFunc(out, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}
