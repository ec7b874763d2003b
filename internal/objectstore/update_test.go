package objectstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// appendMarker returns an edit that appends a marker to a JSON list of markers.
func appendMarker(marker string) Edit {
	read := func(obj Object) []string {
		var list []string
		_ = json.Unmarshal(obj.Value, &list)
		return list
	}
	return Edit{
		Apply:   func(obj Object) (json.RawMessage, error) { return json.Marshal(append(read(obj), marker)) },
		Applied: func(obj Object) bool { return slices.Contains(read(obj), marker) },
	}
}

// TestConcurrentUpdatesApplyOnce runs concurrent updates while some replies are
// lost after the write took effect: each edit is in the object exactly once.
func TestConcurrentUpdatesApplyOnce(t *testing.T) {
	const operators, edits = 4, 25
	m := NewMemory(0)
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() {
			for e := range edits {
				if e%3 == 0 {
					m.SetFaults(Faults{LoseReplies: 1})
				}
				for {
					if _, err := Update(context.Background(), m, KindService, "s", appendMarker(fmt.Sprint(op, "/", e))); err == nil {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	obj, err := m.Get(context.Background(), KindService, "s")
	must.NoError(t, err)
	var list []string
	must.NoError(t, json.Unmarshal(obj.Value, &list))
	must.Len(t, operators*edits, list)
	slices.Sort(list)
	must.Len(t, operators*edits, slices.Compact(list))
}

// delayedWriteStore returns an unknown outcome for the first write, which takes
// effect only after the next read.
type delayedWriteStore struct {
	*Memory
	pending *Object
	delayed bool
}

func (s *delayedWriteStore) Put(ctx context.Context, obj Object) (Object, error) {
	if !s.delayed {
		s.delayed = true
		s.pending = &obj
		return Object{}, ErrOutcomeUnknown
	}
	return s.Memory.Put(ctx, obj)
}

func (s *delayedWriteStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	obj, err := s.Memory.Get(ctx, kind, name)
	if s.pending != nil {
		_, _ = s.Memory.Put(ctx, *s.pending)
		s.pending = nil
	}
	return obj, err
}

// TestUpdateRecognisesDelayedWrite guards against applying an edit twice when a
// write with unknown outcome takes effect after the read-back.
func TestUpdateRecognisesDelayedWrite(t *testing.T) {
	s := &delayedWriteStore{Memory: NewMemory(0)}
	obj, err := Update(context.Background(), s, KindService, "s", appendMarker("once"))
	must.NoError(t, err)
	must.Eq(t, `["once"]`, string(obj.Value))
}

func TestUpdateErrorNamesObject(t *testing.T) {
	m := NewMemory(0)
	m.SetFaults(Faults{Outage: true})
	_, err := Update(context.Background(), m, KindService, "s", appendMarker("x"))
	must.ErrorIs(t, err, ErrUnavailable)
	must.ErrorContains(t, err, "service s")
}
