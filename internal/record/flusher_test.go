package record

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// After the end of the faults the stored record is complete. The faults are lost
// replies, late writes, outages and a peer that adopts copies while the instance
// is still running.
func TestFlusherStoresCompleteRecord(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		j := NewJournal(origin(0), 0, JournalOptions{BatchLimit: 5})
		f := NewFlusher(j, FlusherOptions{})
		copies := NewCopies(1000)
		store := map[string]json.RawMessage{}
		var late []Action
		now, faults := time.Duration(0), true
		draw := func(n int, label string) int {
			if !faults {
				return 0
			}
			return rapid.IntRange(0, n).Draw(t, label)
		}
		create := func(name string, value json.RawMessage) bool {
			_, exists := store[name]
			if !exists {
				store[name] = value
			}
			return !exists
		}
		var handle func(actions []Action)
		step := func(m Message) { handle(f.Step(now, m)) }
		handle = func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Put:
					switch fault := draw(4, "put"); {
					case fault == 1:
						step(Unavailable{a.Op})
					case fault == 2:
						late = append(late, a) // no reply; may take effect later
					case !create(a.Name, a.Value) || fault == 3:
						step(OutcomeUnknown{a.Op})
					default:
						step(Written{a.Op})
					}
				case Get:
					if draw(3, "get") == 1 {
						step(Unavailable{a.Op})
						continue
					}
					value, ok := store[a.Name]
					step(Read{Op: a.Op, Found: ok, Value: value})
				case Copy:
					if draw(2, "copy") == 0 {
						step(CopyAck{copies.Receive(a.Batch)})
					}
				case StoredNotice:
					if draw(2, "notice") == 0 {
						copies.MarkFlushed(origin(0), a.Seq)
					}
				case StoreError:
					t.Fatalf("batch cannot be stored: %v", a.Err)
				}
			}
		}
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch draw(5, "step") {
			case 0:
				if b, ok := copies.Adopt(origin(0)); ok {
					raw, err := json.Marshal(b)
					must.NoError(t, err)
					create(b.Name(), raw)
				}
			case 1:
				if len(late) > 0 {
					p := late[0].(Put)
					late = late[1:]
					create(p.Name, p.Value)
				}
			case 2, 3:
				_, err := j.Append(int64(n), sampleEntry(n))
				must.NoError(t, err)
			default:
				now += time.Second
				step(Tick{})
			}
		}
		faults = false
		j.Stop(100)
		for i := 0; j.PendingCount() > 0; i++ {
			must.Less(t, 500, i, must.Sprint("journal not drained"))
			now += DefaultRetryDelay
			step(Tick{})
		}
		var batches []Batch
		for _, name := range slices.Sorted(maps.Keys(store)) {
			var b Batch
			must.NoError(t, json.Unmarshal(store[name], &b))
			batches = append(batches, b)
		}
		must.SliceEmpty(t, Verify(batches, []Head{j.Head()}).Findings)
	})
}
