// Package quota drives the limits of organisations in one instance: it admits
// charges against the instance's shares, asks the zone's duty holder for more
// and, while this instance is the duty holder, shares out the zone's claim.
package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"golang.org/x/sync/singleflight"
)

const (
	tickPeriod  = 200 * time.Millisecond
	callTimeout = time.Second
	// borrowTimeout bounds how long a charge waits for a loan.
	borrowTimeout = 250 * time.Millisecond
	// borrowPause is the least time between two requests for loans, so that a
	// flood of refused charges makes no flood of requests.
	borrowPause = 10 * time.Millisecond
	// borrowTries is three: the request under way when a charge comes does not
	// tell of that charge, and neither may the one that followed from a grant.
	borrowTries = 3
	// stopTimeout bounds the return of shares, and stopRetry spaces its tries.
	stopTimeout = 500 * time.Millisecond
	stopRetry   = 50 * time.Millisecond
)

// Leader tells who holds the zone's duty; leader.Duty implements it.
type Leader interface {
	Held() (fence uint64, ok bool)
	Holder() string
}

// Documents tells the documents and members that are known; replica.Duty
// implements it.
type Documents interface {
	Snapshot() *replica.Snapshot
}

// Options configure a Duty.
type Options struct {
	Self    platform.Instance
	Limit   limit.Options
	Replica Documents
	Leader  Leader
	Store   platform.Store
	Peers   peer.Caller
	Now     func() time.Duration
	Log     *slog.Logger
}

// Duty owns this instance's part and the zone's part of the limits. Steps are
// short and come from handlers, peers and the loop; a mutex guards each part.
type Duty struct {
	opts     Options
	borrow   singleflight.Group
	mu       sync.Mutex
	instance *limit.Instance
	due      []*limit.Request // that followed from grants
	zoneMu   sync.Mutex
	zone     *limit.Zone
	// listening names the incarnation that last asked from a peer address.
	listening map[string]string
	ended     map[string]bool   // incarnations that another one replaced
	limits    *replica.Snapshot // the documents that the limits were taken from
	limitsAt  time.Duration     // when the first were
	borrowAt  time.Duration     // no request for a part before
	version   uint64            // counts changes of the limits in this process
}

// held adapts a Leader to limit.Duty. The lease is checked on its own clock.
type held struct{ Leader }

// Held implements limit.Duty.
func (h held) Held(time.Duration) (fence uint64, ok bool) { return h.Leader.Held() }

// New returns a duty without shares.
func New(opts Options) *Duty {
	return &Duty{
		opts:      opts,
		instance:  limit.NewInstance(opts.Limit, opts.Self.Name, opts.Self.Incarnation),
		zone:      limit.NewZone(opts.Limit, opts.Self.Zone, held{opts.Leader}),
		listening: map[string]string{}, ended: map[string]bool{},
	}
}

// Admit takes a charge in tokens from an organisation's limits. A charge that
// a loan from the zone may cover waits for it, briefly.
func (d *Duty) Admit(ctx context.Context, org string, charge int64) limit.Decision {
	decision := d.admit(org, charge)
	for range borrowTries {
		if decision.Admitted || !decision.Borrowing || ctx.Err() != nil {
			return decision
		}
		// Its first caller may go away while others wait for the same loan.
		shared := context.WithoutCancel(ctx)
		_, _, _ = d.borrow.Do("", func() (any, error) {
			ctx, cancel := context.WithTimeout(shared, borrowTimeout)
			defer cancel()
			d.stepInstance(ctx, limit.Tick{})
			wait.Sleep(ctx, borrowPause)
			return nil, nil
		})
		decision = d.admit(org, charge)
	}
	return decision
}

func (d *Duty) admit(org string, charge int64) limit.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance.Admit(d.opts.Now(), org, charge)
}

// Rate returns the rate of an organisation that is in force in this instance,
// in tokens per second.
func (d *Duty) Rate(org string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance.Rate(org)
}

// Refund ends an admitted request that used so many tokens.
func (d *Duty) Refund(r limit.Receipt, used int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instance.Refund(d.opts.Now(), r, used)
}

// Filled reports whether this instance has shares of all organisations' limits
// and their buckets have filled.
func (d *Duty) Filled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance.Filled(d.opts.Now())
}

// Shares reports whether this instance has a share of any organisation's limit.
func (d *Duty) Shares() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.instance.Shares()
}

// Run drives both parts until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		d.takeLimits(ctx)
		d.stepInstance(ctx, limit.Tick{})
		d.stepZone(ctx, limit.Tick{})
		d.borrowShares(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop returns all shares to the zone's duty holder: what it does not hear of
// stays unused for the base term, so a lost request is repeated.
func (d *Duty) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if r := d.nextRequest(limit.Stop{}); r != nil {
		d.tell(ctx, requestToWire(*r, d.opts.Self.PeerAddress))
	}
}

// takeLimits passes the organisations of newly accepted documents on.
func (d *Duty) takeLimits(ctx context.Context) {
	known := d.opts.Replica.Snapshot()
	if !known.Ready || d.limits != nil && d.limits.Hash == known.Hash {
		return
	}
	if d.limits == nil {
		d.limitsAt = d.opts.Now()
	}
	d.limits = known
	d.version++
	orgs := map[string]limit.Limit{}
	for _, doc := range known.Services {
		for _, o := range doc.Organisations {
			id := config.OrganisationID{Service: doc.Service, Organisation: o.Name}
			orgs[id.String()] = limit.Limit{Rate: o.RateTokensPerS, Burst: o.BurstTokens}
		}
	}
	d.stepInstance(ctx, limit.Limits{Version: d.version, Orgs: orgs})
	d.stepZone(ctx, limit.Limits{Version: d.version, Orgs: orgs})
}
