package capacity

import (
	"fmt"
	"io"
)

// Line is one row of a role's costs at the planned size.
type Line struct {
	Carrier   string
	Mechanism string
	Sum       string // slope times size
	BytesPerS float64
	CorePart  float64 // of one core
}

// Bound is a total beside what is allowed. Spread is the largest deviation of
// a sample from the fit behind the total, as a part of it.
type Bound struct {
	What        string
	Value, Most float64
	Unit        string
	Spread      float64
}

// Verdict says whether the bound is met, also if the total is off by its
// spread.
func (b Bound) Verdict() string {
	switch {
	case b.Value*(1+b.Spread) <= b.Most:
		return "met"
	case b.Value*(1-b.Spread) > b.Most:
		return "missed"
	}
	return "undecided"
}

// Role is what one role costs at the planned size.
type Role struct {
	Name   string
	Lines  []Line
	Bounds []Bound
}

// Extrapolate returns what each role costs at the planned size.
func (m *Model) Extrapolate(p *Plan, b Benchmarks) []Role {
	node := m.node(p)
	return []Role{node, m.holder(p, b, node), m.platform(p)}
}

func (m *Model) node(p *Plan) Role {
	z := p.size()
	changes := p.changesPerS()
	lists := listChangesPerDay(p) / secondsPerDay
	r := Role{Name: "Entry instance"}
	r.Lines = []Line{
		line("documents, members, record", "exchange with one peer of the zone and one of another; heads and copies", z.exchanges(), m.Exchange, m.CPUCall),
		line("lease", "relay of the zone's lease to its instances", z.leaseCalls(), m.Call, m.CPUCall),
		line("load of engines, calls", "one relay to each peer of the zone for each period", z.relayCalls(), m.Call, m.CPUCall),
		line("load of engines, entries", "digest and figures of each report that changed", z.entries(), m.LoadEntry, Slope{}),
		line("shares of limits, calls", "one request to the zone's holder", shareRequestsS, m.Call, m.CPUCall),
		line("reports of engines", "each engine read by one instance of its zone (rendezvous hashing)", z.reads(), m.Report, m.CPURead),
		{
			Carrier: "changes of documents", Mechanism: "reader pushes to its zone; exchanges spread between zones",
			Sum:       fmt.Sprintf("%.3f changes/s × %.0f B × %.2f copies × %.2f", changes, p.DocumentBytes, z.copies(), m.Change.Value),
			BytesPerS: changes * p.DocumentBytes * z.copies() * m.Change.Value, CorePart: changes * m.CPUChange.Value,
		},
		{
			Carrier: "changes of the instance list", Mechanism: "the parts that differ, in exchanges",
			Sum:       fmt.Sprintf("%.4f changes/s × %.0f B × 2", lists, listChangeBytes),
			BytesPerS: lists * listChangeBytes * 2,
		},
		{
			Carrier: "shares of limits, organisations", Mechanism: "all named in each request and grant",
			Sum:       fmt.Sprintf("%.0f organisations × %.1f B/s", p.Organisations, m.Share.Value),
			BytesPerS: p.Organisations * m.Share.Value, CorePart: p.Organisations * m.CPUShare.Value,
		},
		{Carrier: "upstreams known", Mechanism: "table, members and reports in memory", Sum: fmt.Sprintf("%.0f × %.3g s/s", z.known, m.CPUKnown.Value), CorePart: z.known * m.CPUKnown.Value},
		{Carrier: "timers and metrics", Mechanism: "an instance by itself", Sum: "1", CorePart: m.CPUBase.Value},
	}
	memory := m.MemoryBase.Value + z.connected()*m.MemoryNode.Value + z.known*m.MemoryUp.Value
	r.Bounds = append(m.totals(r, p), Bound{"memory (peak resident)", memory / 1e6, p.Bounds.MemoryMB, "MB", m.MemoryBase.Residual},
		Bound{"a change in force everywhere (latest seen)", m.Arrival.Value, p.Bounds.ChangeS, "s", 0})
	return r
}

func line(carrier, mechanism string, perS float64, bytes, cpu Slope) Line {
	return Line{
		Carrier: carrier, Mechanism: mechanism, Sum: fmt.Sprintf("%.2f/s × %.0f B", perS, bytes.Value),
		BytesPerS: perS * bytes.Value, CorePart: perS * cpu.Value,
	}
}

func (m *Model) totals(r Role, p *Plan) []Bound {
	return []Bound{
		{"bytes, sent and received", r.bytes(), p.Bounds.BytesPerS, "B/s", m.Exchange.Residual},
		{"processor", r.core() * 100, p.Bounds.CorePercent, "% of a core", m.CPUBase.Residual},
	}
}

func (r Role) bytes() (sum float64) {
	for _, l := range r.Lines {
		sum += l.BytesPerS
	}
	return sum
}

func (r Role) core() (sum float64) {
	for _, l := range r.Lines {
		sum += l.CorePart
	}
	return sum
}

// Sizes that the benchmarks measure at the planned size, in bytes.
const (
	listChangeBytes = 4168.0 // replica, ListChange at 400 instances and 2,200 servers
	listEntryBytes  = 167.0  // one entry of the list as the platform sends it
	// relayedEntryBytes is one entry of the list between instances.
	relayedEntryBytes = 113.0
)

// listChangesPerDay counts changes of the instance list: a replaced instance
// leaves, goes and comes; a failed one goes and comes.
func listChangesPerDay(p *Plan) float64 { return 3*p.ReplacedPerDay + 2*p.FailedPerDay }

// holder is what the holder of a zone's lease spends: node, and its duties.
func (m *Model) holder(p *Plan, b Benchmarks, node Role) Role {
	z := p.size()
	lists := listChangesPerDay(p) / secondsPerDay
	pushes := p.changesPerS() * (z.nodesPerZone - 1)
	r := Role{Name: "Holder of a zone's lease"}
	r.Lines = []Line{
		{Carrier: "as an entry instance", Mechanism: "see above", Sum: "1", BytesPerS: node.bytes(), CorePart: node.core()},
		line("lease", "renewal written to the platform and relayed to the zone", (z.nodesPerZone-1)/renewalS-z.leaseCalls(), m.Call, m.CPUCall),
		{
			Carrier: "changes of documents", Mechanism: "pushed to every instance of the zone",
			Sum:       fmt.Sprintf("%.2f pushes/s × %.0f B", pushes, p.DocumentBytes),
			BytesPerS: pushes * p.DocumentBytes, CorePart: pushes * m.CPUCall.Value,
		},
		{
			Carrier: "instance list", Mechanism: "read each second, sent by the platform when changed (entity tag)",
			Sum:       fmt.Sprintf("%.4f changes/s × %.0f entries × %.0f B", lists, z.listed, listEntryBytes),
			BytesPerS: lists * z.listed * listEntryBytes,
		},
		line("placement", "the holder reads the reports of all the zone's engines itself", z.placerReads(), m.Report, m.CPURead),
		{
			Carrier: "shares of limits, bytes", Mechanism: "request and grant of every other instance each second",
			Sum:       fmt.Sprintf("%.0f × %.0f organisations × %.1f B/s", z.nodesPerZone-1, p.Organisations, m.Share.Value),
			BytesPerS: (z.nodesPerZone - 1) * p.Organisations * m.Share.Value,
		},
		m.shares(p, b),
	}
	r.Bounds = m.totals(r, p)
	return r
}

// zoneRequest is the benchmark of the shares of a zone at the planned size.
const zoneRequest = "ZoneRequest/instances=21/orgs=200"

func (m *Model) shares(p *Plan, b Benchmarks) Line {
	perS := shareRequestsS * p.nodesPerZone()
	l := Line{Carrier: "shares of limits, processor", Mechanism: "the same, by the benchmark of the decision"}
	if ns := b[zoneRequest]["ns/op"]; ns > 0 {
		l.Sum = fmt.Sprintf("%.0f requests/s × %.2f ms", perS, ns/1e6)
		l.CorePart = perS * ns / 1e9
		return l
	}
	l.Sum = "not measured"
	return l
}

func (m *Model) platform(p *Plan) Role {
	changes := p.changesPerS()
	starts := (p.FailedPerDay + p.ReplacedPerDay) / secondsPerDay
	reads := p.Zones*m.ReadsPerZone.Value + changes*(m.ReadsPerChange.Value+p.Zones*m.ChangeReadsZone.Value) + starts*m.StartReads.Value
	writes := p.Zones*m.WritesPerZone.Value + changes*(m.WritesPerChange.Value+p.Zones*m.ChangeWritesZone.Value) + starts*m.StartWrites.Value
	return Role{
		Name: "What the platform sees (leases, documents, status, list; claims and records of requests not counted)",
		Bounds: []Bound{
			{"reads, waiting watches counted", reads, p.Bounds.PlatformReadsS, "calls/s", m.ReadsPerZone.Residual},
			{"writes", writes, p.Bounds.PlatformWritesS, "calls/s", m.WritesPerZone.Residual},
		},
	}
}

// Event is a failure and what it costs.
type Event struct {
	What, Calls, Bytes string
}

// Events returns what failures cost at the planned size.
func (m *Model) Events(p *Plan) []Event {
	perZone, engines := p.nodesPerZone(), p.enginesPerZone()
	// retryS spaces the reads of an instance without the platform.
	const retryS = 5.0
	down := 300.0 // seconds that regions lose each other
	missed := p.changesPerS() * down
	day := p.FailedPerDay + p.ReplacedPerDay
	whole := p.listed() * relayedEntryBytes / 1e3
	return []Event{
		{
			fmt.Sprintf("an ordinary day: %.0f failed, %.0f replaced", p.FailedPerDay, p.ReplacedPerDay),
			fmt.Sprintf("%.0f reads, %.0f writes", day*m.StartReads.Value, day*m.StartWrites.Value+2*p.ReplacedPerDay),
			fmt.Sprintf("%.0f changes of the list × %.0f B = %.1f MB to each instance", listChangesPerDay(p), listChangeBytes, listChangesPerDay(p)*listChangeBytes/1e6),
		},
		{
			fmt.Sprintf("a lost zone comes back: %.0f instances and %.0f servers at once", perZone, engines),
			fmt.Sprintf("%.0f reads, %.0f writes", perZone*m.StartReads.Value, perZone*m.StartWrites.Value),
			fmt.Sprintf("at most the whole list, %.0f kB to each instance, once; each newcomer reads the list (%.0f kB) and all documents", whole, p.listed()*listEntryBytes/1e3),
		},
		{
			fmt.Sprintf("regions cut for %.0f s", down),
			fmt.Sprintf("none more; a zone that is cut off the platform itself tries %.0f reads a second", perZone/retryS),
			fmt.Sprintf("afterwards %.0f documents × %.0f B = %.0f kB to each instance", missed, p.DocumentBytes, missed*p.DocumentBytes/1e3),
		},
	}
}

// Print writes slopes, extrapolation and benchmarks as Markdown.
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
