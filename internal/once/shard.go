package once

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a claim.
type State string

// The states of a claim. The request of a released claim was never run, and the
// claim is forgotten.
const (
	StateClaimed  State = "claimed"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
	StateReleased State = "released"
)

// Holder identifies the attempt that made a claim. Writer identifies an instance
// and its incarnation; Attempt is a number that the writer uses for one claim
// only.
type Holder struct {
	Writer  string `json:"w"`
	Attempt uint64 `json:"a"`
}

// Result is the result of a run that is stored for replay. If the body was
// larger than MaxResultBytes, Body is empty and TooLarge is true.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	TooLarge    bool   `json:"too_large,omitempty"`
}

// entry is one entry of a shard's log. The last entry of a key is its state.
type entry struct {
	Key    Digest  `json:"k"`
	State  State   `json:"s"`
	Holder         // the attempt that claimed the key
	Print  uint64  `json:"p,omitempty"` // fingerprint of the request
	TimeMS int64   `json:"t,omitempty"`
	Result *Result `json:"r,omitempty"`
}

// segmentRef references a sealed segment of the log, which holds the entries of
// the head as of Version.
type segmentRef struct {
	Version   uint64 `json:"v"`
	MaxTimeMS int64  `json:"t,omitempty"`
}

// head is the only mutable object of a shard. Sealing copies its entries to an
// object named after the head's version, so all writers that seal the same
// version write the same object.
type head struct {
	// FloorMS is the latest time of all forgotten keys, in Unix milliseconds.
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
		panic(err) // all encoded types are representable in JSON
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

// indexEntry is the state of a key in the index.
type indexEntry struct {
	entry     entry
	segment   uint64        // version of the segment, or 0 for the head
	firstSeen time.Duration // when this instance first saw the claim
}

// index holds the last entry of each key in the log of a shard.
type index map[Digest]indexEntry

func (x index) apply(now time.Duration, segment uint64, e entry) {
	previous, ok := x[e.Key]
	if e.State == StateReleased {
		delete(x, e.Key)
		return
	}
	firstSeen := now
	if ok && previous.entry.Holder == e.Holder {
		firstSeen = previous.firstSeen
	}
	x[e.Key] = indexEntry{entry: e, segment: segment, firstSeen: firstSeen}
}

func maxTimeMS(entries []entry) int64 {
	var latest int64
	for _, e := range entries {
		latest = max(latest, e.TimeMS)
	}
	return latest
}
