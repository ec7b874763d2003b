package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Rates that the duties of an entry instance fix; see the packages named.
const (
	exchangesPerS    = 2.0  // replica: with the zone, and as many with other zones
	connectionS      = 30.0 // peer: for which an idle connection is kept
	basePeriodS      = 0.25 // inventory: between reads of a report
	enginesPerPeriod = 20   // inventory: engines by which the period grows
	renewalS         = 2.0  // leader: between renewals of a zone's lease
	placerPeriodS    = 1.0  // placer: between reads of a report by the holder
	placerEngines    = 32   // placer: engines by which that period grows
	shareRequestsS   = 1.0  // limit: requests for shares of one instance in a second
)

// readPeriodS is the time between two reads of an engine's report.
func readPeriodS(enginesPerZone float64) float64 {
	return basePeriodS * (1 + math.Floor(enginesPerZone/enginesPerPeriod))
}

// size is what drives the cost of one instance.
type size struct {
	nodesPerZone   float64
	enginesPerZone float64
	zones          float64
	known          float64 // upstreams of all documents
	listed         float64
	loaded         bool // engines' load changes at every read
}

func (p *Plan) size() size {
	return size{
		nodesPerZone: p.nodesPerZone(), enginesPerZone: p.enginesPerZone(), zones: p.Zones,
		known: p.Servers, listed: p.listed(), loaded: true,
	}
}

func (s Site) size() size {
	zones := float64(s.Zones)
	return size{
		nodesPerZone: float64(s.Nodes) / zones, enginesPerZone: float64(s.Engines) / zones, zones: zones,
		known: float64(s.Engines + s.Far), listed: float64(s.Nodes + s.Engines + s.Far), loaded: s.Window == WindowLoaded,
	}
}

// exchanges is the number of exchanges that an instance begins in a second.
func (z size) exchanges() float64 {
	n := 0.0
	if z.nodesPerZone > 1 {
		n += exchangesPerS
	}
	if z.zones > 1 {
		n += exchangesPerS
	}
	return n
}

// connected is the number of peers to which connections are open: all of the
// zone, and those of other zones that the last exchanges met.
func (z size) connected() float64 {
	others := z.nodesPerZone * (z.zones - 1)
	if others == 0 {
		return z.nodesPerZone - 1
	}
	return z.nodesPerZone - 1 + others*(1-math.Exp(-exchangesPerS*connectionS/others))
}

// reads is the number of reports that an instance reads in a second.
func (z size) reads() float64 {
	return z.enginesPerZone / z.nodesPerZone / readPeriodS(z.enginesPerZone)
}

// placerReads is the number of reports that the holder reads in a second to
// place models.
func (z size) placerReads() float64 {
	return z.enginesPerZone / (placerPeriodS * (1 + math.Floor(z.enginesPerZone/placerEngines)))
}

// relayCalls is the number of relays of reports that it begins in a second: one
// to each peer of the zone for each period.
func (z size) relayCalls() float64 {
	if z.enginesPerZone == 0 {
		return 0
	}
	busy := min(1, z.enginesPerZone/z.nodesPerZone) // readers without engines send nothing
	every := readPeriodS(z.enginesPerZone)
	if !z.loaded {
		every = max(every, 1)
	}
	return busy * (z.nodesPerZone - 1) / every
}

// leaseCalls is the number of relays of the lease that it begins in a second,
// as a mean over the zone.
func (z size) leaseCalls() float64 { return (z.nodesPerZone - 1) / z.nodesPerZone / renewalS }

// copies is how often an instance sends or receives what the zone's reader
// exchanges with each of the others, as a mean over the zone.
func (z size) copies() float64 { return 2 * (z.nodesPerZone - 1) / z.nodesPerZone }

// entries is the number of relayed reports that it sends in a second.
func (z size) entries() float64 { return z.reads() * (z.nodesPerZone - 1) }

// Slope is one figure per unit of its driver.
type Slope struct {
	Name    string
	Driver  string
	Unit    string
	Value   float64
	Samples int
	// Residual is the largest deviation of a sample from the whole fit that
	// the slope belongs to, as a part of the samples' mean.
	Residual float64
}

// Model holds the slopes of a set of samples.
type Model struct {
	Share                              Slope // bytes a second of a request for shares and its grant
	Exchange, Call, LoadEntry, Confirm Slope // bytes, sent and received together
	Report                             Slope // bytes
	Change                             Slope // bytes relayed per byte that must be
	ReadsPerZone, WritesPerZone        Slope // platform calls a second
	ReadsPerChange, WritesPerChange    Slope
	ChangeReadsZone, ChangeWritesZone  Slope
	StartReads, StartWrites            Slope // platform calls per instance that starts
	CPUBase, CPUCall, CPURead          Slope // seconds
	CPUKnown, CPUChange, CPUShare      Slope
	MemoryBase, MemoryNode, MemoryUp   Slope // bytes
	Arrival                            Slope // seconds, the latest of all
	Sites                              []Site
}

// NewModel fits the slopes of all sites.
func NewModel(sites []Site) (*Model, error) {
	m := &Model{Sites: sites}
	for _, fit := range []func(*Model) error{
		(*Model).fitPeers, (*Model).fitReports, (*Model).fitChanges, (*Model).fitPlatform, (*Model).fitStart,
		(*Model).fitProcessor, (*Model).fitMemory,
	} {
		if err := fit(m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// fitting collects samples of one value and its drivers.
type fitting struct {
	drivers [][]float64
	values  []float64
}

func (f *fitting) add(value float64, drivers ...float64) {
	f.values = append(f.values, value)
	f.drivers = append(f.drivers, drivers)
}

// slopes solves the fit and writes each slope where it belongs.
func (f *fitting) slopes(name string, into []*Slope, drivers, units []string) error {
	fit, err := NonNegative(f.drivers, f.values)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for i, s := range into {
		*s = Slope{Name: name, Driver: drivers[i], Unit: units[i], Value: fit.Slopes[i], Samples: fit.Samples, Residual: fit.Residual}
	}
	return nil
}

func (m *Model) window(name string) []Site {
	return slices.DeleteFunc(slices.Clone(m.Sites), func(s Site) bool { return s.Window != name })
}

func peerBytes(e Entry) float64 { return e.PeerSent + e.PeerReceived }

func (m *Model) fitPeers() error {
	var f fitting
	for _, s := range append(m.window(WindowIdle), m.window(WindowLoaded)...) {
		if s.Nodes == 1 {
			continue
		}
		z := s.size()
		calls := s.mean(func(e Entry) float64 { return e.PeerCalls }) - z.exchanges()
		load, confirm := z.entries(), 0.0
		if !z.loaded {
			load, confirm = 0, z.enginesPerZone/z.nodesPerZone*(z.nodesPerZone-1)/max(1, readPeriodS(z.enginesPerZone))
		}
		f.add(s.mean(peerBytes), z.exchanges(), calls, load, confirm, z.copies()*float64(s.Organisations))
	}
	return f.slopes("peer bytes", []*Slope{&m.Exchange, &m.Call, &m.LoadEntry, &m.Confirm, &m.Share},
		[]string{"exchange, with what else is steady", "other call", "relayed load entry", "relayed confirmation", "organisation, request and grant of its shares"},
		[]string{"B", "B", "B", "B", "B/s"})
}

func (m *Model) fitReports() error {
	var f fitting
	for _, s := range m.Sites {
		if s.Engines > 0 {
			f.add(s.mean(func(e Entry) float64 { return e.EngineBytes }), s.mean(func(e Entry) float64 { return e.EngineCalls }))
		}
	}
	return f.slopes("engine bytes", []*Slope{&m.Report}, []string{"report read"}, []string{"B"})
}

// fitChanges compares the windows with changes with the idle ones of the same
// sites.
func (m *Model) fitChanges() error {
	var bytes fitting
	idle := m.window(WindowIdle)
	for i, s := range m.window(WindowChanges) {
		if s.Nodes > 1 {
			spent := s.mean(peerBytes) - idle[i].mean(peerBytes)
			bytes.add(spent, s.size().copies()*float64(s.Changes*s.DocumentBytes)/s.Seconds)
		}
		if len(s.Arrivals) > 0 {
			m.Arrival.Value = max(m.Arrival.Value, slices.Max(s.Arrivals))
			m.Arrival.Samples += len(s.Arrivals)
		}
	}
	m.Arrival.Name, m.Arrival.Driver, m.Arrival.Unit = "arrival", "change and instance, the latest", "s"
	return bytes.slopes("change bytes", []*Slope{&m.Change}, []string{"byte of the document, sent or received"}, []string{"B"})
}

func reads(calls map[string]float64) float64 {
	return calls["get"] + calls["list"] + calls["watch"] + calls["instances"]
}

func writes(calls map[string]float64) float64 {
	return calls["put"] + calls["delete"] + calls["register"] + calls["deregister"]
}

func (m *Model) fitPlatform() error {
	var zoneReads, zoneWrites, changeReads, changeWrites fitting
	idle := m.window(WindowIdle)
	for i, s := range m.window(WindowChanges) {
		zones, quiet := float64(s.Zones), idle[i]
		zoneReads.add(reads(quiet.Calls)/quiet.Seconds, zones)
		zoneWrites.add(writes(quiet.Calls)/quiet.Seconds, zones)
		perWindow := s.Seconds / quiet.Seconds
		changeReads.add((reads(s.Calls)-reads(quiet.Calls)*perWindow)/float64(s.Changes), 1, zones)
		changeWrites.add((writes(s.Calls)-writes(quiet.Calls)*perWindow)/float64(s.Changes), 1, zones)
	}
	for _, f := range []struct {
		fit     *fitting
		name    string
		into    []*Slope
		drivers []string
	}{
		{&zoneReads, "platform reads", []*Slope{&m.ReadsPerZone}, []string{"zone"}},
		{&zoneWrites, "platform writes", []*Slope{&m.WritesPerZone}, []string{"zone"}},
		{&changeReads, "platform reads", []*Slope{&m.ReadsPerChange, &m.ChangeReadsZone}, []string{"change", "change and zone"}},
		{&changeWrites, "platform writes", []*Slope{&m.WritesPerChange, &m.ChangeWritesZone}, []string{"change", "change and zone"}},
	} {
		if err := f.fit.slopes(f.name, f.into, f.drivers, []string{"calls", "calls"}); err != nil {
			return err
		}
	}
	m.ReadsPerZone.Unit, m.WritesPerZone.Unit = "calls/s", "calls/s"
	return nil
}

// fitStart takes the calls before the first window, less the steady ones.
func (m *Model) fitStart() error {
	var r, w fitting
	for _, s := range m.window(WindowIdle) {
		steady := float64(s.Zones * s.SettleS)
		r.add(reads(s.Before)-steady*m.ReadsPerZone.Value, float64(s.Nodes))
		w.add(writes(s.Before)-steady*m.WritesPerZone.Value-float64(s.Engines+s.Far), float64(s.Nodes))
	}
	if err := r.slopes("platform reads", []*Slope{&m.StartReads}, []string{"instance that starts"}, []string{"calls"}); err != nil {
		return err
	}
	return w.slopes("platform writes", []*Slope{&m.StartWrites}, []string{"instance that starts"}, []string{"calls"})
}

func (m *Model) fitProcessor() error {
	var f fitting
	for _, s := range m.Sites {
		f.add(s.mean(func(e Entry) float64 { return e.CPU }), 1,
			s.mean(func(e Entry) float64 { return e.PeerCalls }), s.mean(func(e Entry) float64 { return e.EngineCalls }),
			s.size().known, float64(s.Changes)/s.Seconds, s.size().copies()/2*float64(s.Organisations))
	}
	return f.slopes("processor", []*Slope{&m.CPUBase, &m.CPUCall, &m.CPURead, &m.CPUKnown, &m.CPUChange, &m.CPUShare},
		[]string{"instance", "peer call begun, and one answered", "report read", "upstream known", "change", "organisation whose shares are asked for"},
		[]string{"s/s", "s", "s", "s/s", "s", "s/s"})
}

func (m *Model) fitMemory() error {
	var f fitting
	for _, s := range m.window(WindowLoaded) {
		f.add(s.mean(func(e Entry) float64 { return e.Resident }), 1, s.size().connected(), s.size().known)
	}
	return f.slopes("peak resident memory", []*Slope{&m.MemoryBase, &m.MemoryNode, &m.MemoryUp},
		[]string{"instance", "peer connected", "upstream known"}, []string{"B", "B", "B"})
}
