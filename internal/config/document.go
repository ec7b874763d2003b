// Package config defines the documents that describe services: their types, their
// validation, and the set of documents in force in one instance. The version in
// force of a document never decreases.
package config

import (
	"cmp"
	"fmt"
	"time"
)

// Service is the document of one service. Names of organisations and models are
// scoped by service: the same name in two services denotes two organisations.
type Service struct {
	Service       string         `json:"service"`
	Models        []Model        `json:"models"`
	Upstreams     []Upstream     `json:"upstreams"`
	Organisations []Organisation `json:"organisations"`
	Routes        []Route        `json:"routes"`
	Deadlines     Deadlines      `json:"deadlines"`
	Loads         LoadingLimits  `json:"loads"`
}

// Model is a model that the service's engines load.
type Model struct {
	Name            string    `json:"name"`
	MemoryMB        int64     `json:"memory_mb"`
	MinReplicas     int       `json:"min_replicas"`      // default 1
	MaxReplicas     int       `json:"max_replicas"`      // 0: as many as fit
	MaxOutputTokens int       `json:"max_output_tokens"` // default DefaultMaxOutputTokens
	Open            bool      `json:"open"`              // served without a key
	Adapters        []Adapter `json:"adapters"`
}

// Adapter is a small extension of a model that is loaded alongside it. Requests
// name it as "model:adapter".
type Adapter struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memory_mb"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamEngine UpstreamKind = "engine"
	UpstreamPlain  UpstreamKind = "plain"
)

// Upstream is one model engine on one accelerator, or one instance of a plain
// service. Address is IP:port.
type Upstream struct {
	Name     string       `json:"name"`
	Zone     string       `json:"zone"`
	Kind     UpstreamKind `json:"kind"`
	Address  string       `json:"address"`
	MemoryMB int64        `json:"memory_mb"`
	// SupportsFencing is set if the engine rejects orders with old fencing tokens.
	SupportsFencing bool `json:"fencing"`
	// MaxOrderDelayS is the maximum time in seconds after which a sent order can
	// still take effect in an engine that ignores fencing tokens; default
	// DefaultMaxOrderDelay.
	MaxOrderDelayS int `json:"max_order_delay_s"`
	// PrefillTokensPerS is the rate, in tokens per second, at which the engine
	// prefills prompts; default DefaultPrefillTokensPerS.
	PrefillTokensPerS int64 `json:"prefill_tokens_per_s"`
	// MaxRunning is the number of requests that the engine can decode
	// concurrently within the deadline between tokens; default
	// DefaultMaxRunning.
	MaxRunning int `json:"max_running"`
}

// Organisation is a customer of the service. Its rate and burst limit the total of
// all instances.
type Organisation struct {
	Name            string          `json:"name"`
	RateTokensPerS  int64           `json:"rate_tokens_per_s"`
	BurstTokens     int64           `json:"burst_tokens"`
	Keys            []Key           `json:"keys"`
	StaleKeys       StaleKeysPolicy `json:"stale_keys"`         // default StaleServe
	StaleKeysAfterS int             `json:"stale_keys_after_s"` // age from which StaleRefuse rejects requests
}

// StaleKeysPolicy selects how an instance that is isolated from every source of
// configuration handles requests with a key.
type StaleKeysPolicy string

// The values of StaleKeysPolicy: serve requests, or reject them once the
// configuration is older than Organisation.StaleKeysAfterS.
const (
	StaleServe  StaleKeysPolicy = "serve"
	StaleRefuse StaleKeysPolicy = "refuse"
)

// Key is the salted digest of a key, never the key itself. ID is part of the key
// and is used to look up the digest; Salt and Digest are hexadecimal.
type Key struct {
	ID     string `json:"id"`
	Salt   string `json:"salt"`
	Digest string `json:"digest"`
}

// Route is a path prefix of a plain service, below /services/{service}. The longest
// matching prefix is used.
type Route struct {
	Path       string   `json:"path"` // prefix, starts with /
	Methods    []string `json:"methods"`
	Idempotent bool     `json:"idempotent"`
	Open       bool     `json:"open"` // served without a key
	CostTokens int64    `json:"cost_tokens"`
	DeadlineMS int64    `json:"deadline_ms"`
}

// Deadlines limit the time of a request to a model, in milliseconds.
type Deadlines struct {
	FirstTokenMS int64 `json:"first_token_ms"` // to the first token
	BetweenMS    int64 `json:"between_ms"`     // between tokens
	RequestMS    int64 `json:"request_ms"`     // to the last token
	ProgressMS   int64 `json:"progress_ms"`    // time without progress after which a connection is closed
}

// LoadingLimits limit the loading of models and adapters, in total over all zones.
type LoadingLimits struct {
	ModelsPerS       float64 `json:"models_per_s"`
	ModelsInFlight   int     `json:"models_in_flight"`
	AdaptersInFlight int     `json:"adapters_in_flight"`
}

// Default values of fields that a document omits.
const (
	DefaultMaxOutputTokens  = 1024
	DefaultMaxOrderDelay    = 30 * time.Second
	DefaultFirstTokenMS     = 480
	DefaultBetweenMS        = 66
	DefaultRequestMS        = 120_000
	DefaultProgressMS       = 5_000
	DefaultRouteDeadlineMS  = 10_000
	DefaultModelsPerS       = 2.0
	DefaultModelsInFlight   = 8
	DefaultAdaptersInFlight = 64
	DefaultStaleKeysAfterS  = 60

	DefaultPrefillTokensPerS = 10_000
	DefaultMaxRunning        = 16
)

// OrganisationID identifies an organisation among all services.
type OrganisationID struct {
	Service      string
	Organisation string
}

// String returns "service/organisation".
func (id OrganisationID) String() string { return id.Service + "/" + id.Organisation }

// AnonymousOrganisation is the organisation under which requests without a key,
// to open routes and models, are limited, queued and recorded.
const AnonymousOrganisation = "open"

// Model returns the named model, and false if the service has none of that name.
func (s *Service) Model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Organisation returns the named organisation, and false if the service has none of
// that name.
func (s *Service) Organisation(name string) (Organisation, bool) {
	for _, o := range s.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Adapter returns the named adapter, and false if the model has none of that name.
func (m Model) Adapter(name string) (Adapter, bool) {
	for _, a := range m.Adapters {
		if a.Name == name {
			return a, true
		}
	}
	return Adapter{}, false
}

// applyDefaults sets fields that the document omits to their defaults.
func (s *Service) applyDefaults() {
	for i := range s.Models {
		m := &s.Models[i]
		m.MinReplicas = cmp.Or(m.MinReplicas, 1)
		m.MaxOutputTokens = cmp.Or(m.MaxOutputTokens, DefaultMaxOutputTokens)
	}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		u.MaxOrderDelayS = cmp.Or(u.MaxOrderDelayS, int(DefaultMaxOrderDelay/time.Second))
		u.PrefillTokensPerS = cmp.Or(u.PrefillTokensPerS, DefaultPrefillTokensPerS)
		u.MaxRunning = cmp.Or(u.MaxRunning, DefaultMaxRunning)
	}
	for i := range s.Organisations {
		s.Organisations[i].StaleKeys = cmp.Or(s.Organisations[i].StaleKeys, StaleServe)
		s.Organisations[i].StaleKeysAfterS = cmp.Or(s.Organisations[i].StaleKeysAfterS, DefaultStaleKeysAfterS)
	}
	for i := range s.Routes {
		s.Routes[i].CostTokens = cmp.Or(s.Routes[i].CostTokens, 1)
		s.Routes[i].DeadlineMS = cmp.Or(s.Routes[i].DeadlineMS, DefaultRouteDeadlineMS)
	}
	s.Deadlines.FirstTokenMS = cmp.Or(s.Deadlines.FirstTokenMS, DefaultFirstTokenMS)
	s.Deadlines.BetweenMS = cmp.Or(s.Deadlines.BetweenMS, DefaultBetweenMS)
	s.Deadlines.RequestMS = cmp.Or(s.Deadlines.RequestMS, DefaultRequestMS)
	s.Deadlines.ProgressMS = cmp.Or(s.Deadlines.ProgressMS, DefaultProgressMS)
	s.Loads.ModelsPerS = cmp.Or(s.Loads.ModelsPerS, DefaultModelsPerS)
	s.Loads.ModelsInFlight = cmp.Or(s.Loads.ModelsInFlight, DefaultModelsInFlight)
	s.Loads.AdaptersInFlight = cmp.Or(s.Loads.AdaptersInFlight, DefaultAdaptersInFlight)
}

// path joins parts to the slash-separated path of a field.
func path(parts ...any) string {
	var p string
	for i, part := range parts {
		if i > 0 {
			p += "/"
		}
		p += fmt.Sprint(part)
	}
	return p
}
