package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// updateAttempts bounds the reads and writes of one Update.
const updateAttempts = 16

// Edit is one change of an object that several writers may race to change.
type Edit struct {
	// Apply returns the new value for the object as read; the object has
	// version 0 if it never existed. It may be called several times.
	Apply func(Object) (json.RawMessage, error)
	// Applied reports whether an object holds this very edit, by a marker
	// that is unique to it and that other writers keep. It is asked at every
	// read, so an Update that failed with ErrOutcomeUnknown may be repeated.
	Applied func(Object) bool
}

// Update reads an object, applies the edit and writes it conditionally, again
// from the start after a conflict. A write whose reply was lost is resolved by
// reading back. It fails with ErrConflict if other writers keep winning, with
// ErrOutcomeUnknown if a lost reply could not be resolved, and otherwise with
// the error of Apply or of the store, in which case nothing was written.
func Update(ctx context.Context, store Store, kind Kind, name string, edit Edit) (Object, error) {
	unknown := false
	last := ErrConflict
	for range updateAttempts {
		obj, err := readForUpdate(ctx, store, kind, name)
		if err == nil {
			if edit.Applied(obj) {
				return obj, nil
			}
			obj, err = applyEdit(ctx, store, obj, edit)
		}
		switch {
		case err == nil:
			return obj, nil
		case errors.Is(err, ErrOutcomeUnknown):
			unknown = true
		case !errors.Is(err, ErrConflict) && !unknown:
			return Object{}, fmt.Errorf("platform: update %s %s: %w", kind, name, err)
		}
		last = err
	}
	if unknown {
		return Object{}, fmt.Errorf("platform: update %s %s: %w: %w", kind, name, ErrOutcomeUnknown, last)
	}
	return Object{}, fmt.Errorf("platform: update %s %s: %w", kind, name, last)
}

func readForUpdate(ctx context.Context, store Store, kind Kind, name string) (Object, error) {
	obj, err := store.Get(ctx, kind, name)
	if errors.Is(err, ErrNotFound) {
		return Object{Kind: kind, Name: name}, nil
	}
	return obj, err
}

func applyEdit(ctx context.Context, store Store, obj Object, edit Edit) (Object, error) {
	value, err := edit.Apply(obj)
	if err != nil {
		return Object{}, err
	}
	obj.Value = value
	return store.Put(ctx, obj)
}
