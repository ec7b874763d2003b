package storesync

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

const (
	// restoredConfigGrace is how long a configuration stays in force although the store has
	// come back from an older copy with one of before it. The operator writes the lost one
	// again, and requests must not be handled as before it meanwhile. After this time the
	// store's counts, so that what instances do does not depend on when they started. It begins
	// with the first sight of the era, so that it ends at all instances at about the same time.
	restoredConfigGrace = 30 * time.Second
	// rewriteSettleTime is how long a configuration of a lower version that this instance has
	// not had before waits for the lost ones that the operator may be writing again after it.
	rewriteSettleTime = 500 * time.Millisecond
	// maxKnownConfigs bounds the configurations that are remembered.
	maxKnownConfigs = 256
)

// configDigest identifies the content of a configuration.
type configDigest [sha256.Size]byte

// configHistory tells what the operator wrote since the store came back from an older copy from
// what the copy still had and from lost versions that are written again. Its zero value knows
// nothing.
type configHistory struct {
	known    []configDigest // that were in force, the latest last
	earliest uint64         // the store's revision of the first that was in force
	era      uint64         // latest era of which a list was read
	base     uint64         // the store's revision when a list of that era was first read
}

// putInForce records a configuration that is put in force.
func (h *configHistory) putInForce(obj objectstore.Object) {
	if len(h.known) == 0 {
		h.earliest = objectstore.RevisionOf(obj.Version)
	}
	if len(h.known) == maxKnownConfigs {
		h.known = h.known[1:]
	}
	h.known = append(h.known, sha256.Sum256(obj.Value))
}

// observe records the version of the store of which a list was read.
func (h *configHistory) observe(version uint64) {
	if era := objectstore.EraOf(version); era > h.era {
		h.era, h.base = era, objectstore.RevisionOf(version)
	}
}

// origin is where a configuration of a store that came back from an older copy stems from.
type origin int

const (
	// originBefore means that it was in force before: the copy still had it, or it was lost and
	// is written again.
	originBefore origin = iota
	// originSince means that it was written for the first time after the store came back.
	originSince
	// originUnknown means that this instance cannot tell: it was not there at that revision.
	originUnknown
)

// originOf returns the origin of a configuration. One that was not in force before is new if
// this instance was there at its revision, or if the store did not have it when its era was
// first read.
func (h *configHistory) originOf(obj objectstore.Object) origin {
	if slices.Contains(h.known, sha256.Sum256(obj.Value)) {
		return originBefore
	}
	revision := objectstore.RevisionOf(obj.Version)
	if revision > h.earliest || h.era > 0 && objectstore.EraOf(obj.Version) == h.era && revision > h.base {
		return originSince
	}
	return originUnknown
}

// eraSight is the first sight of the store's latest era, from whatever source.
type eraSight struct {
	era uint64
	at  time.Duration
}

func (s *eraSight) observe(now time.Duration, era uint64) {
	if era > s.era {
		s.era, s.at = era, now
	}
}

// heldConfig is a configuration of a store that came back from an older copy that is not put
// in force yet.
type heldConfig struct {
	object  objectstore.Object // with version 0 for none
	source  string
	until   time.Duration
	settles bool // rather than waiting for the operator
}

// holds reports whether an object is the one held back and its time has not passed, or an
// earlier one, such as that of a peer that has started since the store came back.
func (h *heldConfig) holds(now time.Duration, obj objectstore.Object) bool {
	return obj.Version < h.object.Version || obj.Version == h.object.Version && now < h.until
}

// hold holds an object of a new era back, at most until the end of the grace. What settles does
// so from the first of a series.
func (h *heldConfig) hold(now, graceEnd time.Duration, obj objectstore.Object, source string, settles bool) {
	if objectstore.EraOf(h.object.Version) < objectstore.EraOf(obj.Version) {
		*h = heldConfig{}
	}
	switch {
	case !settles:
		h.until = graceEnd
	case !h.settles:
		h.until = min(graceEnd, now+rewriteSettleTime)
	}
	h.object, h.source, h.settles = obj, source, settles
}

// holdBack reports whether a configuration is not to be put in force, because it is of an
// earlier version than the one in force and of an older copy of the store, or may be followed
// by the lost versions. applyMu is held.
func (c *Controller) holdBack(obj objectstore.Object, config *fleet.Config, source string) bool {
	current := c.config.Load()
	own, _, _ := c.Revisions()
	if current == nil || config.Version >= current.Version || objectstore.EraOf(obj.Version) <= objectstore.EraOf(own) {
		return false
	}
	c.mu.Lock()
	origin := c.history.originOf(obj)
	c.mu.Unlock()
	fromPeer := source != sourceStore // which has it in force
	if origin == originSince && fromPeer {
		return false
	}
	now := c.opts.Now()
	c.sight.observe(now, objectstore.EraOf(obj.Version))
	if c.restored.object.Version != obj.Version {
		c.restored.hold(now, c.sight.at+restoredConfigGrace, obj, source, origin == originSince || origin == originUnknown && fromPeer)
	}
	if now >= c.restored.until {
		return false
	}
	c.mu.Lock()
	c.notes.held = obj.Version
	c.mu.Unlock()
	c.opts.Log.Warn("configuration of an older copy of the store held back", "version", config.Version, "in_force", current.Version,
		"revision", obj.Version, "era", objectstore.EraOf(obj.Version), "source", source, "left_ms", (c.restored.until - now).Milliseconds())
	return true
}

// releaseHeldConfig puts the configuration that was held back in force once its time has
// passed, and notes the store's era. It does not wait for another one that is being decoded,
// since lapsed entries are removed by the same goroutine.
func (c *Controller) releaseHeldConfig() {
	if !c.applyMu.TryLock() {
		return
	}
	held := c.restored
	c.sight.observe(c.opts.Now(), objectstore.LatestEra(c.opts.Store))
	c.applyMu.Unlock()
	if held.object.Version != 0 && c.opts.Now() >= held.until {
		c.applyConfig(held.object, held.source)
	}
}
