// Package load is an open-loop load generator. It reads an experiment file and
// sends requests at the times of a seeded schedule that is fixed beforehand,
// whether or not earlier requests have been answered. Every latency is measured
// from the intended send time, so that a slow target cannot hide its delays by
// slowing the generator down (coordinated omission). The results are reports and
// comparisons of two target sets, as text, JSON and plots.
package load

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Experiment describes one run against real processes. In the file, durations
// are strings such as "250ms".
type Experiment struct {
	Name     string            `json:"name"`
	Seed     uint64            `json:"seed"`
	Duration settings.Duration `json:"duration"`
	// Drain bounds the time for responses after the last intended send time.
	Drain settings.Duration `json:"drain"`
	// RequestTimeout bounds one request, from its intended send time.
	RequestTimeout settings.Duration `json:"request_timeout"`
	// MaxInFlight bounds the requests in flight. Each flow gets a share by its
	// peak rate; beyond it requests are sent late.
	MaxInFlight int `json:"max_in_flight"`
	// Verify compares each response with the one that the stand-ins must give.
	Verify    bool      `json:"verify"`
	Deadlines Deadlines `json:"deadlines"`
	// Targets receives the load; `compare` sends the same load to Baseline.
	Targets  TargetSet          `json:"targets"`
	Baseline *TargetSet         `json:"baseline"`
	Compare  ComparisonSettings `json:"compare"`
	Flows    []Flow             `json:"flows"`
	// PlainServices are base URLs of plain services that are queried after the
	// run for the number of times each check-in ran; empty for no such check.
	PlainServices []string `json:"plain_services"`
}

// Deadlines decide which responses count as attained.
type Deadlines struct {
	FirstToken settings.Duration `json:"first_token"` // also bounds the complete response of a plain service
	TokenGap   settings.Duration `json:"between"`     // between two tokens
}

// wholeResponse returns the deadline of a complete response with the given
// number of tokens.
func (d Deadlines) wholeResponse(tokens int) time.Duration {
	return d.FirstToken.Std() + time.Duration(max(tokens-1, 0))*d.TokenGap.Std()
}

// TargetSet is one or more base URLs, used round robin.
type TargetSet struct {
	URLs []string `json:"urls"`
	// PlainPrefix is put before the paths of plain services.
	PlainPrefix string `json:"plain_prefix"`
	// SendKeys sends the key of each flow; nil means true.
	SendKeys *bool `json:"send_keys"`
}

func (t TargetSet) sendKeys() bool { return t.SendKeys == nil || *t.SendKeys }

// ComparisonSettings sets how the rounds of the two target sets alternate.
type ComparisonSettings struct {
	// Round is the length of the part of the schedule that is sent to one set
	// and then to the other; the set that goes first alternates.
	Round settings.Duration `json:"round"`
	// WarmUp is the part of the schedule, from its beginning, that is sent to
	// both sets but not counted.
	WarmUp settings.Duration `json:"warm_up"`
}

// Kind is the kind of call that a flow makes.
type Kind string

// The kinds of flows.
const (
	KindCompletion Kind = "completion"
	KindChat       Kind = "chat"
	KindLookup     Kind = "lookup"   // idempotent call of a plain service
	KindCheckin    Kind = "check_in" // call of a plain service with an Idempotency-Key
)

func (k Kind) isPlain() bool { return k == KindLookup || k == KindCheckin }

// Class is the priority class of the requests of a flow.
type Class string

// The priority classes.
const (
	ClassLive  Class = "live"
	ClassBatch Class = "batch"
)

// Flow is a stream of similar requests of one organisation.
type Flow struct {
	Name         string `json:"name"`
	Organisation string `json:"organisation"`
	// Key is sent as a bearer token; KeyFile names a file that holds it, relative
	// to the working directory. At most one of the two is set.
	Key     Secret       `json:"key"`
	KeyFile string       `json:"key_file"`
	Kind    Kind         `json:"kind"`
	Class   Class        `json:"class"`
	Rate    Rate         `json:"rate"`
	Models  []ModelShare `json:"models"`
	Prompt  Prompt       `json:"prompt"`
	// MaxTokens bounds each response, in tokens.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Path replaces the default path; {id} stands for the request id.
	Path string `json:"path"`
}

// ModelShare is one model of a flow and its share of the requests.
type ModelShare struct {
	Name     string   `json:"name"`
	Weight   float64  `json:"weight"`   // relative share of the flow's requests, default 1
	Adapters []string `json:"adapters"` // each request uses one of them; empty for none
}

// Prompt describes the distribution of prompts; lengths are in words.
type Prompt struct {
	MinWords int `json:"min_words"`
	MaxWords int `json:"max_words"`
	// SharedPrefixWords is the number of leading words that all prompts of one
	// group have in common; there are Prefixes groups.
	SharedPrefixWords int `json:"shared_prefix_words"`
	Prefixes          int `json:"prefixes"` // default 1
}

// Defaults of the fields that an experiment file leaves out.
const (
	defaultDuration       = 30 * time.Second
	defaultDrain          = 10 * time.Second
	defaultRequestTimeout = time.Minute
	defaultMaxInFlight    = 2048
	defaultFirstToken     = 480 * time.Millisecond
	defaultBetween        = 66 * time.Millisecond
	defaultRound          = time.Second
)

// DefaultExperiment returns an experiment with the defaults of the fields that a
// file leaves out.
func DefaultExperiment() *Experiment {
	return &Experiment{
		Duration:       settings.Duration(defaultDuration),
		Drain:          settings.Duration(defaultDrain),
		RequestTimeout: settings.Duration(defaultRequestTimeout),
		MaxInFlight:    defaultMaxInFlight,
		Deadlines: Deadlines{
			FirstToken: settings.Duration(defaultFirstToken),
			TokenGap:   settings.Duration(defaultBetween),
		},
		Compare: ComparisonSettings{Round: settings.Duration(defaultRound)},
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
