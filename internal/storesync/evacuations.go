package storesync

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/evacuation"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// evacuationPollRounds is the number of rounds of poll after which the evacuations are read
// once more. With pollInterval a watch that misses one is made up for within 1.4 s, so that all
// instances learn of it within the 5 s that the platform allows.
const evacuationPollRounds = 2

// EvacuationOptions say what becomes of the evacuations that are read from the store.
type EvacuationOptions struct {
	// Known reports whether the evacuations are known from any source.
	Known func() bool
	// OnSnapshot is called with each set that is read from the store.
	OnSnapshot func(evacuation.Snapshot)
	// OnMalformed is called for each malformed entry, once for each of its errors. An entry
	// of which the zone is readable counts all the same. It may be nil.
	OnMalformed func()
}

// readsEvacuations reports whether evacuations are in use.
func (c *Controller) readsEvacuations() bool {
	return c.opts.Evacuations.Known != nil && c.opts.Decoder.Evacuation != nil
}

// followEvacuations reads the evacuations until they are known, and watches them while this
// instance watches the store. An event makes it read all of them again, so that what it passes
// on is always a whole set as of one revision.
func (c *Controller) followEvacuations(ctx context.Context) {
	if !c.readsEvacuations() {
		return
	}
	pause := minRetryBackoff
	for ctx.Err() == nil {
		if c.opts.Evacuations.Known() && !c.opts.Watches() {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		since, err := c.readEvacuations(ctx)
		for err == nil && ctx.Err() == nil && c.opts.Watches() {
			if since, err = c.watchEvacuations(ctx, since); err == nil {
				pause = minRetryBackoff
				wait.Sleep(ctx, watchBatchDelay)
			}
		}
		if err == nil {
			continue
		}
		c.recordFailure(ctx, objectstore.KindEvacuation, err)
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryBackoff)
	}
}

func (c *Controller) watchEvacuations(ctx context.Context, since uint64) (uint64, error) {
	changed := false
	since, err := c.watch(ctx, objectstore.KindEvacuation, since, &c.evacuationTimeout, func(objectstore.List) { changed = true })
	if err != nil || !changed {
		return since, err
	}
	return c.readEvacuations(ctx)
}

// readEvacuations reads all evacuations and returns the store's revision. A store that does
// not have the kind has none.
func (c *Controller) readEvacuations(ctx context.Context) (uint64, error) {
	list, err := c.list(ctx, objectstore.KindEvacuation, &c.evacuationTimeout)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return 0, err
	}
	c.recordAnswer()
	c.opts.Evacuations.OnSnapshot(evacuation.Snapshot{Revision: list.Revision, Zones: c.evacuatedZones(list)})
	return list.Revision, nil
}

// evacuatedZones returns the zones that a list names, also those of entries that cannot be
// decoded otherwise.
func (c *Controller) evacuatedZones(list objectstore.List) []string {
	var zones []string
	malformed := list.Malformed
	for _, m := range list.Malformed {
		if m.Name != "" {
			zones = append(zones, m.Name)
		}
	}
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		zone, err := c.opts.Decoder.Evacuation(obj)
		if err != nil {
			malformed = append(malformed, objectstore.Malformed{Name: obj.Name, Err: err})
		}
		if zone != "" {
			zones = append(zones, zone)
		}
	}
	for _, m := range malformed {
		if !c.firstMalformed("evacuations/"+m.Name, m.Err) {
			continue
		}
		c.opts.Log.Warn("malformed evacuation entry", "zone", m.Name, "counts", m.Name != "", "error", malformedText(m.Err))
		if c.opts.Evacuations.OnMalformed != nil {
			c.opts.Evacuations.OnMalformed()
		}
	}
	return zones
}

// pollEvacuations reads the evacuations in some of the rounds of poll.
func (c *Controller) pollEvacuations(ctx context.Context, round int) {
	if !c.readsEvacuations() || round%evacuationPollRounds != 0 {
		return
	}
	if _, err := c.readEvacuations(ctx); err != nil {
		c.recordFailure(ctx, objectstore.KindEvacuation, err)
	}
}
