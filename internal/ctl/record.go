package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
)

// ErrRecordCorrupt means that the service record was modified or has entries
// missing.
var ErrRecordCorrupt = errors.New("ctl: the service record does not verify")

// RecordVerify verifies the hash chains of the service record.
type RecordVerify struct {
	*Globals     `no-flag:"true"`
	Service      string   `long:"service" description:"with --organisation: print its entries in order"`
	Organisation string   `long:"organisation" description:"organisation whose entries are printed in order"`
	Logs         []string `long:"log" value-name:"FILE" description:"log of instances whose entries are log lines; may be repeated"`
}

// verifyResult is the output of RecordVerify.
type verifyResult struct {
	Batches  int              `json:"batches"`
	Heads    int              `json:"heads"`
	Findings []record.Finding `json:"findings"`
	Entries  []record.Placed  `json:"entries,omitempty"`

	logsGiven bool
}

// Execute implements flags.Commander.
func (c *RecordVerify) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	// The heads are read before the logs, so that the logs contain at least the
	// entries up to the heads.
	stored, err := readRecord(ctx, c.store())
	if err != nil {
		return err
	}
	logged, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	batches := append(stored.Batches, logged...)
	report := record.Verify(batches, stored.Heads)
	out := verifyResult{Batches: len(batches), Heads: len(stored.Heads), Findings: report.Findings, logsGiven: len(c.Logs) > 0}
	if c.Organisation != "" {
		out.Entries = slices.DeleteFunc(report.EntriesOf(c.Organisation), func(p record.Placed) bool {
			return c.Service != "" && p.Service != c.Service
		})
	}
	if err := c.print(out, out.text()); err != nil {
		return err
	}
	if slices.ContainsFunc(out.Findings, isCorruption) {
		return ErrRecordCorrupt
	}
	return nil
}

// isCorruption reports whether a finding cannot be explained by an instance that
// is still running or by a crash.
func isCorruption(f record.Finding) bool {
	return f.Fault != record.FaultNotStopped && f.Fault != record.FaultGap
}

func (v verifyResult) text() string {
	var b strings.Builder
	for _, p := range v.Entries {
		fmt.Fprintln(&b, entryLine(p))
	}
	for _, f := range v.Findings {
		fmt.Fprintf(&b, "%s: instance %s, incarnation %s, entry %d", f.Fault, f.Instance, f.Incarnation, f.Seq)
		if f.Through > f.Seq {
			fmt.Fprintf(&b, " to %d", f.Through)
		}
		if f.Lost > 0 {
			fmt.Fprintf(&b, ", %d entries", f.Lost)
		}
		fmt.Fprintln(&b)
	}
	if v.Heads > 0 && !v.logsGiven {
		fmt.Fprintf(&b, "%d heads known: entries of their chains are log lines, to be given with --log\n", v.Heads)
	}
	fmt.Fprintf(&b, "%d batches checked, %d findings", v.Batches, len(v.Findings))
	return b.String()
}

// entryLine formats an entry as one line of text.
func entryLine(p record.Placed) string {
	at := time.UnixMilli(p.At.WallMS).UTC().Format("2006-01-02T15:04:05.000Z")
	line := fmt.Sprintf("%s.%d %s #%d %s %s/%s request %s", at, p.At.Logical, p.Instance, p.Seq, p.Kind, p.Service, p.Organisation, p.RequestID)
	if p.Model != "" {
		line += " model " + p.Model
	}
	if p.Detail != "" {
		line += " " + p.Detail
	}
	if p.Code != 0 {
		line += fmt.Sprintf(" status %d", p.Code)
	}
	if p.Tokens != 0 {
		line += fmt.Sprintf(" tokens %d", p.Tokens)
	}
	return line + fmt.Sprintf(" config %d", p.ConfigVersion)
}

// readRecord returns the part of the service record that is stored in the
// platform, in the order of the objects' names.
func readRecord(ctx context.Context, store objectstore.Store) (record.Stored, error) {
	var stored record.Stored
	list, err := store.List(ctx, objectstore.KindRecord)
	if err != nil {
		return stored, err
	}
	slices.SortFunc(list.Objects, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	for _, obj := range list.Objects {
		if obj.Deleted {
			continue
		}
		if err := stored.Add(obj.Name, obj.Value); err != nil {
			return stored, fmt.Errorf("%w: %w", ErrRecordCorrupt, err)
		}
	}
	return stored, nil
}

// readLogs returns the record entries in the log files.
func readLogs(paths []string) ([]record.Batch, error) {
	var logs []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("ctl: %w", err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return record.ReadLog(logs...)
}

// Explain prints the entries of the service record on one request.
type Explain struct {
	*Globals `no-flag:"true"`
	Args     struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *Explain) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	stored, err := readRecord(ctx, c.store())
	if err != nil {
		return err
	}
	var entries []record.Placed
	var lines []string
	for _, b := range stored.Batches {
		for _, e := range b.Entries {
			if e.RequestID != c.Args.Request {
				continue
			}
			p := record.Placed{Origin: b.Origin, Entry: e}
			entries = append(entries, p)
			lines = append(lines, entryLine(p))
		}
	}
	if len(entries) == 0 {
		return fmt.Errorf("%w: request %s (entries reach the platform within seconds)", ErrNotFound, c.Args.Request)
	}
	return c.print(entries, strings.Join(lines, "\n"))
}
