// Package gateway implements an entry instance, a reverse proxy for a fleet of
// upstreams that the platform lists. It accepts HTTP requests of callers,
// enforces the limits of organisations, picks an upstream for each request in
// coordination with the other entry instances, forwards the request and relays
// the answer. It reads its configuration and the list of upstreams from the
// platform's store or from peers, and exchanges its state with the peers.
package gateway

import (
	"log/slog"
	"math"
	"net"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlimit"
)

// Settings are the contents of an instance's settings file.
type Settings struct {
	Name string `json:"name"`
	Zone string `json:"zone"`

	Listen        string   `json:"listen"`         // for callers
	ReadyListen   string   `json:"ready_listen"`   // for the load balancer
	ReadyPath     string   `json:"ready_path"`     // answers 200 while the instance accepts requests
	PeerListen    string   `json:"peer_listen"`    // for other instances
	MetricsListen string   `json:"metrics_listen"` // empty for none
	Peers         []string `json:"peers"`          // addresses of peers to contact first; may be outdated

	Store     StoreSettings     `json:"store"`
	Limits    LimitSettings     `json:"limits"`
	Stop      StopSettings      `json:"stop"`
	Retry     RetrySettings     `json:"retry"`
	Placement PlacementSettings `json:"placement"`
	Log       LogSettings       `json:"log"`
	Memory    MemorySettings    `json:"memory"`
	Machine   MachineSettings   `json:"machine"`
	Cold      ColdSettings      `json:"cold"`
	Queue     QueueSettings     `json:"queue"`
	Engines   EngineSettings    `json:"engines"`

	Quarantine crashwatch.Settings `json:"quarantine"`
	Evacuation EvacuationSettings  `json:"evacuation"`
	// Zones is the region of each availability zone.
	Zones map[string]string `json:"zones"`

	// Permits is whether requests to plain services with few slots need a permit of the
	// service's arbiter.
	Permits bool `json:"permits"`
}

// StoreSettings configure the connection to the platform's store.
type StoreSettings struct {
	Address string `json:"address"`
	// WatchWait is how long a watch request without events stays open.
	WatchWait settings.Duration `json:"watch_wait"`
}

// LimitSettings configure the limits on callers.
type LimitSettings struct {
	// Window is the period over which an organisation's rate and burst are
	// enforced.
	Window        settings.Duration `json:"window"`
	HeaderTimeout settings.Duration `json:"header_timeout"`
	IdleTimeout   settings.Duration `json:"idle_timeout"`
}

// StopSettings configure the graceful shutdown.
type StopSettings struct {
	// Grace is how long the process may run after SIGTERM.
	Grace settings.Duration `json:"grace"`
}

// RetrySettings configure the budget of retries to one service, shared by all
// instances. In each window, the number of retries may be FixedPerWindow plus Ratio
// times the number of requests.
type RetrySettings struct {
	Ratio          float64           `json:"ratio"` // retries per request in a window
	FixedPerWindow float64           `json:"slack"` // fixed number of additional retries in a window
	Window         settings.Duration `json:"window"`
}

// PlacementSettings configure the placement of models on engines.
type PlacementSettings struct {
	LeaseDuration settings.Duration `json:"term"` // duration of the placement lease
	// LoadWindow is the window in which the platform counts loads from the
	// weight store.
	LoadWindow settings.Duration `json:"load_window"`
}

// EngineSettings configure by what requests are placed at upstreams. Both are off unless set.
type EngineSettings struct {
	// FleetEstimates uses what all instances measure of upstreams, not this instance alone.
	FleetEstimates bool `json:"fleet_estimates"`
	// CountMemory places requests by the memory of engines too, not by their slots alone.
	CountMemory bool `json:"count_memory"`
}

// QueueSettings configure the order of waiting requests.
type QueueSettings struct {
	// Order is "due" or "priority": whether requests to engines are ordered by the time by which
	// they are due where a route with a longer objective has a more urgent priority than
	// another one of its service, or always by priority.
	Order string `json:"order"`
}

// The values of QueueSettings.Order.
const (
	orderDue      = "due"
	orderPriority = "priority"
)

// LogSettings configure the level and volume of the log.
type LogSettings struct {
	Level string `json:"level"`
	// RequestsPerS limits the log lines of successful requests, in lines per
	// second, and apart from them those of requests refused for what their callers sent.
	// Lines of other failed requests are always written.
	RequestsPerS float64 `json:"requests_per_s"`
}

// MemorySettings limit the memory of the process.
type MemorySettings struct {
	LimitMB int `json:"limit_mb"` // 0 for no limit
}

// MachineSettings describe the machine. Instances on larger machines relay what the
// others need to know.
type MachineSettings struct {
	LinkMbps float64 `json:"link_mbps"` // bandwidth of the network link in Mbit/s, 0 if unknown
	Cores    float64 `json:"cores"`     // share of the processor in cores, 0 if unknown
}

// capacity returns the capacity that the instance tells its peers: Mbit/s times cores,
// 0 if either is unknown.
func (m *MachineSettings) capacity() uint32 {
	return uint32(min(math.Ceil(m.LinkMbps*m.Cores), math.MaxUint32))
}

// DefaultSettings returns the values of the settings that a file may omit.
func DefaultSettings() *Settings {
	return &Settings{
		ReadyPath: "/readyz", Permits: true,
		Store: StoreSettings{WatchWait: settings.Duration(4 * time.Second)},
		Limits: LimitSettings{
			Window: settings.Duration(8 * time.Second), HeaderTimeout: settings.Duration(10 * time.Second), IdleTimeout: settings.Duration(2 * time.Minute),
		},
		Stop:      StopSettings{Grace: settings.Duration(8 * time.Second)},
		Retry:     RetrySettings{Ratio: 0.2, FixedPerWindow: 20, Window: settings.Duration(10 * time.Second)},
		Placement: PlacementSettings{LeaseDuration: settings.Duration(3 * time.Second), LoadWindow: settings.Duration(5 * time.Second)},
		Queue:     QueueSettings{Order: orderPriority},
		Log:       LogSettings{Level: "info", RequestsPerS: 50},
		Cold:      ColdSettings{Overage: upstreamlimit.DefaultColdBounds.Overage, Slack: upstreamlimit.DefaultColdBounds.Slack},
	}
}

// Check validates the settings. It implements settings.Checker.
func (s *Settings) Check(src *settings.Source) error {
	c := settings.NewChecks(src)
	c.Require(s.Name != "", "name", "is required")
	c.Require(s.Zone != "", "zone", "is required")
	c.Require(isAddress(s.Listen), "listen", "must be IP:port")
	c.Require(isAddress(s.ReadyListen), "ready_listen", "must be IP:port")
	c.Require(isAddress(s.PeerListen), "peer_listen", "must be IP:port")
	c.Require(s.MetricsListen == "" || isAddress(s.MetricsListen), "metrics_listen", "must be IP:port or empty")
	c.Require(!slices.ContainsFunc(s.Peers, func(a string) bool { return !isAddress(a) }), "peers", "must be a list of IP:port")
	c.Require(isAddress(s.Store.Address), "store.address", "must be IP:port")
	c.Require(s.Store.WatchWait.Std() >= time.Second, "store.watch_wait", "must be 1s or more")
	c.Require(s.Limits.Window.Std() > 0, "limits.window", "must be above 0")
	c.Require(s.Stop.Grace.Std() >= time.Second, "stop.grace", "must be 1s or more")
	c.Require(s.Retry.Ratio >= 0 && s.Retry.Ratio <= 1, "retry.ratio", "must be within 0 and 1")
	c.Require(s.Retry.FixedPerWindow >= 0, "retry.slack", "must be 0 or more")
	c.Require(s.Retry.Window.Std() > 0, "retry.window", "must be above 0")
	c.Require(s.Placement.LeaseDuration.Std() >= time.Second, "placement.term", "must be 1s or more")
	c.Require(s.Placement.LoadWindow.Std() > 0, "placement.load_window", "must be above 0")
	var level slog.Level
	c.Require(level.UnmarshalText([]byte(s.Log.Level)) == nil, "log.level", "must be debug, info, warn or error")
	c.Require(s.Log.RequestsPerS >= 0, "log.requests_per_s", "must be 0 or more")
	c.Require(s.Memory.LimitMB >= 0, "memory.limit_mb", "must be 0 or more")
	c.Require(s.Machine.LinkMbps >= 0, "machine.link_mbps", "must be 0 or more")
	c.Require(s.Machine.Cores >= 0, "machine.cores", "must be 0 or more")
	c.Require(s.Evacuation.Within.Std() >= 0, "evacuation.within", "must be 0 or more")
	c.Require(s.Queue.Order == orderDue || s.Queue.Order == orderPriority, "queue.order", "must be due or priority")
	c.Require(s.Cold.Overage >= 0, "cold.overage", "must be 0 or more")
	c.Require(s.Cold.Slack >= 0, "cold.slack", "must be 0 or more")
	s.Quarantine.Check(c, "quarantine.exempt")
	return c.Err()
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
