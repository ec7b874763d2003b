package capacity

import (
	"fmt"
	"io"
)

// Line is one item of the cost of a role at the planned size.
type Line struct {
	Item         string
	Mechanism    string
	Formula      string // slope times size
	BytesPerS    float64
	CoreFraction float64 // fraction of one core
}

// Bound compares a total with its upper bound. Deviation is the largest deviation
// of a sample from the fit behind the total, as a fraction of the total.
type Bound struct {
	What         string
	Value, Limit float64
	Unit         string
	Deviation    float64
}

// Verdict returns "met" or "missed" if the bound is met or missed even when the
// total is off by its deviation, and "undecided" otherwise.
func (b Bound) Verdict() string {
	switch {
	case b.Value*(1+b.Deviation) <= b.Limit:
		return "met"
	case b.Value*(1-b.Deviation) > b.Limit:
		return "missed"
	}
	return "undecided"
}

// Role holds the costs of one role at the planned size.
type Role struct {
	Name   string
	Lines  []Line
	Bounds []Bound
}

// Extrapolate returns the costs of each role at the planned size.
func (m *Model) Extrapolate(p *Plan, b Benchmarks) []Role {
	entry := m.entryInstance(p)
	return []Role{entry, m.zoneLeader(p, b, entry), m.platformCalls(p)}
}

func (m *Model) entryInstance(p *Plan) Role {
	z := p.size()
	changes := p.changesPerS()
	listChangesPerS := listChangesPerDay(p) / secondsPerDay
	r := Role{Name: "Entry instance"}
	r.Lines = []Line{
		rateLine("documents, members, record", "exchange with one peer of the zone and one of another; heads and copies", z.exchangeRate(), m.Exchange, m.CPUCall),
		rateLine("lease", "relay of the zone's lease to its instances", z.leaseRelayRate(), m.PeerCall, m.CPUCall),
		rateLine("load of engines, calls", "one relay to each peer of the zone for each period", z.relayCallRate(), m.PeerCall, m.CPUCall),
		rateLine("load of engines, entries", "digest and figures of each report that changed", z.relayedEntryRate(), m.RelayedLoad, Slope{}),
		rateLine("shares of limits, calls", "one request to the zone leader", shareRequestsPerS, m.PeerCall, m.CPUCall),
		rateLine("reports of engines", "each engine read by one instance of its zone (rendezvous hashing)", z.reportReadRate(), m.Report, m.CPURead),
		{
			Item: "changes of documents", Mechanism: "the zone leader pushes to its zone; exchanges copy between zones",
			Formula:   fmt.Sprintf("%.3f changes/s × %.0f B × %.2f copies × %.2f", changes, p.DocumentBytes, z.copiesPerInstance(), m.Change.Value),
			BytesPerS: changes * p.DocumentBytes * z.copiesPerInstance() * m.Change.Value, CoreFraction: changes * m.CPUChange.Value,
		},
		{
			Item: "changes of the instance list", Mechanism: "the parts that differ, in exchanges",
			Formula:   fmt.Sprintf("%.4f changes/s × %.0f B × 2", listChangesPerS, listChangeBytes),
			BytesPerS: listChangesPerS * listChangeBytes * 2,
		},
		{
			Item: "shares of limits, organisations", Mechanism: "each request and grant names all organisations",
			Formula:   fmt.Sprintf("%.0f organisations × %.1f B/s", p.Organisations, m.Share.Value),
			BytesPerS: p.Organisations * m.Share.Value, CoreFraction: p.Organisations * m.CPUShare.Value,
		},
		{Item: "upstreams known", Mechanism: "table, members and reports in memory", Formula: fmt.Sprintf("%.0f × %.3g s/s", z.knownUpstreams, m.CPUKnown.Value), CoreFraction: z.knownUpstreams * m.CPUKnown.Value},
		{Item: "timers and metrics", Mechanism: "an instance by itself", Formula: "1", CoreFraction: m.CPUBase.Value},
	}
	memory := m.MemoryBase.Value + z.connectedPeers()*m.MemoryPerPeer.Value + z.knownUpstreams*m.MemoryPerUpstream.Value
	r.Bounds = append(m.totals(r, p), Bound{"memory (peak resident)", memory / 1e6, p.Bounds.MemoryMB, "MB", m.MemoryBase.Residual},
		Bound{"a change in force everywhere (maximum measured)", m.PropagationDelay.Value, p.Bounds.ChangeS, "s", 0})
	return r
}

func rateLine(item, mechanism string, perS float64, bytes, cpu Slope) Line {
	return Line{
		Item: item, Mechanism: mechanism, Formula: fmt.Sprintf("%.2f/s × %.0f B", perS, bytes.Value),
		BytesPerS: perS * bytes.Value, CoreFraction: perS * cpu.Value,
	}
}

func (m *Model) totals(r Role, p *Plan) []Bound {
	return []Bound{
		{"bytes, sent and received", r.totalBytesPerS(), p.Bounds.BytesPerS, "B/s", m.Exchange.Residual},
		{"processor", r.totalCoreFraction() * 100, p.Bounds.CorePercent, "% of a core", m.CPUBase.Residual},
	}
}

func (r Role) totalBytesPerS() (sum float64) {
	for _, l := range r.Lines {
		sum += l.BytesPerS
	}
	return sum
}

func (r Role) totalCoreFraction() (sum float64) {
	for _, l := range r.Lines {
		sum += l.CoreFraction
	}
	return sum
}

// Sizes of messages in bytes, as the benchmarks measure them at the planned size.
const (
	listChangeBytes = 4168.0 // docsync, BenchmarkListChange at 400 instances and 2,200 servers
	listEntryBytes  = 167.0  // one entry of the instance list as the platform sends it
	// relayedEntryBytes is one entry of the instance list as instances exchange
	// it.
	relayedEntryBytes = 113.0
)

// listChangesPerDay returns the number of changes of the instance list per day. A
// replaced instance causes three: it is marked as leaving, removed and added
// again. A failed one causes two: it is removed and added again.
func listChangesPerDay(p *Plan) float64 { return 3*p.ReplacedPerDay + 2*p.FailedPerDay }

// zoneLeader returns the costs of a zone leader: those of an entry instance and
// those of the controllers that only the leader runs.
func (m *Model) zoneLeader(p *Plan, b Benchmarks, entry Role) Role {
	z := p.size()
	listChangesPerS := listChangesPerDay(p) / secondsPerDay
	pushes := p.changesPerS() * (z.instancesPerZone - 1)
	r := Role{Name: "Zone leader"}
	r.Lines = []Line{
		{Item: "as an entry instance", Mechanism: "see above", Formula: "1", BytesPerS: entry.totalBytesPerS(), CoreFraction: entry.totalCoreFraction()},
		rateLine("lease", "renewal written to the platform and relayed to the zone", (z.instancesPerZone-1)/leaseRenewalS-z.leaseRelayRate(), m.PeerCall, m.CPUCall),
		{
			Item: "changes of documents", Mechanism: "pushed to every instance of the zone",
			Formula:   fmt.Sprintf("%.2f pushes/s × %.0f B", pushes, p.DocumentBytes),
			BytesPerS: pushes * p.DocumentBytes, CoreFraction: pushes * m.CPUCall.Value,
		},
		{
			Item: "instance list", Mechanism: "read each second, sent by the platform when changed (entity tag)",
			Formula:   fmt.Sprintf("%.4f changes/s × %.0f entries × %.0f B", listChangesPerS, z.listEntries, listEntryBytes),
			BytesPerS: listChangesPerS * z.listEntries * listEntryBytes,
		},
		rateLine("placement", "the zone leader reads the reports of all engines of the zone itself", z.placementReadRate(), m.Report, m.CPURead),
		{
			Item: "shares of limits, bytes", Mechanism: "request and grant of every other instance each second",
			Formula:   fmt.Sprintf("%.0f × %.0f organisations × %.1f B/s", z.instancesPerZone-1, p.Organisations, m.Share.Value),
			BytesPerS: (z.instancesPerZone - 1) * p.Organisations * m.Share.Value,
		},
		m.shareProcessorLine(p, b),
	}
	r.Bounds = m.totals(r, p)
	return r
}

// zoneRequestBenchmark is the name of the benchmark of a request for shares at
// the planned size of a zone.
const zoneRequestBenchmark = "ZoneRequest/instances=21/orgs=200"

func (m *Model) shareProcessorLine(p *Plan, b Benchmarks) Line {
	perS := shareRequestsPerS * p.instancesPerZone()
	l := Line{Item: "shares of limits, processor", Mechanism: "the same requests, measured by the benchmark ZoneRequest"}
	if ns := b[zoneRequestBenchmark]["ns/op"]; ns > 0 {
		l.Formula = fmt.Sprintf("%.0f requests/s × %.2f ms", perS, ns/1e6)
		l.CoreFraction = perS * ns / 1e9
		return l
	}
	l.Formula = "not measured"
	return l
}

func (m *Model) platformCalls(p *Plan) Role {
	changes := p.changesPerS()
	starts := (p.FailedPerDay + p.ReplacedPerDay) / secondsPerDay
	reads := p.Zones*m.ReadsPerZone.Value + changes*(m.ReadsPerChange.Value+p.Zones*m.ReadsPerChangeAndZone.Value) + starts*m.StartReads.Value
	writes := p.Zones*m.WritesPerZone.Value + changes*(m.WritesPerChange.Value+p.Zones*m.WritesPerChangeAndZone.Value) + starts*m.StartWrites.Value
	return Role{
		Name: "Platform (leases, documents, status, list; claims and records of requests not counted)",
		Bounds: []Bound{
			{"reads, including long polls of watches", reads, p.Bounds.PlatformReadsS, "calls/s", m.ReadsPerZone.Residual},
			{"writes", writes, p.Bounds.PlatformWritesS, "calls/s", m.WritesPerZone.Residual},
		},
	}
}

// Event is a kind of failure and its cost.
type Event struct {
	What, Calls, Bytes string
}

// Events returns the cost of failures at the planned size.
func (m *Model) Events(p *Plan) []Event {
	perZone, engines := p.instancesPerZone(), p.enginesPerZone()
	// readRetryS is the time between two reads of an instance that cannot reach
	// the platform.
	const readRetryS = 5.0
	partitionS := 300.0 // duration of a partition between regions, in seconds
	missedChanges := p.changesPerS() * partitionS
	startsPerDay := p.FailedPerDay + p.ReplacedPerDay
	listKB := p.listEntries() * relayedEntryBytes / 1e3
	return []Event{
		{
			fmt.Sprintf("an ordinary day: %.0f failed, %.0f replaced", p.FailedPerDay, p.ReplacedPerDay),
			fmt.Sprintf("%.0f reads, %.0f writes", startsPerDay*m.StartReads.Value, startsPerDay*m.StartWrites.Value+2*p.ReplacedPerDay),
			fmt.Sprintf("%.0f changes of the list × %.0f B = %.1f MB to each instance", listChangesPerDay(p), listChangeBytes, listChangesPerDay(p)*listChangeBytes/1e6),
		},
		{
			fmt.Sprintf("a lost zone returns: %.0f instances and %.0f servers at once", perZone, engines),
			fmt.Sprintf("%.0f reads, %.0f writes", perZone*m.StartReads.Value, perZone*m.StartWrites.Value),
			fmt.Sprintf("at most the whole list, %.0f kB to each instance, once; each new instance reads the list (%.0f kB) and all documents", listKB, p.listEntries()*listEntryBytes/1e3),
		},
		{
			fmt.Sprintf("regions partitioned for %.0f s", partitionS),
			fmt.Sprintf("no additional calls; a zone that is partitioned from the platform tries %.0f reads per second", perZone/readRetryS),
			fmt.Sprintf("afterwards %.0f documents × %.0f B = %.0f kB to each instance", missedChanges, p.DocumentBytes, missedChanges*p.DocumentBytes/1e3),
		},
	}
}

// Print writes the slopes, the extrapolated costs, the costs of failures and the
// benchmarks as Markdown.
func (m *Model) Print(w io.Writer, p *Plan, b Benchmarks) {
	m.printSlopes(w)
	for _, r := range m.Extrapolate(p, b) {
		r.print(w)
	}
	fmt.Fprint(w, "\n### Failures\n\n| event | platform calls | relayed bytes |\n|---|---|---|\n")
	for _, e := range m.Events(p) {
		fmt.Fprintf(w, "| %s | %s | %s |\n", e.What, e.Calls, e.Bytes)
	}
	b.print(w)
}
