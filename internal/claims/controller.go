// Package claims manages the claims on idempotency keys in one instance. It runs
// one once.Claimer per shard, created at the shard's first claim, and makes the
// object store calls that the claimers request.
package claims

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
)

const (
	tickPeriod    = 20 * time.Millisecond
	callTimeout   = once.DefaultOpTimeout
	inboxCapacity = 4096
)

// Shards is the number of shards that the fleet's claims are divided into. It
// must be the same in all instances and must not change while claims are stored.
const Shards = 16

// ErrBusy means that the Controller's inbox is full; nothing was claimed.
var ErrBusy = errors.New("claims: too many claims at once")

// Options configure a Controller.
type Options struct {
	Writer  string // unique to this incarnation of the instance
	Claimer once.ClaimerOptions
	Store   objectstore.Store
	Now     func() time.Duration
	Log     *slog.Logger
	Seed    uint64
}

// Controller owns the claimers. The goroutine of Run steps them; request handlers
// send messages to it and wait for the answer to their claim.
type Controller struct {
	opts     Options
	attempts atomic.Uint64
	inbox    chan message
	claimers map[int]*once.Claimer
	rng      *rand.Rand

	mu      sync.Mutex
	pending map[once.Holder]chan once.Reply
}

// message is a message for the claimer of one shard.
type message struct {
	shard int
	msg   once.Message
}

// New returns a Controller without claims; call Run to start it.
func New(opts Options) *Controller {
	return &Controller{
		opts:     opts,
		inbox:    make(chan message, inboxCapacity),
		claimers: map[int]*once.Claimer{},
		rng:      rand.New(rand.NewPCG(opts.Seed, 0)),
		pending:  map[once.Holder]chan once.Reply{},
	}
}

// Claim requests the right to run the request with a key and waits for the
// answer. fingerprint identifies the request (see once.Claim). The request must
// not run unless the claim is granted, and a granted claim must be settled. If
// ctx is done first, Claim returns its error, and the claim is released as soon
// as it is granted.
func (c *Controller) Claim(ctx context.Context, key once.Key, fingerprint uint64) (once.Holder, once.Reply, error) {
	holder := once.Holder{Writer: c.opts.Writer, Attempt: c.attempts.Add(1)}
	answer := make(chan once.Reply, 1)
	c.mu.Lock()
	c.pending[holder] = answer
	c.mu.Unlock()
	select {
	case c.inbox <- message{shard: key.Digest.Shard(Shards), msg: once.Claim{Key: key, Holder: holder, Fingerprint: fingerprint}}:
	default:
		c.removePending(holder)
		return holder, once.Reply{}, ErrBusy
	}
	select {
	case r := <-answer:
		return holder, r, nil
	case <-ctx.Done():
		c.removePending(holder)
		return holder, once.Reply{}, ctx.Err()
	}
}

// removePending stops waiting for the answer to a claim.
func (c *Controller) removePending(holder once.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, holder)
}

// Settle reports how the run under a granted claim ended. It waits while the
// inbox is full, until ctx is done. The outcome of a claim that is never settled
// counts as unknown.
func (c *Controller) Settle(ctx context.Context, s once.Settlement) {
	select {
	case c.inbox <- message{shard: s.Key.Shard(Shards), msg: s}:
	case <-ctx.Done():
	}
}

// Run steps the claimers until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-c.inbox:
			c.step(m)
		case <-c.tickChannel(ticker):
			for shard := range c.claimers {
				c.step(message{shard: shard, msg: once.Tick{}})
			}
		}
	}
}

// tickChannel returns the ticker's channel, or nil while all claimers are idle,
// so that an idle instance does not wake up for its claims.
func (c *Controller) tickChannel(ticker *time.Ticker) <-chan time.Time {
	if c.idle() {
		return nil
	}
	return ticker.C
}

// flushPollPeriod is how often Flush checks whether all claimers are idle.
const flushPollPeriod = 10 * time.Millisecond

// Flush waits until all settlements are stored or ctx is done.
func (c *Controller) Flush(ctx context.Context) {
	for ctx.Err() == nil {
		idle := make(chan bool, 1)
		select {
		case c.inbox <- message{shard: -1, msg: flushRequest{idle: idle}}:
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
		time.Sleep(flushPollPeriod)
	}
}

// flushRequest asks the goroutine of Run whether all claimers are idle.
type flushRequest struct {
	once.Message
	idle chan bool
}

// step passes a message to the claimer of its shard, creating it if needed, and
// executes the resulting actions.
func (c *Controller) step(m message) {
	if f, ok := m.msg.(flushRequest); ok {
		f.idle <- c.idle()
		return
	}
	claimer, ok := c.claimers[m.shard]
	if !ok {
		opts := c.opts.Claimer
		opts.Shard = m.shard
		claimer = once.NewClaimer(opts, rand.New(rand.NewPCG(c.rng.Uint64(), 0)))
		c.claimers[m.shard] = claimer
	}
	for _, a := range claimer.Step(c.opts.Now(), m.msg) {
		c.execute(m.shard, a)
	}
}

func (c *Controller) idle() bool {
	for _, claimer := range c.claimers {
		if !claimer.Idle() {
			return false
		}
	}
	return true
}

func (c *Controller) execute(shard int, a once.Action) {
	switch a := a.(type) {
	case once.Get:
		go c.get(shard, a)
	case once.Put:
		go c.put(shard, a)
	case once.Delete:
		go c.deleteObject(a)
	case once.Answer:
		c.deliverAnswer(shard, a)
	}
}

// deliverAnswer passes an answer to the caller of Claim. A grant whose caller no
// longer waits is released.
func (c *Controller) deliverAnswer(shard int, a once.Answer) {
	c.mu.Lock()
	answers, ok := c.pending[a.Holder]
	delete(c.pending, a.Holder)
	c.mu.Unlock()
	if ok {
		answers <- a.Reply
		return
	}
	if a.Reply.Granted {
		c.step(message{shard: shard, msg: once.Settlement{Key: a.Key, Holder: a.Holder, State: once.StateReleased}})
	}
}

// postResult passes the result of a call to the goroutine of Run. The claimer
// treats a result that does not arrive within its timeout as lost.
func (c *Controller) postResult(shard int, msg once.Message) {
	select {
	case c.inbox <- message{shard: shard, msg: msg}:
	case <-time.After(callTimeout):
	}
}

func (c *Controller) get(shard int, a once.Get) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := c.opts.Store.Get(ctx, objectstore.KindClaim, a.Name)
	switch {
	case err == nil:
		c.postResult(shard, once.StoreRead{Op: a.Op, Found: true, Object: obj})
	case errors.Is(err, objectstore.ErrNotFound):
		c.postResult(shard, once.StoreRead{Op: a.Op})
	default:
		c.postResult(shard, once.StoreUnavailable{Op: a.Op})
	}
}

func (c *Controller) put(shard int, a once.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	obj, err := c.opts.Store.Put(ctx, objectstore.Object{Kind: objectstore.KindClaim, Name: a.Name, Version: a.Version, Value: a.Value})
	switch {
	case err == nil:
		c.postResult(shard, once.StoreWritten{Op: a.Op, Version: obj.Version})
	case errors.Is(err, objectstore.ErrConflict):
		c.postResult(shard, once.StoreConflict{Op: a.Op})
	case errors.Is(err, objectstore.ErrUnavailable), errors.Is(err, objectstore.ErrTooLarge):
		c.postResult(shard, once.StoreUnavailable{Op: a.Op})
	default:
		c.postResult(shard, once.StoreUnknown{Op: a.Op})
	}
}

func (c *Controller) deleteObject(a once.Delete) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := c.opts.Store.Delete(ctx, objectstore.KindClaim, a.Name, a.Version); err != nil {
		c.opts.Log.Debug("deleting claims failed", "object", a.Name, "error", err)
	}
}
