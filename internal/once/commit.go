package once

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// advance opens the next call if none is open.
func (c *Claimer) advance(now time.Duration) {
	if c.op != opNone || c.away(now) {
		return
	}
	if len(c.claims) == 0 && len(c.settles) == 0 && !c.unsure {
		return
	}
	if !c.loaded {
		c.emit(Get{Op: c.start(now, opGetHead), Name: headName(c.opts.Shard)})
		return
	}
	if c.loadSegment(now) {
		return
	}
	if now >= c.nextWrite {
		c.commit(now)
	}
}

// loadSegment reads the first sealed segment that is not cached.
func (c *Claimer) loadSegment(now time.Duration) bool {
	for _, ref := range c.head.Segments {
		if _, ok := c.cache[ref.Version]; ok {
			continue
		}
		c.opTarget = ref.Version
		name := segmentName(c.opts.Shard, ref.Version)
		c.emit(Get{Op: c.start(now, opGetSegment), Name: name})
		return true
	}
	return false
}

func (c *Claimer) read(now time.Duration, m StoreRead) {
	if m.Op != c.opID {
		return
	}
	kind := c.op
	switch kind {
	case opGetHead:
		c.op = opNone
		c.readHead(now, m)
	case opGetSegment:
		c.op = opNone
		c.readSegment(now, m)
	}
}

func (c *Claimer) readHead(now time.Duration, m StoreRead) {
	var h head
	if m.Found && !c.objectOK(m.Object, &h) {
		c.failed(now)
		return
	}
	if m.Object.Version < c.version {
		c.failed(now) // an older copy than one already seen decides nothing
		return
	}
	c.failures = 0
	c.version, c.head, c.loaded, c.unsure = m.Object.Version, h, true, false
	c.fresh = now
	c.removeOrphan()
	c.noteSegments(now)
	c.rebuild(now)
}

// removeOrphan deletes a segment made here once the head has moved on without
// it: a head that names it could only have been written over its version.
func (c *Claimer) removeOrphan() {
	version := c.orphan
	if version == 0 || version == c.version {
		return
	}
	c.orphan = 0
	named := slices.ContainsFunc(c.head.Segments, func(r segmentRef) bool { return r.Version == version })
	if object := c.objects[version]; !named && object != 0 {
		delete(c.objects, version)
		c.emit(Delete{Name: segmentName(c.opts.Shard, version), Version: object})
	}
}

func (c *Claimer) readSegment(now time.Duration, m StoreRead) {
	var s segment
	if !m.Found || m.Object.Deleted || !c.objectOK(m.Object, &s) {
		// The head that named it is no longer the current one, or the
		// segment is lost: read the head again, grant nothing meanwhile.
		c.loaded = false
		c.failed(now)
		return
	}
	c.failures = 0
	c.cache[c.opTarget] = s.Entries
	c.objects[c.opTarget] = m.Object.Version
	c.rebuild(now)
}

// noteSegments starts the clock of new segments and drops what the head no
// longer names.
func (c *Claimer) noteSegments(now time.Duration) {
	named := map[uint64]bool{}
	for _, ref := range c.head.Segments {
		named[ref.Version] = true
		if _, ok := c.seen[ref.Version]; !ok {
			c.seen[ref.Version] = now
		}
	}
	for version := range c.seen {
		if !named[version] {
			delete(c.seen, version)
			delete(c.cache, version)
			delete(c.objects, version)
		}
	}
}

// rebuild folds the segments and the head into a new index; when a claim was
// first seen is kept.
func (c *Claimer) rebuild(now time.Duration) {
	before := c.index
	c.index = make(index, len(before))
	for _, ref := range c.head.Segments {
		for _, e := range c.cache[ref.Version] {
			c.index.apply(now, ref.Version, e)
		}
	}
	for _, e := range c.head.Entries {
		c.index.apply(now, 0, e)
	}
	for key, k := range c.index {
		if old, ok := before[key]; ok && old.entry.Holder == k.entry.Holder {
			k.seen = old.seen
			c.index[key] = k
		}
	}
}

// commit answers what the index decides and writes the rest in one batch.
func (c *Claimer) commit(now time.Duration) {
	c.answerPending(now)
	c.dropSettled()
	if len(c.claims) == 0 && !c.settleDue(now) {
		return
	}
	next := c.expire(now)
	if c.sealDue(now) {
		if len(next.Segments) < c.opts.MaxSegments {
			c.seal(now)
			return
		}
		c.refuseAll(ReasonFull)
	}
	c.writeHead(now, next)
}

func (c *Claimer) answerPending(now time.Duration) {
	c.claims = slices.DeleteFunc(c.claims, func(p pendingClaim) bool {
		return c.answerKnown(now, p)
	})
}

// dropSettled removes settlements that have nothing to settle. A release of a
// claim that may still be written waits until the version that the write
// depends on is gone.
func (c *Claimer) dropSettled() {
	c.settles = slices.DeleteFunc(c.settles, func(s pendingSettle) bool {
		if s.late && s.asOf == c.version {
			return false
		}
		return !c.holds(s)
	})
}

func (c *Claimer) holds(s pendingSettle) bool {
	k, ok := c.index[s.Key]
	return ok && k.entry.Holder == s.Holder && k.entry.State == StateClaimed
}

func (c *Claimer) settleDue(now time.Duration) bool {
	return slices.ContainsFunc(c.settles, func(s pendingSettle) bool {
		return (c.quiet() || now-s.since >= c.opts.SettleDelay) && (c.holds(s) || s.late)
	})
}

// expire returns the head without the segments that were sealed for the whole
// window on this instance's clock, and with the floor raised over their keys.
func (c *Claimer) expire(now time.Duration) head {
	next := head{FloorMS: c.head.FloorMS, Entries: slices.Clip(c.head.Entries)}
	for i, ref := range c.head.Segments {
		if now-c.seen[ref.Version] < c.opts.Window {
			next.Segments = slices.Clone(c.head.Segments[i:])
			break
		}
		next.FloorMS = max(next.FloorMS, ref.MaxTimeMS)
	}
	return next
}

func (c *Claimer) sealDue(now time.Duration) bool {
	if len(c.head.Entries) == 0 {
		return false
	}
	return now-c.fresh >= c.opts.Roll || len(encode(c.head.Entries)) >= c.opts.SegmentBytes
}

// seal copies the head's entries to a segment of their own.
func (c *Claimer) seal(now time.Duration) {
	c.opTarget = c.version
	c.emit(Put{
		Op:    c.start(now, opPutSegment),
		Name:  segmentName(c.opts.Shard, c.version),
		Value: encode(segment{Entries: c.head.Entries}),
	})
}

// sealed goes on with the write of a head that starts after the segment.
func (c *Claimer) sealed(now time.Duration, version, object uint64) {
	if version != c.version {
		return
	}
	if object != 0 {
		c.objects[version], c.orphan = object, version
	}
	next := c.expire(now)
	next.Segments = append(next.Segments, segmentRef{Version: version, MaxTimeMS: maxTime(next.Entries)})
	next.Entries = nil
	c.writeHead(now, next)
}

// writeHead appends the batch to the head and writes it.
func (c *Claimer) writeHead(now time.Duration, next head) {
	c.batch = c.makeBatch()
	if len(c.batch) == 0 && len(next.Segments) == len(c.head.Segments) && !c.forced() {
		return
	}
	next.Entries = append(next.Entries, c.batch...)
	value := encode(next)
	if len(value) > platform.MaxValueBytes {
		c.overflow()
		return
	}
	c.next = next
	c.stats.Writes++
	c.emit(Put{Op: c.start(now, opPutHead), Name: headName(c.opts.Shard), Version: c.version, Value: value})
}

// overflow gives up what does not fit while no segment may be added. Claims
// whose settlement is dropped stay claimed until they are forgotten.
func (c *Claimer) overflow() {
	c.stats.SettlesDropped += uint64(len(c.settles))
	c.settles = nil
	c.refuseAll(ReasonFull)
}

// forced reports a release that waits for the head's version to pass: a write
// without entries makes it pass.
func (c *Claimer) forced() bool {
	return slices.ContainsFunc(c.settles, func(s pendingSettle) bool { return s.late })
}

// makeBatch takes settlements first, then claims in order of arrival, one
// line per key.
func (c *Claimer) makeBatch() []entry {
	var batch []entry
	size := 0
	taken := map[Digest]bool{}
	add := func(e entry) bool {
		size += len(encode(e))
		if size > c.opts.BatchBytes {
			return false
		}
		taken[e.Key] = true
		batch = append(batch, e)
		return true
	}
	for _, s := range c.settles {
		if taken[s.Key] || !c.holds(s) {
			continue
		}
		e := c.index[s.Key].entry
		e.State, e.Result = s.State, s.Result
		if !add(e) {
			return batch
		}
	}
	for i := range c.claims {
		p := &c.claims[i]
		// A claim that came while a segment was written may be of a key that
		// is known: it is answered from the index, never written.
		if _, known := c.index[p.Key.Digest]; known || taken[p.Key.Digest] {
			continue
		}
		e := entry{Key: p.Key.Digest, State: StateClaimed, Holder: p.Holder, Print: p.Fingerprint, TimeMS: p.Key.TimeMS}
		if !add(e) {
			return batch
		}
		p.tried = true
	}
	return batch
}

func (c *Claimer) written(now time.Duration, m StoreWritten) {
	if m.Op != c.opID {
		return
	}
	switch c.op {
	case opPutSegment:
		c.op = opNone
		c.failures = 0
		c.sealed(now, c.opTarget, m.Version)
	case opPutHead:
		c.op = opNone
		c.headWritten(now, m.Version)
	}
}

func (c *Claimer) headWritten(now time.Duration, version uint64) {
	c.failures = 0
	c.nextWrite = now + c.opts.Interval
	sealed := len(c.head.Entries) > 0 && len(c.next.Entries) == len(c.batch)
	if sealed {
		c.cache[c.version] = c.head.Entries
	}
	dropped := c.dropped()
	if len(c.head.Entries) == 0 || sealed {
		c.fresh = now
	}
	c.version, c.head = version, c.next
	if sealed {
		c.orphan = 0
	}
	c.noteSegments(now)
	switch {
	case sealed || len(dropped) > 0:
		c.rebuild(now)
	default:
		for _, e := range c.batch {
			c.index.apply(now, 0, e)
		}
	}
	for _, d := range dropped {
		c.emit(d)
	}
	c.releaseAbandoned(now)
	c.answerPending(now)
	c.dropSettled()
}

// dropped lists the segments that the head being written no longer names.
func (c *Claimer) dropped() []Delete {
	kept := map[uint64]bool{}
	for _, ref := range c.next.Segments {
		kept[ref.Version] = true
	}
	var list []Delete
	for _, ref := range c.head.Segments {
		if object := c.objects[ref.Version]; !kept[ref.Version] && object != 0 {
			list = append(list, Delete{Name: segmentName(c.opts.Shard, ref.Version), Version: object})
		}
	}
	return list
}

// releaseAbandoned releases the claims that were refused while their write
// was under way.
func (c *Claimer) releaseAbandoned(now time.Duration) {
	for _, e := range c.batch {
		if e.State != StateClaimed {
			continue
		}
		waits := slices.ContainsFunc(c.claims, func(p pendingClaim) bool { return p.Holder == e.Holder })
		queued := slices.ContainsFunc(c.settles, func(s pendingSettle) bool { return s.Holder == e.Holder })
		if !waits && !queued {
			c.queueSettle(pendingSettle{Settle: Settle{Key: e.Key, Holder: e.Holder, State: StateReleased}, since: now})
		}
	}
}
