// Package load is an open-loop load generator. Requests are sent at moments
// that a seeded schedule fixes beforehand, whether or not earlier ones have
// been answered, and every latency counts from that intended moment, so that a
// slow target cannot hide its delays by slowing the generator down.
package load

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Experiment is one run against real processes. Durations are strings such as
// "250ms".
type Experiment struct {
	Name     string            `json:"name"`
	Seed     uint64            `json:"seed"`
	Duration settings.Duration `json:"duration"`
	// Drain bounds how long answers may take after the last intended moment.
	Drain settings.Duration `json:"drain"`
	// RequestTimeout bounds one request from its intended moment.
	RequestTimeout settings.Duration `json:"request_timeout"`
	// MaxInFlight bounds the requests that wait for an answer. Each flow gets a
	// share by its highest rate; beyond it requests are sent late.
	MaxInFlight int `json:"max_in_flight"`
	// Verify checks each answer against what the stand-ins answer.
	Verify    bool      `json:"verify"`
	Deadlines Deadlines `json:"deadlines"`
	// Targets takes the load; Baseline is what `compare` puts beside it.
	Targets  TargetSet  `json:"targets"`
	Baseline *TargetSet `json:"baseline"`
	Compare  Compare    `json:"compare"`
	Flows    []Flow     `json:"flows"`
	// PlainServices are base URLs of plain services that are asked after the
	// run how often each check-in ran; empty for no such check.
	PlainServices []string `json:"plain_services"`
}

// Deadlines decide which answers count as attained.
type Deadlines struct {
	FirstToken settings.Duration `json:"first_token"` // also bounds the whole answer of a plain service
	Between    settings.Duration `json:"between"`     // between two tokens
}

// whole returns the time for a whole answer of some tokens.
func (d Deadlines) whole(tokens int) time.Duration {
	return d.FirstToken.Std() + time.Duration(max(tokens-1, 0))*d.Between.Std()
}

// TargetSet is one or several base URLs, used round robin.
type TargetSet struct {
	URLs []string `json:"urls"`
	// PlainPrefix goes before the paths of plain services.
	PlainPrefix string `json:"plain_prefix"`
	// SendKeys adds each flow's key; nil means true.
	SendKeys *bool `json:"send_keys"`
}

func (t TargetSet) sendKeys() bool { return t.SendKeys == nil || *t.SendKeys }

// Compare sets how the two target sets take turns.
type Compare struct {
	// Round is the part of the schedule that one set gets before the other
	// gets the same part; which of them goes first alternates.
	Round settings.Duration `json:"round"`
	// WarmUp is the part of the schedule, from its beginning, that is sent to
	// both sets but not counted.
	WarmUp settings.Duration `json:"warm_up"`
}

// Kind is the call that a flow makes.
type Kind string

// The kinds of flows.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindLookup     Kind = "lookup"   // idempotent, of a plain service
	KindCheckin    Kind = "check_in" // with an Idempotency-Key, of a plain service
)

func (k Kind) plain() bool { return k == KindLookup || k == KindCheckin }

// Class is the urgency of a flow's requests.
type Class string

// The classes.
const (
	ClassLive  Class = "live"
	ClassBatch Class = "batch"
)

// Flow is a stream of like requests of one organisation.
type Flow struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Key is sent as a bearer token; KeyFile names a file that holds it, from
	// the working directory. At most one of both is set.
	Key     Secret       `json:"key"`
	KeyFile string       `json:"key_file"`
	Kind    Kind         `json:"kind"`
	Class   Class        `json:"class"`
	Rate    Rate         `json:"rate"`
	Models  []ModelShare `json:"models"`
	Prompt  Prompt       `json:"prompt"`
	// MaxTokens bounds each answer, in tokens.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Path replaces the usual path; {id} stands for the request's id.
	Path string `json:"path"`
}

// ModelShare is one model of a flow.
type ModelShare struct {
	Name     string   `json:"name"`
	Weight   float64  `json:"weight"`   // share of the flow's requests, default 1
	Adapters []string `json:"adapters"` // one of them with each request; empty for none
}

// Prompt is the distribution of prompts, in words.
type Prompt struct {
	MinWords int `json:"min_words"`
	MaxWords int `json:"max_words"`
	// SharedPrefixWords of each prompt are the same in all prompts of one of
	// Prefixes groups.
	SharedPrefixWords int `json:"shared_prefix_words"`
	Prefixes          int `json:"prefixes"` // default 1
}

// Defaults of fields that a file leaves out.
const (
	defaultDuration       = 30 * time.Second
	defaultDrain          = 10 * time.Second
	defaultRequestTimeout = time.Minute
	defaultMaxInFlight    = 2048
	defaultFirstToken     = 480 * time.Millisecond
	defaultBetween        = 66 * time.Millisecond
	defaultRound          = time.Second
)

// DefaultExperiment returns the settings of fields that a file leaves out.
func DefaultExperiment() *Experiment {
	return &Experiment{
		Duration:       settings.Duration(defaultDuration),
		Drain:          settings.Duration(defaultDrain),
		RequestTimeout: settings.Duration(defaultRequestTimeout),
		MaxInFlight:    defaultMaxInFlight,
		Deadlines: Deadlines{
			FirstToken: settings.Duration(defaultFirstToken),
			Between:    settings.Duration(defaultBetween),
		},
		Compare: Compare{Round: settings.Duration(defaultRound)},
	}
}

// LoadExperiment reads and checks an experiment file. It fails with a
// *settings.FieldError for a bad field.
func LoadExperiment(file string) (*Experiment, error) {
	e := DefaultExperiment()
	if err := settings.Load(file, e); err != nil {
		return nil, err
	}
	return e, nil
}
