package record

import (
	"encoding/json"
	"time"
)

// Defaults of FlusherOptions.
const (
	DefaultFlushEvery = time.Second
	DefaultCopyEvery  = 100 * time.Millisecond
	DefaultOpTimeout  = time.Second
	DefaultRetryAfter = 5 * time.Second
)

// FlusherOptions set a Flusher. Zero fields take the defaults.
type FlusherOptions struct {
	FlushEvery time.Duration // between two batches
	CopyEvery  time.Duration // between two copies
	OpTimeout  time.Duration // after which a call counts as lost
	RetryAfter time.Duration // after a failed call
}

// Message is what a Flusher is told.
type Message interface{ isMessage() }

// Tick lets time pass.
type Tick struct{}

// Written answers a Put that took effect.
type Written struct{ Op uint64 }

// Doubtful answers a Put that conflicted or may have taken effect.
type Doubtful struct{ Op uint64 }

// Unavailable answers a call that failed without effect.
type Unavailable struct{ Op uint64 }

// Read answers a Get. Found is false if the object does not exist.
type Read struct {
	Op    uint64
	Found bool
	Value json.RawMessage
}

// CopyAck is the zone peer's answer to a Copy: it holds all up to Seq.
type CopyAck struct{ Seq uint64 }

func (Tick) isMessage()        {}
func (Written) isMessage()     {}
func (Doubtful) isMessage()    {}
func (Unavailable) isMessage() {}
func (Read) isMessage()        {}
func (CopyAck) isMessage()     {}

// Action is what a Flusher asks for.
type Action interface{ isAction() }

// Put creates an object of platform.KindRecord.
type Put struct {
	Op    uint64
	Name  string
	Value json.RawMessage
}

// Get reads an object of platform.KindRecord.
type Get struct {
	Op   uint64
	Name string
}

// Copy sends a batch to the zone peer.
type Copy struct{ Batch Batch }

// Notice tells the zone peer that the platform holds all up to Seq.
type Notice struct{ Seq uint64 }

// Alarm reports a stored object that is not of this chain. Nothing is written
// over it; the Flusher tries again after RetryAfter.
type Alarm struct {
	Name string
	Err  error
}

func (Put) isAction()    {}
func (Get) isAction()    {}
func (Copy) isAction()   {}
func (Notice) isAction() {}
func (Alarm) isAction()  {}

type flushState int

const (
	flushIdle flushState = iota
	flushPutting
	flushReading
)

// Flusher moves the entries of a Journal to the platform and, until then, to
// one zone peer. It is not safe for concurrent use.
type Flusher struct {
	journal *Journal
	opts    FlusherOptions
	state   flushState
	unsure  bool // the object of batch may have been written
	batch   Batch
	op      uint64
	since   time.Duration
	flushAt time.Duration
	copyAt  time.Duration
	copied  uint64
}

// NewFlusher returns a Flusher of the journal.
func NewFlusher(j *Journal, opts FlusherOptions) *Flusher {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&opts.FlushEvery, DefaultFlushEvery)
	def(&opts.CopyEvery, DefaultCopyEvery)
	def(&opts.OpTimeout, DefaultOpTimeout)
	def(&opts.RetryAfter, DefaultRetryAfter)
	return &Flusher{journal: j, opts: opts}
}

// Step applies a message and returns the actions that follow. now is the
// instance's monotonic clock.
func (f *Flusher) Step(now time.Duration, msg Message) []Action {
	var out []Action
	switch m := msg.(type) {
	case CopyAck:
		f.copied = m.Seq
	case Written:
		if f.state == flushPutting && m.Op == f.op {
			out = f.safe(now, f.batch.Last())
		}
	case Doubtful:
		if f.state == flushPutting && m.Op == f.op {
			f.state, f.unsure = flushIdle, true
		}
	case Unavailable:
		if f.state != flushIdle && m.Op == f.op {
			f.state, f.flushAt = flushIdle, now+f.opts.RetryAfter
		}
	case Read:
		if f.state == flushReading && m.Op == f.op {
			out = f.read(now, m)
		}
	case Tick:
		f.timeout(now)
	}
	return append(out, f.advance(now)...)
}

func (f *Flusher) timeout(now time.Duration) {
	if f.state == flushIdle || now-f.since < f.opts.OpTimeout {
		return
	}
	f.unsure = f.unsure || f.state == flushPutting
	f.state, f.flushAt = flushIdle, now+f.opts.RetryAfter
}

// safe notes that the platform holds all up to seq.
func (f *Flusher) safe(now time.Duration, seq uint64) []Action {
	f.state, f.unsure = flushIdle, false
	f.flushAt = now + f.opts.FlushEvery
	f.journal.Flushed(seq)
	f.copied = max(f.copied, seq)
	return []Action{Notice{Seq: seq}}
}

func (f *Flusher) read(now time.Duration, m Read) []Action {
	f.state = flushIdle
	if !m.Found {
		f.unsure = false
		return nil
	}
	var stored Batch
	err := json.Unmarshal(m.Value, &stored)
	var seq uint64
	if err == nil {
		seq, err = Resolve(f.batch, stored)
	}
	if err != nil {
		f.flushAt = now + f.opts.RetryAfter
		return []Action{Alarm{Name: f.batch.Name(), Err: err}}
	}
	return f.safe(now, seq)
}

// advance opens the next call and sends the next copy.
func (f *Flusher) advance(now time.Duration) []Action {
	var out []Action
	if f.state == flushIdle && (now >= f.flushAt) {
		out = f.flush(now)
	}
	if now < f.copyAt {
		return out
	}
	if b, ok := f.journal.Next(f.copied); ok {
		f.copyAt = now + f.opts.CopyEvery
		out = append(out, Copy{Batch: b})
	}
	return out
}

func (f *Flusher) flush(now time.Duration) []Action {
	if f.unsure {
		f.open(now, flushReading)
		return []Action{Get{Op: f.op, Name: f.batch.Name()}}
	}
	b, ok := f.journal.Next(0)
	if !ok {
		return nil
	}
	value, err := json.Marshal(b)
	if err != nil {
		return []Action{Alarm{Name: b.Name(), Err: err}}
	}
	f.batch = b
	f.open(now, flushPutting)
	return []Action{Put{Op: f.op, Name: b.Name(), Value: value}}
}

func (f *Flusher) open(now time.Duration, state flushState) {
	f.state, f.since = state, now
	f.op++
}
