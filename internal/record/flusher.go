package record

import (
	"encoding/json"
	"time"
)

// Defaults of FlusherOptions.
const (
	DefaultFlushInterval = time.Second
	DefaultCopyInterval  = 100 * time.Millisecond
	DefaultOpTimeout     = time.Second
	DefaultRetryDelay    = 5 * time.Second
)

// FlusherOptions configures a Flusher. Zero fields take the defaults.
type FlusherOptions struct {
	FlushInterval time.Duration // time between two batches
	CopyInterval  time.Duration // time between two copies
	OpTimeout     time.Duration // timeout of a call
	RetryDelay    time.Duration // delay after a failed call
}

// Message is an input to Flusher.Step.
type Message interface{ isMessage() }

// Tick makes the Flusher check its timeouts and due actions.
type Tick struct{}

// Written is the reply to a Put that succeeded.
type Written struct{ Op uint64 }

// OutcomeUnknown is the reply to a Put that conflicted or may have taken effect.
type OutcomeUnknown struct{ Op uint64 }

// Unavailable is the reply to a call that failed without effect.
type Unavailable struct{ Op uint64 }

// Read is the reply to a Get. Found is false if the object does not exist.
type Read struct {
	Op    uint64
	Found bool
	Value json.RawMessage
}

// CopyAck is the zone peer's reply to a Copy. The peer holds all entries up to
// Seq.
type CopyAck struct{ Seq uint64 }

func (Tick) isMessage()           {}
func (Written) isMessage()        {}
func (OutcomeUnknown) isMessage() {}
func (Unavailable) isMessage()    {}
func (Read) isMessage()           {}
func (CopyAck) isMessage()        {}

// Action is an operation that Flusher.Step asks its caller to perform.
type Action interface{ isAction() }

// Put creates an object of objectstore.KindRecord. Its reply has the same Op.
type Put struct {
	Op    uint64
	Name  string
	Value json.RawMessage
}

// Get reads an object of objectstore.KindRecord. Its reply has the same Op.
type Get struct {
	Op   uint64
	Name string
}

// Copy sends a batch to the zone peer.
type Copy struct{ Batch Batch }

// StoredNotice informs the zone peer that all entries up to Seq are stored in the
// platform.
type StoredNotice struct{ Seq uint64 }

// StoreError reports a batch that cannot be stored, because it cannot be encoded
// or because the stored object of its name does not belong to this chain. Such
// an object is not overwritten; the Flusher reads it again after RetryDelay.
type StoreError struct {
	Name string
	Err  error
}

func (Put) isAction()          {}
func (Get) isAction()          {}
func (Copy) isAction()         {}
func (StoredNotice) isAction() {}
func (StoreError) isAction()   {}

type flushState int

const (
	flushIdle flushState = iota
	flushPutting
	flushReading
)

// Flusher writes the entries of a Journal to the platform and copies those that
// are not stored yet to one zone peer. It is not safe for concurrent use.
type Flusher struct {
	journal        *Journal
	opts           FlusherOptions
	state          flushState
	writeUncertain bool // batch may have been written
	batch          Batch
	op             uint64
	opStartedAt    time.Duration
	nextFlushAt    time.Duration
	nextCopyAt     time.Duration
	copiedSeq      uint64
}

// NewFlusher returns a Flusher for the journal.
func NewFlusher(j *Journal, opts FlusherOptions) *Flusher {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&opts.FlushInterval, DefaultFlushInterval)
	setDefault(&opts.CopyInterval, DefaultCopyInterval)
	setDefault(&opts.OpTimeout, DefaultOpTimeout)
	setDefault(&opts.RetryDelay, DefaultRetryDelay)
	return &Flusher{journal: j, opts: opts}
}

// Step applies a message and returns the resulting actions in order. now is the
// instance's monotonic clock.
func (f *Flusher) Step(now time.Duration, msg Message) []Action {
	var out []Action
	switch m := msg.(type) {
	case CopyAck:
		f.copiedSeq = m.Seq
	case Written:
		if f.state == flushPutting && m.Op == f.op {
			out = f.confirmStored(now, f.batch.LastSeq())
		}
	case OutcomeUnknown:
		if f.state == flushPutting && m.Op == f.op {
			f.state, f.writeUncertain = flushIdle, true
		}
	case Unavailable:
		if f.state != flushIdle && m.Op == f.op {
			f.state, f.nextFlushAt = flushIdle, now+f.opts.RetryDelay
		}
	case Read:
		if f.state == flushReading && m.Op == f.op {
			out = f.handleRead(now, m)
		}
	case Tick:
		f.handleTimeout(now)
	}
	return append(out, f.advance(now)...)
}

func (f *Flusher) handleTimeout(now time.Duration) {
	if f.state == flushIdle || now-f.opStartedAt < f.opts.OpTimeout {
		return
	}
	f.writeUncertain = f.writeUncertain || f.state == flushPutting
	f.state, f.nextFlushAt = flushIdle, now+f.opts.RetryDelay
}

// confirmStored records that all entries up to seq are stored in the platform.
func (f *Flusher) confirmStored(now time.Duration, seq uint64) []Action {
	f.state, f.writeUncertain = flushIdle, false
	f.nextFlushAt = now + f.opts.FlushInterval
	f.journal.MarkFlushed(seq)
	f.copiedSeq = max(f.copiedSeq, seq)
	return []Action{StoredNotice{Seq: seq}}
}

func (f *Flusher) handleRead(now time.Duration, m Read) []Action {
	f.state = flushIdle
	if !m.Found {
		f.writeUncertain = false
		return nil
	}
	var stored Batch
	err := json.Unmarshal(m.Value, &stored)
	var seq uint64
	if err == nil {
		seq, err = Resolve(f.batch, stored)
	}
	if err != nil {
		f.nextFlushAt = now + f.opts.RetryDelay
		return []Action{StoreError{Name: f.batch.Name(), Err: err}}
	}
	return f.confirmStored(now, seq)
}

// advance starts the next call and sends the next copy if they are due.
func (f *Flusher) advance(now time.Duration) []Action {
	var out []Action
	if f.state == flushIdle && (now >= f.nextFlushAt) {
		out = f.flush(now)
	}
	if now < f.nextCopyAt {
		return out
	}
	if b, ok := f.journal.NextBatch(f.copiedSeq); ok {
		f.nextCopyAt = now + f.opts.CopyInterval
		out = append(out, Copy{Batch: b})
	}
	return out
}

func (f *Flusher) flush(now time.Duration) []Action {
	if f.writeUncertain {
		f.beginCall(now, flushReading)
		return []Action{Get{Op: f.op, Name: f.batch.Name()}}
	}
	b, ok := f.journal.NextBatch(0)
	if !ok {
		return nil
	}
	value, err := json.Marshal(b)
	if err != nil {
		return []Action{StoreError{Name: b.Name(), Err: err}}
	}
	f.batch = b
	f.beginCall(now, flushPutting)
	return []Action{Put{Op: f.op, Name: b.Name(), Value: value}}
}

func (f *Flusher) beginCall(now time.Duration, state flushState) {
	f.state, f.opStartedAt = state, now
	f.op++
}
