package replica

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// watchDocuments reads the object API while this instance reads for its zone,
// and otherwise when its knowledge has become old.
func (d *Duty) watchDocuments(ctx context.Context) error {
	for ctx.Err() == nil {
		if !d.mayRead(ctx) {
			sleep(ctx, retryPeriod)
			continue
		}
		if err := d.watchOnce(ctx); err != nil {
			d.opts.Log.Debug("watch documents", "error", err)
			sleep(ctx, d.retryDelay())
		}
	}
	return nil
}

// mayRead reports whether this instance waits for changes at the platform: the
// zone's reader and its deputy always do, so that a connection gone silent at
// one of them delays nothing; others only if the reader is silent, or if no
// watch has ended in time. A watch without a change says how things were when
// it was sent, so the knowledge of a reader is up to two watches old.
func (d *Duty) mayRead(ctx context.Context) bool {
	age := d.Age()
	switch {
	case d.opts.Reads(), !d.Snapshot().Ready, age > 2*d.opts.WatchTimeout+fallbackAge:
		return true
	case age <= fallbackAge:
		return false
	}
	return d.deputy() || d.readerSilent(ctx)
}

// deputy reports whether this instance is the first of its zone, by name,
// beside the reader.
func (d *Duty) deputy() bool {
	reader := d.opts.Reader()
	for _, p := range d.Snapshot().ZonePeers(d.opts.Self.Zone) {
		if p.Name != reader {
			return d.opts.Self.Name < p.Name
		}
	}
	return true
}

// readerSilent reports whether the zone's reader is unknown or was not heard
// for a while.
func (d *Duty) readerSilent(ctx context.Context) bool {
	silent := true
	_ = d.step(ctx, func() {
		at, ok := d.state.HeardPeer(d.opts.Reader())
		silent = !ok || d.opts.Now()-at > readerSilence
	})
	return silent
}

// retryDelay is short for the zone's reader and long and jittered for others,
// so that an outage of the platform does not draw the whole zone's calls.
func (d *Duty) retryDelay() time.Duration {
	if d.opts.Reads() {
		return retryPeriod
	}
	return jitter(fallbackPeriod)
}

func (d *Duty) watchOnce(ctx context.Context) error {
	var since uint64
	if err := d.step(ctx, func() { since = d.state.Complete() }); err != nil {
		return err
	}
	sentAt := d.opts.Now()
	list, err := d.opts.Store.Watch(ctx, platform.KindService, since)
	if err != nil {
		return err
	}
	var c Change
	err = d.step(ctx, func() {
		c = d.state.PlatformRead(sentAt, list)
		d.apply(c)
	})
	// The deputy leaves the push to the reader; exchanges spread what the
	// reader misses.
	if len(c.Accepted) > 0 && (d.opts.Reads() || d.readerSilent(ctx)) {
		d.push(ctx, c.Accepted)
	}
	if err == nil && c.Rejected {
		err = d.findFormers(ctx)
	}
	return err
}

// readInstances reads the platform's list like watchDocuments.
func (d *Duty) readInstances(ctx context.Context) error {
	var lastOwn time.Duration
	for ctx.Err() == nil {
		due := d.opts.Reads() || lastOwn == 0 || d.opts.Now()-lastOwn > fallbackPeriod && d.listAge(ctx) > fallbackAge
		if due {
			lastOwn = d.opts.Now()
			d.readInstancesOnce(ctx)
		}
		sleep(ctx, jitter(listPeriod))
	}
	return nil
}

func (d *Duty) listAge(ctx context.Context) (age time.Duration) {
	_ = d.step(ctx, func() {
		list := d.state.view.List()
		age = d.opts.Now() - list.ReadAt
		if !list.Known {
			age = fallbackAge + 1
		}
	})
	return age
}

func (d *Duty) readInstancesOnce(ctx context.Context) {
	sentAt := d.opts.Now()
	list, err := d.opts.Instances.Instances(ctx)
	if err != nil {
		d.opts.Log.Debug("read instance list", "error", err)
		return
	}
	_ = d.step(ctx, func() { d.apply(d.state.InstancesRead(d.opts.Now(), sentAt, list)) })
}
