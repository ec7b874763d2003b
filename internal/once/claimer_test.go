package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// cluster simulates several instances, each with a Claimer of the same shard, that
// share one object store and one service that counts the runs of each key.
type cluster struct {
	t         *rapid.T
	now       time.Duration
	faults    bool
	opts      ClaimerOptions
	objects   map[string]objectstore.Object
	revision  uint64
	outage    bool
	instances []*instance
	calls     []call // calls to the object store in flight
	runs      []run  // requests to the service in flight
	runCounts map[Digest]int
	ran       map[Holder]bool
	notRun    map[Holder]bool
	answered  map[Digest]int
	attempts  uint64
	denials   map[Denial]int
}

type instance struct {
	name        string
	incarnation int
	paused      bool
	claimer     *Claimer
	requests    map[Holder]*pendingRequest
	inbox       []Message
}

type pendingRequest struct {
	key     Digest
	request *Request
}

type call struct {
	from        *instance
	incarnation int
	action      Action
	reply       Message // set once the call took effect
}

type run struct {
	from        *instance
	incarnation int
	holder      Holder
	key         Digest
}

var testOptions = ClaimerOptions{
	Window: 2 * time.Second, MaxHeadAge: 500 * time.Millisecond, SettleDelay: 100 * time.Millisecond,
	WriteInterval: 20 * time.Millisecond, OpTimeout: 300 * time.Millisecond, MaxBackoff: 200 * time.Millisecond,
	ClaimTimeout: 800 * time.Millisecond, MaxRunDuration: time.Second, SegmentBytes: 400, MaxSegments: 30,
}

func newCluster(t *rapid.T, size int, faults bool) *cluster {
	opts := testOptions
	if !faults {
		opts.Window = time.Hour
	}
	cl := &cluster{
		opts: opts,
		t:    t, faults: faults, objects: map[string]objectstore.Object{}, runCounts: map[Digest]int{},
		ran: map[Holder]bool{}, notRun: map[Holder]bool{}, answered: map[Digest]int{}, denials: map[Denial]int{},
	}
	for i := range size {
		in := &instance{name: fmt.Sprintf("i%d", i)}
		cl.restart(in)
		cl.instances = append(cl.instances, in)
	}
	return cl
}

func (cl *cluster) restart(in *instance) {
	in.incarnation++
	in.claimer = NewClaimer(cl.opts, rand.New(rand.NewPCG(uint64(in.incarnation), 7)))
	in.requests, in.inbox, in.paused = map[Holder]*pendingRequest{}, nil, false
}

// draw returns a random number below n, or 0 in a cluster without faults. A draw
// that decides on a fault uses 0 for none.
func (cl *cluster) draw(n int, label string) int {
	if !cl.faults {
		return 0
	}
	return rapid.IntRange(0, n-1).Draw(cl.t, label)
}

func (cl *cluster) submit(in *instance, key Key) {
	cl.attempts++
	h := Holder{Writer: fmt.Sprintf("%s.%d", in.name, in.incarnation), Attempt: cl.attempts}
	r := NewRequest(RequestOptions{Deadline: cl.now + time.Hour}, NewBudget(cl.now, BudgetOptions{}, rand.New(rand.NewPCG(1, 1))))
	r.Claim()
	in.requests[h] = &pendingRequest{key: key.Digest, request: r}
	cl.deliver(in, Claim{Key: key, Holder: h, Fingerprint: 1})
}

// deliver passes a message to an instance, or queues it while the instance is
// paused.
func (cl *cluster) deliver(in *instance, m Message) {
	if in.paused {
		in.inbox = append(in.inbox, m)
		return
	}
	for _, a := range in.claimer.Step(cl.now+time.Duration(in.incarnation)*time.Hour, m) {
		cl.perform(in, a)
	}
}

func (cl *cluster) perform(in *instance, a Action) {
	switch a := a.(type) {
	case Answer:
		cl.reply(in, a)
	default:
		cl.calls = append(cl.calls, call{from: in, incarnation: in.incarnation, action: a})
	}
}

func (cl *cluster) reply(in *instance, a Answer) {
	pending := in.requests[a.Holder]
	if pending == nil || pending.request.State() != "claiming" {
		return
	}
	d := pending.request.ClaimReply(a.Reply)
	if a.Reply.Denial != DenialNone {
		cl.denials[a.Reply.Denial]++
	}
	switch d.Next {
	case StepStart:
		cl.attempt(in, a.Holder, pending)
	case StepRespond:
		must.SliceLen(cl.t, 1, a.Reply.Result.Body)
		must.EqOp(cl.t, 1, cl.runCounts[a.Key], must.Sprint("runs of a replayed key"))
		cl.answered[a.Key]++
	case StepFail:
		cl.fail(a.Holder, d)
	}
}

// attempt sends the request, or restarts the instance between the claim and the
// run.
func (cl *cluster) attempt(in *instance, h Holder, pending *pendingRequest) {
	if cl.draw(8, "crash before run") == 1 {
		cl.restart(in)
		return
	}
	must.True(cl.t, pending.request.StartAttempt("a"))
	cl.runs = append(cl.runs, run{from: in, incarnation: in.incarnation, holder: h, key: pending.key})
}

func (cl *cluster) fail(h Holder, d Decision) {
	if d.Ran == RunStatusNotRun {
		cl.notRun[h] = true
		must.False(cl.t, cl.ran[h], must.Sprintf("%v ran, but its caller received not_run", h))
	}
}

// handleRun makes the service run or refuse one request, or loses the request or
// its response.
func (cl *cluster) handleRun(i int) {
	r := cl.runs[i]
	cl.runs = slices.Delete(cl.runs, i, i+1)
	outcome := []Outcome{Answered, Answered, Answered, Unknown, RefusedBeforeRun, NotSent}[cl.draw(6, "service")]
	if outcome == Answered || outcome == Unknown {
		cl.runCounts[r.key]++
		cl.ran[r.holder] = true
		must.EqOp(cl.t, 1, cl.runCounts[r.key], must.Sprintf("runs of key %x", r.key))
		must.False(cl.t, cl.notRun[r.holder], must.Sprintf("%v ran after its caller received not_run", r.holder))
	}
	if r.incarnation != r.from.incarnation {
		return
	}
	pending := r.from.requests[r.holder]
	d := pending.request.AttemptDone(cl.now, "a", outcome)
	s := Settlement{Key: r.key, Holder: r.holder}
	switch d.Next {
	case StepRespond:
		s.State, s.Result = StateDone, &Result{Status: 200, Body: []byte{1}}
		cl.answered[r.key]++
	case StepStart:
		must.True(cl.t, pending.request.StartAttempt("a"))
		cl.runs = append(cl.runs, r)
		return
	default:
		cl.fail(r.holder, d)
		s.State = StateUnknown
		if d.Ran == RunStatusNotRun {
			s.State = StateReleased
		}
	}
	cl.deliver(r.from, s)
}

// advanceCall makes one call to the object store take effect or delivers its
// reply. The reply may be lost or replaced by StoreUnknown.
func (cl *cluster) advanceCall(i int) {
	c := &cl.calls[i]
	if c.reply == nil {
		c.reply = cl.applyCall(c.action)
		if c.reply == nil {
			cl.calls = slices.Delete(cl.calls, i, i+1)
			return
		}
		if cl.faults && cl.draw(3, "reply later") == 1 {
			return
		}
	}
	done := *c
	cl.calls = slices.Delete(cl.calls, i, i+1)
	if done.incarnation != done.from.incarnation {
		return
	}
	switch put, isPut := done.action.(Put); {
	case isPut && cl.draw(6, "reply unknown") == 1:
		cl.deliver(done.from, StoreUnknown{Op: put.Op})
	case cl.draw(10, "reply lost") == 1:
	default:
		cl.deliver(done.from, done.reply)
	}
}

func (cl *cluster) applyCall(a Action) Message {
	switch a := a.(type) {
	case Get:
		if cl.outage {
			return StoreUnavailable{Op: a.Op}
		}
		obj, ok := cl.objects[a.Name]
		return StoreRead{Op: a.Op, Found: ok, Object: obj}
	case Put:
		if cl.outage {
			return StoreUnavailable{Op: a.Op}
		}
		must.LessEq(cl.t, objectstore.MaxValueBytes, len(a.Value))
		if cl.objects[a.Name].Version != a.Version {
			return StoreConflict{Op: a.Op}
		}
		cl.revision++
		cl.objects[a.Name] = objectstore.Object{Name: a.Name, Version: cl.revision, Value: a.Value}
		return StoreWritten{Op: a.Op, Version: cl.revision}
	case Delete:
		if obj := cl.objects[a.Name]; !cl.outage && obj.Version == a.Version {
			cl.revision++
			cl.objects[a.Name] = objectstore.Object{Name: a.Name, Version: cl.revision, Deleted: true}
		}
	}
	return nil
}

func (cl *cluster) tick(d time.Duration) {
	cl.now += d
	for _, in := range cl.instances {
		if !in.paused {
			cl.deliver(in, Tick{})
		}
	}
}

func (cl *cluster) injectFault() {
	in := cl.instances[cl.draw(len(cl.instances), "instance")]
	switch cl.draw(4, "fault") {
	case 0:
		cl.outage = !cl.outage
	case 1:
		cl.restart(in)
	case 2:
		in.paused = true
	case 3:
		inbox := in.inbox
		in.paused, in.inbox = false, nil
		for _, m := range inbox {
			cl.deliver(in, m)
		}
	}
}

func testKey(i int, now time.Duration) Key {
	return Key{Digest: Digest{byte(i)}, TimeMS: 1 + now.Milliseconds()}
}

// A key runs at most once, a request reported as not run never runs, and a
// replay returns the result of the only run. The faults are crashes between
// claim and run, retries of callers through other instances, lost, late and
// unknown replies, conflicts, outages and pauses.
func TestClaimsAtMostOnce(t *testing.T) {
	total := map[Denial]int{}
	rapidtest.Check(t, func(t *rapid.T) {
		cl := newCluster(t, 3, true)
		var keys []Key
		for range rapid.IntRange(200, 1200).Draw(t, "steps") {
			switch cl.draw(12, "step") {
			case 0:
				keys = append(keys, testKey(len(keys), cl.now))
				fallthrough
			case 1, 2:
				if len(keys) > 0 {
					cl.submit(cl.instances[cl.draw(3, "through")], keys[cl.draw(len(keys), "key")])
				}
			case 3:
				cl.injectFault()
			case 4, 5:
				cl.tick(time.Duration(cl.draw(700, "ms")) * time.Millisecond)
			case 6, 7:
				if len(cl.runs) > 0 {
					cl.handleRun(cl.draw(len(cl.runs), "run"))
				}
			default:
				if len(cl.calls) > 0 {
					cl.advanceCall(cl.draw(len(cl.calls), "call"))
				}
			}
		}
		for d, n := range cl.denials {
			total[d] += n
		}
	})
	for _, d := range []Denial{DenialReplay, DenialInProgress, DenialUnknown, DenialStale} {
		must.Positive(t, total[d], must.Sprintf("denials %q seen", d))
	}
}

// Without faults every request with a new key runs and is answered, and a second
// request with the same key gets the result of the first one.
func TestClaimsLiveness(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		cl := newCluster(t, 3, false)
		n := rapid.IntRange(1, 40).Draw(t, "requests")
		for i := range 2 * n {
			cl.submit(cl.instances[rapid.IntRange(0, 2).Draw(t, "through")], testKey(i%n, 0))
			cl.runUntilIdle()
		}
		for i := range n {
			must.EqOp(t, 1, cl.runCounts[Digest{byte(i)}])
			must.EqOp(t, 2, cl.answered[Digest{byte(i)}])
		}
	})
}

// runUntilIdle advances the cluster until no call, run, claim or settlement is
// pending.
func (cl *cluster) runUntilIdle() {
	for range 200 {
		for len(cl.calls) > 0 || len(cl.runs) > 0 {
			if len(cl.calls) > 0 {
				cl.advanceCall(0)
			}
			if len(cl.runs) > 0 {
				cl.handleRun(0)
			}
		}
		if !slices.ContainsFunc(cl.instances, func(in *instance) bool { return !in.claimer.Idle() }) {
			return
		}
		cl.tick(5 * time.Millisecond)
	}
	cl.t.Fatalf("cluster not idle after 200 ticks")
}

// A single Claimer commits many claims in one write: the number of writes depends
// on the write interval, not on the number of claims.
func TestClaimsShareWrites(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		cl := newCluster(t, 1, false)
		const claims = 200
		for i := range claims {
			cl.submit(cl.instances[0], testKey(i, cl.now))
			if i%20 == 19 {
				cl.runUntilIdle()
			}
		}
		writes := cl.instances[0].claimer.Stats().Writes
		must.LessEq(t, uint64(claims/4), writes)
	})
}

// While the platform is unavailable a claim is refused as not run, and after the
// first failed call it is refused at once.
func TestClaimsRefusedWhilePlatformUnavailable(t *testing.T) {
	c := NewClaimer(ClaimerOptions{}, newRand())
	get := c.Step(0, Claim{Key: Key{Digest: Digest{1}}, Holder: Holder{"w", 1}})[0].(Get)
	out := c.Step(1, StoreUnavailable{Op: get.Op})
	must.Eq(t, []Action{Answer{Key: Digest{1}, Holder: Holder{"w", 1}, Reply: Reply{Reason: ReasonUnavailable, RetryAfter: DefaultRetryAfter}}}, out)
	out = c.Step(2, Claim{Key: Key{Digest: Digest{2}}, Holder: Holder{"w", 2}})
	must.EqOp(t, ReasonUnavailable, out[0].(Answer).Reply.Reason)
}

// A claim that arrives while the head is being sealed does not overwrite the
// claim of another request on the same key.
func TestClaimDuringSealKeepsExistingClaim(t *testing.T) {
	c := NewClaimer(ClaimerOptions{MaxHeadAge: time.Minute}, newRand())
	key := Key{Digest: Digest{1}, TimeMS: 1}
	get := c.Step(0, Claim{Key: key, Holder: Holder{"first", 1}})[0].(Get)
	put := c.Step(0, StoreRead{Op: get.Op})[0].(Put)
	must.True(t, c.Step(0, StoreWritten{Op: put.Op, Version: 1})[0].(Answer).Reply.Granted)
	seal := c.Step(time.Hour, Claim{Key: Key{Digest: Digest{2}, TimeMS: 2}, Holder: Holder{"other", 1}})[0].(Put)
	must.EqOp(t, segmentName(0, 1), seal.Name)
	must.SliceEmpty(t, c.Step(time.Hour, Claim{Key: key, Holder: Holder{"second", 1}}))
	head := c.Step(time.Hour, StoreWritten{Op: seal.Op, Version: 2})[0].(Put)
	for _, a := range c.Step(time.Hour, StoreWritten{Op: head.Op, Version: 3}) {
		if answer, ok := a.(Answer); ok && answer.Key == key.Digest {
			must.False(t, answer.Reply.Granted, must.Sprint("a second claim on the key was granted"))
		}
	}
}

// A settlement is written within one interval while claims are rare. While
// claims are frequent it is held back for up to SettleDelay to be written with a
// claim.
func TestSettlementWaitsOnlyWhileClaimsAreFrequent(t *testing.T) {
	for _, gap := range []time.Duration{2 * DefaultSettleDelay, DefaultSettleDelay / 10} {
		c := NewClaimer(ClaimerOptions{}, newRand())
		now, version := time.Second, uint64(0)
		run := func(m Message) (puts int) {
			for queue := c.Step(now, m); len(queue) > 0; queue = queue[1:] {
				switch a := queue[0].(type) {
				case Get:
					queue = append(queue, c.Step(now, StoreRead{Op: a.Op})...)
				case Put:
					version++
					puts++
					queue = append(queue, c.Step(now, StoreWritten{Op: a.Op, Version: version})...)
				}
			}
			return puts
		}
		for i := range 3 {
			now += gap
			run(Claim{Key: Key{Digest: Digest{byte(i + 1)}, TimeMS: 1}, Holder: Holder{"w", uint64(i + 1)}})
		}
		puts := run(Settlement{Key: Digest{3}, Holder: Holder{"w", 3}, State: StateDone, Result: &Result{Status: 200}})
		now += DefaultWriteInterval
		puts += run(Tick{})
		must.Eq(t, gap >= DefaultSettleDelay, puts == 1, must.Sprint("time between claims: ", gap))
		now += DefaultSettleDelay
		puts += run(Tick{})
		must.EqOp(t, 1, puts)
	}
}
