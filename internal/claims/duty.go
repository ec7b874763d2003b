// Package claims drives the claims on idempotency keys in one instance: one
// once.Claimer a shard, each started at its first claim, and the calls to the
// object API that they ask for.
package claims

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

const (
	tickPeriod  = 20 * time.Millisecond
	callTimeout = once.DefaultOpTimeout
	inboxSize   = 4096
)

// Shards is the number of shards of the fleet's claims. It is the same in all
// instances and must not change while claims are kept.
const Shards = 16

// ErrBusy means that the duty's inbox is full; nothing was claimed.
var ErrBusy = errors.New("claims: too many claims at once")

// Options configure a Duty.
type Options struct {
	Writer  string // unique to this run of the instance
	Claimer once.ClaimerOptions
	Store   platform.Store
	Now     func() time.Duration
	Log     *slog.Logger
	Seed    uint64
}

// Duty owns the claimers. One goroutine steps them; handlers send messages and
// wait for the answer to their claim.
type Duty struct {
	opts     Options
	attempts atomic.Uint64
	inbox    chan message
	claimers map[int]*once.Claimer
	rng      *rand.Rand

	mu      sync.Mutex
	waiting map[once.Holder]chan once.Reply
}

// message goes to the claimer of one shard.
type message struct {
	shard int
	msg   once.Message
}

// New returns a duty without claims.
func New(opts Options) *Duty {
	return &Duty{
		opts:     opts,
		inbox:    make(chan message, inboxSize),
		claimers: map[int]*once.Claimer{},
		rng:      rand.New(rand.NewPCG(opts.Seed, 0)),
		waiting:  map[once.Holder]chan once.Reply{},
	}
}

// Claim asks for the right to run the request of a key and waits for the
// answer. Unless it is granted, the request must not run. A granted claim must
// be settled. If ctx ends first the claim is given back as soon as it is
// granted, and ctx's error is returned.
func (d *Duty) Claim(ctx context.Context, key once.Key, fingerprint uint64) (once.Holder, once.Reply, error) {
	holder := once.Holder{Writer: d.opts.Writer, Attempt: d.attempts.Add(1)}
	answer := make(chan once.Reply, 1)
	d.mu.Lock()
	d.waiting[holder] = answer
	d.mu.Unlock()
	select {
	case d.inbox <- message{shard: key.Digest.Shard(Shards), msg: once.Claim{Key: key, Holder: holder, Fingerprint: fingerprint}}:
	default:
		d.forget(holder)
		return holder, once.Reply{}, ErrBusy
	}
	select {
	case r := <-answer:
		return holder, r, nil
	case <-ctx.Done():
		d.forget(holder)
		return holder, once.Reply{}, ctx.Err()
	}
}

func (d *Duty) forget(holder once.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, holder)
}

// Settle says how the run under a granted claim ended. It waits while the
// inbox is full, until ctx ends: a claim that is never settled counts as
// unknown.
func (d *Duty) Settle(ctx context.Context, s once.Settle) {
	select {
	case d.inbox <- message{shard: s.Key.Shard(Shards), msg: s}:
	case <-ctx.Done():
	}
}

// Run steps the claimers until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-d.inbox:
			d.step(m)
		case <-d.tick(ticker):
			for shard := range d.claimers {
				d.step(message{shard: shard, msg: once.Tick{}})
			}
		}
	}
}

// tick returns the ticker's channel while a claimer has anything to do: an idle
// instance does not wake up for its claims.
func (d *Duty) tick(ticker *time.Ticker) <-chan time.Time {
	if d.idle() {
		return nil
	}
	return ticker.C
}

// flushPoll is how often Flush looks whether anything is open.
const flushPoll = 10 * time.Millisecond

// Flush waits until all settlements are stored or ctx ends.
func (d *Duty) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		select {
		case d.inbox <- message{shard: -1, msg: flush{idle: idle}}:
		case <-ctx.Done():
			return
		}
		select {
		case done := <-idle:
			if done {
				return
			}
		case <-ctx.Done():
			return
		}
		time.Sleep(flushPoll)
	}
}

// flush asks the owning goroutine whether all claimers are idle.
type flush struct {
	once.Message
	idle chan bool
}

func (d *Duty) step(m message) {
	if f, ok := m.msg.(flush); ok {
		f.idle <- d.idle()
		return
	}
	c, ok := d.claimers[m.shard]
	if !ok {
		opts := d.opts.Claimer
		opts.Shard = m.shard
		c = once.NewClaimer(opts, rand.New(rand.NewPCG(d.rng.Uint64(), 0)))
		d.claimers[m.shard] = c
	}
	for _, a := range c.Step(d.opts.Now(), m.msg) {
		d.carryOut(m.shard, a)
	}
}

func (d *Duty) idle() bool {
	for _, c := range d.claimers {
		if !c.Idle() {
			return false
		}
	}
	return true
}

func (d *Duty) carryOut(shard int, a once.Action) {
	switch a := a.(type) {
	case once.Get:
		go d.get(shard, a)
	case once.Put:
		go d.put(shard, a)
	case once.Delete:
		go d.remove(a)
	case once.Answer:
		d.answer(shard, a)
	}
}

// answer passes the answer to whoever waits. A grant that nobody waits for any
// more is given back.
func (d *Duty) answer(shard int, a once.Answer) {
	d.mu.Lock()
	waiting, ok := d.waiting[a.Holder]
	delete(d.waiting, a.Holder)
	d.mu.Unlock()
	if ok {
		waiting <- a.Reply
		return
	}
	if a.Reply.Granted {
		d.step(message{shard: shard, msg: once.Settle{Key: a.Key, Holder: a.Holder, State: once.StateReleased}})
	}
}

// reply brings the outcome of a call back to the owning goroutine. The claimer
// counts a reply that does not come within its timeout as lost.
func (d *Duty) reply(shard int, msg once.Message) {
	select {
	case d.inbox <- message{shard: shard, msg: msg}:
	case <-time.After(callTimeout):
	}
}

func (d *Duty) get(shard int, a once.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Get(ctx, platform.KindClaim, a.Name)
	switch {
	case err == nil:
		d.reply(shard, once.StoreRead{Op: a.Op, Found: true, Object: obj})
	case errors.Is(err, platform.ErrNotFound):
		d.reply(shard, once.StoreRead{Op: a.Op})
	default:
		d.reply(shard, once.StoreUnavailable{Op: a.Op})
	}
}

func (d *Duty) put(shard int, a once.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := d.opts.Store.Put(ctx, platform.Object{Kind: platform.KindClaim, Name: a.Name, Version: a.Version, Value: a.Value})
	switch {
	case err == nil:
		d.reply(shard, once.StoreWritten{Op: a.Op, Version: obj.Version})
	case errors.Is(err, platform.ErrConflict):
		d.reply(shard, once.StoreConflict{Op: a.Op})
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrTooLarge):
		d.reply(shard, once.StoreUnavailable{Op: a.Op})
	default:
		d.reply(shard, once.StoreUnknown{Op: a.Op})
	}
}

func (d *Duty) remove(a once.Delete) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := d.opts.Store.Delete(ctx, platform.KindClaim, a.Name, a.Version); err != nil {
		d.opts.Log.Debug("delete claims", "object", a.Name, "error", err)
	}
}
