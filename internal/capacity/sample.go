package capacity

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
)

// Kinds of measurement windows of a run.
const (
	WindowIdle    = "idle"    // no changes and no load
	WindowChanges = "changes" // documents change
	WindowLoaded  = "loaded"  // engines receive load that bypasses the entry instances
)

// ErrSamples means that a directory of samples is incomplete or malformed.
var ErrSamples = errors.New("capacity: invalid samples")

// Site holds the samples of one window of one site.
type Site struct {
	Instances       int    `json:"nodes"`
	Zones           int    `json:"zones"`
	Engines         int    `json:"engines"`
	RemoteUpstreams int    `json:"far"` // known upstreams of another zone
	Organisations   int    `json:"organisations"`
	Window          string `json:"window"`
	Changes         int    `json:"changes"`
	DocumentBytes   int    `json:"document_bytes"`
	SettleS         int    `json:"settle_s"`

	Entries []InstanceSample // one for each instance
	Seconds float64          // mean length of the window
	// PlatformCalls holds the number of platform calls in the window, by
	// operation, and PlatformCallsBefore the number before the window.
	PlatformCalls, PlatformCallsBefore map[string]float64
	// PropagationDelays holds the times from the write of a change to its being
	// in force, one for each change and instance, in seconds.
	PropagationDelays []float64
}

// InstanceSample holds the costs of one instance in a window, per second, and, in
// the last four fields, its state at the end of the window.
type InstanceSample struct {
	CPU                         float64 // seconds
	PeerSent, PeerReceived      float64 // bytes
	PeerCalls                   float64 // calls begun
	EngineBytes, EngineCalls    float64
	PlatformBytes, ListReads    float64
	Resident, Heap, ListEntries float64
	Upstreams                   float64
}

// ReadSites reads the samples of all sites and windows below root.
func ReadSites(root fs.FS) ([]Site, error) {
	files, err := fs.Glob(root, "*/site.json")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSamples, err)
	}
	var sites []Site
	for _, f := range files {
		s, err := readSite(root, filepath.Dir(f))
		if err != nil {
			return nil, fmt.Errorf("%w: %s: %w", ErrSamples, filepath.Dir(f), err)
		}
		sites = append(sites, s)
	}
	if len(sites) == 0 {
		return nil, fmt.Errorf("%w: no site", ErrSamples)
	}
	return sites, nil
}

func readSite(root fs.FS, dir string) (s Site, err error) {
	if err := readJSON(root, dir+"/site.json", &s); err != nil {
		return s, err
	}
	for i := range s.Instances {
		start, err := readGauges(root, fmt.Sprintf("%s/entry-%d.start", dir, i))
		if err != nil {
			return s, err
		}
		end, err := readGauges(root, fmt.Sprintf("%s/entry-%d.end", dir, i))
		if err != nil {
			return s, err
		}
		seconds := end["uptime_seconds"] - start["uptime_seconds"]
		if seconds <= 0 {
			return s, fmt.Errorf("entry %d: window length of %g s is not positive", i, seconds)
		}
		s.Seconds += seconds / float64(s.Instances)
		s.Entries = append(s.Entries, newEntry(start, end, seconds))
	}
	if err := s.readCalls(root, dir); err != nil {
		return s, err
	}
	if s.Window == WindowChanges {
		s.PropagationDelays, err = readPropagationDelays(root, dir)
	}
	return s, err
}

func (s *Site) readCalls(root fs.FS, dir string) error {
	if err := readJSON(root, dir+"/calls.start", &s.PlatformCallsBefore); err != nil {
		return err
	}
	if err := readJSON(root, dir+"/calls.end", &s.PlatformCalls); err != nil {
		return err
	}
	for op, n := range s.PlatformCallsBefore {
		s.PlatformCalls[op] -= n
	}
	return nil
}

func newEntry(start, end map[string]float64, seconds float64) InstanceSample {
	rate := func(names ...string) (sum float64) {
		for _, n := range names {
			sum += (end[n] - start[n]) / seconds
		}
		return sum
	}
	return InstanceSample{
		CPU:           rate("cpu_seconds"),
		PeerSent:      rate("peer_sent_bytes"),
		PeerReceived:  rate("peer_received_bytes"),
		PeerCalls:     rate("peer_calls"),
		EngineBytes:   rate("engine_sent_bytes", "engine_received_bytes"),
		EngineCalls:   rate("engine_calls"),
		PlatformBytes: rate("platform_sent_bytes", "platform_received_bytes"),
		ListReads:     rate(`platform_calls{operation="instances"}`),
		Resident:      end["peak_resident_bytes"],
		Heap:          end["heap_bytes"],
		ListEntries:   end["instances"],
		Upstreams:     end["upstreams"],
	}
}

const gaugePrefix = "eelgrass_control_"

// readGauges reads gauges in the Prometheus text format. The keys are the names
// with their labels and without gaugePrefix.
func readGauges(root fs.FS, name string) (map[string]float64, error) {
	f, err := root.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	gauges := map[string]float64{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		gauge, text, ok := strings.Cut(strings.TrimPrefix(lines.Text(), gaugePrefix), " ")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("%s: %q is not a gauge", name, lines.Text())
		}
		gauges[gauge] = value
	}
	return gauges, lines.Err()
}

func readJSON(root fs.FS, name string, dest any) error {
	raw, err := fs.ReadFile(root, name)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, dest)
}

// mean returns the mean of value over the instances.
func (s Site) mean(value func(InstanceSample) float64) float64 {
	sum := 0.0
	for _, e := range s.Entries {
		sum += value(e)
	}
	return sum / float64(len(s.Entries))
}
