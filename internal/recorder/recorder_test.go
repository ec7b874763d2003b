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

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

const journalCapacity = 16

// testInstance is one incarnation of an instance and its Recorder.
type testInstance struct {
	*Recorder
	self objectstore.Instance
	stop context.CancelFunc
	// delay is the delay of its replies, in nanoseconds.
	delay atomic.Int64
}

// testZone is a zone of several instances whose Recorder values call each other
// directly.
type testZone struct {
	store        *objectstore.Memory
	mu           sync.Mutex               // guards members and leader
	members      map[string]*testInstance // current members by name
	incarnations int
	startedAt    time.Time
	// leader is the name of the zone leader.
	leader     string
	writeLines bool
	logger     *slog.Logger
	log        bytes.Buffer // log lines of all instances, if writeLines is set
}

// leaseView implements Leader for one instance.
type leaseView struct {
	z    *testZone
	name string
}

func (v leaseView) Held() (uint64, bool) { return 1, v.Holder() == v.name }

func (v leaseView) Holder() string {
	v.z.mu.Lock()
	defer v.z.mu.Unlock()
	return v.z.leader
}

func (z *testZone) setLeader(name string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.leader = name
}

func (z *testZone) member(name string) *testInstance {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.members[name]
}

// removeMember removes an instance from the members of the zone. The instance may
// still be running.
func (z *testZone) removeMember(r *testInstance) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.members[r.self.Name] == r {
		delete(z.members, r.self.Name)
	}
}

func (z *testZone) peersOf(self objectstore.Instance) (peers []objectstore.Instance) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, other := range z.members {
		if other.self != self {
			peers = append(peers, other.self)
		}
	}
	return peers
}

// conn is a connection that calls one Recorder directly.
type conn struct {
	drpc.Conn
	to    *Recorder
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

func (z *testZone) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	r := z.member(address)
	if r == nil {
		return errors.New("no such peer")
	}
	return call(ctx, conn{to: r.Recorder, delay: time.Duration(r.delay.Load())})
}

func (z *testZone) start(name string) *testInstance {
	z.incarnations++
	self := objectstore.Instance{Name: name, Incarnation: fmt.Sprint(z.incarnations), Zone: "z", PeerAddress: name}
	ctx, cancel := context.WithCancel(context.Background())
	var line func(record.Placed)
	if z.writeLines {
		line = func(p record.Placed) { z.logger.Info("service record", record.LogKey, p) }
	}
	r := &testInstance{self: self, stop: cancel, Recorder: New(Options{
		Leader: leaseView{z, name}, WriteLogLine: line,
		Self: self, Store: z.store, Peers: z, Journal: record.JournalOptions{Capacity: journalCapacity},
		ZonePeers: func() []objectstore.Instance { return z.peersOf(self) },
		Now:       func() time.Duration { return time.Since(z.startedAt) },
		WallMS:    func() int64 { return time.Now().UnixMilli() }, Log: slog.New(slog.DiscardHandler),
	})}
	z.mu.Lock()
	z.members[name] = r
	z.mu.Unlock()
	go func() { _ = r.Run(ctx) }()
	return r
}

// kill stops an instance without a planned stop, after its outstanding calls have
// ended.
func (z *testZone) kill(r *testInstance) {
	r.stop()
	synctest.Wait()
	z.removeMember(r)
}

func newZone() *testZone {
	z := &testZone{store: objectstore.NewMemory(0), members: map[string]*testInstance{}, startedAt: time.Now()}
	z.logger = slog.New(slog.NewJSONHandler(&z.log, nil))
	return z
}

// runInZone runs a test in a zone with an instance of each name.
func runInZone(t *testing.T, test func(t *testing.T, z *testZone), names ...string) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		for _, name := range names {
			z.start(name)
		}
		defer z.stopAll()
		time.Sleep(record.DefaultFlushInterval + tickPeriod)
		for _, name := range names {
			z.members[name].append(1) // is flushed at once; entries appended within the next second are not
		}
		time.Sleep(2*tickPeriod + tickPeriod/2)
		test(t, z)
	})
}

func (z *testZone) stopAll() {
	for _, r := range z.members {
		r.stop()
	}
	time.Sleep(2 * callTimeout)
}

func (r *testInstance) append(n int) {
	for range n {
		r.Append(record.Entry{Kind: record.KindOutcome, Organisation: "org"})
	}
}

func (r *testInstance) head() record.Head {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.journal.Head()
}

// findings verifies the stored record and returns the findings in one instance's
// chain.
func (z *testZone) findings(t *testing.T, of *testInstance, heads ...record.Head) (found []record.Finding) {
	list, err := z.store.List(context.Background(), objectstore.KindRecord)
	must.NoError(t, err)
	slices.SortFunc(list.Objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Name, b.Name) })
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

func (z *testZone) openFinding(of *testInstance, seq uint64) []record.Finding {
	return []record.Finding{{Origin: origin(of.self), Fault: record.FaultNotStopped, Seq: seq}}
}

// After a crash the peer writes the copies that it holds, so that only the entry
// that was neither flushed nor copied is missing.
func TestPeerAdoptsCopiesOfDeadInstance(t *testing.T) {
	runInZone(t, func(t *testing.T, z *testZone) {
		a := z.members["a"]
		a.append(3)
		time.Sleep(3 * tickPeriod)
		a.append(1)
		z.kill(a)
		must.Eq(t, z.openFinding(a, 3), z.findings(t, a), must.Sprint("the three entries must not be flushed yet"))
		time.Sleep(adoptAfter + adoptPeriod + time.Second)
		must.Eq(t, z.openFinding(a, 6), z.findings(t, a))
		must.Eq(t, []record.Finding{{Origin: origin(a.self), Fault: record.FaultMissing, Seq: 6, Through: 6}},
			z.findings(t, a, a.head()))
	}, "a", "b")
}

// In an outage that fills the journal, entries that are left out are counted. The
// journal has room again once the platform is available, without a further entry.
func TestOutageBeyondJournalCapacity(t *testing.T) {
	runInZone(t, func(t *testing.T, z *testZone) {
		a := z.members["a"]
		z.store.SetFaults(objectstore.Faults{Outage: true})
		for range 2 * journalCapacity {
			a.append(1)
			time.Sleep(time.Second)
		}
		must.True(t, a.Full())
		z.store.SetFaults(objectstore.Faults{})
		time.Sleep(2 * record.DefaultRetryDelay)
		must.False(t, a.Full())
		a.append(1)
		time.Sleep(2 * record.DefaultFlushInterval)
		found := z.findings(t, a, a.head())
		must.Len(t, 2, found)
		must.Eq(t, record.FaultGap, found[0].Fault)
		must.Eq(t, journalCapacity+1, found[0].Lost)
		must.Eq(t, record.FaultNotStopped, found[1].Fault)
	}, "a", "b")
}

// After lost replies and a planned stop the chain ends with a stopped entry, and
// Verify reports no finding.
func TestPlannedStopAfterLostReplies(t *testing.T) {
	runInZone(t, func(t *testing.T, z *testZone) {
		a := z.members["a"]
		z.store.SetFaults(objectstore.Faults{LoseReplies: 5})
		for range journalCapacity {
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

// killAndAdopt kills an instance whose entries are copied but not stored because
// of an outage, ends the outage, and returns once its peers have written the
// copies.
func (z *testZone) killAndAdopt(a *testInstance) {
	z.kill(a)
	z.store.SetFaults(objectstore.Faults{})
	time.Sleep(adoptAfter + 2*adoptPeriod)
}

// When the peer that holds the copies leaves, or restarts under its name, the next
// peer receives all entries that are not flushed, even if the reply of the former
// peer arrives late.
func TestCopiesResentToNewPeer(t *testing.T) {
	for _, c := range []struct {
		test    string
		restart bool
		delay   time.Duration
		more    int // entries after the change
	}{
		{test: "gone"}, {test: "gone, more entries", more: 1},
		{test: "restarted", restart: true}, {test: "restarted, more entries", restart: true, more: 1},
		{test: "late reply", delay: 150 * time.Millisecond, more: 1},
	} {
		t.Run(c.test, func(t *testing.T) {
			runInZone(t, func(t *testing.T, z *testZone) {
				a := z.members["a"]
				z.store.SetFaults(objectstore.Faults{Outage: true})
				p, ok := a.chooseCopyPeer()
				must.True(t, ok)
				z.member(p.Name).delay.Store(int64(c.delay))
				a.append(3)
				time.Sleep(2*tickPeriod + c.delay/2)
				former := z.members[p.Name]
				z.removeMember(former)
				if c.restart {
					z.start(p.Name)
				}
				time.Sleep(2 * tickPeriod)
				a.append(c.more)
				time.Sleep(4 * tickPeriod)
				z.kill(former)
				z.killAndAdopt(a)
				must.Eq(t, z.openFinding(a, uint64(6+c.more)), z.findings(t, a))
			}, "a", "b", "c")
		})
	}
}

// An instance writes the copies of a dead peer before its own planned stop
// completes.
func TestStoppingInstanceAdoptsCopies(t *testing.T) {
	runInZone(t, func(t *testing.T, z *testZone) {
		a, b := z.members["a"], z.members["b"]
		a.append(3)
		time.Sleep(3 * tickPeriod)
		z.kill(a)
		time.Sleep(stopAdoptAfter)
		b.Stop(context.Background())
		z.kill(b)
		must.Eq(t, z.openFinding(a, 6), z.findings(t, a))
	}, "a", "b")
}
