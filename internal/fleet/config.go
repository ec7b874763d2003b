// Package fleet holds the types that the parts of the gateway share: the
// operators' configuration, the upstreams that run, and what a request and an
// order say. It knows no wire format and makes no decision.
package fleet

import (
	"crypto/sha256"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// The kinds of routes.
const (
	// KindNonIdempotent requests run once at most.
	KindNonIdempotent RouteKind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream answers are event streams. They run once at most, unless
	// Route.Resumable.
	KindStream
)

// String returns the kind as logs show it.
func (k RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[k]
}

// Target is one service of a route with its share of the requests.
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
	Timeout     time.Duration // longest time to the final answer
	Objective   time.Duration // time to the answer, or to the first event, for full credit
	MaxAttempts int           // upstreams that one request may be sent to
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Resumable   bool          // a broken stream may go on at another upstream
	MaxGap      time.Duration // longest pause between events of a stream on time
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Model is one model of an engine.
type Model struct {
	Name      string
	WeightsMB float64
	AdapterMB float64
	Adapters  int           // named a1 to aN
	LoadTime  time.Duration // from the weight store
	DiskTime  time.Duration // from the upstream's disk
	WarmTime  time.Duration // from the upstream's memory
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int // requests in one batch
	KVTokens     int // tokens of memory that requests and cached prompts share
	WeightsMB    float64
	AdapterSlots int
	LoadsPerS    float64 // loads from the weight store, over all upstreams
	Models       map[string]*Model
	ModelNames   []string // in the order of the configuration
}

// Service is a set of upstreams that serve alike.
type Service struct {
	Name     string
	MaxConns int     // connections that an upstream accepts from all callers
	Engine   *Engine // nil for plain services
}

// Organisation holds keys and a limit in tokens.
type Organisation struct {
	Name         string
	Keys         []KeyDigest
	Priority     int
	HasPriority  bool
	RatePerS     float64 // 0 for no limit
	Burst        float64
	CountsTokens bool // a request costs its tokens rather than 1
	PlainTokens  float64
}

// Limited reports whether the organisation has a limit.
func (o *Organisation) Limited() bool { return o.RatePerS > 0 }

// KeyDigest identifies a key without holding it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Config is one version of the configuration, immutable once indexed.
type Config struct {
	Version       int64  // the operators' number
	Revision      uint64 // the store's revision of the object
	Routes        []*Route
	Services      map[string]*Service
	Organisations map[string]*Organisation
	MaxBodyBytes  int64

	byHost map[string][]*Route
	byKey  map[KeyDigest]*Organisation
}

// Index prepares the lookups. Call it once, before the value is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey = make(map[KeyDigest]*Organisation)
	for _, o := range c.Organisations {
		for _, k := range o.Keys {
			c.byKey[k] = o
		}
	}
}

// Route returns the route with the longest prefix of path, nil if none matches.
func (c *Config) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Owner returns the organisation that holds a key, nil if none does.
func (c *Config) Owner(key string) *Organisation { return c.byKey[DigestKey(key)] }
