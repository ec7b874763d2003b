// Package fleet defines the types that the packages of the gateway share: the
// operators' configuration, the listed upstreams and their reports, requests,
// refusals, and orders to upstreams. It does not depend on a wire format and makes
// no decisions.
package fleet

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind says whether requests of a route may run more than once.
type RouteKind uint8

// The kinds of routes.
const (
	// KindNonIdempotent: requests run at most once.
	KindNonIdempotent RouteKind = iota
	// KindIdempotent: requests may run more than once.
	KindIdempotent
	// KindStream: answers are event streams. Requests run at most once, unless
	// Route.Resumable is set.
	KindStream
)

// String returns the name of the kind for logs.
func (k RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// Target is one service of a route with its weight, which sets its share of the
// requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        RouteKind
	Targets     []Target      // at least one, weights above 0
	Timeout     time.Duration // maximum time to the end of the answer
	Objective   time.Duration // service objective (SLO): a response, or the first event of a stream, by then is on time
	MaxAttempts int           // maximum number of upstreams that one request is sent to
	Priority    int           // 0 is the most urgent
	Public      bool          // no key is required
	Resumable   bool          // a broken stream may be resumed at another upstream
	MaxGap      time.Duration // longest pause between events that counts as on time
	// AllowedRegions are the regions to whose upstreams requests may be sent, nil for any.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is one model that the engines of a service can load. Sizes are in MB.
type Model struct {
	Name           string
	WeightsMB      float64
	AdapterMB      float64
	Adapters       int           // number of adapters, see AdapterName
	StoreLoadTime  time.Duration // time to load from the weight store
	DiskLoadTime   time.Duration // time to load from the upstream's disk
	MemoryLoadTime time.Duration // time to load from the upstream's memory
}

// Engine describes the model servers of a service, which are all alike.
type Engine struct {
	Slots        int     // maximum number of requests in one batch
	KVTokens     int     // size of the KV cache in tokens, shared by running requests and cached prompts
	MemoryMB     float64 // memory for models and adapters
	AdapterSlots int     // maximum number of loaded adapters
	LoadsPerS    float64 // loads from the weight store per second, over all upstreams
	Models       map[string]*Model
	ModelNames   []string // in the order of the configuration
}

// Has reports whether there is a model and, unless its name is empty, an adapter of it.
func (e *Engine) Has(model, adapter string) bool {
	m := e.Models[model]
	if m == nil || adapter == "" {
		return m != nil
	}
	n, err := strconv.Atoi(adapter[1:])
	return err == nil && n >= 1 && n <= m.Adapters && AdapterName(n) == adapter
}

// AdapterName returns the name of the n-th adapter of a model, from 1.
func AdapterName(n int) string { return "a" + strconv.Itoa(n) }

// Service is a set of interchangeable upstreams.
type Service struct {
	Name     string
	MaxConns int     // connections that one upstream accepts, over all callers
	Engine   *Engine // nil for plain services
	// ColdTime is how long an upstream stays cold after its start, and ColdRatePerS how many
	// requests a second a cold upstream takes from all instances together, 0 for none.
	ColdTime     time.Duration
	ColdRatePerS float64
	// Malformed names the fields that were left out, nil if there are none.
	Malformed error `json:"-"`
}

// Organisation is a group of callers, identified by its keys, with a priority and a
// rate limit in tokens.
type Organisation struct {
	Name          string
	Keys          []KeyDigest
	Priority      int
	HasPriority   bool
	RatePerS      float64 // rate limit in tokens per second, 0 for no limit
	Burst         float64
	CountsTokens  bool    // a request costs its number of tokens rather than 1
	DefaultTokens float64 // cost in tokens of a request that does not state its number of tokens
	// AllowedRegions are the regions to whose upstreams requests may be sent, nil for any.
	AllowedRegions []string
}

// Limited reports whether the organisation has a limit.
func (o *Organisation) Limited() bool { return o.RatePerS > 0 }

// KeyDigest is the SHA-256 digest of a key. It identifies the key without
// containing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration. It must not change after Index.
type Config struct {
	Version        int64  // version number set by the operators
	Revision       uint64 // revision of the object in the store
	Routes         []*Route
	Services       map[string]*Service
	Organisations  map[string]*Organisation
	MaxBodyBytes   int64
	MaxHeaderBytes int64 // of a request, without its first line; 0 for the default
	// DecodedItems is the number of routes, services and organisations that were decoded
	// for this version rather than taken over from the version before.
	DecodedItems int `json:"-"`

	byHost map[string][]routeOfHost
	byKey  map[KeyDigest]*Organisation
}

// routeOfHost is a route with its prefix in the form in which equivalent ones are equal.
type routeOfHost struct {
	prefix string
	route  *Route
}

// Index builds the lookup tables for Route and OrganisationByKey. It must be
// called once, before the value is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]routeOfHost)
	for _, r := range c.Routes {
		host := normalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], routeOfHost{normalPath(r.PathPrefix), r})
	}
	c.byKey = make(map[KeyDigest]*Organisation)
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) { // so that all instances agree on a key of two
		for _, k := range c.Organisations[name].Keys {
			c.byKey[k] = c.Organisations[name]
		}
	}
}

// Route returns the route of the host with the longest matching prefix of path,
// nil if none matches. Equivalent forms of a host and of a path match alike; path is escaped.
func (c *Config) Route(host, path string) *Route {
	var best routeOfHost
	path = normalPath(path)
	for _, r := range c.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.prefix) && (best.route == nil || len(r.prefix) > len(best.prefix)) {
			best = r
		}
	}
	return best.route
}

// OrganisationByKey returns the organisation that the key belongs to, nil if
// there is none.
func (c *Config) OrganisationByKey(key string) *Organisation { return c.byKey[DigestKey(key)] }
