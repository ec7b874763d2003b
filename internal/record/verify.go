package record

import (
	"cmp"
	"slices"
)

// Fault is what is wrong at one place of the record.
type Fault string

// The faults that Verify names.
const (
	FaultMissing   Fault = "missing"   // entries Seq to Through are not there
	FaultChanged   Fault = "changed"   // the entry does not match its hash
	FaultReordered Fault = "reordered" // the entry stands after a later one
	FaultConflict  Fault = "conflict"  // two entries under one number
	FaultLost      Fault = "lost"      // a gap entry: no room at the time
	FaultOpen      Fault = "open"      // no stopped entry: entries from Seq may be missing
)

// Finding names a fault and where it is.
type Finding struct {
	Origin
	Fault   Fault
	Seq     uint64
	Through uint64 // with FaultMissing
	Lost    uint64 // with FaultLost
}

// Placed is an entry with the chain that it belongs to.
type Placed struct {
	Origin
	Entry
}

// Report is the result of Verify.
type Report struct {
	Findings []Finding
	entries  []Placed
}

// Order returns the entries of an organisation, merged by stamp.
func (r Report) Order(organisation string) []Placed {
	var list []Placed
	for _, p := range r.entries {
		if p.Organisation == organisation {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b Placed) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance),
			cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq))
	})
	return list
}

// Verify checks the chains in batches, which come in the order of the names
// of their objects, against heads known from elsewhere. Equal duplicates are
// harmless.
func Verify(batches []Batch, heads []Head) Report {
	var r Report
	chains := map[Origin][]Batch{}
	latest := map[Origin][]Head{}
	var origins []Origin
	note := func(o Origin) {
		if _, ok := chains[o]; !ok {
			chains[o] = nil
			origins = append(origins, o)
		}
	}
	for _, b := range batches {
		note(b.Origin)
		chains[b.Origin] = append(chains[b.Origin], b)
	}
	for _, h := range heads {
		note(h.Origin)
		latest[h.Origin] = append(latest[h.Origin], h)
	}
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, o := range origins {
		r.chain(o, chains[o], latest[o])
	}
	return r
}

func (r *Report) find(o Origin, f Fault, seq, through uint64) {
	r.Findings = append(r.Findings, Finding{Origin: o, Fault: f, Seq: seq, Through: through})
}

// collect takes one entry a number; the first one counts.
func (r *Report) collect(o Origin, batches []Batch) map[uint64]Entry {
	entries := map[uint64]Entry{}
	for _, b := range batches {
		var last uint64
		for _, e := range b.Entries {
			if e.Seq < last {
				r.find(o, FaultReordered, e.Seq, 0)
			}
			last = max(last, e.Seq)
			first, twice := entries[e.Seq]
			switch {
			case !twice:
				entries[e.Seq] = e
			case first.Hash != e.Hash || chained(Hash{}, &first) != chained(Hash{}, &e):
				r.find(o, FaultConflict, e.Seq, 0)
			}
		}
	}
	return entries
}

func (r *Report) chain(o Origin, batches []Batch, heads []Head) {
	entries := r.collect(o, batches)
	seqs := make([]uint64, 0, len(entries))
	for seq := range entries {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	prev, next, stopped := o.first(), uint64(1), false
	for _, seq := range seqs {
		e := entries[seq]
		if seq != next {
			r.find(o, FaultMissing, next, seq-1)
		} else if chained(prev, &e) != e.Hash {
			r.find(o, FaultChanged, seq, 0)
		}
		if e.Kind == KindGap {
			r.Findings = append(r.Findings, Finding{Origin: o, Fault: FaultLost, Seq: seq, Lost: e.Lost})
		}
		r.entries = append(r.entries, Placed{Origin: o, Entry: e})
		prev, next, stopped = e.Hash, seq+1, e.Kind == KindStopped
	}
	r.ends(o, entries, heads, next, stopped)
	r.links(o, entries, batches)
}

// ends compares the chain with the heads that are known of it.
func (r *Report) ends(o Origin, entries map[uint64]Entry, heads []Head, next uint64, stopped bool) {
	var through uint64
	for _, h := range heads {
		through = max(through, h.Seq)
		if e, ok := entries[h.Seq]; ok && e.Hash != h.Hash {
			r.find(o, FaultChanged, h.Seq, 0)
		}
	}
	switch {
	case through >= next:
		r.find(o, FaultMissing, next, through)
	case !stopped:
		r.find(o, FaultOpen, next, 0)
	}
}

// links checks that each batch names the hash before it.
func (r *Report) links(o Origin, entries map[uint64]Entry, batches []Batch) {
	for _, b := range batches {
		if len(b.Entries) == 0 {
			continue
		}
		seq := b.First()
		before, ok := entries[seq-1]
		want := before.Hash
		if seq == 1 {
			want, ok = o.first(), true
		}
		if ok && b.Prev != want {
			r.find(o, FaultChanged, seq, 0)
		}
	}
}
