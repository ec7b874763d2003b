package docsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// statusPeriod is the interval, before jitter, at which the zone leader checks
// whether the zone's status has changed.
const statusPeriod = 2 * time.Second

// publishStatus updates the zone's status object while this instance is the zone
// leader. A conflict means that another instance has written the object; it is
// read again before the next write.
func (d *Controller) publishStatus(ctx context.Context) error {
	var stored objectstore.Object
	for ctx.Err() == nil {
		wait.Sleep(ctx, jitter(statusPeriod))
		if !d.opts.IsZoneLeader() {
			stored = objectstore.Object{}
			continue
		}
		next, err := d.writeStatus(ctx, stored)
		if err != nil {
			d.opts.Log.Debug("cannot write status", "error", err)
		}
		stored = next
	}
	return nil
}

// writeStatus writes the status if it differs from the stored object. It returns
// the stored object, or the zero Object if that is unknown.
func (d *Controller) writeStatus(ctx context.Context, stored objectstore.Object) (objectstore.Object, error) {
	var st Status
	if err := d.runInLoop(ctx, func() { st = d.state.Status(d.opts.Now()) }); err != nil {
		return stored, err
	}
	value, err := json.Marshal(st)
	if err != nil {
		return stored, fmt.Errorf("docsync: encode status: %w", err)
	}
	if stored.Version == 0 {
		stored, err = d.opts.Store.Get(ctx, objectstore.KindStatus, st.Zone)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return objectstore.Object{}, err
		}
	}
	if string(stored.Value) == string(value) {
		return stored, nil
	}
	return d.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindStatus, Name: st.Zone, Version: stored.Version, Value: value})
}

// recoverAccepted reads the status objects of all zones for the last accepted
// versions of services of which this instance knows only a rejected version.
func (d *Controller) recoverAccepted(ctx context.Context) error {
	var services []string
	if err := d.runInLoop(ctx, func() { services = d.state.ServicesWithoutAccepted() }); err != nil || len(services) == 0 {
		return err
	}
	list, err := d.opts.Store.List(ctx, objectstore.KindStatus)
	if err != nil {
		return err
	}
	var readErr error
	err = d.runInLoop(ctx, func() {
		var c Change
		c, readErr = d.state.StatusesRead(list)
		d.apply(c)
	})
	return errors.Join(err, readErr)
}
