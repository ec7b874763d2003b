// Package standin runs stand-ins (test doubles) for the services that the system
// depends on: the platform's object API and instance list, the weight store,
// model engines and plain services. One process runs any combination of them,
// each on its own address. Its input is a settings file; it reports errors of
// the file as ErrConfig.
package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/settings"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/objectapi"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/weights"
)

// Config configures the stand-ins of one process. Addresses are IP:port.
type Config struct {
	StopTimeoutMS int64          `json:"stop_timeout_ms"` // timeout of the graceful shutdown
	InstanceList  string         `json:"instance_list"`   // base URL of the instance list to register with
	ObjectAPI     *ObjectAPI     `json:"object_api"`
	WeightStore   *WeightStore   `json:"weight_store"`
	EngineTiming  Timing         `json:"engine_timing"` // default for engines that set no timing
	Engines       []Engine       `json:"engines"`
	PlainServices []PlainService `json:"plain_services"`
}

// ObjectAPI configures the object API and the instance list.
type ObjectAPI struct {
	Address       string `json:"address"`
	WatchWaitMS   int64  `json:"watch_wait_ms"`
	InstanceLagMS int64  `json:"instance_lag_ms"`
}

// WeightStore configures the weight store.
type WeightStore struct {
	Address         string  `json:"address"`
	LoadsPerSecond  float64 `json:"loads_per_second"`
	InFlight        int     `json:"in_flight"`
	LoadMS          float64 `json:"load_ms"`
	AdapterInFlight int     `json:"adapter_in_flight"`
	AdapterMinMS    float64 `json:"adapter_min_ms"`
	AdapterMaxMS    float64 `json:"adapter_max_ms"`
}

// Engine configures one model engine.
type Engine struct {
	Name               string          `json:"name"`
	Zone               string          `json:"zone"`
	Address            string          `json:"address"`
	MemoryMB           int64           `json:"memory_mb"`
	Fencing            bool            `json:"fencing"`
	RefuseOvercommit   bool            `json:"refuse_overcommit"`
	WeightStore        string          `json:"weight_store"` // base URL; empty to load without a weight store
	CancelOnDisconnect bool            `json:"cancel_on_disconnect"`
	RetainAttempts     int             `json:"retain_attempts"`
	Timing             *Timing         `json:"timing"`
	Resident           []ResidentModel `json:"resident"`
}

// ResidentModel is a model that is resident when the engine starts.
type ResidentModel struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	MemoryMB int64  `json:"memory_mb"`
}

// Timing holds the capacities and durations of an engine. A zero value stands
// for the default, where there is one.
type Timing struct {
	MaxBatch           int     `json:"max_batch"`
	MaxQueue           int     `json:"max_queue"`
	KVTokens           int64   `json:"kv_tokens"`
	CacheTokens        int     `json:"cache_tokens"`
	PrefillChunkTokens int     `json:"prefill_chunk_tokens"`
	PrefillTokenMS     float64 `json:"prefill_token_ms"`
	CachedTokenMS      float64 `json:"cached_token_ms"`
	DecodeMS           float64 `json:"decode_ms"`
	DecodePerRequestMS float64 `json:"decode_per_request_ms"`
	LoadMS             float64 `json:"load_ms"`
	UnloadMS           float64 `json:"unload_ms"`
	AdapterMS          float64 `json:"adapter_ms"`
	KVTransferTokenMS  float64 `json:"kv_transfer_token_ms"`
	OutputTokens       int     `json:"output_tokens"` // mean answer length; 0 to generate max_tokens always
	ReportLagMS        float64 `json:"report_lag_ms"`
	CacheEventDelayMS  float64 `json:"cache_event_delay_ms"`
	CacheEventGap      int     `json:"cache_event_gap"`
}

// PlainService configures one plain service.
type PlainService struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Address string  `json:"address"`
	WorkMS  float64 `json:"work_ms"`
}

// Defaults of the settings.
const (
	defaultStopTimeout        = 5 * time.Second
	defaultMaxBatch           = 16
	defaultMaxQueue           = 64
	defaultKVTokens           = 65536
	defaultCacheTokens        = 16384
	defaultPrefillChunkTokens = 512
	defaultPrefillTokenMS     = 0.1
	defaultCachedTokenMS      = 0.002
	defaultDecodeMS           = 5
	defaultDecodePerRequestMS = 0.3
)

// ErrConfig is wrapped by every error that LoadConfig returns.
var ErrConfig = errors.New("standin: settings")

// LoadConfig reads, decodes and validates a settings file.
func LoadConfig(file string) (Config, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	var c Config
	if err := settings.Decode(file, src, &c); err != nil {
		return Config{}, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	if err := c.validate(); err != nil {
		return Config{}, fmt.Errorf("%w: %s: %w", ErrConfig, file, err)
	}
	return c, nil
}

// validate returns the errors of a configuration that cannot be run.
func (c Config) validate() error {
	var errs []error
	fieldByAddress := map[string]string{}
	checkAddress := func(field, addr string) {
		ip, _, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(ip) == nil {
			errs = append(errs, fmt.Errorf("%s: %q is not IP:port", field, addr))
			return
		}
		if other, ok := fieldByAddress[addr]; ok && !usesEphemeralPort(addr) {
			errs = append(errs, fmt.Errorf("%s: %s is already taken by %s", field, addr, other))
		}
		fieldByAddress[addr] = field
	}
	if c.ObjectAPI != nil {
		checkAddress("object_api.address", c.ObjectAPI.Address)
	}
	if c.WeightStore != nil {
		checkAddress("weight_store.address", c.WeightStore.Address)
	}
	for i, e := range c.Engines {
		field := fmt.Sprintf("engines[%d]", i)
		checkAddress(field+".address", e.Address)
		if e.Name == "" {
			errs = append(errs, fmt.Errorf("%s.name: is empty", field))
		}
		if e.MemoryMB <= 0 {
			errs = append(errs, fmt.Errorf("%s.memory_mb: %d is not positive", field, e.MemoryMB))
		}
	}
	for i, p := range c.PlainServices {
		field := fmt.Sprintf("plain_services[%d]", i)
		checkAddress(field+".address", p.Address)
		if p.Name == "" {
			errs = append(errs, fmt.Errorf("%s.name: is empty", field))
		}
	}
	if len(fieldByAddress) == 0 && len(errs) == 0 {
		errs = append(errs, errors.New("no stand-in is configured"))
	}
	return errors.Join(errs...)
}

// usesEphemeralPort reports whether the operating system picks the port of an
// address (port 0).
func usesEphemeralPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}

// millis converts milliseconds to a Duration.
func millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// orDefault returns v, or def if v is zero.
func orDefault[T int | int64 | float64](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

func (c Config) stopTimeout() time.Duration {
	if c.StopTimeoutMS <= 0 {
		return defaultStopTimeout
	}
	return time.Duration(c.StopTimeoutMS) * time.Millisecond
}

func (o ObjectAPI) options() objectapi.Options {
	return objectapi.Options{
		WatchWait:   time.Duration(o.WatchWaitMS) * time.Millisecond,
		InstanceLag: time.Duration(o.InstanceLagMS) * time.Millisecond,
	}
}

func (w WeightStore) options() weights.Options {
	return weights.Options{
		LoadsPerSecond:  w.LoadsPerSecond,
		InFlight:        w.InFlight,
		LoadTime:        millis(w.LoadMS),
		AdapterInFlight: w.AdapterInFlight,
		AdapterMin:      millis(w.AdapterMinMS),
		AdapterMax:      millis(w.AdapterMaxMS),
	}
}

func (e Engine) options(defaults Timing) modelengine.Options {
	t := defaults
	if e.Timing != nil {
		t = *e.Timing
	}
	opts := modelengine.Options{
		Name:               e.Name,
		Zone:               e.Zone,
		Emulator:           t.emulatorSettings(),
		WeightsURL:         e.WeightStore,
		LoadTime:           millis(t.LoadMS),
		AdapterLoadTime:    millis(t.AdapterMS),
		KVTransferPerToken: millis(t.KVTransferTokenMS),
		ReportLag:          millis(t.ReportLagMS),
		CacheEventDelay:    millis(t.CacheEventDelayMS),
		CacheEventGap:      t.CacheEventGap,
		CancelOnDisconnect: e.CancelOnDisconnect,
		MaxEndedAttempts:   e.RetainAttempts,
	}
	opts.Emulator.MemoryMB = e.MemoryMB
	opts.Emulator.Fencing = e.Fencing
	opts.Emulator.RefuseOvercommit = e.RefuseOvercommit
	for _, r := range e.Resident {
		opts.Resident = append(opts.Resident, modelengine.InitialModel(r))
	}
	return opts
}

func (t Timing) emulatorSettings() emulator.Settings {
	return emulator.Settings{
		KVTokens:           orDefault(t.KVTokens, defaultKVTokens),
		CacheTokens:        orDefault(t.CacheTokens, defaultCacheTokens),
		MaxBatch:           orDefault(t.MaxBatch, defaultMaxBatch),
		MaxQueue:           orDefault(t.MaxQueue, defaultMaxQueue),
		PrefillChunkTokens: orDefault(t.PrefillChunkTokens, defaultPrefillChunkTokens),
		PrefillPerToken:    millis(orDefault(t.PrefillTokenMS, defaultPrefillTokenMS)),
		CachedPerToken:     millis(orDefault(t.CachedTokenMS, defaultCachedTokenMS)),
		DecodeBase:         millis(orDefault(t.DecodeMS, defaultDecodeMS)),
		DecodePerRequest:   millis(orDefault(t.DecodePerRequestMS, defaultDecodePerRequestMS)),
		UnloadTime:         millis(t.UnloadMS),
		OutputTokens:       t.OutputTokens,
	}
}

func (p PlainService) options() plain.Options {
	return plain.Options{Name: p.Name, Zone: p.Zone, WorkTime: millis(p.WorkMS)}
}
