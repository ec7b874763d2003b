package quota

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

const (
	org   = "lab/harbour"
	rate  = 1_000  // tokens a second
	burst = 10_000 // tokens
	trip  = time.Millisecond
	// settled is when shares have moved to where the demand is.
	settled = 30 * time.Second
)

// admitted is one charge that a duty let pass.
type admitted struct {
	at     time.Duration
	tokens int64
}

// zone is a few duties that call each other directly.
type zone struct {
	t      *testing.T
	store  *platform.Memory
	names  []string
	duties map[string]*Duty
	stop   map[string]context.CancelFunc
	began  time.Time
	lose   atomic.Int64 // calls to come that are lost
	calls  atomic.Int64

	mu     sync.Mutex
	gone   map[string]bool
	holder string
	fence  uint64
	passed []admitted
}

// view is the lease and the documents as one instance sees them.
type view struct {
	z    *zone
	name string
}

func (v view) Held() (uint64, bool) {
	v.z.mu.Lock()
	defer v.z.mu.Unlock()
	return v.z.fence, v.z.holder == v.name
}

func (v view) Holder() string {
	v.z.mu.Lock()
	defer v.z.mu.Unlock()
	return v.z.holder
}

func (v view) Snapshot() *replica.Snapshot {
	s := &replica.Snapshot{Ready: true, Hash: 1, Services: map[string]*config.Service{"lab": {
		Service:       "lab",
		Organisations: []config.Organisation{{Name: "harbour", RateTokensPerS: rate, BurstTokens: burst}},
	}}}
	for _, name := range v.z.names {
		if name != v.name {
			s.Peers = append(s.Peers, platform.Instance{Name: name, Zone: "z", PeerAddress: name})
		}
	}
	return s
}

// conn carries a request to one duty.
type conn struct {
	drpc.Conn
	to *Duty
}

func (c conn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	if !wait.Sleep(ctx, trip) {
		return ctx.Err()
	}
	reply, err := c.to.Ask(ctx, in.(*peerpb.ShareRequest))
	out.(*peerpb.ShareReply).Grant = reply.GetGrant()
	return err
}

func (z *zone) Call(ctx context.Context, address string, call func(context.Context, drpc.Conn) error) error {
	z.calls.Add(1)
	z.mu.Lock()
	gone := z.gone[address]
	z.mu.Unlock()
	if gone || z.lose.Add(-1) >= 0 {
		time.Sleep(trip)
		return errors.New("unreachable")
	}
	return call(ctx, conn{to: z.duties[address]})
}

// inZone runs a test in a zone of four instances, of which "n0" holds the duty.
func inZone(t *testing.T, test func(t *testing.T, z *zone)) {
	synctest.Test(t, func(t *testing.T) {
		z := &zone{
			t: t, store: platform.NewMemory(0), duties: map[string]*Duty{}, stop: map[string]context.CancelFunc{},
			gone: map[string]bool{}, holder: "n0", fence: 1, began: time.Now(), names: []string{"n0", "n1", "n2", "n3"},
		}
		for _, name := range z.names {
			v := view{z, name}
			z.duties[name] = New(Options{
				Self:    platform.Instance{Name: name, Incarnation: name + "-1", Zone: "z"},
				Replica: v, Leader: v, Store: z.store, Peers: z, Now: z.now, Log: slog.New(slog.DiscardHandler),
			})
		}
		for name, d := range z.duties {
			ctx, cancel := context.WithCancel(context.Background())
			z.stop[name] = cancel
			go func() { _ = d.Run(ctx) }()
		}
		defer func() {
			for _, stop := range z.stop {
				stop()
			}
			time.Sleep(2 * callTimeout)
		}()
		test(t, z)
	})
}

func (z *zone) now() time.Duration { return time.Since(z.began) }

// kill ends an instance at once and gives its duty, if it had it, to another.
func (z *zone) kill(name, next string, after time.Duration) {
	z.stop[name]()
	z.mu.Lock()
	z.gone[name] = true
	z.holder = ""
	z.mu.Unlock()
	time.Sleep(after)
	z.mu.Lock()
	z.holder = next
	z.fence++
	z.mu.Unlock()
}

func (z *zone) admit(name string, tokens int64) bool {
	ok := z.duties[name].Admit(context.Background(), org, tokens).Admitted
	if ok {
		z.mu.Lock()
		z.passed = append(z.passed, admitted{z.now(), tokens})
		z.mu.Unlock()
	}
	return ok
}

// hammer makes every instance that is not gone admit all it can until end.
func (z *zone) hammer(end time.Duration) {
	for i, name := range z.names {
		go func() {
			for z.now() < end {
				z.mu.Lock()
				gone := z.gone[name]
				z.mu.Unlock()
				if gone {
					return
				}
				z.admit(name, int64(50*(i+1)))
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// check is the oracle: the charges of every window stay within rate x window +
// burst. It returns the tokens that passed from a time on.
func (z *zone) check(from time.Duration) (tokens int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for i, first := range z.passed {
		sum := int64(0)
		for _, p := range z.passed[i:] {
			sum += p.tokens
			allowed := burst + rate*(p.at-first.at).Seconds()
			must.LessEq(z.t, allowed, float64(sum), must.Sprintf("tokens from %s to %s", first.at, p.at))
		}
		if first.at >= from {
			tokens += first.tokens
		}
	}
	return tokens
}

func (z *zone) rates() (sum int64) {
	for _, d := range z.duties {
		sum += d.Rate(org)
	}
	return sum
}

func TestSharesReachAllInstances(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		z.lose.Store(5)
		time.Sleep(settled)
		for name, d := range z.duties {
			must.Positive(t, d.Rate(org), must.Sprint(name))
			must.True(t, d.Filled(), must.Sprint(name))
		}
		must.LessEq(t, rate, z.rates())
	})
}

// TestChargeAboveTheOwnBucketBorrows: each bucket holds some 1,750 tokens.
func TestChargeAboveTheOwnBucketBorrows(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		time.Sleep(settled)
		must.True(t, z.admit("n1", 2500))
		z.check(0)
	})
}

// TestChargesThatBorrowTogether: the second comes while the request of the
// first is under way, and the first one's caller may go away.
func TestChargesThatBorrowTogether(t *testing.T) {
	for _, away := range []bool{false, true} {
		inZone(t, func(t *testing.T, z *zone) {
			time.Sleep(settled)
			first, second := make(chan bool, 1), make(chan bool, 1)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { first <- z.duties["n1"].Admit(ctx, org, 2000).Admitted }()
			synctest.Wait()
			go func() { second <- z.admit("n1", 1900) }()
			synctest.Wait()
			if away {
				cancel()
			}
			must.True(t, <-second, must.Sprint("the second, with the first away: ", away))
			must.True(t, <-first || away)
		})
	}
}

func TestHolderDiesUnderLoad(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		z.hammer(90 * time.Second)
		time.Sleep(settled)
		z.kill("n0", "n1", time.Second)
		time.Sleep(60 * time.Second)
		must.Greater(t, rate/4*25, z.check(60*time.Second), must.Sprint("serving after the takeover"))
	})
}

// TestPlannedStopReturnsShares: also when the first message is lost.
func TestPlannedStopReturnsShares(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		time.Sleep(settled)
		before := z.rates()
		z.lose.Store(1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		z.duties["n3"].Stop(ctx)
		z.stop["n3"]()
		must.Eq(t, 0, z.duties["n3"].Rate(org))
		time.Sleep(settled)
		must.GreaterEq(t, before-int64(len(z.names)), z.rates(), must.Sprint("but for rounding"))
		z.check(0)
	})
}

// TestFloodOfRefusedChargesMakesFewRequests: at most one each borrowPause.
func TestFloodOfRefusedChargesMakesFewRequests(t *testing.T) {
	inZone(t, func(t *testing.T, z *zone) {
		time.Sleep(settled)
		before, span := z.calls.Load(), 10*time.Second
		end := z.now() + span
		for i := range 50 {
			go func() {
				for z.now() < end {
					z.admit("n1", burst/2+int64(i))
					time.Sleep(trip)
				}
			}()
		}
		time.Sleep(span + settled/10)
		extra := 3 * int64((span+settled/10)/time.Second) * 2 // of the other three and of ticks
		must.LessEq(t, int64(span/borrowPause)+extra, z.calls.Load()-before)
		z.check(0)
	})
}
