package recorder

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// step passes a message to the flusher and performs the resulting actions.
func (d *Duty) step(msg record.Message) {
	d.mu.Lock()
	actions := d.flusher.Step(d.opts.Now(), msg)
	d.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case record.Put:
			go d.put(a)
		case record.Get:
			go d.get(a)
		case record.Copy:
			go d.copy(a.Batch)
		case record.StoredNotice:
			d.mu.Lock()
			d.flushedSeq = a.Seq
			d.mu.Unlock()
			go d.copy(record.Batch{})
		case record.StoreError:
			d.opts.Log.Error("service record", "batch", a.Name, "error", a.Err)
		}
	}
}

func (d *Duty) put(a record.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindRecord, Name: a.Name, Value: a.Value})
	switch {
	case err == nil:
		d.step(record.Written{Op: a.Op})
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
		d.step(record.OutcomeUnknown{Op: a.Op})
	default:
		d.step(record.Unavailable{Op: a.Op})
	}
}

func (d *Duty) get(a record.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Get(ctx, platform.KindRecord, a.Name)
	switch {
	case err == nil:
		d.step(record.Read{Op: a.Op, Found: !obj.Deleted, Value: obj.Value})
	case errors.Is(err, platform.ErrNotFound):
		d.step(record.Read{Op: a.Op})
	default:
		d.step(record.Unavailable{Op: a.Op})
	}
}
