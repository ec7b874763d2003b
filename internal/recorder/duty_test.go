package recorder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

const ring = 16

// run is one incarnation of an instance.
type run struct {
	*Duty
	self platform.Instance
	stop context.CancelFunc
	// delay of its answers, in nanoseconds.
	delay atomic.Int64
}

// zone is a few duties that call each other directly.
type zone struct {
	store *platform.Memory
	mu    sync.Mutex      // guards runs and holder
	runs  map[string]*run // by name; those that are gone are not listed
	boots int
	began time.Time
	// holder is the name of the instance that holds the zone's duty.
	holder string
	lines  bool
	logger *slog.Logger
	log    bytes.Buffer // of all instances, if they write lines
}

// view is the lease as one instance sees it.
type view struct {
	z    *zone
	name string
}

func (v view) Held() (uint64, bool) { return 1, v.Holder() == v.name }

func (v view) Holder() string {
	v.z.mu.Lock()
	defer v.z.mu.Unlock()
	return v.z.holder
}

func (z *zone) give(holder string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.holder = holder
}

func (z *zone) member(name string) *run {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.runs[name]
}

// leave takes a run off the list of members; it may still run.
func (z *zone) leave(r *run) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.runs[r.self.Name] == r {
		delete(z.runs, r.self.Name)
	}
}

func (z *zone) peersOf(self platform.Instance) (peers []platform.Instance) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, other := range z.runs {
		if other.self != self {
			peers = append(peers, other.self)
		}
	}
	return peers
}

// conn carries a copy to one duty.
type conn struct {
	drpc.Conn
	to    *Duty
	delay time.Duration
}

func (c conn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	if head, ok := in.(*peerpb.RecordHead); ok {
		answer, err := c.to.Head(ctx, head)
		reply := out.(*peerpb.RecordHeadReply)
		reply.Stored, reply.Stamp = answer.GetStored(), answer.GetStamp()
		return err
	}
	ack, err := c.to.Copy(ctx, in.(*peerpb.RecordCopy))
	time.Sleep(c.delay)
	if err == nil {
		reply := out.(*peerpb.RecordAck)
		reply.Held, reply.Stamp = ack.Held, ack.Stamp
	}
	return err
}

func (z *zone) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	r := z.member(address)
	if r == nil {
		return errors.New("no such peer")
	}
	return call(ctx, conn{to: r.Duty, delay: time.Duration(r.delay.Load())})
}

func (z *zone) start(name string) *run {
	z.boots++
	self := platform.Instance{Name: name, Incarnation: fmt.Sprint(z.boots), Zone: "z", PeerAddress: name}
	ctx, cancel := context.WithCancel(context.Background())
	var line func(record.Placed)
	if z.lines {
		line = func(p record.Placed) { z.logger.Info("service record", record.LogKey, p) }
	}
	r := &run{self: self, stop: cancel, Duty: New(Options{
		Leader: view{z, name}, Line: line,
		Self: self, Store: z.store, Peers: z, Journal: record.JournalOptions{Ring: ring},
		ZonePeers: func() []platform.Instance { return z.peersOf(self) },
		Now:       func() time.Duration { return time.Since(z.began) },
		WallMS:    func() int64 { return time.Now().UnixMilli() }, Log: slog.New(slog.DiscardHandler),
	})}
	z.mu.Lock()
	z.runs[name] = r
	z.mu.Unlock()
	go func() { _ = r.Run(ctx) }()
	return r
}

// kill ends a run at once. Its calls under way end first.
func (z *zone) kill(r *run) {
	r.stop()
	synctest.Wait()
	z.leave(r)
}

func newZone() *zone {
	z := &zone{store: platform.NewMemory(0), runs: map[string]*run{}, began: time.Now()}
	z.logger = slog.New(slog.NewJSONHandler(&z.log, nil))
	return z
}

// inZone runs a test in a zone of instances of these names.
func inZone(t *testing.T, test func(t *testing.T, z *zone), names ...string) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		for _, name := range names {
			z.start(name)
		}
		defer z.end()
		time.Sleep(record.DefaultFlushEvery + tickPeriod)
		for _, name := range names {
			z.runs[name].append(1) // is flushed at once, what follows within a second is not
		}
		time.Sleep(2*tickPeriod + tickPeriod/2)
		test(t, z)
	})
}

func (z *zone) end() {
	for _, r := range z.runs {
		r.stop()
	}
	time.Sleep(2 * callTimeout)
}

func (r *run) append(n int) {
	for range n {
		r.Append(record.Entry{Kind: record.KindOutcome, Organisation: "org"})
	}
}

func (r *run) head() record.Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.Head()
}

// findings verifies the stored record and returns what is found on one run.
func (z *zone) findings(t *testing.T, of *run, heads ...record.Head) (found []record.Finding) {
	list, err := z.store.List(context.Background(), platform.KindRecord)
	must.NoError(t, err)
	slices.SortFunc(list.Objects, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	var stored record.Stored
	for _, obj := range list.Objects {
		must.NoError(t, stored.Add(obj.Name, obj.Value))
	}
	lines, err := record.ReadLog(bytes.NewReader(z.log.Bytes()))
	must.NoError(t, err)
	stored.Batches = append(stored.Batches, lines...)
	heads = append(heads, stored.Heads...)
	for _, f := range record.Verify(stored.Batches, heads).Findings {
		if f.Origin == origin(of.self) {
			found = append(found, f)
		}
	}
	return found
}

func (z *zone) open(of *run, seq uint64) []record.Finding {
	return []record.Finding{{Origin: origin(of.self), Fault: record.FaultOpen, Seq: seq}}
}

// TestPeerWritesWhatADeadInstanceCopied: only the entry that was neither
// flushed nor copied is missing.
func TestPeerWritesWhatADeadInstanceCopied(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		a := z.runs["a"]
		a.append(3)
		time.Sleep(3 * tickPeriod)
		a.append(1)
		z.kill(a)
		must.Eq(t, z.open(a, 3), z.findings(t, a), must.Sprint("the three were not flushed"))
		time.Sleep(adoptAfter + adoptPeriod + time.Second)
		must.Eq(t, z.open(a, 6), z.findings(t, a))
		must.Eq(t, []record.Finding{{Origin: origin(a.self), Fault: record.FaultMissing, Seq: 6, Through: 6}},
			z.findings(t, a, a.head()))
	}, "a", "b")
}

// TestOutageLongerThanTheRing: what found no room is counted, and there is room
// again once the platform is back, with no further entry.
func TestOutageLongerThanTheRing(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		a := z.runs["a"]
		z.store.SetFaults(platform.Faults{Outage: true})
		for range 2 * ring {
			a.append(1)
			time.Sleep(time.Second)
		}
		must.True(t, a.Full())
		z.store.SetFaults(platform.Faults{})
		time.Sleep(2 * record.DefaultRetryAfter)
		must.False(t, a.Full())
		a.append(1)
		time.Sleep(2 * record.DefaultFlushEvery)
		found := z.findings(t, a, a.head())
		must.Len(t, 2, found)
		must.Eq(t, record.FaultLost, found[0].Fault)
		must.Eq(t, ring+1, found[0].Lost)
		must.Eq(t, record.FaultOpen, found[1].Fault)
	}, "a", "b")
}

// TestPlannedStopAfterLostReplies: the chain ends with a stopped entry and
// nothing is found.
func TestPlannedStopAfterLostReplies(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		a := z.runs["a"]
		z.store.SetFaults(platform.Faults{LoseReplies: 5})
		for range ring {
			a.append(1)
			time.Sleep(700 * time.Millisecond)
		}
		must.Eq(t, 0, z.store.Faults().LoseReplies)
		a.append(1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		a.Stop(ctx)
		must.NoError(t, ctx.Err())
		z.kill(a)
		must.SliceEmpty(t, z.findings(t, a, a.head()))
	}, "a", "b")
}

// outlive kills an instance whose entries are copied only, in an outage, and
// returns once its peers have written what they hold.
func (z *zone) outlive(a *run) {
	z.kill(a)
	z.store.SetFaults(platform.Faults{})
	time.Sleep(adoptAfter + 2*adoptPeriod)
}

// TestCopiesFollowTheHolder: when the peer that holds the copies goes, or
// starts again under its name, the next one holds all that waits, also when
// the former one's answer comes late.
func TestCopiesFollowTheHolder(t *testing.T) {
	for _, c := range []struct {
		test    string
		restart bool
		delay   time.Duration
		more    int // entries after the change
	}{
		{test: "gone"}, {test: "gone, more entries", more: 1},
		{test: "restarted", restart: true}, {test: "restarted, more entries", restart: true, more: 1},
		{test: "late answer", delay: 150 * time.Millisecond, more: 1},
	} {
		t.Run(c.test, func(t *testing.T) {
			inZone(t, func(t *testing.T, z *zone) {
				a := z.runs["a"]
				z.store.SetFaults(platform.Faults{Outage: true})
				p, ok := a.choosePeer()
				must.True(t, ok)
				z.member(p.Name).delay.Store(int64(c.delay))
				a.append(3)
				time.Sleep(2*tickPeriod + c.delay/2)
				former := z.runs[p.Name]
				z.leave(former)
				if c.restart {
					z.start(p.Name)
				}
				time.Sleep(2 * tickPeriod)
				a.append(c.more)
				time.Sleep(4 * tickPeriod)
				z.kill(former)
				z.outlive(a)
				must.Eq(t, z.open(a, uint64(6+c.more)), z.findings(t, a))
			}, "a", "b", "c")
		})
	}
}

// TestStoppingHolderWritesWhatItHolds: the copies of a dead peer outlive a
// planned stop of the instance that holds them.
func TestStoppingHolderWritesWhatItHolds(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		a, b := z.runs["a"], z.runs["b"]
		a.append(3)
		time.Sleep(3 * tickPeriod)
		z.kill(a)
		time.Sleep(stopSilence)
		b.Stop(context.Background())
		z.kill(b)
		must.Eq(t, z.open(a, 6), z.findings(t, a))
	}, "a", "b")
}
