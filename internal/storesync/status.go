package storesync

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// ConfigStatus describes the configuration in force and what is known of newer ones.
type ConfigStatus struct {
	Version  int64  // as the operator counts, 0 if none is in force
	Stored   uint64 // version in the store, 0 if none is in force
	Source   string // the store, or the name of the peer that it came from
	InForce  time.Duration
	Skipped  int    // items of which a field, or all, could not be decoded
	Held     uint64 // version in the store of one that is held back, 0 if none is
	Refused  uint64 // version in the store of a newer one that could not be decoded, 0 if none
	Newest   uint64 // latest version in the store that was seen, whether it is in force or not
	StoreAge time.Duration
}

// configNotes are what is remembered of configurations for ConfigStatus. Controller.mu is held.
type configNotes struct {
	source  string
	since   time.Duration // when the one in force was put in force
	skipped int
	held    uint64
	refused uint64 // the latest one that could not be decoded
	newest  uint64
}

// ConfigStatus returns what is known of configurations. InForce is the time since the present
// one was put in force, StoreAge the time since the store last answered this instance.
func (c *Controller) ConfigStatus() ConfigStatus {
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.notes
	s := ConfigStatus{Stored: c.configObject.Version, Source: n.source, Skipped: n.skipped, Held: n.held, Newest: n.newest, StoreAge: now - c.lastAnswered}
	if config := c.config.Load(); config != nil {
		s.Version, s.InForce = config.Version, now-n.since
	}
	if n.refused > s.Stored {
		s.Refused = n.refused
	}
	return s
}

// noteSeen records that a version of the configuration exists.
func (c *Controller) noteSeen(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notes.newest = max(c.notes.newest, version)
}

// refuseConfig logs and counts a configuration that cannot be decoded, once if it is read again.
func (c *Controller) refuseConfig(obj objectstore.Object, source string, err error) {
	c.mu.Lock()
	again := c.notes.refused == obj.Version
	c.notes.refused = obj.Version
	c.mu.Unlock()
	if again {
		return
	}
	c.opts.Log.Error("configuration refused", "revision", obj.Version, "era", objectstore.EraOf(obj.Version),
		"source", source, "bytes", len(obj.Value), "error", malformedText(err))
	c.countMalformedConfig(1)
}

// skipItems logs and counts items of a configuration that cannot be decoded.
func (c *Controller) skipItems(obj objectstore.Object, skipped []error) {
	for _, err := range skipped {
		c.opts.Log.Error("part of the configuration skipped", "revision", obj.Version, "error", malformedText(err))
	}
	c.countMalformedConfig(len(skipped))
}

func (c *Controller) countMalformedConfig(n int) {
	if n > 0 && c.opts.OnMalformedConfig != nil {
		c.opts.OnMalformedConfig(n)
	}
}
