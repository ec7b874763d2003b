package entry

import (
	"net/netip"
	"net/url"
	"regexp"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Settings of one entry instance. Durations are strings such as "250ms".
type Settings struct {
	// Name is unique among instances.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Listen is the address for callers, as IP:port; Advertise, if set, is
	// the one that the instance list shows.
	Listen    string `json:"listen"`
	Advertise string `json:"advertise"`
	// PeerListen and PeerAdvertise are the same for other instances.
	PeerListen    string `json:"peer_listen"`
	PeerAdvertise string `json:"peer_advertise"`
	// Peers are addresses to ask before the instance list is known.
	Peers    []string         `json:"peers"`
	Platform PlatformSettings `json:"platform"`
	Requests RequestSettings  `json:"requests"`
	Limits   LimitSettings    `json:"limits"`
	Record   RecordSettings   `json:"record"`
	Stop     StopSettings     `json:"stop"`
	Log      LogSettings      `json:"log"`
	TLS      TLSSettings      `json:"tls"`
}

// PlatformSettings name the platform's service.
type PlatformSettings struct {
	URL     string            `json:"url"`
	Timeout settings.Duration `json:"timeout"` // of one call
	// WatchTimeout bounds a waiting watch; it is longer than the platform's
	// own wait.
	WatchTimeout settings.Duration `json:"watch_timeout"`
}

// RequestSettings bound what callers send.
type RequestSettings struct {
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BytesPerToken estimates the tokens of a prompt before it runs. The
	// engine's count corrects the charge afterwards: what was charged too much
	// is refunded, what was charged too little is owed.
	BytesPerToken int64 `json:"bytes_per_token"`
	MaxConcurrent int   `json:"max_concurrent"`
}

// LimitSettings set the leases of shares of organisations' limits. They must be
// the same in all instances of the fleet.
type LimitSettings struct {
	// BaseTerm is how long an instance cut off from everything keeps its base
	// share, and how long the one of a crashed instance stays unused.
	BaseTerm settings.Duration `json:"base_term"`
	// ExtraTerm is the lease of shares that follow demand.
	ExtraTerm settings.Duration `json:"extra_term"`
	// BasePercent is the part of a zone's share of the rate that is given out
	// as base shares, and so the part that works while the platform is away.
	BasePercent int64 `json:"base_percent"`
}

// options returns the options of the limits.
func (s LimitSettings) options() limit.Options {
	base := limit.DefaultBase
	base.RatePPM = s.BasePercent * limit.PPM / 100
	return limit.Options{BaseTerm: s.BaseTerm.Std(), ExtraTerm: s.ExtraTerm.Std(), Base: base}
}

// StopSettings set how a planned stop goes.
type StopSettings struct {
	// LameDuck is how long new requests are still taken, while the balancer
	// learns that the instance is leaving.
	LameDuck settings.Duration `json:"lame_duck"`
	// Drain bounds how long requests may run on after that.
	Drain settings.Duration `json:"drain"`
}

// LogSettings choose the log's level and form.
type LogSettings struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // json or text
}

// TLSSettings name PEM files. Both sections are optional; files are read again
// when they change.
type TLSSettings struct {
	// Callers serves HTTPS with Cert and Key.
	Callers CertSettings `json:"callers"`
	// Peers asks both sides for a certificate signed by CA.
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

// DefaultSettings returns the settings of fields that a file leaves out.
func DefaultSettings() *Settings {
	return &Settings{
		Platform: PlatformSettings{
			Timeout:      settings.Duration(2 * time.Second),
			WatchTimeout: settings.Duration(15 * time.Second),
		},
		Requests: RequestSettings{MaxBodyBytes: 1 << 20, BytesPerToken: 2, MaxConcurrent: 4096},
		Limits: LimitSettings{
			BaseTerm:    settings.Duration(limit.DefaultBaseTerm),
			ExtraTerm:   settings.Duration(limit.DefaultExtraTerm),
			BasePercent: limit.DefaultBase.RatePPM * 100 / limit.PPM,
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

// Check implements settings.Checker.
func (s *Settings) Check(src *settings.Source) error {
	c := settings.NewChecks(src)
	c.Want(namePattern.MatchString(s.Name), "name", "want 1 to 63 of a-z, 0-9, dot and dash")
	c.Want(namePattern.MatchString(s.Zone), "zone", "want 1 to 63 of a-z, 0-9, dot and dash")
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
	c.Want(err == nil && u.Scheme != "" && u.Host != "", "platform/url", "want a URL such as \"http://127.0.0.1:7100\"")
	c.Want(s.Platform.Timeout > 0, "platform/timeout", "want more than 0")
	c.Want(s.Platform.WatchTimeout > 0, "platform/watch_timeout", "want more than 0")
	c.Want(s.Requests.MaxBodyBytes > 0, "requests/max_body_bytes", "want more than 0 bytes")
	c.Want(s.Requests.BytesPerToken > 0, "requests/bytes_per_token", "want more than 0 bytes")
	c.Want(s.Requests.MaxConcurrent > 0, "requests/max_concurrent", "want more than 0")
	s.Limits.check(c)
	s.Record.check(c, s.Log)
	c.Want(s.Stop.LameDuck >= 0, "stop/lame_duck", "want 0 or more")
	c.Want(s.Stop.Drain > 0, "stop/drain", "want more than 0")
	s.Log.check(c)
	s.TLS.Callers.check(c, "tls/callers", false)
	s.TLS.Peers.check(c, "tls/peers", true)
	return c.Err()
}

// maxBasePercent leaves room for the reserve and for shares that follow demand.
const maxBasePercent = 70

func (l LimitSettings) check(c *settings.Checks) {
	c.Want(l.ExtraTerm > 0, "limits/extra_term", "want more than 0")
	c.Want(l.BaseTerm >= l.ExtraTerm, "limits/base_term", "want at least extra_term (%s)", l.ExtraTerm)
	c.Want(l.BasePercent > 0 && l.BasePercent <= maxBasePercent, "limits/base_percent", "want 1 to %d", maxBasePercent)
}

func checkAddress(c *settings.Checks, field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.Want(err == nil, field, "want IP:port, got %q", value)
}

func (l LogSettings) check(c *settings.Checks) {
	_, err := parseLevel(l.Level)
	c.Want(err == nil, "log/level", "want debug, info, warn or error, got %q", l.Level)
	c.Want(l.Format == "json" || l.Format == "text", "log/format", "want json or text, got %q", l.Format)
}

func (s CertSettings) check(c *settings.Checks, field string, needCA bool) {
	c.Want((s.Cert == "") == (s.Key == ""), field+"/key", "want cert and key together")
	c.Want(!needCA || (s.Cert == "") == (s.CA == ""), field+"/ca", "want the CA that signs the peers' certificates")
}
