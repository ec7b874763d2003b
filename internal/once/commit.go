package once

import (
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// advance starts the next call if none is outstanding.
func (c *Claimer) advance(now time.Duration) {
	if c.op != opNone || c.backingOff(now) {
		return
	}
	if len(c.claims) == 0 && len(c.settlements) == 0 && !c.writeUncertain {
		return
	}
	if !c.loaded {
		c.emit(Get{Op: c.beginCall(now, opGetHead), Name: headName(c.opts.Shard)})
		return
	}
	if c.loadSegment(now) {
		return
	}
	if now >= c.nextWriteAt {
		c.commit(now)
	}
}

// loadSegment requests the first sealed segment that is not cached and reports
// whether there was one.
func (c *Claimer) loadSegment(now time.Duration) bool {
	for _, ref := range c.head.Segments {
		if _, ok := c.segmentCache[ref.Version]; ok {
			continue
		}
		c.opSegment = ref.Version
		name := segmentName(c.opts.Shard, ref.Version)
		c.emit(Get{Op: c.beginCall(now, opGetSegment), Name: name})
		return true
	}
	return false
}

func (c *Claimer) handleRead(now time.Duration, m StoreRead) {
	if m.Op != c.opID {
		return
	}
	kind := c.op
	switch kind {
	case opGetHead:
		c.op = opNone
		c.applyHead(now, m)
	case opGetSegment:
		c.op = opNone
		c.applySegment(now, m)
	}
}

func (c *Claimer) applyHead(now time.Duration, m StoreRead) {
	var h head
	if m.Found && !c.decodeObject(m.Object, &h) {
		c.recordFailure(now)
		return
	}
	if m.Object.Version < c.version {
		c.recordFailure(now) // a stale read: a newer version was seen before
		return
	}
	c.failures = 0
	c.version, c.head, c.loaded, c.writeUncertain = m.Object.Version, h, true, false
	c.headSeenAt = now
	c.removeOrphan()
	c.syncSegments(now)
	c.rebuildIndex(now)
}

// removeOrphan deletes a segment that this Claimer wrote once the head has a new
// version and does not reference the segment. Only a head write conditional on
// the segment's version could have referenced it.
func (c *Claimer) removeOrphan() {
	version := c.orphanSegment
	if version == 0 || version == c.version {
		return
	}
	c.orphanSegment = 0
	referenced := slices.ContainsFunc(c.head.Segments, func(r segmentRef) bool { return r.Version == version })
	if objectVersion := c.objectVersions[version]; !referenced && objectVersion != 0 {
		delete(c.objectVersions, version)
		c.emit(Delete{Name: segmentName(c.opts.Shard, version), Version: objectVersion})
	}
}

func (c *Claimer) applySegment(now time.Duration, m StoreRead) {
	var s segment
	if !m.Found || m.Object.Deleted || !c.decodeObject(m.Object, &s) {
		// The head that references the segment is outdated or the segment is
		// lost: read the head again and grant no claim until then.
		c.loaded = false
		c.recordFailure(now)
		return
	}
	c.failures = 0
	c.segmentCache[c.opSegment] = s.Entries
	c.objectVersions[c.opSegment] = m.Object.Version
	c.rebuildIndex(now)
}

// syncSegments records when new segments were first seen and discards the state
// of segments that the head no longer references.
func (c *Claimer) syncSegments(now time.Duration) {
	referenced := map[uint64]bool{}
	for _, ref := range c.head.Segments {
		referenced[ref.Version] = true
		if _, ok := c.segmentSeenAt[ref.Version]; !ok {
			c.segmentSeenAt[ref.Version] = now
		}
	}
	for version := range c.segmentSeenAt {
		if !referenced[version] {
			delete(c.segmentSeenAt, version)
			delete(c.segmentCache, version)
			delete(c.objectVersions, version)
		}
	}
}

// rebuildIndex builds a new index from the segments and the head. It keeps the
// time at which each claim was first seen.
func (c *Claimer) rebuildIndex(now time.Duration) {
	before := c.index
	c.index = make(index, len(before))
	for _, ref := range c.head.Segments {
		for _, e := range c.segmentCache[ref.Version] {
			c.index.apply(now, ref.Version, e)
		}
	}
	for _, e := range c.head.Entries {
		c.index.apply(now, 0, e)
	}
	for key, k := range c.index {
		if old, ok := before[key]; ok && old.entry.Holder == k.entry.Holder {
			k.firstSeen = old.firstSeen
			c.index[key] = k
		}
	}
}

// commit answers the claims whose reply the index determines and writes the
// others in one batch.
func (c *Claimer) commit(now time.Duration) {
	c.answerPending(now)
	c.dropObsoleteSettlements()
	if len(c.claims) == 0 && !c.settlementDue(now) {
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
		return c.answerFromIndex(now, p)
	})
}

// dropObsoleteSettlements removes settlements whose claim is not open. It keeps
// the release of a claim that may still be written until the head has another
// version than the one on which that write is conditional.
func (c *Claimer) dropObsoleteSettlements() {
	c.settlements = slices.DeleteFunc(c.settlements, func(s pendingSettlement) bool {
		if s.claimUncertain && s.claimWriteVersion == c.version {
			return false
		}
		return !c.claimOpen(s)
	})
}

func (c *Claimer) claimOpen(s pendingSettlement) bool {
	k, ok := c.index[s.Key]
	return ok && k.entry.Holder == s.Holder && k.entry.State == StateClaimed
}

func (c *Claimer) settlementDue(now time.Duration) bool {
	return slices.ContainsFunc(c.settlements, func(s pendingSettlement) bool {
		return (c.claimsAreRare() || now-s.queuedAt >= c.opts.SettleDelay) && (c.claimOpen(s) || s.claimUncertain)
	})
}

// expire returns the head without the segments that have been sealed for at
// least the window by this instance's clock, and with the floor raised to the
// latest time of their keys.
func (c *Claimer) expire(now time.Duration) head {
	next := head{FloorMS: c.head.FloorMS, Entries: slices.Clip(c.head.Entries)}
	for i, ref := range c.head.Segments {
		if now-c.segmentSeenAt[ref.Version] < c.opts.Window {
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
	return now-c.headSeenAt >= c.opts.MaxHeadAge || len(encode(c.head.Entries)) >= c.opts.SegmentBytes
}

// seal writes the head's entries to a new segment.
func (c *Claimer) seal(now time.Duration) {
	c.opSegment = c.version
	c.emit(Put{
		Op:    c.beginCall(now, opPutSegment),
		Name:  segmentName(c.opts.Shard, c.version),
		Value: encode(segment{Entries: c.head.Entries}),
	})
}

// segmentSealed writes a head that references the new segment and no longer
// holds its entries. objectVersion is 0 if another writer wrote the segment.
func (c *Claimer) segmentSealed(now time.Duration, version, objectVersion uint64) {
	if version != c.version {
		return
	}
	if objectVersion != 0 {
		c.objectVersions[version], c.orphanSegment = objectVersion, version
	}
	next := c.expire(now)
	next.Segments = append(next.Segments, segmentRef{Version: version, MaxTimeMS: maxTimeMS(next.Entries)})
	next.Entries = nil
	c.writeHead(now, next)
}

// writeHead appends the batch to the head and writes it.
func (c *Claimer) writeHead(now time.Duration, next head) {
	c.batch = c.makeBatch()
	if len(c.batch) == 0 && len(next.Segments) == len(c.head.Segments) && !c.versionBumpNeeded() {
		return
	}
	next.Entries = append(next.Entries, c.batch...)
	value := encode(next)
	if len(value) > objectstore.MaxValueBytes {
		c.discardPending()
		return
	}
	c.nextHead = next
	c.stats.Writes++
	c.emit(Put{Op: c.beginCall(now, opPutHead), Name: headName(c.opts.Shard), Version: c.version, Value: value})
}

// discardPending drops all pending settlements and refuses all pending claims,
// because the head would exceed the largest object and no segment may be added.
// Claims whose settlement is dropped stay claimed until they are forgotten.
func (c *Claimer) discardPending() {
	c.stats.SettlementsDropped += uint64(len(c.settlements))
	c.settlements = nil
	c.refuseAll(ReasonFull)
}

// versionBumpNeeded reports whether a release is deferred until the head has a
// new version. A write without entries creates one.
func (c *Claimer) versionBumpNeeded() bool {
	return slices.ContainsFunc(c.settlements, func(s pendingSettlement) bool { return s.claimUncertain })
}

// makeBatch returns the entries of the next write, at most one per key:
// settlements first, then claims in order of arrival.
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
	for _, s := range c.settlements {
		if taken[s.Key] || !c.claimOpen(s) {
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
		// A claim that arrived while a segment was being written may have a key
		// that is in the index: it is answered from the index and not written.
		if _, indexed := c.index[p.Key.Digest]; indexed || taken[p.Key.Digest] {
			continue
		}
		e := entry{Key: p.Key.Digest, State: StateClaimed, Holder: p.Holder, Print: p.Fingerprint, TimeMS: p.Key.TimeMS}
		if !add(e) {
			return batch
		}
		p.maybeWritten = true
	}
	return batch
}

func (c *Claimer) handleWritten(now time.Duration, m StoreWritten) {
	if m.Op != c.opID {
		return
	}
	switch c.op {
	case opPutSegment:
		c.op = opNone
		c.failures = 0
		c.segmentSealed(now, c.opSegment, m.Version)
	case opPutHead:
		c.op = opNone
		c.headWritten(now, m.Version)
	}
}

func (c *Claimer) headWritten(now time.Duration, version uint64) {
	c.failures = 0
	c.nextWriteAt = now + c.opts.WriteInterval
	// A head that is written after sealing holds only the entries of the batch.
	sealed := len(c.head.Entries) > 0 && len(c.nextHead.Entries) == len(c.batch)
	if sealed {
		c.segmentCache[c.version] = c.head.Entries
	}
	dropped := c.droppedSegments()
	if len(c.head.Entries) == 0 || sealed {
		c.headSeenAt = now
	}
	c.version, c.head = version, c.nextHead
	if sealed {
		c.orphanSegment = 0
	}
	c.syncSegments(now)
	switch {
	case sealed || len(dropped) > 0:
		c.rebuildIndex(now)
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
	c.dropObsoleteSettlements()
}

// droppedSegments returns a Delete for each segment that the head being written
// no longer references.
func (c *Claimer) droppedSegments() []Delete {
	kept := map[uint64]bool{}
	for _, ref := range c.nextHead.Segments {
		kept[ref.Version] = true
	}
	var list []Delete
	for _, ref := range c.head.Segments {
		if objectVersion := c.objectVersions[ref.Version]; !kept[ref.Version] && objectVersion != 0 {
			list = append(list, Delete{Name: segmentName(c.opts.Shard, ref.Version), Version: objectVersion})
		}
	}
	return list
}

// releaseAbandoned queues the release of claims that were refused while their
// write was outstanding.
func (c *Claimer) releaseAbandoned(now time.Duration) {
	for _, e := range c.batch {
		if e.State != StateClaimed {
			continue
		}
		stillPending := slices.ContainsFunc(c.claims, func(p pendingClaim) bool { return p.Holder == e.Holder })
		settlementQueued := slices.ContainsFunc(c.settlements, func(s pendingSettlement) bool { return s.Holder == e.Holder })
		if !stillPending && !settlementQueued {
			c.queueSettlement(pendingSettlement{Settlement: Settlement{Key: e.Key, Holder: e.Holder, State: StateReleased}, queuedAt: now})
		}
	}
}
