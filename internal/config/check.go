package config

import (
	"encoding/hex"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Limits of a document and of the stored digests of keys, in bytes.
const (
	MaxDocumentBytes = 256 << 10
	minSaltBytes     = 8
	digestBytes      = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameRule = "want 1 to 63 characters of a-z, 0-9, dot, dash and underscore, starting with a letter or digit"

var routeMethods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// Parse decodes and validates one document and fills in defaults. The first error
// rejects the whole document and is returned as a *settings.FieldError that names
// file.
func Parse(file string, src []byte) (*Service, error) {
	parsed, err := settings.Parse(file, src)
	if err != nil {
		return nil, err
	}
	if len(src) > MaxDocumentBytes {
		return nil, parsed.Errorf("", "want at most %d bytes, got %d", MaxDocumentBytes, len(src))
	}
	doc := new(Service)
	if err := parsed.Decode(doc); err != nil {
		return nil, err
	}
	doc.applyDefaults()
	c := checker{Checks: settings.NewChecks(parsed), doc: doc}
	c.check()
	if err := c.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// checker validates one document and keeps the first error.
type checker struct {
	*settings.Checks
	doc *Service
}

func (c *checker) check() {
	c.name("service", c.doc.Service)
	c.models()
	c.upstreams()
	c.organisations()
	c.routes()
	c.deadlines()
	c.loads()
	c.memory()
}

func (c *checker) name(field, name string) {
	c.Require(namePattern.MatchString(name), field, nameRule)
}

// unique records an error if name is already in seen, and adds it to seen.
func (c *checker) unique(seen map[string]bool, field, name string) {
	c.Require(!seen[name], field, "duplicate %q", name)
	seen[name] = true
}

func (c *checker) models() {
	seen := map[string]bool{}
	for i, m := range c.doc.Models {
		at := func(f string) string { return path("models", i, f) }
		c.name(at("name"), m.Name)
		c.unique(seen, at("name"), m.Name)
		c.Require(m.MemoryMB > 0, at("memory_mb"), "want more than 0 MB")
		c.Require(m.MinReplicas >= 1, at("min_replicas"), "want at least 1: every model needs a replica")
		c.Require(m.MaxReplicas == 0 || m.MaxReplicas >= m.MinReplicas, at("max_replicas"), "want at least min_replicas (%d)", m.MinReplicas)
		c.Require(m.MaxOutputTokens >= 1, at("max_output_tokens"), "want at least 1 token")
		c.adapters(i, m)
	}
}

func (c *checker) adapters(i int, m Model) {
	seen := map[string]bool{}
	for j, a := range m.Adapters {
		at := func(f string) string { return path("models", i, "adapters", j, f) }
		c.name(at("name"), a.Name)
		c.unique(seen, at("name"), a.Name)
		c.Require(a.MemoryMB > 0, at("memory_mb"), "want more than 0 MB")
	}
}

func (c *checker) upstreams() {
	seen := map[string]bool{}
	for i, u := range c.doc.Upstreams {
		at := func(f string) string { return path("upstreams", i, f) }
		c.name(at("name"), u.Name)
		c.unique(seen, at("name"), u.Name)
		c.name(at("zone"), u.Zone)
		_, err := netip.ParseAddrPort(u.Address)
		c.Require(err == nil, at("address"), "want IP:port, got %q", u.Address)
		c.Require(u.MaxOrderDelayS > 0, at("max_order_delay_s"), "want more than 0 seconds")
		c.Require(u.PrefillTokensPerS > 0, at("prefill_tokens_per_s"), "want more than 0 tokens a second")
		c.Require(u.MaxRunning > 0, at("max_running"), "want more than 0 requests")
		switch u.Kind {
		case UpstreamEngine:
			c.Require(u.MemoryMB > 0, at("memory_mb"), "want more than 0 MB for an engine")
		case UpstreamPlain:
			c.Require(u.MemoryMB == 0, at("memory_mb"), "want none for a plain service")
		default:
			c.Require(false, at("kind"), "want %q or %q, got %q", UpstreamEngine, UpstreamPlain, u.Kind)
		}
	}
}

func (c *checker) organisations() {
	seen, ids := map[string]bool{}, map[string]bool{}
	for i, o := range c.doc.Organisations {
		at := func(f string) string { return path("organisations", i, f) }
		c.name(at("name"), o.Name)
		c.unique(seen, at("name"), o.Name)
		c.Require(o.RateTokensPerS > 0, at("rate_tokens_per_s"), "want more than 0 tokens a second")
		c.Require(o.BurstTokens > 0, at("burst_tokens"), "want more than 0 tokens")
		c.Require(o.StaleKeys == StaleServe || o.StaleKeys == StaleRefuse, at("stale_keys"), "want %q or %q", StaleServe, StaleRefuse)
		c.Require(o.StaleKeysAfterS > 0, at("stale_keys_after_s"), "want more than 0 seconds")
		c.Require(o.Name != AnonymousOrganisation || len(o.Keys) == 0, at("keys"), "want none: %q holds the limits of requests without a key", AnonymousOrganisation)
		for j, k := range o.Keys {
			c.key(path("organisations", i, "keys", j), k)
			c.unique(ids, path("organisations", i, "keys", j, "id"), k.ID)
		}
	}
	c.anonymousOrganisation(seen)
}

// anonymousOrganisation requires an organisation AnonymousOrganisation, which holds
// the limits, if any route or model is served without a key.
func (c *checker) anonymousOrganisation(organisations map[string]bool) {
	for i, r := range c.doc.Routes {
		c.Require(!r.Open || organisations[AnonymousOrganisation], path("routes", i, "open"), "want an organisation %q with the rate and burst of open routes", AnonymousOrganisation)
	}
	for i, m := range c.doc.Models {
		c.Require(!m.Open || organisations[AnonymousOrganisation], path("models", i, "open"), "want an organisation %q with the rate and burst of open models", AnonymousOrganisation)
	}
}

func (c *checker) key(field string, k Key) {
	c.Require(hexBytes(k.ID) >= 4, field+"/id", "want at least 8 hexadecimal digits")
	c.Require(hexBytes(k.Salt) >= minSaltBytes, field+"/salt", "want at least %d hexadecimal digits", 2*minSaltBytes)
	c.Require(hexBytes(k.Digest) == digestBytes, field+"/digest", "want %d hexadecimal digits", 2*digestBytes)
}

// hexBytes returns the decoded length of a hexadecimal string in bytes, or -1 if s
// is not hexadecimal.
func hexBytes(s string) int {
	b, err := hex.DecodeString(s)
	if err != nil {
		return -1
	}
	return len(b)
}

func (c *checker) routes() {
	seen := map[string]bool{}
	for i, r := range c.doc.Routes {
		at := func(f string) string { return path("routes", i, f) }
		c.Require(strings.HasPrefix(r.Path, "/"), at("path"), "want a path that begins with /")
		c.Require(len(r.Methods) > 0, at("methods"), "want at least one method")
		for j, m := range r.Methods {
			c.Require(slices.Contains(routeMethods, m), path("routes", i, "methods", j), "want one of %s", strings.Join(routeMethods, ", "))
			c.unique(seen, at("path"), m+" "+r.Path)
		}
		c.Require(r.CostTokens >= 0, at("cost_tokens"), "want 0 tokens or more")
		c.Require(r.DeadlineMS > 0, at("deadline_ms"), "want more than 0 ms")
	}
}

func (c *checker) deadlines() {
	d := c.doc.Deadlines
	for _, f := range []struct {
		name string
		ms   int64
	}{
		{"first_token_ms", d.FirstTokenMS}, {"between_ms", d.BetweenMS},
		{"request_ms", d.RequestMS}, {"progress_ms", d.ProgressMS},
	} {
		c.Require(f.ms > 0, path("deadlines", f.name), "want more than 0 ms")
	}
	c.Require(d.ProgressMS <= d.RequestMS, "deadlines/progress_ms", "want at most request_ms (%d)", d.RequestMS)
}

func (c *checker) loads() {
	l := c.doc.Loads
	c.Require(l.ModelsPerS > 0, "loads/models_per_s", "want more than 0 a second")
	c.Require(l.ModelsInFlight > 0, "loads/models_in_flight", "want more than 0")
	c.Require(l.AdaptersInFlight > 0, "loads/adapters_in_flight", "want more than 0")
}

// memory rejects a document whose models cannot all be resident at the same time.
func (c *checker) memory() {
	var total, largest, needed int64
	for _, u := range c.doc.Upstreams {
		total += u.MemoryMB
		largest = max(largest, u.MemoryMB)
	}
	for i, m := range c.doc.Models {
		c.Require(m.MemoryMB <= largest, path("models", i, "memory_mb"), "want at most %d MB, the largest upstream's memory", largest)
		needed += m.MemoryMB
	}
	c.Require(needed <= total, "models", "want at most %d MB together, the memory of all upstreams, got %d", total, needed)
}
