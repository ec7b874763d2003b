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

// Windows of a run.
const (
	WindowIdle    = "idle"    // nothing happens
	WindowChanges = "changes" // documents change
	WindowLoaded  = "loaded"  // engines are loaded, past the entry instances
)

// ErrSamples means that a directory of samples is not as expected.
var ErrSamples = errors.New("capacity: samples")

// Site is one window of one site.
type Site struct {
	Nodes         int    `json:"nodes"`
	Zones         int    `json:"zones"`
	Engines       int    `json:"engines"`
	Far           int    `json:"far"` // upstreams known in another zone
	Organisations int    `json:"organisations"`
	Window        string `json:"window"`
	Changes       int    `json:"changes"`
	DocumentBytes int    `json:"document_bytes"`
	SettleS       int    `json:"settle_s"`

	Entries []Entry // one for each instance
	Seconds float64 // mean length of the window
	// Calls counts what the platform saw in the window, by operation, and
	// Before what it saw before.
	Calls, Before map[string]float64
	// Arrivals are the times from a change's write to its being in force, one
	// for each change and instance, in seconds.
	Arrivals []float64
}

// Entry is what one instance spent in a window, per second. The last four say
// what it held at the end.
type Entry struct {
	CPU                      float64 // seconds
	PeerSent, PeerReceived   float64 // bytes
	PeerCalls                float64 // begun
	EngineBytes, EngineCalls float64
	PlatformBytes, ListReads float64
	Resident, Heap, Listed   float64
	Upstreams                float64
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
		return nil, fmt.Errorf("%w: none", ErrSamples)
	}
	return sites, nil
}

func readSite(root fs.FS, dir string) (s Site, err error) {
	if err := readJSON(root, dir+"/site.json", &s); err != nil {
		return s, err
	}
	for i := range s.Nodes {
		start, err := readGauges(root, fmt.Sprintf("%s/entry-%d.start", dir, i))
		if err != nil {
			return s, err
		}
		end, err := readGauges(root, fmt.Sprintf("%s/entry-%d.end", dir, i))
		if err != nil {
			return s, err
		}
		span := end["uptime_seconds"] - start["uptime_seconds"]
		if span <= 0 {
			return s, fmt.Errorf("entry %d: window of %g s", i, span)
		}
		s.Seconds += span / float64(s.Nodes)
		s.Entries = append(s.Entries, newEntry(start, end, span))
	}
	if err := s.readCalls(root, dir); err != nil {
		return s, err
	}
	if s.Window == WindowChanges {
		s.Arrivals, err = readArrivals(root, dir)
	}
	return s, err
}

func (s *Site) readCalls(root fs.FS, dir string) error {
	if err := readJSON(root, dir+"/calls.start", &s.Before); err != nil {
		return err
	}
	if err := readJSON(root, dir+"/calls.end", &s.Calls); err != nil {
		return err
	}
	for op, n := range s.Before {
		s.Calls[op] -= n
	}
	return nil
}

func newEntry(start, end map[string]float64, span float64) Entry {
	rate := func(names ...string) (sum float64) {
		for _, n := range names {
			sum += (end[n] - start[n]) / span
		}
		return sum
	}
	return Entry{
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
		Listed:        end["instances"],
		Upstreams:     end["upstreams"],
	}
}

const gaugePrefix = "eelgrass_control_"

// readGauges reads gauges in the text form of Prometheus; the name keeps its
// labels and loses the prefix.
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
			return nil, fmt.Errorf("%s: %q is no gauge", name, lines.Text())
		}
		gauges[gauge] = value
	}
	return gauges, lines.Err()
}

func readJSON(root fs.FS, name string, into any) error {
	raw, err := fs.ReadFile(root, name)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// mean returns the mean of a figure over the instances.
func (s Site) mean(figure func(Entry) float64) float64 {
	sum := 0.0
	for _, e := range s.Entries {
		sum += figure(e)
	}
	return sum / float64(len(s.Entries))
}
