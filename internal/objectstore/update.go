package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// maxUpdateAttempts is the largest number of read-modify-write attempts of one
// Update.
const maxUpdateAttempts = 16

// Edit is one change of an object that several writers may change concurrently.
type Edit struct {
	// Apply returns the new value for the object as read; the object has
	// version 0 if it never existed. It may be called several times.
	Apply func(Object) (json.RawMessage, error)
	// Applied reports whether an object already contains this edit, by a
	// marker that is unique to the edit and that other writers preserve. It is
	// called after every read, so an Update that failed with ErrOutcomeUnknown
	// may be repeated.
	Applied func(Object) bool
}

// Update reads an object, applies the edit and writes it conditionally. After a
// conflict it starts again with the read; after a lost reply it reads back to
// see whether the write took effect. It fails with ErrConflict if every attempt
// met a conflict, with ErrOutcomeUnknown if the effect of a write with a lost
// reply could not be determined, and otherwise with the error of Apply or of the
// store, in which case nothing was written.
func Update(ctx context.Context, store Store, kind Kind, name string, edit Edit) (Object, error) {
	outcomeUnknown := false
	lastErr := ErrConflict
	for range maxUpdateAttempts {
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
			outcomeUnknown = true
		case !errors.Is(err, ErrConflict) && !outcomeUnknown:
			return Object{}, fmt.Errorf("objectstore: update %s %s: %w", kind, name, err)
		}
		lastErr = err
	}
	if outcomeUnknown {
		return Object{}, fmt.Errorf("objectstore: update %s %s: %w: %w", kind, name, ErrOutcomeUnknown, lastErr)
	}
	return Object{}, fmt.Errorf("objectstore: update %s %s: %w", kind, name, lastErr)
}

// readForUpdate returns an object, or one with version 0 if it never existed.
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
