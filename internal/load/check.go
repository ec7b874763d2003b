package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Upper bounds on the fields of an experiment, which keep a run within the
// capacity of one machine.
const (
	maxInFlightLimit = 65536
	maxRate          = 20000.0 // requests a second of one flow
	maxPromptWords   = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Check implements settings.Checker.
func (e *Experiment) Check(src *settings.Source) error {
	c := settings.NewChecks(src)
	c.Require(e.Duration > 0, "duration", "want more than 0")
	c.Require(e.Drain > 0, "drain", "want more than 0")
	c.Require(e.RequestTimeout > 0, "request_timeout", "want more than 0")
	c.Require(e.MaxInFlight > 0 && e.MaxInFlight <= maxInFlightLimit, "max_in_flight", "want 1 to %d", maxInFlightLimit)
	c.Require(e.MaxInFlight >= len(e.Flows), "max_in_flight", "want at least one for each of %d flows", len(e.Flows))
	c.Require(e.Deadlines.FirstToken > 0, "deadlines/first_token", "want more than 0")
	c.Require(e.Deadlines.TokenGap > 0, "deadlines/between", "want more than 0")
	c.Require(e.Compare.Round > 0, "compare/round", "want more than 0")
	c.Require(e.Compare.WarmUp >= 0 && e.Compare.WarmUp < e.Duration, "compare/warm_up", "want 0 or more, and less than the duration")
	e.Targets.check(c, "targets")
	if e.Baseline != nil {
		e.Baseline.check(c, "baseline")
	}
	for i, u := range e.PlainServices {
		checkURL(c, "plain_services/"+strconv.Itoa(i), u)
	}
	e.checkFlows(c)
	return c.Err()
}

func (e *Experiment) checkFlows(c *settings.Checks) {
	c.Require(len(e.Flows) > 0, "flows", "want at least one flow")
	names := map[string]bool{}
	for i := range e.Flows {
		f, field := &e.Flows[i], "flows/"+strconv.Itoa(i)
		c.Require(!names[f.Name], field+"/name", "duplicate name %q", f.Name)
		names[f.Name] = true
		f.check(c, field)
	}
}

func (t TargetSet) check(c *settings.Checks, field string) {
	c.Require(len(t.URLs) > 0, field+"/urls", "want at least one base URL")
	for i, u := range t.URLs {
		checkURL(c, field+"/urls/"+strconv.Itoa(i), u)
	}
}

func checkURL(c *settings.Checks, field, text string) {
	_, ok := parseBaseURL(text)
	c.Require(ok, field, "want a base URL such as \"http://127.0.0.1:7200\"")
}

func (f *Flow) check(c *settings.Checks, field string) {
	c.Require(namePattern.MatchString(f.Name), field+"/name", "want 1 to 63 characters of a-z, 0-9, dot and dash, starting with a letter or digit")
	c.Require(f.Organisation != "", field+"/organisation", "want the organisation that the key belongs to")
	c.Require(f.Key == "" || f.KeyFile == "", field+"/key_file", "want only one of key and key_file")
	c.Require(f.Class == ClassLive || f.Class == ClassBatch, field+"/class", "want live or batch, got %q", f.Class)
	f.Rate.check(c, field+"/rate")
	switch {
	case f.Kind == KindCompletion, f.Kind == KindChat:
		f.checkModels(c, field)
	case f.Kind.isPlain():
		c.Require(len(f.Models) == 0, field+"/models", "want none with a plain service")
	default:
		c.Require(false, field+"/kind", "want completion, chat, lookup or check_in, got %q", f.Kind)
	}
}

func (f *Flow) checkModels(c *settings.Checks, field string) {
	c.Require(len(f.Models) > 0, field+"/models", "want at least one model")
	for i, m := range f.Models {
		at := field + "/models/" + strconv.Itoa(i)
		c.Require(m.Name != "", at+"/name", "want the model's name")
		c.Require(m.Weight >= 0, at+"/weight", "want 0 or more")
	}
	c.Require(f.MaxTokens > 0, field+"/max_tokens", "want more than 0 tokens")
	p := f.Prompt
	c.Require(p.MinWords > 0, field+"/prompt/min_words", "want more than 0 words")
	c.Require(p.MaxWords >= p.MinWords && p.MaxWords <= maxPromptWords, field+"/prompt/max_words", "want min_words to %d words", maxPromptWords)
	c.Require(p.SharedPrefixWords >= 0 && p.SharedPrefixWords < max(p.MinWords, 1), field+"/prompt/shared_prefix_words", "want less than min_words")
	c.Require(p.Prefixes >= 0, field+"/prompt/prefixes", "want 0 or more")
}

// Errors that CheckTargets returns.
var (
	ErrRemote = errors.New("load: target is not on loopback")
	ErrTarget = errors.New("load: target is not a base URL")
)

// CheckTargets checks all URLs of the experiment. It fails with ErrTarget if
// one is not a base URL, or with ErrRemote if allowRemote is false and the host
// of one is not a loopback IP address.
func (e *Experiment) CheckTargets(allowRemote bool) error {
	urls := slices.Concat(e.Targets.URLs, e.PlainServices)
	if e.Baseline != nil {
		urls = append(urls, e.Baseline.URLs...)
	}
	for _, text := range urls {
		u, ok := parseBaseURL(text)
		if !ok {
			return fmt.Errorf("%w: %q", ErrTarget, text)
		}
		ip := net.ParseIP(u.Hostname())
		if !allowRemote && (ip == nil || !ip.IsLoopback()) {
			return fmt.Errorf("%w: %s", ErrRemote, u.Host)
		}
	}
	return nil
}

// parseBaseURL parses an http or https URL with a host and without user
// information; ok is false for any other text.
func parseBaseURL(text string) (*url.URL, bool) {
	u, err := url.Parse(text)
	if err != nil {
		return nil, false
	}
	return u, (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && u.User == nil
}
