// Package quota enforces the limits of organisations in one instance. It runs the
// decisions of package limit with the clock, the store and the peers of the
// instance: it admits charges against the instance's shares, requests shares from
// the zone leader and, while this instance is the zone leader, grants shares of the
// zone's claim. The limits come from the configuration documents of a replica.
package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"golang.org/x/sync/singleflight"
)

const (
	tickPeriod  = 200 * time.Millisecond
	callTimeout = time.Second
	// loanTimeout bounds how long a charge waits for one loan request.
	loanTimeout = 250 * time.Millisecond
	// minLoanRequestInterval is the minimum time between two loan requests, so that
	// many refused charges do not cause as many requests.
	minLoanRequestInterval = 10 * time.Millisecond
	// loanAttempts is three because the first two requests may not include the
	// charge: the first may already be in progress when the charge arrives, and the
	// second may be a queued request that resulted from a grant.
	loanAttempts = 3
	// returnTimeout bounds the return of shares when the instance stops, and
	// returnRetryInterval is the delay between attempts.
	returnTimeout       = 500 * time.Millisecond
	returnRetryInterval = 50 * time.Millisecond
)

// Leader reports which instance leads the zone; leader.Elector implements it.
type Leader interface {
	Held() (fence uint64, ok bool)
	Holder() string
}

// SnapshotSource returns the known configuration documents and fleet members;
// docsync.Controller implements it.
type SnapshotSource interface {
	Snapshot() *docsync.Snapshot
}

// Options configure a Controller.
type Options struct {
	Self    objectstore.Instance
	Limit   limit.Options
	Replica SnapshotSource
	Leader  Leader
	Store   objectstore.Store
	Peers   peer.Caller
	Now     func() time.Duration
	Log     *slog.Logger
}

// Controller owns the state of this instance's shares and the state that it uses
// as zone leader, each guarded by a mutex. Steps are short and run from request
// handlers, peer calls and the loop of Run.
type Controller struct {
	opts           Options
	loanRequests   singleflight.Group
	mu             sync.Mutex
	instance       *limit.InstanceLimiter
	queuedRequests []*limit.ShareRequest // that resulted from grants and borrowed shares
	zoneMu         sync.Mutex
	zone           *limit.ZoneLeader
	// incarnationAt maps a peer address to the incarnation that last sent a request
	// from it.
	incarnationAt     map[string]string
	endedIncarnations map[string]bool   // incarnations that were replaced by another one
	limitsSnapshot    *docsync.Snapshot // the documents from which the limits were read
	firstLimitsAt     time.Duration     // when limits were first read
	nextBorrowAt      time.Duration     // earliest time of the next request to borrow from peers
	limitsVersion     uint64            // counts changes of the limits in this process
}

// leaderLease adapts a Leader to limit.Lease. The Leader checks the lease on its
// own clock.
type leaderLease struct{ Leader }

// Held implements limit.Lease.
func (l leaderLease) Held(time.Duration) (fence uint64, ok bool) { return l.Leader.Held() }

// New returns a Controller without shares.
func New(opts Options) *Controller {
	return &Controller{
		opts:          opts,
		instance:      limit.NewInstanceLimiter(opts.Limit, opts.Self.Name, opts.Self.Incarnation),
		zone:          limit.NewZoneLeader(opts.Limit, opts.Self.Zone, leaderLease{opts.Leader}),
		incarnationAt: map[string]string{}, endedIncarnations: map[string]bool{},
	}
}

// Admit takes a charge in tokens from an organisation's limit. A charge that a loan
// from the zone leader may cover waits briefly for it (loanAttempts, loanTimeout).
func (c *Controller) Admit(ctx context.Context, org string, charge int64) limit.Decision {
	decision := c.admit(org, charge)
	for range loanAttempts {
		if decision.Admitted || !decision.LoanRequested || ctx.Err() != nil {
			return decision
		}
		// The first caller may be cancelled while others wait for the same request.
		shared := context.WithoutCancel(ctx)
		_, _, _ = c.loanRequests.Do("", func() (any, error) {
			ctx, cancel := context.WithTimeout(shared, loanTimeout)
			defer cancel()
			c.stepInstance(ctx, limit.Tick{})
			wait.Sleep(ctx, minLoanRequestInterval)
			return nil, nil
		})
		decision = c.admit(org, charge)
	}
	return decision
}

func (c *Controller) admit(org string, charge int64) limit.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance.Admit(c.opts.Now(), org, charge)
}

// Rate returns this instance's current share of an organisation's rate, in tokens
// per second.
func (c *Controller) Rate(org string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance.Rate(org)
}

// Refund ends an admitted request that used the given number of tokens.
func (c *Controller) Refund(r limit.Receipt, used int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instance.Refund(c.opts.Now(), r, used)
}

// BucketsReady reports whether this instance has shares of all organisations'
// limits and their buckets are at least half full.
func (c *Controller) BucketsReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance.HalfFull(c.opts.Now())
}

// HasShare reports whether this instance has a share of any organisation's limit
// or there are no limits.
func (c *Controller) HasShare() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance.HasShares()
}

// Run steps the instance's and the zone leader's state until ctx ends. It returns
// nil.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		c.updateLimits(ctx)
		c.stepInstance(ctx, limit.Tick{})
		c.stepZone(ctx, limit.Tick{})
		c.borrowShares(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Stop returns all shares to the zone leader. Shares whose return the leader does
// not receive stay unused for the base term, so a lost request is repeated.
func (c *Controller) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	if r := c.nextRequest(limit.Stop{}); r != nil {
		c.returnShares(ctx, requestToWire(*r, c.opts.Self.PeerAddress))
	}
}

// updateLimits applies the organisations' limits of changed documents.
func (c *Controller) updateLimits(ctx context.Context) {
	snapshot := c.opts.Replica.Snapshot()
	if !snapshot.HasDocuments || c.limitsSnapshot != nil && c.limitsSnapshot.Hash == snapshot.Hash {
		return
	}
	if c.limitsSnapshot == nil {
		c.firstLimitsAt = c.opts.Now()
	}
	c.limitsSnapshot = snapshot
	c.limitsVersion++
	orgs := map[string]limit.Limit{}
	for _, doc := range snapshot.Services {
		for _, o := range doc.Organisations {
			id := config.OrganisationID{Service: doc.Service, Organisation: o.Name}
			orgs[id.String()] = limit.Limit{Rate: o.RateTokensPerS, Burst: o.BurstTokens}
		}
	}
	c.stepInstance(ctx, limit.Limits{Version: c.limitsVersion, Orgs: orgs})
	c.stepZone(ctx, limit.Limits{Version: c.limitsVersion, Orgs: orgs})
}
