package record

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Kind is the kind of event that an entry records.
type Kind string

// The kinds of entries. A gap entry replaces entries that were left out because
// the journal was full; a stopped entry ends the chain at a planned stop.
const (
	KindStarted  Kind = "started"
	KindAdmitted Kind = "admitted"
	KindRefused  Kind = "refused"
	KindAttempt  Kind = "attempt"
	KindOutcome  Kind = "outcome"
	KindGap      Kind = "gap"
	KindStopped  Kind = "stopped"
)

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return fmt.Errorf("record: hash %q: want %d bytes in base64", text, len(h))
	}
	copy(h[:], raw)
	return nil
}

// Entry is one recorded event. Journal sets Seq, At and Hash.
type Entry struct {
	Seq           uint64  `json:"n"`
	At            HLC     `json:"at"`
	Kind          Kind    `json:"kind"`
	Organisation  string  `json:"org,omitempty"`
	Service       string  `json:"svc,omitempty"`
	Model         string  `json:"model,omitempty"`
	RequestID     string  `json:"req,omitempty"`
	Detail        string  `json:"detail,omitempty"` // reason, attempt ID or outcome
	Code          int     `json:"code,omitempty"`   // HTTP status returned to the caller
	ConfigVersion uint64  `json:"cfg,omitempty"`
	KeyID         string  `json:"key,omitempty"` // ID or digest prefix, never the key
	KeyAgeMS      int64   `json:"key_age,omitempty"`
	ShareRate     float64 `json:"share,omitempty"` // this instance's share of the limit, in tokens per second
	Tokens        int64   `json:"tok,omitempty"`
	Lost          uint64  `json:"lost,omitempty"`      // in a gap entry: number of entries left out
	LostHash      *Hash   `json:"lost_hash,omitempty"` // in a gap entry: hash chain over those entries
	Hash          Hash    `json:"h"`
}

// appendCanonical appends the encoding over which the hash is computed: every
// field but Hash. Strings are preceded by their length, numbers take eight bytes,
// and LostHash is appended without a length.
func (e *Entry) appendCanonical(b []byte) []byte {
	for _, s := range [...]string{string(e.Kind), e.Organisation, e.Service, e.Model, e.RequestID, e.Detail, e.KeyID} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	for _, n := range [...]uint64{
		e.Seq, uint64(e.At.WallMS), uint64(e.At.Logical), uint64(e.Code), e.ConfigVersion,
		uint64(e.KeyAgeMS), floatBits(e.ShareRate), uint64(e.Tokens), e.Lost,
	} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if e.LostHash != nil {
		b = append(b, e.LostHash[:]...)
	}
	return b
}

// Origin identifies the chain of one incarnation of an instance.
type Origin struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// initialHash returns the previous hash of the first entry of the chain.
func (o Origin) initialHash() Hash {
	return sha256.Sum256(fmt.Appendf(nil, "%d:%s%d:%s", len(o.Instance), o.Instance, len(o.Incarnation), o.Incarnation))
}

// Head is the last entry of a chain at some time.
type Head struct {
	Origin
	Seq  uint64 `json:"n"`
	Hash Hash   `json:"h"`
}

// Batch is a sequence of consecutive entries of one chain, in order. Prev is the
// hash of the entry before the first one.
type Batch struct {
	Origin
	Prev    Hash    `json:"prev"`
	Entries []Entry `json:"entries"`
}

// FirstSeq returns the sequence number of the first entry.
func (b Batch) FirstSeq() uint64 { return b.Entries[0].Seq }

// LastSeq returns the sequence number of the last entry.
func (b Batch) LastSeq() uint64 { return b.Entries[len(b.Entries)-1].Seq }

// Name returns the name of the object that holds the batch.
func (b Batch) Name() string {
	return fmt.Sprintf("%s.%s.%016d", b.Instance, b.Incarnation, b.FirstSeq())
}

// entriesAfter returns the part of the batch with sequence numbers above seq, and
// false if there is none.
func (b Batch) entriesAfter(seq uint64) (Batch, bool) {
	for i, e := range b.Entries {
		if e.Seq <= seq {
			continue
		}
		if i > 0 {
			b.Prev = b.Entries[i-1].Hash
		}
		b.Entries = b.Entries[i:]
		return b, true
	}
	return Batch{}, false
}
