package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// write stores the batch of a silent peer and returns the last number that is
// safe. A batch that is there already is read back and compared.
func (d *Duty) write(ctx context.Context, b record.Batch) (uint64, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("recorder: encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindRecord, Name: b.Name(), Value: value})
	switch {
	case err == nil:
		return b.Last(), nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
		return d.readBack(ctx, b)
	}
	return 0, fmt.Errorf("recorder: batch %s: %w", b.Name(), err)
}

func (d *Duty) readBack(ctx context.Context, mine record.Batch) (uint64, error) {
	obj, err := d.opts.Store.Get(ctx, platform.KindRecord, mine.Name())
	if err != nil {
		return 0, fmt.Errorf("recorder: batch %s: %w", mine.Name(), err)
	}
	var stored record.Batch
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return 0, fmt.Errorf("recorder: batch %s: %w: %w", mine.Name(), record.ErrForeign, err)
	}
	return record.Resolve(mine, stored)
}

// adopt writes the copies of peers that have been silent for so long.
func (d *Duty) adopt(ctx context.Context, silence time.Duration) {
	for _, from := range d.silent(silence) {
		if err := d.adoptChain(ctx, from); err != nil {
			d.opts.Log.Warn("write service record of a silent peer", "instance", from.Instance, "error", err)
		}
	}
}

// adoptChain writes all that is held of a chain, batch by batch.
func (d *Duty) adoptChain(ctx context.Context, from record.Origin) error {
	for {
		d.mu.Lock()
		batch, ok := d.copies.Adopt(from)
		d.mu.Unlock()
		if !ok {
			return nil
		}
		seq, err := d.write(ctx, batch)
		if err != nil {
			return err
		}
		d.opts.Log.Info("service record of a silent peer written", "instance", from.Instance, "through", seq)
		d.mu.Lock()
		d.copies.Flushed(from, seq)
		d.mu.Unlock()
	}
}

func (d *Duty) silent(silence time.Duration) []record.Origin {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []record.Origin
	held := map[record.Origin]bool{}
	for _, from := range d.copies.Held() {
		held[from] = true
		if d.opts.Now()-d.heard[from] >= silence {
			list = append(list, from)
		}
	}
	for from := range d.heard {
		if !held[from] {
			delete(d.heard, from)
		}
	}
	return list
}
