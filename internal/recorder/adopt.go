package recorder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// writeBatch stores a batch of a silent peer and returns the last sequence number
// that is stored. If the object may exist already, it is read back and compared.
func (r *Recorder) writeBatch(ctx context.Context, b record.Batch) (uint64, error) {
	value, err := json.Marshal(b)
	if err != nil {
		return 0, fmt.Errorf("recorder: encode batch: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindRecord, Name: b.Name(), Value: value})
	switch {
	case err == nil:
		return b.LastSeq(), nil
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrOutcomeUnknown):
		return r.readBack(ctx, b)
	}
	return 0, fmt.Errorf("recorder: write batch %s: %w", b.Name(), err)
}

func (r *Recorder) readBack(ctx context.Context, mine record.Batch) (uint64, error) {
	obj, err := r.opts.Store.Get(ctx, objectstore.KindRecord, mine.Name())
	if err != nil {
		return 0, fmt.Errorf("recorder: read back batch %s: %w", mine.Name(), err)
	}
	var stored record.Batch
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return 0, fmt.Errorf("recorder: decode batch %s: %w: %w", mine.Name(), record.ErrChainMismatch, err)
	}
	return record.Resolve(mine, stored)
}

// adopt writes the copies of peers that have been silent for at least silence.
func (r *Recorder) adopt(ctx context.Context, silence time.Duration) {
	for _, from := range r.silentPeers(silence) {
		if err := r.adoptChain(ctx, from); err != nil {
			r.opts.Log.Warn("writing service record of a silent peer failed", "instance", from.Instance, "error", err)
		}
	}
}

// adoptChain writes all held entries of a chain, batch by batch.
func (r *Recorder) adoptChain(ctx context.Context, from record.Origin) error {
	for {
		r.mu.Lock()
		batch, ok := r.copies.Adopt(from)
		r.mu.Unlock()
		if !ok {
			return nil
		}
		seq, err := r.writeBatch(ctx, batch)
		if err != nil {
			return err
		}
		r.opts.Log.Info("service record of a silent peer written", "instance", from.Instance, "through", seq)
		r.mu.Lock()
		r.copies.MarkFlushed(from, seq)
		r.mu.Unlock()
	}
}

// silentPeers returns the chains held for peers that have been silent for at least
// silence. It also deletes the times of peers for which no entries are held.
func (r *Recorder) silentPeers(silence time.Duration) []record.Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []record.Origin
	held := map[record.Origin]bool{}
	for _, from := range r.copies.Origins() {
		held[from] = true
		if r.opts.Now()-r.lastCopyAt[from] >= silence {
			list = append(list, from)
		}
	}
	for from := range r.lastCopyAt {
		if !held[from] {
			delete(r.lastCopyAt, from)
		}
	}
	return list
}
