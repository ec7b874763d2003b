package once

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a claim.
type State string

// The states of a claim. A released claim was never run and is forgotten.
const (
	StateClaimed  State = "claimed"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
	StateReleased State = "released"
)

// Holder is the attempt that made a claim. Writer names an instance with its
// incarnation; Attempt is a number that the writer uses for one claim only.
type Holder struct {
	Writer  string `json:"w"`
	Attempt uint64 `json:"a"`
}

// Result is the small result of a run. Body is empty if the result was larger
// than MaxResultBytes; TooLarge says so.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	TooLarge    bool   `json:"too_large,omitempty"`
}

// entry is one line of a shard's log. The last line of a key is its state.
type entry struct {
	Key    Digest  `json:"k"`
	State  State   `json:"s"`
	Holder         // who claimed it
	Print  uint64  `json:"p,omitempty"` // fingerprint of the request
	TimeMS int64   `json:"t,omitempty"`
	Result *Result `json:"r,omitempty"`
}

// segmentRef names a sealed part of the log: the head as of Version.
type segmentRef struct {
	Version   uint64 `json:"v"`
	MaxTimeMS int64  `json:"t,omitempty"`
}

// head is the one object of a shard that changes. Sealing copies its entries
// to an object named after the head's version, so every writer that seals one
// version writes the same object.
type head struct {
	// FloorMS is the latest time of any key that was forgotten.
	FloorMS  int64        `json:"floor,omitempty"`
	Segments []segmentRef `json:"segments,omitempty"` // oldest first
	Entries  []entry      `json:"entries,omitempty"`  // oldest first
}

type segment struct {
	Entries []entry `json:"entries"`
}

func headName(shard int) string { return fmt.Sprintf("claims-%04d", shard) }

func segmentName(shard int, version uint64) string {
	return fmt.Sprintf("claims-%04d-%d", shard, version)
}

func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types hold nothing that JSON cannot carry
	}
	return raw
}

func decode(name string, raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("once: object %s: %w", name, err)
	}
	return nil
}

// known is what the index keeps of a key.
type known struct {
	entry   entry
	segment uint64        // version of the segment, 0 in the head
	seen    time.Duration // when this instance first saw the claim
}

// index folds the log of a shard: the last line of each key counts.
type index map[Digest]known

func (x index) apply(now time.Duration, segment uint64, e entry) {
	before, ok := x[e.Key]
	if e.State == StateReleased {
		delete(x, e.Key)
		return
	}
	seen := now
	if ok && before.entry.Holder == e.Holder {
		seen = before.seen
	}
	x[e.Key] = known{entry: e, segment: segment, seen: seen}
}

func maxTime(entries []entry) int64 {
	var latest int64
	for _, e := range entries {
		latest = max(latest, e.TimeMS)
	}
	return latest
}
