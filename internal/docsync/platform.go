package docsync

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// watchDocuments watches the documents in the object API whenever shouldWatch
// allows it, until ctx ends.
func (d *Controller) watchDocuments(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.shouldWatch(ctx) {
			wait.Sleep(ctx, retryPeriod)
			continue
		}
		if err := d.watchOnce(ctx); err != nil {
			d.opts.Log.Debug("cannot watch documents", "error", err)
			wait.Sleep(ctx, d.retryDelay())
		}
	}
	return nil
}

// shouldWatch reports whether this instance watches the platform. The zone leader
// always does, and so does an instance without documents. The backup reader does
// when its copy is older than fallbackAge, so that a hanging connection of one of
// the two delays no change. Other instances do when their copy is older than
// fallbackAge and the leader is silent, or older than two watch timeouts plus
// fallbackAge, which means that no watch has ended in time: a watch that returns no
// change confirms the state at the time it was sent, so the copy of a watching
// instance is up to two watch timeouts old.
func (d *Controller) shouldWatch(ctx context.Context) bool {
	age := d.Age()
	switch {
	case d.opts.IsZoneLeader(), !d.Snapshot().HasDocuments, age > 2*d.opts.WatchTimeout+fallbackAge:
		return true
	case age <= fallbackAge:
		return false
	}
	return d.isBackupReader() || d.leaderSilent(ctx)
}

// isBackupReader reports whether this instance is the first by name among the
// instances of its zone other than the zone leader.
func (d *Controller) isBackupReader() bool {
	leader := d.opts.ZoneLeader()
	for _, p := range d.Snapshot().ZonePeers(d.opts.Self.Zone) {
		if p.Name != leader {
			return d.opts.Self.Name < p.Name
		}
	}
	return true
}

// leaderSilent reports whether the zone leader is unknown or has sent no message
// for leaderTimeout.
func (d *Controller) leaderSilent(ctx context.Context) bool {
	silent := true
	_ = d.runInLoop(ctx, func() {
		at, ok := d.state.LastPeerMessage(d.opts.ZoneLeader())
		silent = !ok || d.opts.Now()-at > leaderTimeout
	})
	return silent
}

// retryDelay returns the delay after a failed watch: short for the zone leader,
// long and jittered for other instances, so that an outage of the platform does
// not make the whole zone call it.
func (d *Controller) retryDelay() time.Duration {
	if d.opts.IsZoneLeader() {
		return retryPeriod
	}
	return jitter(fallbackPeriod)
}

// watchOnce makes one watch call and applies the documents that it returns.
func (d *Controller) watchOnce(ctx context.Context) error {
	var since uint64
	if err := d.runInLoop(ctx, func() { since = d.state.CompleteRevision() }); err != nil {
		return err
	}
	sentAt := d.opts.Now()
	list, err := d.opts.Store.Watch(ctx, objectstore.KindService, since)
	if err != nil {
		return err
	}
	var c Change
	err = d.runInLoop(ctx, func() {
		c = d.state.ApplyDocuments(sentAt, list)
		d.apply(c)
	})
	// The backup reader does not push while the leader is reachable; exchanges
	// distribute what the leader misses.
	if len(c.Accepted) > 0 && (d.opts.IsZoneLeader() || d.leaderSilent(ctx)) {
		d.pushToZone(ctx, c.Accepted)
	}
	if err == nil && c.AnyRejected {
		err = d.recoverAccepted(ctx)
	}
	return err
}

// readInstances reads the platform's instance list periodically if this instance
// is the zone leader, and otherwise at the start and when the list is old.
func (d *Controller) readInstances(ctx context.Context) error {
	var lastRead time.Duration
	for ctx.Err() == nil {
		due := d.opts.IsZoneLeader() || lastRead == 0 || d.opts.Now()-lastRead > fallbackPeriod && d.listAge(ctx) > fallbackAge
		if due {
			lastRead = d.opts.Now()
			d.readInstancesOnce(ctx)
		}
		wait.Sleep(ctx, jitter(listPeriod))
	}
	return nil
}

// listAge returns the age of the instance list; an unknown list counts as older
// than fallbackAge.
func (d *Controller) listAge(ctx context.Context) (age time.Duration) {
	_ = d.runInLoop(ctx, func() {
		list := d.state.view.List()
		age = d.opts.Now() - list.ReadAt
		if !list.Known {
			age = fallbackAge + 1
		}
	})
	return age
}

func (d *Controller) readInstancesOnce(ctx context.Context) {
	sentAt := d.opts.Now()
	list, err := d.opts.Instances.Instances(ctx)
	if err != nil {
		d.opts.Log.Debug("cannot read instance list", "error", err)
		return
	}
	_ = d.runInLoop(ctx, func() { d.apply(d.state.ApplyInstances(d.opts.Now(), sentAt, list)) })
}
