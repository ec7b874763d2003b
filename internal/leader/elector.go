// Package leader makes one instance a candidate for a lease and reports whether
// the instance holds it. The lease is an object in the platform's object store;
// the holder relays each write of it to the other candidates, so that they need
// not read it. The holder of a zone's lease is the zone leader: it watches the
// object store for the zone, shares out limits and places models.
package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/lease"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"storj.io/drpc"
)

const (
	tickPeriod  = 250 * time.Millisecond
	callTimeout = lease.DefaultRequestTimeout
	inboxSize   = 64
	// pollInterval is how often a candidate reads the lease while the holder
	// does not relay it.
	pollInterval = 3 * time.Second
	// acquireJitter is the longest random delay before an attempt to acquire a
	// lapsed lease; it spreads the attempts of the candidates.
	acquireJitter = 500 * time.Millisecond
)

// LeaseName returns the name of a zone's lease object.
func LeaseName(zone string) string { return "zone-" + zone }

// Options configure an Elector.
type Options struct {
	Self  objectstore.Instance
	Store objectstore.Store
	Peers peer.Caller
	// Lease is the name of the lease's object; empty for LeaseName of the
	// instance's zone.
	Lease string
	// LeaseDuration is the time for which a write holds the lease; 0 for
	// lease.DefaultDuration.
	LeaseDuration time.Duration
	// ZonePeers returns the other candidates, to which each write is relayed.
	ZonePeers func() []objectstore.Instance
	// Eligible reports whether this instance tries to acquire the lease; nil
	// for always. A holder renews the lease whatever it reports.
	Eligible func() bool
	// Yields reports whether this instance neither tries to acquire the lease nor renews it,
	// so that it lapses: it could not do what the lease is for. Nil for never.
	Yields func() bool
	Now    func() time.Duration
	Log    *slog.Logger
	Seed   int64
}

// Elector drives one lease.Lease. One goroutine steps it; a mutex lets others
// query at any time whether the lease is held.
type Elector struct {
	opts       Options
	inbox      chan lease.Message
	mu         sync.Mutex
	lease      *lease.Lease
	loggedHeld bool // value of held in the last log message
}

// New returns an Elector that does not hold the lease and does not try to
// acquire it until Run is called.
func New(opts Options) *Elector {
	if opts.Lease == "" {
		opts.Lease = LeaseName(opts.Self.Zone)
	}
	l := lease.New(lease.Options{
		Holder: opts.Self.Name, Writer: opts.Self.Incarnation, Duration: opts.LeaseDuration, PollInterval: pollInterval, TakeoverJitter: acquireJitter,
	}, rand.New(rand.NewSource(opts.Seed)))
	return &Elector{opts: opts, inbox: make(chan lease.Message, inboxSize), lease: l}
}

// Held reports whether this instance holds the lease now, and the fencing token
// of its leadership. Call it at the point of use.
func (e *Elector) Held() (fencingToken uint64, ok bool) {
	return e.HeldFor(0)
}

// HeldFor reports whether this instance holds the lease now and, unless the
// process is paused, until rest has passed; and the fencing token of its
// leadership.
func (e *Elector) HeldFor(rest time.Duration) (fencingToken uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if objectstore.LatestEra(e.opts.Store) > e.lease.Era() {
		return 0, false // the lease of an earlier era, which step has yet to end
	}
	return e.lease.Held(e.opts.Now() + rest)
}

// IsLeader reports whether this instance holds the lease now.
func (e *Elector) IsLeader() bool {
	_, ok := e.Held()
	return ok
}

// Holder returns the name of the holder in the last version of the lease's
// object that this instance received, "" for none.
func (e *Elector) Holder() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, holder := e.lease.Latest()
	return holder
}

// Run tries to acquire the lease, and renews it once held, until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		e.step(ctx, lease.Tick{})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case m := <-e.inbox:
			e.step(ctx, m)
		}
	}
}

// Release gives up the lease permanently and waits until the platform has
// stored the release or ctx ends.
func (e *Elector) Release(ctx context.Context) {
	e.send(lease.Release{})
	for ctx.Err() == nil && e.state() != lease.StateReleased {
		select {
		case <-ctx.Done():
		case <-time.After(tickPeriod / 10):
		}
	}
}

func (e *Elector) state() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.State()
}

// send passes a message to the goroutine that steps the lease. When the inbox
// is full the message is dropped, since the lease requests again what it
// misses.
func (e *Elector) send(m lease.Message) {
	select {
	case e.inbox <- m:
	default:
	}
}

func (e *Elector) step(ctx context.Context, m lease.Message) {
	if _, tick := m.(lease.Tick); tick && e.opts.Eligible != nil && !e.opts.Eligible() && !e.IsLeader() {
		return
	}
	if _, tick := m.(lease.Tick); tick && e.opts.Yields != nil && e.opts.Yields() {
		return
	}
	e.mu.Lock()
	var actions []lease.Action
	if era := objectstore.LatestEra(e.opts.Store); era > e.lease.Era() {
		actions = e.lease.Step(e.opts.Now(), lease.EraSeen{Era: era})
	}
	actions = append(actions, e.lease.Step(e.opts.Now(), m)...)
	fencingToken, held := e.lease.Held(e.opts.Now())
	changed := held != e.loggedHeld
	e.loggedHeld = held
	e.mu.Unlock()
	if changed {
		e.opts.Log.Info("lease", "name", e.opts.Lease, "held", held, "fence", fencingToken)
	}
	for _, a := range actions {
		go e.execute(ctx, a)
	}
}

func (e *Elector) execute(ctx context.Context, a lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case lease.Get:
		e.get(ctx)
	case lease.Put:
		e.put(ctx, a)
	}
}

func (e *Elector) get(ctx context.Context) {
	obj, err := e.opts.Store.Get(ctx, objectstore.KindLease, e.opts.Lease)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		e.send(lease.Read{})
	case err != nil:
		e.send(lease.Unavailable{})
	default:
		e.send(lease.Read{Object: obj})
	}
}

func (e *Elector) put(ctx context.Context, p lease.Put) {
	obj, err := e.opts.Store.Put(ctx, objectstore.Object{
		Kind: objectstore.KindLease, Name: e.opts.Lease, Version: p.ExpectedVersion, Value: p.Value,
	})
	switch {
	case err == nil:
		e.send(lease.WriteOK{Attempt: p.Attempt, Object: obj})
		e.relay(ctx, obj)
	case errors.Is(err, objectstore.ErrConflict):
		e.send(lease.WriteConflict{Attempt: p.Attempt})
	case errors.Is(err, objectstore.ErrOutcomeUnknown):
		e.send(lease.WriteUnknown{Attempt: p.Attempt})
	default:
		e.send(lease.Unavailable{})
	}
}

// relay sends the lease's object as just written to the other candidates.
func (e *Elector) relay(ctx context.Context, obj objectstore.Object) {
	msg := &peerpb.LeaseObject{Name: obj.Name, Version: objectstore.RevisionOf(obj.Version), Era: objectstore.EraOf(obj.Version), Value: obj.Value}
	var wg sync.WaitGroup
	for _, p := range e.opts.ZonePeers() {
		wg.Go(func() {
			err := e.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
				_, err := peerpb.NewDRPCLeasesClient(conn).Relay(ctx, msg)
				return err
			})
			if err != nil {
				e.opts.Log.Debug("relay of the lease failed", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

// Relay implements peerpb.DRPCLeasesServer. It passes the object that the
// holder of the lease has written on to the lease.Lease, and ignores the objects
// of other leases.
func (e *Elector) Relay(_ context.Context, msg *peerpb.LeaseObject) (*peerpb.LeaseReply, error) {
	if msg.Name != e.opts.Lease {
		return &peerpb.LeaseReply{}, nil
	}
	version, err := objectstore.VersionOf(msg.Era, msg.Version)
	if err != nil {
		return nil, fmt.Errorf("leader: object of lease %s: %w", msg.Name, err)
	}
	objectstore.ObserveEra(e.opts.Store, msg.Era)
	e.send(lease.PeerObserved{Object: objectstore.Object{
		Kind: objectstore.KindLease, Name: msg.Name, Version: version, Value: msg.Value,
	}})
	return &peerpb.LeaseReply{}, nil
}
