// Package leader makes one instance a candidate for a lease and reports whether
// the instance holds it. The lease is an object in the platform's object store;
// the holder relays each write of it to the other candidates, so that they need
// not read it. The holder of a zone's lease is the zone leader: it watches the
// object store for the zone, shares out limits and places models.
package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/lease"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
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

// Options configure a Duty.
type Options struct {
	Self  platform.Instance
	Store platform.Store
	Peers peer.Caller
	// Lease is the name of the lease's object; empty for LeaseName of the
	// instance's zone.
	Lease string
	// Term is the lease duration, the time for which a write holds the lease; 0
	// for lease.DefaultTerm.
	Term time.Duration
	// ZonePeers returns the other candidates, to which each write is relayed.
	ZonePeers func() []platform.Instance
	// Contends reports whether this instance tries to acquire the lease; nil
	// for always. A holder renews the lease whatever it reports.
	Contends func() bool
	Now      func() time.Duration
	Log      *slog.Logger
	Seed     int64
}

// Duty drives one lease.Lease. One goroutine steps it; a mutex lets others
// query at any time whether the lease is held.
type Duty struct {
	opts       Options
	inbox      chan lease.Message
	mu         sync.Mutex
	lease      *lease.Lease
	loggedHeld bool // value of held in the last log message
}

// New returns a controller that does not hold the lease and does not try to
// acquire it until Run is called.
func New(opts Options) *Duty {
	if opts.Lease == "" {
		opts.Lease = LeaseName(opts.Self.Zone)
	}
	l := lease.New(lease.Options{
		Holder: opts.Self.Name, Writer: opts.Self.Incarnation, Term: opts.Term, PollEvery: pollInterval, TakeJitter: acquireJitter,
	}, rand.New(rand.NewSource(opts.Seed)))
	return &Duty{opts: opts, inbox: make(chan lease.Message, inboxSize), lease: l}
}

// Held reports whether this instance holds the lease now, and the fencing token
// of its leadership. Call it at the point of use.
func (d *Duty) Held() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Held(d.opts.Now())
}

// HeldFor reports whether this instance holds the lease now and, unless the
// process is paused, until rest has passed; and the fencing token of its
// leadership.
func (d *Duty) HeldFor(rest time.Duration) (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Held(d.opts.Now() + rest)
}

// Leads reports whether this instance holds the lease now.
func (d *Duty) Leads() bool {
	_, ok := d.Held()
	return ok
}

// Holder returns the name of the holder in the last version of the lease's
// object that this instance received, "" for none.
func (d *Duty) Holder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, holder := d.lease.Seen()
	return holder
}

// Run tries to acquire the lease, and renews it once held, until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		d.step(ctx, lease.Tick{})
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case m := <-d.inbox:
			d.step(ctx, m)
		}
	}
}

// Release gives up the lease permanently and waits until the platform has
// stored the release or ctx ends.
func (d *Duty) Release(ctx context.Context) {
	d.send(lease.Release{})
	for ctx.Err() == nil && d.state() != lease.StateReleased {
		select {
		case <-ctx.Done():
		case <-time.After(tickPeriod / 10):
		}
	}
}

func (d *Duty) state() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.State()
}

// send passes a message to the goroutine that steps the lease. When the inbox
// is full the message is dropped, since the lease requests again what it
// misses.
func (d *Duty) send(m lease.Message) {
	select {
	case d.inbox <- m:
	default:
	}
}

func (d *Duty) step(ctx context.Context, m lease.Message) {
	if _, tick := m.(lease.Tick); tick && d.opts.Contends != nil && !d.opts.Contends() && !d.Leads() {
		return
	}
	d.mu.Lock()
	actions := d.lease.Step(d.opts.Now(), m)
	fence, held := d.lease.Held(d.opts.Now())
	changed := held != d.loggedHeld
	d.loggedHeld = held
	d.mu.Unlock()
	if changed {
		d.opts.Log.Info("lease", "name", d.opts.Lease, "held", held, "fence", fence)
	}
	for _, a := range actions {
		go d.execute(ctx, a)
	}
}

func (d *Duty) execute(ctx context.Context, a lease.Action) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case lease.Get:
		d.get(ctx)
	case lease.Put:
		d.put(ctx, a)
	}
}

func (d *Duty) get(ctx context.Context) {
	obj, err := d.opts.Store.Get(ctx, platform.KindLease, d.opts.Lease)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		d.send(lease.Read{})
	case err != nil:
		d.send(lease.Unavailable{})
	default:
		d.send(lease.Read{Object: obj})
	}
}

func (d *Duty) put(ctx context.Context, p lease.Put) {
	obj, err := d.opts.Store.Put(ctx, platform.Object{
		Kind: platform.KindLease, Name: d.opts.Lease, Version: p.ExpectedVersion, Value: p.Value,
	})
	switch {
	case err == nil:
		d.send(lease.WriteOK{Attempt: p.Attempt, Object: obj})
		d.relay(ctx, obj)
	case errors.Is(err, platform.ErrConflict):
		d.send(lease.WriteConflict{Attempt: p.Attempt})
	case errors.Is(err, platform.ErrOutcomeUnknown):
		d.send(lease.WriteUnknown{Attempt: p.Attempt})
	default:
		d.send(lease.Unavailable{})
	}
}

// relay sends the lease's object as just written to the other candidates.
func (d *Duty) relay(ctx context.Context, obj platform.Object) {
	msg := &peerpb.LeaseObject{Name: obj.Name, Version: obj.Version, Value: obj.Value}
	var wg sync.WaitGroup
	for _, p := range d.opts.ZonePeers() {
		wg.Go(func() {
			err := d.opts.Peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
				_, err := peerpb.NewDRPCLeasesClient(conn).Relay(ctx, msg)
				return err
			})
			if err != nil {
				d.opts.Log.Debug("relay of the lease failed", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

// Relay implements peerpb.DRPCLeasesServer. It passes the lease's object that
// the holder has written to the lease, and ignores objects of other leases.
func (d *Duty) Relay(_ context.Context, msg *peerpb.LeaseObject) (*peerpb.LeaseReply, error) {
	if msg.Name == d.opts.Lease {
		d.send(lease.Relayed{Object: platform.Object{
			Kind: platform.KindLease, Name: msg.Name, Version: msg.Version, Value: msg.Value,
		}})
	}
	return &peerpb.LeaseReply{}, nil
}
