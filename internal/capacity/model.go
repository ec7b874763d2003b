package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Rates and periods of the controllers of an entry instance. They are set in the
// packages named.
const (
	exchangesPerS             = 2.0  // docsync: exchanges per second with the own zone, and as many with other zones
	idleConnectionS           = 30.0 // peer: time for which an idle connection is kept
	baseReadPeriodS           = 0.25 // inventory: time between reads of a report
	enginesPerPeriod          = 20   // inventory: number of engines per increase of that period by its base value
	leaseRenewalS             = 2.0  // leader: time between renewals of a zone's lease
	placementReadPeriodS      = 1.0  // placer: time between reads of a report by the zone leader
	placementEnginesPerPeriod = 32   // placer: number of engines per increase of that period by its base value
	shareRequestsPerS         = 1.0  // limit: requests for shares of one instance per second
)

// readPeriodS returns the time between two reads of an engine's report, in seconds.
func readPeriodS(enginesPerZone float64) float64 {
	return baseReadPeriodS * (1 + math.Floor(enginesPerZone/enginesPerPeriod))
}

// size holds the quantities that determine the cost of one instance.
type size struct {
	instancesPerZone float64
	enginesPerZone   float64
	zones            float64
	knownUpstreams   float64 // upstreams in all documents
	listEntries      float64
	loaded           bool // the load of the engines changes between any two reads
}

func (p *Plan) size() size {
	return size{
		instancesPerZone: p.instancesPerZone(), enginesPerZone: p.enginesPerZone(), zones: p.Zones,
		knownUpstreams: p.Servers, listEntries: p.listEntries(), loaded: true,
	}
}

func (s Site) size() size {
	zones := float64(s.Zones)
	return size{
		instancesPerZone: float64(s.Instances) / zones, enginesPerZone: float64(s.Engines) / zones, zones: zones,
		knownUpstreams: float64(s.Engines + s.RemoteUpstreams), listEntries: float64(s.Instances + s.Engines + s.RemoteUpstreams), loaded: s.Window == WindowLoaded,
	}
}

// exchangeRate returns the number of exchanges that an instance begins per second.
func (z size) exchangeRate() float64 {
	n := 0.0
	if z.instancesPerZone > 1 {
		n += exchangesPerS
	}
	if z.zones > 1 {
		n += exchangesPerS
	}
	return n
}

// connectedPeers returns the number of peers with an open connection: all peers of
// the zone, and the expected number of peers of other zones with which the
// instance had an exchange within idleConnectionS.
func (z size) connectedPeers() float64 {
	others := z.instancesPerZone * (z.zones - 1)
	if others == 0 {
		return z.instancesPerZone - 1
	}
	return z.instancesPerZone - 1 + others*(1-math.Exp(-exchangesPerS*idleConnectionS/others))
}

// reportReadRate returns the number of reports that an instance reads per second.
func (z size) reportReadRate() float64 {
	return z.enginesPerZone / z.instancesPerZone / readPeriodS(z.enginesPerZone)
}

// placementReadRate returns the number of reports that the zone leader reads per
// second to place models.
func (z size) placementReadRate() float64 {
	return z.enginesPerZone / (placementReadPeriodS * (1 + math.Floor(z.enginesPerZone/placementEnginesPerPeriod)))
}

// relayCallRate returns the number of calls that an instance begins per second to
// relay reports: one to each peer of the zone in each read period.
func (z size) relayCallRate() float64 {
	if z.enginesPerZone == 0 {
		return 0
	}
	busy := min(1, z.enginesPerZone/z.instancesPerZone) // instances that read no engine send nothing
	period := readPeriodS(z.enginesPerZone)
	if !z.loaded {
		period = max(period, 1)
	}
	return busy * (z.instancesPerZone - 1) / period
}

// leaseRelayRate returns the number of calls that an instance begins per second to
// relay the zone's lease, as a mean over the instances of the zone.
func (z size) leaseRelayRate() float64 {
	return (z.instancesPerZone - 1) / z.instancesPerZone / leaseRenewalS
}

// copiesPerInstance returns the number of times that an instance sends or receives
// data that the zone leader exchanges with each of the other instances, as a mean
// over the instances of the zone.
func (z size) copiesPerInstance() float64 { return 2 * (z.instancesPerZone - 1) / z.instancesPerZone }

// relayedEntryRate returns the number of reports that an instance relays per
// second, counted once for each peer.
func (z size) relayedEntryRate() float64 { return z.reportReadRate() * (z.instancesPerZone - 1) }

// Slope is a cost per unit of its driver.
type Slope struct {
	Name    string
	Driver  string
	Unit    string
	Value   float64
	Samples int
	// Residual is the largest deviation of a sample from the fit that the slope
	// belongs to, as a fraction of the samples' mean.
	Residual float64
}

// Model holds the slopes that were fitted to a set of samples.
type Model struct {
	Share                                                Slope // bytes per second of the requests for shares and their grants
	Exchange, PeerCall, RelayedLoad, RelayedConfirmation Slope // bytes, sent and received together
	Report                                               Slope // bytes
	Change                                               Slope // bytes relayed per byte of a changed document and per copy that an instance sends or receives
	ReadsPerZone, WritesPerZone                          Slope // platform calls per second
	ReadsPerChange, WritesPerChange                      Slope
	ReadsPerChangeAndZone, WritesPerChangeAndZone        Slope
	StartReads, StartWrites                              Slope // platform calls of an instance that starts
	CPUBase, CPUCall, CPURead                            Slope // seconds
	CPUKnown, CPUChange, CPUShare                        Slope
	MemoryBase, MemoryPerPeer, MemoryPerUpstream         Slope // bytes
	PropagationDelay                                     Slope // seconds, the maximum of all samples
	Sites                                                []Site
}

// NewModel fits the slopes to the samples of all sites.
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

// sampleSet collects samples of a value and its drivers.
type sampleSet struct {
	drivers [][]float64
	values  []float64
}

func (f *sampleSet) add(value float64, drivers ...float64) {
	f.values = append(f.values, value)
	f.drivers = append(f.drivers, drivers)
}

// fitSlopes fits the samples and stores the slope of each driver in dest, in the
// order of the drivers.
func (f *sampleSet) fitSlopes(name string, dest []*Slope, drivers, units []string) error {
	fit, err := NonNegative(f.drivers, f.values)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for i, s := range dest {
		*s = Slope{Name: name, Driver: drivers[i], Unit: units[i], Value: fit.Slopes[i], Samples: fit.Samples, Residual: fit.Residual}
	}
	return nil
}

// window returns the sites of one kind of window.
func (m *Model) window(name string) []Site {
	return slices.DeleteFunc(slices.Clone(m.Sites), func(s Site) bool { return s.Window != name })
}

func peerBytes(e InstanceSample) float64 { return e.PeerSent + e.PeerReceived }

func (m *Model) fitPeers() error {
	var f sampleSet
	for _, s := range append(m.window(WindowIdle), m.window(WindowLoaded)...) {
		if s.Instances == 1 {
			continue
		}
		z := s.size()
		calls := s.mean(func(e InstanceSample) float64 { return e.PeerCalls }) - z.exchangeRate()
		load, confirm := z.relayedEntryRate(), 0.0
		if !z.loaded {
			load, confirm = 0, z.enginesPerZone/z.instancesPerZone*(z.instancesPerZone-1)/max(1, readPeriodS(z.enginesPerZone))
		}
		f.add(s.mean(peerBytes), z.exchangeRate(), calls, load, confirm, z.copiesPerInstance()*float64(s.Organisations))
	}
	return f.fitSlopes("peer bytes", []*Slope{&m.Exchange, &m.PeerCall, &m.RelayedLoad, &m.RelayedConfirmation, &m.Share},
		[]string{"exchange, including other steady traffic", "other call", "relayed load entry", "relayed confirmation", "organisation, request and grant of its shares"},
		[]string{"B", "B", "B", "B", "B/s"})
}

func (m *Model) fitReports() error {
	var f sampleSet
	for _, s := range m.Sites {
		if s.Engines > 0 {
			f.add(s.mean(func(e InstanceSample) float64 { return e.EngineBytes }), s.mean(func(e InstanceSample) float64 { return e.EngineCalls }))
		}
	}
	return f.fitSlopes("engine bytes", []*Slope{&m.Report}, []string{"report read"}, []string{"B"})
}

// fitChanges fits the difference between the windows with changes and the idle
// windows of the same sites.
func (m *Model) fitChanges() error {
	var bytes sampleSet
	idle := m.window(WindowIdle)
	for i, s := range m.window(WindowChanges) {
		if s.Instances > 1 {
			added := s.mean(peerBytes) - idle[i].mean(peerBytes)
			bytes.add(added, s.size().copiesPerInstance()*float64(s.Changes*s.DocumentBytes)/s.Seconds)
		}
		if len(s.PropagationDelays) > 0 {
			m.PropagationDelay.Value = max(m.PropagationDelay.Value, slices.Max(s.PropagationDelays))
			m.PropagationDelay.Samples += len(s.PropagationDelays)
		}
	}
	m.PropagationDelay.Name, m.PropagationDelay.Driver, m.PropagationDelay.Unit = "arrival", "change and instance, maximum", "s"
	return bytes.fitSlopes("change bytes", []*Slope{&m.Change}, []string{"byte of the document, sent or received"}, []string{"B"})
}

func platformReads(calls map[string]float64) float64 {
	return calls["get"] + calls["list"] + calls["watch"] + calls["instances"]
}

func platformWrites(calls map[string]float64) float64 {
	return calls["put"] + calls["delete"] + calls["register"] + calls["deregister"]
}

func (m *Model) fitPlatform() error {
	var zoneReads, zoneWrites, changeReads, changeWrites sampleSet
	idle := m.window(WindowIdle)
	for i, s := range m.window(WindowChanges) {
		zones, idleSite := float64(s.Zones), idle[i]
		zoneReads.add(platformReads(idleSite.PlatformCalls)/idleSite.Seconds, zones)
		zoneWrites.add(platformWrites(idleSite.PlatformCalls)/idleSite.Seconds, zones)
		perWindow := s.Seconds / idleSite.Seconds
		changeReads.add((platformReads(s.PlatformCalls)-platformReads(idleSite.PlatformCalls)*perWindow)/float64(s.Changes), 1, zones)
		changeWrites.add((platformWrites(s.PlatformCalls)-platformWrites(idleSite.PlatformCalls)*perWindow)/float64(s.Changes), 1, zones)
	}
	for _, f := range []struct {
		fit     *sampleSet
		name    string
		dest    []*Slope
		drivers []string
	}{
		{&zoneReads, "platform reads", []*Slope{&m.ReadsPerZone}, []string{"zone"}},
		{&zoneWrites, "platform writes", []*Slope{&m.WritesPerZone}, []string{"zone"}},
		{&changeReads, "platform reads", []*Slope{&m.ReadsPerChange, &m.ReadsPerChangeAndZone}, []string{"change", "change and zone"}},
		{&changeWrites, "platform writes", []*Slope{&m.WritesPerChange, &m.WritesPerChangeAndZone}, []string{"change", "change and zone"}},
	} {
		if err := f.fit.fitSlopes(f.name, f.dest, f.drivers, []string{"calls", "calls"}); err != nil {
			return err
		}
	}
	m.ReadsPerZone.Unit, m.WritesPerZone.Unit = "calls/s", "calls/s"
	return nil
}

// fitStart fits the platform calls before the first window, less the steady ones.
func (m *Model) fitStart() error {
	var r, w sampleSet
	for _, s := range m.window(WindowIdle) {
		steady := float64(s.Zones * s.SettleS)
		r.add(platformReads(s.PlatformCallsBefore)-steady*m.ReadsPerZone.Value, float64(s.Instances))
		w.add(platformWrites(s.PlatformCallsBefore)-steady*m.WritesPerZone.Value-float64(s.Engines+s.RemoteUpstreams), float64(s.Instances))
	}
	if err := r.fitSlopes("platform reads", []*Slope{&m.StartReads}, []string{"instance that starts"}, []string{"calls"}); err != nil {
		return err
	}
	return w.fitSlopes("platform writes", []*Slope{&m.StartWrites}, []string{"instance that starts"}, []string{"calls"})
}

func (m *Model) fitProcessor() error {
	var f sampleSet
	for _, s := range m.Sites {
		f.add(s.mean(func(e InstanceSample) float64 { return e.CPU }), 1,
			s.mean(func(e InstanceSample) float64 { return e.PeerCalls }), s.mean(func(e InstanceSample) float64 { return e.EngineCalls }),
			s.size().knownUpstreams, float64(s.Changes)/s.Seconds, s.size().copiesPerInstance()/2*float64(s.Organisations))
	}
	return f.fitSlopes("processor", []*Slope{&m.CPUBase, &m.CPUCall, &m.CPURead, &m.CPUKnown, &m.CPUChange, &m.CPUShare},
		[]string{"instance", "peer call begun, and one served", "report read", "upstream known", "change", "organisation whose shares are requested"},
		[]string{"s/s", "s", "s", "s/s", "s", "s/s"})
}

func (m *Model) fitMemory() error {
	var f sampleSet
	for _, s := range m.window(WindowLoaded) {
		f.add(s.mean(func(e InstanceSample) float64 { return e.Resident }), 1, s.size().connectedPeers(), s.size().knownUpstreams)
	}
	return f.fitSlopes("peak resident memory", []*Slope{&m.MemoryBase, &m.MemoryPerPeer, &m.MemoryPerUpstream},
		[]string{"instance", "peer connected", "upstream known"}, []string{"B", "B", "B"})
}
