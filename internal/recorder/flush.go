package recorder

import (
	"context"
	"errors"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// step passes a message to the flusher and performs the resulting actions.
func (r *Recorder) step(msg record.Message) {
	r.mu.Lock()
	actions := r.flusher.Step(r.opts.Now(), msg)
	r.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case record.Put:
			go r.put(a)
		case record.Get:
			go r.get(a)
		case record.Copy:
			go r.copy(a.Batch)
		case record.StoredNotice:
			r.mu.Lock()
			r.flushedSeq = a.Seq
			r.mu.Unlock()
			go r.copy(record.Batch{})
		case record.StoreError:
			r.opts.Log.Error("service record", "batch", a.Name, "error", a.Err)
		}
	}
}

func (r *Recorder) put(a record.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := r.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindRecord, Name: a.Name, Value: a.Value})
	switch {
	case err == nil:
		r.step(record.Written{Op: a.Op})
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrOutcomeUnknown):
		r.step(record.OutcomeUnknown{Op: a.Op})
	default:
		r.step(record.Unavailable{Op: a.Op})
	}
}

func (r *Recorder) get(a record.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := r.opts.Store.Get(ctx, objectstore.KindRecord, a.Name)
	switch {
	case err == nil:
		r.step(record.Read{Op: a.Op, Found: !obj.Deleted, Value: obj.Value})
	case errors.Is(err, objectstore.ErrNotFound):
		r.step(record.Read{Op: a.Op})
	default:
		r.step(record.Unavailable{Op: a.Op})
	}
}
