package once

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// cluster simulates several instances, each with a Claimer of the same shard, that
// share one object store and one service that counts the runs of each key.
type cluster struct {
	t         *rapid.T
	now       time.Duration
	faults    bool
	opts      ClaimerOptions
	objects   map[string]platform.Object
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
	Window: 2 * time.Second, Roll: 500 * time.Millisecond, SettleDelay: 100 * time.Millisecond,
	Interval: 20 * time.Millisecond, OpTimeout: 300 * time.Millisecond, AwayMax: 200 * time.Millisecond,
	ClaimTimeout: 800 * time.Millisecond, MaxRun: time.Second, SegmentBytes: 400, MaxSegments: 30,
}

func newCluster(t *rapid.T, size int, faults bool) *cluster {
	opts := testOptions
	if !faults {
		opts.Window = time.Hour
	}
	f := &cluster{
		opts: opts,
		t:    t, faults: faults, objects: map[string]platform.Object{}, runCounts: map[Digest]int{},
		ran: map[Holder]bool{}, notRun: map[Holder]bool{}, answered: map[Digest]int{}, denials: map[Denial]int{},
	}
	for i := range size {
		in := &instance{name: fmt.Sprintf("i%d", i)}
		f.restart(in)
		f.instances = append(f.instances, in)
	}
	return f
}

func (f *cluster) restart(in *instance) {
	in.incarnation++
	in.claimer = NewClaimer(f.opts, rand.New(rand.NewPCG(uint64(in.incarnation), 7)))
	in.requests, in.inbox, in.paused = map[Holder]*pendingRequest{}, nil, false
}

// draw returns 0 without faults, so that a fault is always a non-zero draw.
func (f *cluster) draw(n int, label string) int {
	if !f.faults {
		return 0
	}
	return rapid.IntRange(0, n-1).Draw(f.t, label)
}

func (f *cluster) submit(in *instance, key Key) {
	f.attempts++
	h := Holder{Writer: fmt.Sprintf("%s.%d", in.name, in.incarnation), Attempt: f.attempts}
	r := NewRequest(RequestOptions{Deadline: f.now + time.Hour}, NewBudget(f.now, BudgetOptions{}, rand.New(rand.NewPCG(1, 1))))
	r.Claim()
	in.requests[h] = &pendingRequest{key: key.Digest, request: r}
	f.deliver(in, Claim{Key: key, Holder: h, Fingerprint: 1})
}

// deliver passes a message to an instance, or queues it while the instance is
// paused.
func (f *cluster) deliver(in *instance, m Message) {
	if in.paused {
		in.inbox = append(in.inbox, m)
		return
	}
	for _, a := range in.claimer.Step(f.now+time.Duration(in.incarnation)*time.Hour, m) {
		f.perform(in, a)
	}
}

func (f *cluster) perform(in *instance, a Action) {
	switch a := a.(type) {
	case Answer:
		f.reply(in, a)
	default:
		f.calls = append(f.calls, call{from: in, incarnation: in.incarnation, action: a})
	}
}

func (f *cluster) reply(in *instance, a Answer) {
	h := in.requests[a.Holder]
	if h == nil || h.request.State() != "claiming" {
		return
	}
	d := h.request.ClaimReply(a.Reply)
	if a.Reply.Denial != DenialNone {
		f.denials[a.Reply.Denial]++
	}
	switch d.Verdict {
	case VerdictStart:
		f.attempt(in, a.Holder, h)
	case VerdictAnswer:
		must.SliceLen(f.t, 1, a.Reply.Result.Body)
		must.EqOp(f.t, 1, f.runCounts[a.Key], must.Sprint("runs of a replayed key"))
		f.answered[a.Key]++
	case VerdictFail:
		f.fail(a.Holder, d)
	}
}

// attempt sends the request, or restarts the instance between the claim and the
// run.
func (f *cluster) attempt(in *instance, h Holder, r *pendingRequest) {
	if f.draw(8, "crash before run") == 1 {
		f.restart(in)
		return
	}
	must.True(f.t, r.request.Start("a"))
	f.runs = append(f.runs, run{from: in, incarnation: in.incarnation, holder: h, key: r.key})
}

func (f *cluster) fail(h Holder, d Decision) {
	if d.Ran == RanNo {
		f.notRun[h] = true
		must.False(f.t, f.ran[h], must.Sprintf("%v ran, but its caller received not_run", h))
	}
}

// handleRun makes the service run or refuse one request, or loses the request or
// its response.
func (f *cluster) handleRun(i int) {
	r := f.runs[i]
	f.runs = slices.Delete(f.runs, i, i+1)
	outcome := []Outcome{Answered, Answered, Answered, Unknown, RefusedBeforeRun, NotSent}[f.draw(6, "service")]
	if outcome == Answered || outcome == Unknown {
		f.runCounts[r.key]++
		f.ran[r.holder] = true
		must.EqOp(f.t, 1, f.runCounts[r.key], must.Sprintf("runs of key %x", r.key))
		must.False(f.t, f.notRun[r.holder], must.Sprintf("%v ran after its caller received not_run", r.holder))
	}
	if r.incarnation != r.from.incarnation {
		return
	}
	h := r.from.requests[r.holder]
	d := h.request.Done(f.now, "a", outcome)
	s := Settle{Key: r.key, Holder: r.holder}
	switch d.Verdict {
	case VerdictAnswer:
		s.State, s.Result = StateDone, &Result{Status: 200, Body: []byte{1}}
		f.answered[r.key]++
	case VerdictStart:
		must.True(f.t, h.request.Start("a"))
		f.runs = append(f.runs, r)
		return
	default:
		f.fail(r.holder, d)
		s.State = StateUnknown
		if d.Ran == RanNo {
			s.State = StateReleased
		}
	}
	f.deliver(r.from, s)
}

// advanceCall makes one call to the object store take effect or delivers its
// reply. The reply may be lost or replaced by StoreUnknown.
func (f *cluster) advanceCall(i int) {
	c := &f.calls[i]
	if c.reply == nil {
		c.reply = f.applyCall(c.action)
		if c.reply == nil {
			f.calls = slices.Delete(f.calls, i, i+1)
			return
		}
		if f.faults && f.draw(3, "reply later") == 1 {
			return
		}
	}
	done := *c
	f.calls = slices.Delete(f.calls, i, i+1)
	if done.incarnation != done.from.incarnation {
		return
	}
	switch put, isPut := done.action.(Put); {
	case isPut && f.draw(6, "reply unknown") == 1:
		f.deliver(done.from, StoreUnknown{Op: put.Op})
	case f.draw(10, "reply lost") == 1:
	default:
		f.deliver(done.from, done.reply)
	}
}

func (f *cluster) applyCall(a Action) Message {
	switch a := a.(type) {
	case Get:
		if f.outage {
			return StoreUnavailable{Op: a.Op}
		}
		obj, ok := f.objects[a.Name]
		return StoreRead{Op: a.Op, Found: ok, Object: obj}
	case Put:
		if f.outage {
			return StoreUnavailable{Op: a.Op}
		}
		must.LessEq(f.t, platform.MaxValueBytes, len(a.Value))
		if f.objects[a.Name].Version != a.Version {
			return StoreConflict{Op: a.Op}
		}
		f.revision++
		f.objects[a.Name] = platform.Object{Name: a.Name, Version: f.revision, Value: a.Value}
		return StoreWritten{Op: a.Op, Version: f.revision}
	case Delete:
		if obj := f.objects[a.Name]; !f.outage && obj.Version == a.Version {
			f.revision++
			f.objects[a.Name] = platform.Object{Name: a.Name, Version: f.revision, Deleted: true}
		}
	}
	return nil
}

func (f *cluster) tick(d time.Duration) {
	f.now += d
	for _, in := range f.instances {
		if !in.paused {
			f.deliver(in, Tick{})
		}
	}
}

func (f *cluster) injectFault() {
	in := f.instances[f.draw(len(f.instances), "instance")]
	switch f.draw(4, "fault") {
	case 0:
		f.outage = !f.outage
	case 1:
		f.restart(in)
	case 2:
		in.paused = true
	case 3:
		inbox := in.inbox
		in.paused, in.inbox = false, nil
		for _, m := range inbox {
			f.deliver(in, m)
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
		f := newCluster(t, 3, true)
		var keys []Key
		for range rapid.IntRange(200, 1200).Draw(t, "steps") {
			switch f.draw(12, "step") {
			case 0:
				keys = append(keys, testKey(len(keys), f.now))
				fallthrough
			case 1, 2:
				if len(keys) > 0 {
					f.submit(f.instances[f.draw(3, "through")], keys[f.draw(len(keys), "key")])
				}
			case 3:
				f.injectFault()
			case 4, 5:
				f.tick(time.Duration(f.draw(700, "ms")) * time.Millisecond)
			case 6, 7:
				if len(f.runs) > 0 {
					f.handleRun(f.draw(len(f.runs), "run"))
				}
			default:
				if len(f.calls) > 0 {
					f.advanceCall(f.draw(len(f.calls), "call"))
				}
			}
		}
		for d, n := range f.denials {
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
		f := newCluster(t, 3, false)
		n := rapid.IntRange(1, 40).Draw(t, "requests")
		for i := range 2 * n {
			f.submit(f.instances[rapid.IntRange(0, 2).Draw(t, "through")], testKey(i%n, 0))
			f.runUntilIdle()
		}
		for i := range n {
			must.EqOp(t, 1, f.runCounts[Digest{byte(i)}])
			must.EqOp(t, 2, f.answered[Digest{byte(i)}])
		}
	})
}

// runUntilIdle advances the cluster until no call, run, claim or settlement is
// pending.
func (f *cluster) runUntilIdle() {
	for range 200 {
		for len(f.calls) > 0 || len(f.runs) > 0 {
			if len(f.calls) > 0 {
				f.advanceCall(0)
			}
			if len(f.runs) > 0 {
				f.handleRun(0)
			}
		}
		if !slices.ContainsFunc(f.instances, func(in *instance) bool { return !in.claimer.Idle() }) {
			return
		}
		f.tick(5 * time.Millisecond)
	}
	f.t.Fatalf("cluster not idle after 200 ticks")
}

// A single Claimer commits many claims in one write: the number of writes depends
// on the write interval, not on the number of claims.
func TestClaimsShareWrites(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		f := newCluster(t, 1, false)
		const claims = 200
		for i := range claims {
			f.submit(f.instances[0], testKey(i, f.now))
			if i%20 == 19 {
				f.runUntilIdle()
			}
		}
		writes := f.instances[0].claimer.Stats().Writes
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
	c := NewClaimer(ClaimerOptions{Roll: time.Minute}, newRand())
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
		puts := run(Settle{Key: Digest{3}, Holder: Holder{"w", 3}, State: StateDone, Result: &Result{Status: 200}})
		now += DefaultInterval
		puts += run(Tick{})
		must.Eq(t, gap >= DefaultSettleDelay, puts == 1, must.Sprint("time between claims: ", gap))
		now += DefaultSettleDelay
		puts += run(Tick{})
		must.EqOp(t, 1, puts)
	}
}
