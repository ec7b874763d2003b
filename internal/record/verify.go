package record

import (
	"cmp"
	"slices"
)

// Fault is a kind of inconsistency in the record.
type Fault string

// The faults that Verify reports.
const (
	FaultMissing    Fault = "missing"   // entries Seq to Through are missing
	FaultChanged    Fault = "changed"   // the entry does not match its hash
	FaultReordered  Fault = "reordered" // the entry is stored after a later one
	FaultConflict   Fault = "conflict"  // two different entries have the same sequence number
	FaultGap        Fault = "lost"      // a gap entry: entries were left out because the journal was full
	FaultNotStopped Fault = "open"      // the chain has no stopped entry: entries from Seq on may be missing
)

// Finding is a fault and its location.
type Finding struct {
	Origin
	Fault   Fault
	Seq     uint64
	Through uint64 // with FaultMissing
	Lost    uint64 // with FaultGap
}

// Placed is an entry and the chain that it belongs to.
type Placed struct {
	Origin
	Entry
}

// Report is the result of Verify.
type Report struct {
	Findings []Finding
	entries  []Placed
}

// EntriesOf returns the entries of an organisation from all chains, ordered by
// timestamp.
func (r Report) EntriesOf(organisation string) []Placed {
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

// Verify checks the chains in batches against their hashes and against heads from
// other sources. The batches must be in the order of the names of their objects.
// Identical duplicates of entries are not reported.
func Verify(batches []Batch, heads []Head) Report {
	var r Report
	chains := map[Origin][]Batch{}
	latest := map[Origin][]Head{}
	var origins []Origin
	addOrigin := func(o Origin) {
		if _, ok := chains[o]; !ok {
			chains[o] = nil
			origins = append(origins, o)
		}
	}
	for _, b := range batches {
		addOrigin(b.Origin)
		chains[b.Origin] = append(chains[b.Origin], b)
	}
	for _, h := range heads {
		addOrigin(h.Origin)
		latest[h.Origin] = append(latest[h.Origin], h)
	}
	slices.SortFunc(origins, func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, o := range origins {
		r.verifyChain(o, chains[o], latest[o])
	}
	return r
}

func (r *Report) addFinding(o Origin, f Fault, seq, through uint64) {
	r.Findings = append(r.Findings, Finding{Origin: o, Fault: f, Seq: seq, Through: through})
}

// indexEntries returns the entries of a chain by sequence number, the first one
// for each number. It reports reordered and conflicting entries.
func (r *Report) indexEntries(o Origin, batches []Batch) map[uint64]Entry {
	entries := map[uint64]Entry{}
	for _, b := range batches {
		var last uint64
		for _, e := range b.Entries {
			if e.Seq < last {
				r.addFinding(o, FaultReordered, e.Seq, 0)
			}
			last = max(last, e.Seq)
			first, duplicate := entries[e.Seq]
			// Hashes over the same previous hash differ if the contents differ.
			switch {
			case !duplicate:
				entries[e.Seq] = e
			case first.Hash != e.Hash || chainHash(Hash{}, &first) != chainHash(Hash{}, &e):
				r.addFinding(o, FaultConflict, e.Seq, 0)
			}
		}
	}
	return entries
}

func (r *Report) verifyChain(o Origin, batches []Batch, heads []Head) {
	entries := r.indexEntries(o, batches)
	seqs := make([]uint64, 0, len(entries))
	for seq := range entries {
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	prev, next, stopped := o.initialHash(), uint64(1), false
	for _, seq := range seqs {
		e := entries[seq]
		if seq != next {
			r.addFinding(o, FaultMissing, next, seq-1)
		} else if chainHash(prev, &e) != e.Hash {
			r.addFinding(o, FaultChanged, seq, 0)
		}
		if e.Kind == KindGap {
			r.Findings = append(r.Findings, Finding{Origin: o, Fault: FaultGap, Seq: seq, Lost: e.Lost})
		}
		r.entries = append(r.entries, Placed{Origin: o, Entry: e})
		prev, next, stopped = e.Hash, seq+1, e.Kind == KindStopped
	}
	r.checkHeads(o, entries, heads, next, stopped)
	r.checkBatchLinks(o, entries, batches)
}

// checkHeads compares the end of the chain with its known heads.
func (r *Report) checkHeads(o Origin, entries map[uint64]Entry, heads []Head, next uint64, stopped bool) {
	var through uint64
	for _, h := range heads {
		through = max(through, h.Seq)
		if e, ok := entries[h.Seq]; ok && e.Hash != h.Hash {
			r.addFinding(o, FaultChanged, h.Seq, 0)
		}
	}
	switch {
	case through >= next:
		r.addFinding(o, FaultMissing, next, through)
	case !stopped:
		r.addFinding(o, FaultNotStopped, next, 0)
	}
}

// checkBatchLinks checks that Prev of each batch is the hash of the preceding
// entry.
func (r *Report) checkBatchLinks(o Origin, entries map[uint64]Entry, batches []Batch) {
	for _, b := range batches {
		if len(b.Entries) == 0 {
			continue
		}
		seq := b.FirstSeq()
		before, ok := entries[seq-1]
		want := before.Hash
		if seq == 1 {
			want, ok = o.initialHash(), true
		}
		if ok && b.Prev != want {
			r.addFinding(o, FaultChanged, seq, 0)
		}
	}
}
