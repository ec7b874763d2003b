package storesync

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// restoredConfigGrace is how long a configuration stays in force although the store has come
// back from an older copy with one of an earlier version. The operator writes the lost one
// again, and requests must not be handled as before it meanwhile. After this time the store's
// counts, so that what instances do does not depend on when they started.
const restoredConfigGrace = 30 * time.Second

// heldConfig is the configuration of an older copy of the store that is not put in force yet.
type heldConfig struct {
	object objectstore.Object // with version 0 for none
	until  time.Duration
}

// holds reports whether an object is the one held back and its time has not passed.
func (h *heldConfig) holds(now time.Duration, obj objectstore.Object) bool {
	return h.object.Version != 0 && obj.Version == h.object.Version && now < h.until
}

// holdBack reports whether a configuration is not to be put in force, because it is of an
// earlier version than the one in force and of an older copy of the store. applyMu is held.
func (c *Controller) holdBack(obj objectstore.Object, config *fleet.Config) bool {
	current := c.config.Load()
	own, _, _ := c.Revisions()
	if current == nil || config.Version >= current.Version || objectstore.EraOf(obj.Version) <= objectstore.EraOf(own) {
		return false
	}
	now := c.opts.Now()
	if objectstore.EraOf(c.restored.object.Version) < objectstore.EraOf(obj.Version) {
		c.restored.until = now + restoredConfigGrace
	}
	if now >= c.restored.until {
		return false
	}
	c.restored.object = obj
	c.mu.Lock()
	c.notes.held = obj.Version
	c.mu.Unlock()
	c.opts.Log.Warn("configuration of an older copy of the store held back", "version", config.Version, "in_force", current.Version,
		"revision", obj.Version, "era", objectstore.EraOf(obj.Version), "left_ms", (c.restored.until - now).Milliseconds())
	return true
}

// releaseHeldConfig puts the configuration that was held back in force once its time has
// passed. It does not wait for another one that is being decoded, since lapsed entries are
// removed by the same goroutine.
func (c *Controller) releaseHeldConfig() {
	if !c.applyMu.TryLock() {
		return
	}
	held := c.restored
	c.applyMu.Unlock()
	if held.object.Version != 0 && c.opts.Now() >= held.until {
		c.applyConfig(held.object, sourceStore)
	}
}
