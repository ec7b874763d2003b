package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// appendMarker is an edit of a list of markers.
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

// TestRacingUpdatesLoseNoEdit races operators while every few replies are
// lost after the write took effect: each edit is found exactly once.
func TestRacingUpdatesLoseNoEdit(t *testing.T) {
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

// lateStore loses the first write, which takes effect only after the next read.
type lateStore struct {
	*Memory
	late *Object
	used bool
}

func (s *lateStore) Put(ctx context.Context, obj Object) (Object, error) {
	if !s.used {
		s.used = true
		s.late = &obj
		return Object{}, ErrOutcomeUnknown
	}
	return s.Memory.Put(ctx, obj)
}

func (s *lateStore) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	obj, err := s.Memory.Get(ctx, kind, name)
	if s.late != nil {
		_, _ = s.Memory.Put(ctx, *s.late)
		s.late = nil
	}
	return obj, err
}

func TestUpdateRecognisesWriteThatLandsLate(t *testing.T) {
	s := &lateStore{Memory: NewMemory(0)}
	obj, err := Update(context.Background(), s, KindService, "s", appendMarker("once"))
	must.NoError(t, err)
	must.Eq(t, `["once"]`, string(obj.Value))
}

func TestUpdateSaysWhatFailed(t *testing.T) {
	m := NewMemory(0)
	m.SetFaults(Faults{Outage: true})
	_, err := Update(context.Background(), m, KindService, "s", appendMarker("x"))
	must.ErrorIs(t, err, ErrUnavailable)
	must.ErrorContains(t, err, "service s")
}
