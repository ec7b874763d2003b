package streamversion

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTries is the number of times that a record is sent to a keeper, or to the one that
	// takes its place.
	maxTries = 3
	// suspectFor is how long an instance to which a call failed is passed over.
	suspectFor = 2 * time.Second
	// maxBatch is the number of records in a message.
	maxBatch = 512
)

// Batch is records to send to an instance.
type Batch struct {
	To      string
	Records []Record
	tries   int
}

// Tracker is what one instance knows of the versions of streams, and what it has yet to tell
// others. It is not safe for concurrent use.
type Tracker struct {
	self     Member
	book     *Book
	history  *History
	untold   []Record // began here, and were not told to their keepers
	again    []Batch  // of which a call failed
	unstored []Record // began here, and were not passed on to be stored
	restored *Restored
	suspects map[string]time.Duration
}

// NewTracker returns the tracker of an instance. horizon is the longest time from the
// beginning of a stream until it is resumed.
func NewTracker(self Member, horizon time.Duration) *Tracker {
	return &Tracker{self: self, book: NewBook(), history: NewHistory(horizon), suspects: map[string]time.Duration{}}
}

// History returns which versions were listed.
func (t *Tracker) History() *History { return t.history }

// Began records that a stream began at this instance.
func (t *Tracker) Began(now time.Duration, r Record) {
	t.book.Put(now, r)
	t.untold = append(t.untold, r)
	if len(t.untold) > maxRecords {
		t.untold = t.untold[1:]
	}
}

// Receive records what another instance tells.
func (t *Tracker) Receive(now time.Duration, records []Record) {
	for _, r := range records {
		t.book.Put(now, r)
	}
}

// Version returns the version at which a stream began, if this instance has the record.
func (t *Tracker) Version(now time.Duration, key Key, service string) (string, bool) {
	return t.book.Version(now, key, service)
}

// store adds records to those that are to be stored.
func (t *Tracker) store(records ...Record) {
	t.unstored = append(t.unstored, records...)
	t.unstored = t.unstored[max(len(t.unstored)-maxRecords, 0):]
}

// TakeUnstored removes the records of services with several versions that began here and were
// not passed on to be stored, and returns them.
func (t *Tracker) TakeUnstored() []Record {
	out := t.unstored
	t.unstored = nil
	return out
}

// ReturnUnstored takes records back that could not be passed on. Beyond maxRecords, the oldest
// are dropped.
func (t *Tracker) ReturnUnstored(records []Record) {
	later := t.unstored
	t.unstored = nil
	t.store(records...)
	t.store(later...)
}

// Restore records what was stored before this process began, nil for nothing.
func (t *Tracker) Restore(r *Restored) { t.restored = r }

// RestoredVersion returns the version at which a stream began, if it was stored before this
// process began. What was read is dropped once none of the streams can be resumed.
func (t *Tracker) RestoredVersion(now time.Duration, key Key, service string) (string, bool) {
	if t.restored == nil {
		return "", false
	}
	if now-t.restored.readAt >= t.history.horizon {
		t.restored = nil
		return "", false
	}
	return t.restored.version(key, service)
}

// Due returns the records to send now. Those of services with one version wait, as its
// streams can go on anywhere, until there are several.
func (t *Tracker) Due(now time.Duration, members []Member) []Batch {
	members = t.reliable(now, members)
	b := batches{}
	t.untold = slices.DeleteFunc(t.untold, func(r Record) bool {
		if now >= r.Until {
			return true
		}
		if !t.history.Several(now, r.Service) {
			return false
		}
		b.add(r, Keepers(r.Key, members, t.self.Zone), t.self.Name, 0)
		t.store(r)
		return true
	})
	for _, failed := range t.again {
		for _, r := range failed.Records {
			b.add(r, Keepers(r.Key, members, t.self.Zone), t.self.Name, failed.tries)
		}
	}
	t.again = nil
	return b.list()
}

// HandOver returns the records that others have to keep when this instance ends. members are
// those that stay.
func (t *Tracker) HandOver(now time.Duration, members []Member) []Batch {
	members = slices.DeleteFunc(t.reliable(now, members), func(m Member) bool { return m.Name == t.self.Name })
	b := batches{}
	for _, r := range t.book.Records(now) {
		if t.history.Several(now, r.Service) {
			b.add(r, Keepers(r.Key, members, t.self.Zone), t.self.Name, 0)
		}
	}
	return b.list()
}

// Failed records that a batch did not get through.
func (t *Tracker) Failed(now time.Duration, b Batch) {
	t.suspect(now, b.To)
	if b.tries++; b.tries < maxTries && len(t.again) < maxBatch {
		t.again = append(t.again, b)
	}
}

// Asked returns the names of the other instances to ask for the record of a stream.
func (t *Tracker) Asked(key Key, members []Member) []string {
	return slices.DeleteFunc(Asked(key, members, t.self.Zone), func(name string) bool { return name == t.self.Name })
}

func (t *Tracker) suspect(now time.Duration, name string) {
	for other, at := range t.suspects {
		if now-at >= suspectFor {
			delete(t.suspects, other)
		}
	}
	t.suspects[name] = now
}

// reliable returns the members to which no call failed lately.
func (t *Tracker) reliable(now time.Duration, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if at, ok := t.suspects[m.Name]; !ok || now-at >= suspectFor {
			out = append(out, m)
		}
	}
	return out
}

// batches collects records by the instance that they go to and the number of tries.
type batches map[batchKey]*Batch

type batchKey struct {
	to    string
	tries int
}

func (b batches) add(r Record, keepers []string, self string, tries int) {
	for _, to := range keepers {
		if to == self {
			continue
		}
		key := batchKey{to, tries}
		if b[key] == nil {
			b[key] = &Batch{To: to, tries: tries}
		}
		b[key].Records = append(b[key].Records, r)
	}
}

// list returns the batches, in parts of maxBatch records, ordered by receiver.
func (b batches) list() []Batch {
	var out []Batch
	for _, batch := range b {
		for part := range slices.Chunk(batch.Records, maxBatch) {
			out = append(out, Batch{To: batch.To, Records: part, tries: batch.tries})
		}
	}
	slices.SortFunc(out, func(a, b Batch) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.tries, b.tries), cmp.Compare(len(b.Records), len(a.Records)))
	})
	return out
}
