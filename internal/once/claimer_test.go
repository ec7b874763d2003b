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

// fleet is a few instances, each with a Claimer of the same shard, before one
// object API and one plain service that counts runs.
type fleet struct {
	t         *rapid.T
	now       time.Duration
	faults    bool
	opts      ClaimerOptions
	objects   map[string]platform.Object
	revision  uint64
	outage    bool
	instances []*instance
	calls     []call // in the object API's network
	runs      []run  // in the service's network
	count     map[Digest]int
	ran       map[Holder]bool
	notRun    map[Holder]bool
	answered  map[Digest]int
	attempts  uint64
	denials   map[Denial]int
}

type instance struct {
	name     string
	boot     int
	paused   bool
	claimer  *Claimer
	requests map[Holder]*held
	inbox    []Message
}

type held struct {
	key     Digest
	request *Request
}

type call struct {
	from   *instance
	boot   int
	action Action
	reply  Message // set once it took effect
}

type run struct {
	from   *instance
	boot   int
	holder Holder
	key    Digest
}

var testOptions = ClaimerOptions{
	Window: 2 * time.Second, Roll: 500 * time.Millisecond, SettleDelay: 100 * time.Millisecond,
	Interval: 20 * time.Millisecond, OpTimeout: 300 * time.Millisecond, AwayMax: 200 * time.Millisecond,
	ClaimTimeout: 800 * time.Millisecond, MaxRun: time.Second, SegmentBytes: 400, MaxSegments: 30,
}

func newFleet(t *rapid.T, size int, faults bool) *fleet {
	opts := testOptions
	if !faults {
		opts.Window = time.Hour
	}
	f := &fleet{
		opts: opts,
		t:    t, faults: faults, objects: map[string]platform.Object{}, count: map[Digest]int{},
		ran: map[Holder]bool{}, notRun: map[Holder]bool{}, answered: map[Digest]int{}, denials: map[Denial]int{},
	}
	for i := range size {
		in := &instance{name: fmt.Sprintf("i%d", i)}
		f.boot(in)
		f.instances = append(f.instances, in)
	}
	return f
}

func (f *fleet) boot(in *instance) {
	in.boot++
	in.claimer = NewClaimer(f.opts, rand.New(rand.NewPCG(uint64(in.boot), 7)))
	in.requests, in.inbox, in.paused = map[Holder]*held{}, nil, false
}

// draw returns 0 without faults, so that a fault is always a non-zero draw.
func (f *fleet) draw(n int, label string) int {
	if !f.faults {
		return 0
	}
	return rapid.IntRange(0, n-1).Draw(f.t, label)
}

func (f *fleet) submit(in *instance, key Key) {
	f.attempts++
	h := Holder{Writer: fmt.Sprintf("%s.%d", in.name, in.boot), Attempt: f.attempts}
	r := NewRequest(RequestOptions{Deadline: f.now + time.Hour}, NewBudget(f.now, BudgetOptions{}, rand.New(rand.NewPCG(1, 1))))
	r.Claim()
	in.requests[h] = &held{key: key.Digest, request: r}
	f.deliver(in, Claim{Key: key, Holder: h, Fingerprint: 1})
}

// deliver hands a message to an instance, later if it is paused.
func (f *fleet) deliver(in *instance, m Message) {
	if in.paused {
		in.inbox = append(in.inbox, m)
		return
	}
	for _, a := range in.claimer.Step(f.now+time.Duration(in.boot)*time.Hour, m) {
		f.act(in, a)
	}
}

func (f *fleet) act(in *instance, a Action) {
	switch a := a.(type) {
	case Answer:
		f.reply(in, a)
	default:
		f.calls = append(f.calls, call{from: in, boot: in.boot, action: a})
	}
}

func (f *fleet) reply(in *instance, a Answer) {
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
		must.EqOp(f.t, 1, f.count[a.Key], must.Sprint("a replayed run"))
		f.answered[a.Key]++
	case VerdictFail:
		f.fail(a.Holder, d)
	}
}

// attempt sends the request, or crashes between the claim and the run.
func (f *fleet) attempt(in *instance, h Holder, r *held) {
	if f.draw(8, "crash before run") == 1 {
		f.boot(in)
		return
	}
	must.True(f.t, r.request.Start("a"))
	f.runs = append(f.runs, run{from: in, boot: in.boot, holder: h, key: r.key})
}

func (f *fleet) fail(h Holder, d Decision) {
	if d.Ran == RanNo {
		f.notRun[h] = true
		must.False(f.t, f.ran[h], must.Sprintf("%v ran, yet its caller read not_run", h))
	}
}

// serve lets the service handle one call: run it, refuse it, or lose a reply.
func (f *fleet) serve(i int) {
	r := f.runs[i]
	f.runs = slices.Delete(f.runs, i, i+1)
	outcome := []Outcome{Answered, Answered, Answered, Unknown, RefusedBeforeRun, NotSent}[f.draw(6, "service")]
	if outcome == Answered || outcome == Unknown {
		f.count[r.key]++
		f.ran[r.holder] = true
		must.EqOp(f.t, 1, f.count[r.key], must.Sprintf("runs of key %x", r.key))
		must.False(f.t, f.notRun[r.holder], must.Sprintf("%v runs after its caller read not_run", r.holder))
	}
	if r.boot != r.from.boot {
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

// store lets one call to the object API take effect or its reply arrive; the
// reply may be lost, wholly or to StoreUnknown.
func (f *fleet) store(i int) {
	c := &f.calls[i]
	if c.reply == nil {
		c.reply = f.effect(c.action)
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
	if done.boot != done.from.boot {
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

func (f *fleet) effect(a Action) Message {
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

func (f *fleet) tick(d time.Duration) {
	f.now += d
	for _, in := range f.instances {
		if !in.paused {
			f.deliver(in, Tick{})
		}
	}
}

func (f *fleet) fault() {
	in := f.instances[f.draw(len(f.instances), "instance")]
	switch f.draw(4, "fault") {
	case 0:
		f.outage = !f.outage
	case 1:
		f.boot(in)
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

// Under crashes between claim and run, callers' retries through other
// instances, lost, late and unknown replies, conflicts, outages and pauses, a
// key runs at most once, "not run" is true, and a replay is of the one run.
func TestClaimsAtMostOnce(t *testing.T) {
	total := map[Denial]int{}
	rapidtest.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3, true)
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
				f.fault()
			case 4, 5:
				f.tick(time.Duration(f.draw(700, "ms")) * time.Millisecond)
			case 6, 7:
				if len(f.runs) > 0 {
					f.serve(f.draw(len(f.runs), "run"))
				}
			default:
				if len(f.calls) > 0 {
					f.store(f.draw(len(f.calls), "call"))
				}
			}
		}
		for d, n := range f.denials {
			total[d] += n
		}
	})
	for _, d := range []Denial{DenialReplay, DenialInProgress, DenialUnknown, DenialStale} {
		must.Positive(t, total[d], must.Sprintf("denials %q met", d))
	}
}

// Without faults every request with a key of its own runs and is answered,
// and a second one under the same key gets the first one's result.
func TestClaimsLiveness(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3, false)
		n := rapid.IntRange(1, 40).Draw(t, "requests")
		for i := range 2 * n {
			f.submit(f.instances[rapid.IntRange(0, 2).Draw(t, "through")], testKey(i%n, 0))
			f.settleAll()
		}
		for i := range n {
			must.EqOp(t, 1, f.count[Digest{byte(i)}])
			must.EqOp(t, 2, f.answered[Digest{byte(i)}])
		}
	})
}

// settleAll runs the fleet until nothing is open.
func (f *fleet) settleAll() {
	for range 200 {
		for len(f.calls) > 0 || len(f.runs) > 0 {
			if len(f.calls) > 0 {
				f.store(0)
			}
			if len(f.runs) > 0 {
				f.serve(0)
			}
		}
		if !slices.ContainsFunc(f.instances, func(in *instance) bool { return !in.claimer.Idle() }) {
			return
		}
		f.tick(5 * time.Millisecond)
	}
	f.t.Fatalf("the fleet does not settle")
}

// One owner commits many claims in one write: the writes follow the interval,
// not the claims.
func TestClaimsShareWrites(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		f := newFleet(t, 1, false)
		const claims = 200
		for i := range claims {
			f.submit(f.instances[0], testKey(i, f.now))
			if i%20 == 19 {
				f.settleAll()
			}
		}
		writes := f.instances[0].claimer.Stats().Writes
		must.LessEq(t, uint64(claims/4), writes)
	})
}

// While the platform is away a claim is refused as not run, at once after the
// first failure.
func TestClaimsRefusedWhilePlatformAway(t *testing.T) {
	c := NewClaimer(ClaimerOptions{}, newRand())
	get := c.Step(0, Claim{Key: Key{Digest: Digest{1}}, Holder: Holder{"w", 1}})[0].(Get)
	out := c.Step(1, StoreUnavailable{Op: get.Op})
	must.Eq(t, []Action{Answer{Key: Digest{1}, Holder: Holder{"w", 1}, Reply: Reply{Reason: ReasonUnavailable, RetryAfter: DefaultRetryAfter}}}, out)
	out = c.Step(2, Claim{Key: Key{Digest: Digest{2}}, Holder: Holder{"w", 2}})
	must.EqOp(t, ReasonUnavailable, out[0].(Answer).Reply.Reason)
}

// A claim that comes while the head is being sealed, of a key that another
// request holds, is not written over it.
func TestClaimDuringASealIsNotWrittenOver(t *testing.T) {
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
			must.False(t, answer.Reply.Granted, must.Sprint("a second run of the key"))
		}
	}
}

// A settlement is written within an interval where claims are rare, and waits
// for a claim to ride with where they are not.
func TestSettlementWaitsOnlyWhereClaimsCome(t *testing.T) {
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
		must.Eq(t, gap >= DefaultSettleDelay, puts == 1, must.Sprint("claims each ", gap))
		now += DefaultSettleDelay
		puts += run(Tick{})
		must.EqOp(t, 1, puts)
	}
}
