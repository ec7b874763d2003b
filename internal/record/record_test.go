package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

func origin(i int) Origin { return Origin{Instance: fmt.Sprintf("i%d", i), Incarnation: "1"} }

func sampleEntry(i int) Entry {
	return Entry{
		Kind: KindAdmitted, Organisation: "org-a", Service: "chat", Model: "m", RequestID: fmt.Sprint(i),
		Detail: "d", Code: 200, ConfigVersion: 7, KeyID: "k1", KeyAgeMS: 12, ShareRate: 1.5, Tokens: 100,
	}
}

// flushAll flushes the journal and returns its batches.
func flushAll(j *Journal) []Batch {
	var batches []Batch
	for b, ok := j.NextBatch(0); ok; b, ok = j.NextBatch(0) {
		batches = append(batches, b)
		j.MarkFlushed(b.LastSeq())
	}
	return batches
}

func clone(batches []Batch) []Batch {
	raw, err := json.Marshal(batches)
	if err != nil {
		panic(err)
	}
	var out []Batch
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return out
}

// entryChanges are functions that each change one part of an entry.
var entryChanges = []func(*Entry){
	func(e *Entry) { e.Kind = KindRefused },
	func(e *Entry) { e.Organisation += "x" },
	func(e *Entry) { e.Service += "x" },
	func(e *Entry) { e.Model += "x" },
	func(e *Entry) { e.RequestID += "x" },
	func(e *Entry) { e.Detail += "x" },
	func(e *Entry) { e.Code++ },
	func(e *Entry) { e.ConfigVersion++ },
	func(e *Entry) { e.KeyID += "x" },
	func(e *Entry) { e.KeyAgeMS++ },
	func(e *Entry) { e.ShareRate++ },
	func(e *Entry) { e.Tokens++ },
	func(e *Entry) { e.Lost++ },
	func(e *Entry) { e.LostHash = &Hash{1} },
	func(e *Entry) { e.At.WallMS++ },
	func(e *Entry) { e.At.Logical++ },
	func(e *Entry) { e.Hash[3]++ },
	moveFieldBoundary,
}

// moveFieldBoundary moves the boundary between two adjacent fields and keeps their
// concatenation. If both are empty it sets one, so that the entry always changes.
func moveFieldBoundary(e *Entry) {
	joined := e.Service + e.Model
	if joined == "" {
		joined = "x"
	}
	e.Service, e.Model = "", joined
}

// Verify reports the location of any single mutation of a stored record. For an
// unmodified record it reports only FaultNotStopped.
func TestVerifyNamesEveryMutation(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		var batches []Batch
		var heads []Head
		for i := range 2 {
			j := NewJournal(origin(i), 1000, JournalOptions{BatchLimit: 3})
			for n := range rapid.IntRange(3, 12).Draw(t, "entries") {
				_, err := j.Append(int64(1000+n), sampleEntry(n))
				must.NoError(t, err)
			}
			if rapid.Bool().Draw(t, "stops") {
				j.Stop(2000)
			}
			heads = append(heads, j.Head())
			batches = append(batches, flushAll(j)...)
		}
		batches = clone(batches)
		for _, f := range Verify(batches, heads).Findings {
			must.EqOp(t, FaultNotStopped, f.Fault, must.Sprint("findings in an unmodified record"))
		}
		must.SliceEmpty(t, Verify(append(clone(batches), batches[0]), heads).withFault(FaultConflict))
		b := rapid.IntRange(0, len(batches)-1).Draw(t, "batch")
		seq, want := mutate(t, batches, b)
		o := batches[b].Origin
		found := Verify(batches, heads).Findings
		must.True(t, slices.ContainsFunc(found, func(f Finding) bool {
			return f.Origin == o && f.Fault == want && f.Seq <= seq && seq <= max(f.Seq, f.Through)
		}), must.Sprintf("want %s at %v %d, found %+v", want, o, seq, found))
	})
}

func (r Report) withFault(f Fault) []Finding {
	return slices.DeleteFunc(slices.Clone(r.Findings), func(x Finding) bool { return x.Fault != f })
}

// mutate changes one batch and returns the sequence number and the fault that
// Verify must report.
func mutate(t *rapid.T, batches []Batch, b int) (uint64, Fault) {
	entries := batches[b].Entries
	i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
	seq := entries[i].Seq
	change := rapid.SampledFrom(entryChanges).Draw(t, "change")
	switch rapid.IntRange(0, 5).Draw(t, "mutation") {
	case 0: // remove one entry
		batches[b].Entries = slices.Delete(entries, i, i+1)
		return seq, FaultMissing
	case 1:
		change(&entries[i])
		return seq, FaultChanged
	case 2: // swap within the batch, or remove the batch if it has one entry
		if len(entries) > 1 {
			i = min(i, len(entries)-2)
			entries[i], entries[i+1] = entries[i+1], entries[i]
			return entries[i+1].Seq, FaultReordered
		}
		batches[b].Entries = nil
		return seq, FaultMissing
	case 3: // truncate
		batches[b].Entries = entries[:i]
		return seq, FaultMissing
	case 4: // duplicate with a change
		e := entries[i]
		change(&e)
		batches[b].Entries = append(entries, e)
		return seq, FaultConflict
	}
	batches[b].Prev[0]++
	return batches[b].FirstSeq(), FaultChanged
}

// Timestamps respect causality through messages between instances whose wall
// clocks differ and step back.
func TestClockFollowsCausality(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		const instances = 3
		var clocks [instances]Clock
		var past [instances]HLC // the greatest timestamp in the instance's causal past
		type message struct{ at HLC }
		var sent []message
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			if len(sent) > 0 && rapid.Bool().Draw(t, "receive") {
				m := rapid.SampledFrom(sent).Draw(t, "message")
				clocks[i].Observe(m.at)
				if m.at.Compare(past[i]) > 0 {
					past[i] = m.at
				}
			}
			at := clocks[i].Now(rapid.Int64Range(0, 50).Draw(t, "wall"))
			must.Positive(t, at.Compare(past[i]))
			past[i] = at
			sent = append(sent, message{at})
		}
	})
}

// An instance that crashes loses only entries that were neither flushed nor
// copied. The batches that the peer adopts may overlap with flushed ones. Verify
// reports where the chain ends.
func TestCrashLosesOnlyUncopiedEntries(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		j := NewJournal(origin(0), 0, JournalOptions{BatchLimit: 4})
		copies := NewCopies(1000)
		store := map[string]Batch{}
		var flushed, copied uint64
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0: // flush; the reply, or the notice to the peer, may be lost
				if b, ok := j.NextBatch(0); ok {
					last := storeBatch(t, store, b)
					flushed = max(flushed, last)
					if rapid.Bool().Draw(t, "reply") {
						j.MarkFlushed(last)
						if rapid.Bool().Draw(t, "notice") {
							copies.MarkFlushed(origin(0), last)
						}
					}
				}
			case 1: // copy; a late or lost acknowledgement makes entries be copied again
				from := rapid.Uint64Range(0, copied).Draw(t, "from")
				if b, ok := j.NextBatch(from); ok {
					copied = max(copied, copies.Receive(b))
				}
			default:
				_, err := j.Append(int64(n), sampleEntry(n))
				must.NoError(t, err)
			}
		}
		if b, ok := copies.Adopt(origin(0)); ok {
			for ok {
				b, ok = b.entriesAfter(storeBatch(t, store, b))
			}
		}
		var batches []Batch
		for _, b := range store {
			batches = append(batches, b)
		}
		slices.SortFunc(batches, func(a, b Batch) int { return int(a.FirstSeq()) - int(b.FirstSeq()) })
		safe := max(flushed, copied)
		var want []Finding
		if len(batches) > 0 {
			want = []Finding{{Origin: origin(0), Fault: FaultNotStopped, Seq: safe + 1}}
		}
		must.Eq(t, want, Verify(batches, nil).Findings)
		if h := j.Head(); h.Seq > safe {
			must.Eq(t, []Finding{{Origin: origin(0), Fault: FaultMissing, Seq: safe + 1, Through: h.Seq}},
				Verify(batches, []Head{h}).Findings)
		}
	})
}

// storeBatch creates the object of the batch, or resolves the batch against the
// stored one. It returns the last sequence number that is stored.
func storeBatch(t *rapid.T, store map[string]Batch, b Batch) uint64 {
	stored, ok := store[b.Name()]
	if !ok {
		store[b.Name()] = b
		return b.LastSeq()
	}
	last, err := Resolve(b, stored)
	must.NoError(t, err)
	return last
}

// A full journal counts and hashes the entries that it leaves out, and Verify
// reports the gap.
func TestFullJournalAppendsGapEntry(t *testing.T) {
	j := NewJournal(origin(0), 0, JournalOptions{Capacity: 4})
	var lost uint64
	for n := range 10 {
		if _, err := j.Append(1, sampleEntry(n)); errors.Is(err, ErrFull) {
			lost++
		}
	}
	must.LessEq(t, 4, j.PendingCount())
	batches := flushAll(j)
	_, err := j.Append(2, sampleEntry(11))
	must.NoError(t, err)
	j.Stop(3)
	batches = append(batches, flushAll(j)...)
	findings := Verify(batches, []Head{j.Head()}).Findings
	must.SliceLen(t, 1, findings)
	must.EqOp(t, FaultGap, findings[0].Fault)
	must.EqOp(t, lost, findings[0].Lost)
}

func TestOrderMergesInstances(t *testing.T) {
	a, b := NewJournal(origin(0), 100, JournalOptions{}), NewJournal(origin(1), 0, JournalOptions{})
	at, err := a.Append(100, sampleEntry(1))
	must.NoError(t, err)
	b.Observe(at) // b's wall clock is behind a's
	_, err = b.Append(5, sampleEntry(2))
	must.NoError(t, err)
	order := Verify(append(flushAll(b), flushAll(a)...), nil).EntriesOf("org-a")
	must.SliceLen(t, 2, order)
	must.EqOp(t, "1", order[0].RequestID)
	must.EqOp(t, "2", order[1].RequestID)
}

func BenchmarkAppend(b *testing.B) {
	j := NewJournal(origin(0), 0, JournalOptions{})
	e := sampleEntry(1)
	b.ReportAllocs()
	for i := range b.N {
		if _, err := j.Append(int64(i), e); err != nil {
			j.MarkFlushed(j.Head().Seq)
		}
	}
	batch, _ := NewJournal(origin(0), 0, JournalOptions{}).NextBatch(0)
	empty, _ := json.Marshal(batch)
	one := NewJournal(origin(0), 0, JournalOptions{})
	for range 100 {
		_, _ = one.Append(1_796_000_000_000, e)
	}
	full, _ := one.NextBatch(0)
	raw, _ := json.Marshal(full)
	b.ReportMetric(float64(len(raw)-len(empty))/100, "stored-B/entry")
	b.ReportMetric(float64(len(e.appendCanonical(nil))), "hashed-B/entry")
}
