package entry

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Settings are the settings of one entry instance. Durations are strings such as
// "250ms".
type Settings struct {
	// Name is unique among instances.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Listen is the IP:port on which the instance accepts callers. Advertise, if
	// set, is the address published in the instance list instead.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// PeerListen and PeerAdvertise are the same for connections from other
	// instances.
	PeerListen    string `json:"peer_listen"`
	PeerAdvertise string `json:"peer_advertise"`
	// Peers are the addresses of instances to contact before the instance list
	// is known.
	Peers    []string         `json:"peers"`
	Platform PlatformSettings `json:"platform"`
	Requests RequestSettings  `json:"requests"`
	Limits   LimitSettings    `json:"limits"`
	Record   RecordSettings   `json:"record"`
	Stop     StopSettings     `json:"stop"`
	Log      LogSettings      `json:"log"`
	Memory   MemorySettings   `json:"memory"`
	TLS      TLSSettings      `json:"tls"`
	// Quarantine changes what is held back because upstreams crash under it.
	Quarantine crashwatch.Settings `json:"quarantine"`
}

// PlatformSettings configure the client of the platform.
type PlatformSettings struct {
	URL     string            `json:"url"`
	Timeout settings.Duration `json:"timeout"` // of one call
	// WatchTimeout bounds one watch call. It is longer than the time for which
	// the platform holds a watch open.
	WatchTimeout settings.Duration `json:"watch_timeout"`
}

// MemorySettings limit the memory of the process.
type MemorySettings struct {
	LimitMB int `json:"limit_mb"` // 0 for no limit
}

// RequestSettings limit and estimate the requests of callers.
type RequestSettings struct {
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BytesPerToken is used to estimate the tokens of a prompt before it runs.
	// The engine's count corrects the charge afterwards: an excess is refunded, a
	// shortfall is charged as a debt.
	BytesPerToken int64 `json:"bytes_per_token"`
	MaxConcurrent int   `json:"max_concurrent"`
}

// LimitSettings configure the leases on shares of organisations' limits. They
// must be the same in all instances.
type LimitSettings struct {
	// BaseLeaseDuration is the lease duration of base shares: an isolated
	// instance keeps its base share this long, and that of a crashed instance
	// stays unused as long.
	BaseLeaseDuration settings.Duration `json:"base_term"`
	// ExtraLeaseDuration is the lease duration of extra shares, which follow
	// demand.
	ExtraLeaseDuration settings.Duration `json:"extra_term"`
	// BasePercent is the percentage of a zone's share of the rate that is
	// granted as base shares, and so stays usable while the platform is
	// unreachable.
	BasePercent int64 `json:"base_percent"`
}

// options converts the settings to limit.Options.
func (s LimitSettings) options() limit.Options {
	base := limit.DefaultBaseFraction
	base.RatePPM = s.BasePercent * limit.PPM / 100
	return limit.Options{BaseTerm: s.BaseLeaseDuration.Std(), ExtraTerm: s.ExtraLeaseDuration.Std(), BaseFraction: base}
}

// StopSettings configure a graceful stop.
type StopSettings struct {
	// LameDuck is how long new requests are still accepted, so that the load
	// balancer can notice that the instance is leaving.
	LameDuck settings.Duration `json:"lame_duck"`
	// Drain bounds how long active requests may continue after that.
	Drain settings.Duration `json:"drain"`
}

// LogSettings select the level and the format of the log.
type LogSettings struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // json or text
}

// TLSSettings name PEM files. Both sections are optional. Files are reloaded when
// they change.
type TLSSettings struct {
	// Callers enables HTTPS for callers with Cert and Key.
	Callers CertSettings `json:"callers"`
	// Peers enables mutual TLS between instances: both sides must present a
	// certificate signed by CA.
	Peers CertSettings `json:"peers"`
}

// CertSettings name the files of one certificate.
type CertSettings struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Enabled reports whether a certificate is named.
func (c CertSettings) Enabled() bool { return c.Cert != "" }

// DefaultSettings returns the values of settings that a file does not set.
func DefaultSettings() *Settings {
	return &Settings{
		Platform: PlatformSettings{
			Timeout:      settings.Duration(2 * time.Second),
			WatchTimeout: settings.Duration(15 * time.Second),
		},
		Requests: RequestSettings{MaxBodyBytes: 1 << 20, BytesPerToken: 2, MaxConcurrent: 4096},
		Limits: LimitSettings{
			BaseLeaseDuration:  settings.Duration(limit.DefaultBaseTerm),
			ExtraLeaseDuration: settings.Duration(limit.DefaultExtraTerm),
			BasePercent:        limit.DefaultBaseFraction.RatePPM * 100 / limit.PPM,
		},
		Record: defaultRecord,
		Stop: StopSettings{
			LameDuck: settings.Duration(3 * time.Second),
			Drain:    settings.Duration(2 * time.Minute),
		},
		Log: LogSettings{Level: "info", Format: "json"},
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Check implements settings.Checker. It returns an error that lists the invalid
// settings.
func (s *Settings) Check(src *settings.Source) error {
	c := settings.NewChecks(src)
	c.Require(namePattern.MatchString(s.Name), "name", "want 1 to 63 characters of a-z, 0-9, dot and dash, starting with a letter or digit")
	c.Require(namePattern.MatchString(s.Zone), "zone", "want 1 to 63 characters of a-z, 0-9, dot and dash, starting with a letter or digit")
	checkAddress(c, "listen", s.Listen)
	checkAddress(c, "peer_listen", s.PeerListen)
	for _, f := range []struct{ name, value string }{{"advertise", s.Advertise}, {"peer_advertise", s.PeerAdvertise}} {
		if f.value != "" {
			checkAddress(c, f.name, f.value)
		}
	}
	for _, p := range s.Peers {
		checkAddress(c, "peers", p)
	}
	u, err := url.Parse(s.Platform.URL)
	c.Require(err == nil && u.Scheme != "" && u.Host != "", "platform/url", "want a URL such as \"http://127.0.0.1:7100\"")
	c.Require(s.Platform.Timeout > 0, "platform/timeout", "want more than 0")
	c.Require(s.Platform.WatchTimeout > 0, "platform/watch_timeout", "want more than 0")
	c.Require(s.Requests.MaxBodyBytes > 0, "requests/max_body_bytes", "want more than 0 bytes")
	c.Require(s.Requests.BytesPerToken > 0, "requests/bytes_per_token", "want more than 0 bytes")
	c.Require(s.Requests.MaxConcurrent > 0, "requests/max_concurrent", "want more than 0")
	c.Require(s.Memory.LimitMB >= 0, "memory/limit_mb", "want 0 or more")
	s.Limits.check(c)
	s.Record.check(c, s.Log)
	c.Require(s.Stop.LameDuck >= 0, "stop/lame_duck", "want 0 or more")
	c.Require(s.Stop.Drain > 0, "stop/drain", "want more than 0")
	s.Log.check(c)
	s.TLS.Callers.check(c, "tls/callers", false)
	s.TLS.Peers.check(c, "tls/peers", true)
	s.Quarantine.Check(c, "quarantine/exempt")
	return c.Err()
}

// maxBasePercent is the upper bound of BasePercent, so that rate is left for the
// reserve and for extra shares.
const maxBasePercent = 70

func (l LimitSettings) check(c *settings.Checks) {
	c.Require(l.ExtraLeaseDuration > 0, "limits/extra_term", "want more than 0")
	c.Require(l.BaseLeaseDuration >= l.ExtraLeaseDuration, "limits/base_term", "want at least extra_term (%s)", l.ExtraLeaseDuration)
	c.Require(l.BasePercent > 0 && l.BasePercent <= maxBasePercent, "limits/base_percent", "want 1 to %d", maxBasePercent)
}

func checkAddress(c *settings.Checks, field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.Require(err == nil, field, "want IP:port, got %q", value)
}

func (l LogSettings) check(c *settings.Checks) {
	_, err := parseLevel(l.Level)
	c.Require(err == nil, "log/level", "want debug, info, warn or error, got %q", l.Level)
	c.Require(l.Format == "json" || l.Format == "text", "log/format", "want json or text, got %q", l.Format)
}

func (s CertSettings) check(c *settings.Checks, field string, needCA bool) {
	c.Require((s.Cert == "") == (s.Key == ""), field+"/key", "want cert and key together")
	c.Require(!needCA || (s.Cert == "") == (s.CA == ""), field+"/ca", "want the CA that signs the peers' certificates")
}
