package record

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// LogKey is the log attribute that holds an entry, encoded as a Placed.
const LogKey = "service_record"

// ErrUnreadable means that a stored object or log line cannot be decoded as part
// of a record.
var ErrUnreadable = errors.New("record: cannot be read")

// Stored is the part of the record that is stored in the platform.
type Stored struct {
	Batches []Batch
	Heads   []Head
}

// Add adds the value of an object of objectstore.KindRecord, which is a batch
// or the heads of a zone. It fails with ErrUnreadable if the value is neither.
func (s *Stored) Add(name string, value []byte) error {
	var v struct {
		Batch
		Heads *[]Head `json:"heads"`
	}
	err := json.Unmarshal(value, &v)
	switch {
	case err == nil && v.Heads != nil && len(v.Entries) == 0:
		s.Heads = append(s.Heads, *v.Heads...)
	case err == nil && len(v.Entries) > 0:
		s.Batches = append(s.Batches, v.Batch)
	default:
		return fmt.Errorf("%w: object %s", ErrUnreadable, name)
	}
	return nil
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ReadLog returns the entries in JSON log lines as one batch per chain. Lines
// without an entry are skipped. The order of the lines is irrelevant, because
// entries are numbered.
func ReadLog(logs ...io.Reader) ([]Batch, error) {
	chains := map[Origin][]Entry{}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			p, ok, err := parseLine(lines.Bytes())
			if err != nil {
				return nil, err
			}
			if ok {
				chains[p.Origin] = append(chains[p.Origin], p.Entry)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("record: read log: %w", err)
		}
	}
	return toBatches(chains), nil
}

func parseLine(line []byte) (p Placed, ok bool, err error) {
	if !bytes.Contains(line, []byte(`"`+LogKey+`"`)) {
		return p, false, nil
	}
	var outer map[string]json.RawMessage
	if err := json.Unmarshal(line, &outer); err != nil {
		return p, false, nil // a line of other software, or a truncated line, whose entry is then missing
	}
	raw, ok := outer[LogKey]
	if !ok {
		return p, false, nil
	}
	if err := json.Unmarshal(raw, &p); err != nil || p.Seq == 0 {
		return p, false, fmt.Errorf("%w: log line %.80s", ErrUnreadable, line)
	}
	return p, true, nil
}

func toBatches(chains map[Origin][]Entry) []Batch {
	batches := make([]Batch, 0, len(chains))
	for o, entries := range chains {
		slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
		b := Batch{Origin: o, Entries: entries}
		if b.FirstSeq() == 1 {
			b.Prev = o.initialHash()
		}
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b Batch) int { return cmp.Compare(a.Name(), b.Name()) })
	return batches
}
