// Package capacity estimates the cost of the control plane at a planned size. It
// reads samples of instances that ran at several smaller sizes and the output of
// Go benchmarks, fits slopes to the samples and multiplies them by the planned
// size. The output is a Markdown report that compares the costs with their
// bounds.
package capacity

import "github.com/eelgrassbay/eelgrassbay/internal/settings"

// Plan is the planned size, to which the costs are extrapolated.
type Plan struct {
	Instances       float64 `json:"nodes"`
	Zones           float64 `json:"zones"`
	Servers         float64 `json:"servers"`
	Models          float64 `json:"models"`
	ModelsPerServer float64 `json:"models_per_server"`
	Organisations   float64 `json:"organisations"`
	RequestsPerS    float64 `json:"requests_per_s"`
	TokensPerS      float64 `json:"tokens_per_s"`
	NonIdempotent   float64 `json:"non_idempotent_percent"`
	ChangesPerDay   float64 `json:"changes_per_day"`
	DocumentBytes   float64 `json:"document_bytes"`
	FailedPerDay    float64 `json:"failed_per_day"`
	ReplacedPerDay  float64 `json:"replaced_per_day"`
	Bounds          Bounds  `json:"bounds"`
}

// Bounds are the upper bounds on the cost of the control plane.
type Bounds struct {
	CorePercent     float64 `json:"core_percent"`
	MemoryMB        float64 `json:"memory_mb"`
	BytesPerS       float64 `json:"bytes_per_s"`
	ChangeS         float64 `json:"change_s"`
	PlatformWritesS float64 `json:"platform_writes_per_s"`
	PlatformReadsS  float64 `json:"platform_reads_per_s"`
}

const secondsPerDay = 86400

// ReadPlan reads and checks a plan from a HuJSON file.
func ReadPlan(file string) (*Plan, error) {
	p := &Plan{}
	if err := settings.Load(file, p); err != nil {
		return nil, err
	}
	return p, nil
}

// Check implements settings.Checker.
func (p *Plan) Check(src *settings.Source) error {
	c := settings.NewChecks(src)
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"nodes", p.Instances}, {"zones", p.Zones}, {"servers", p.Servers}, {"models", p.Models},
		{"models_per_server", p.ModelsPerServer}, {"organisations", p.Organisations},
		{"changes_per_day", p.ChangesPerDay}, {"document_bytes", p.DocumentBytes},
		{"bounds/core_percent", p.Bounds.CorePercent}, {"bounds/memory_mb", p.Bounds.MemoryMB},
		{"bounds/bytes_per_s", p.Bounds.BytesPerS}, {"bounds/change_s", p.Bounds.ChangeS},
		{"bounds/platform_writes_per_s", p.Bounds.PlatformWritesS},
		{"bounds/platform_reads_per_s", p.Bounds.PlatformReadsS},
	} {
		c.Require(f.value > 0, f.name, "want more than 0")
	}
	return c.Err()
}

// instancesPerZone returns the number of entry instances of one zone.
func (p *Plan) instancesPerZone() float64 { return p.Instances / p.Zones }

// enginesPerZone returns the number of model servers of one zone.
func (p *Plan) enginesPerZone() float64 { return p.Servers / p.Zones }

// listEntries returns the number of entries of the instance list.
func (p *Plan) listEntries() float64 { return p.Instances + p.Servers }

// changesPerS returns the mean number of changes of documents per second.
func (p *Plan) changesPerS() float64 { return p.ChangesPerDay / secondsPerDay }
