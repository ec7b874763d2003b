// Package leader keeps one instance's part in the lease of its zone. The
// holder carries the zone's duties: it watches the platform for the zone,
// shares out limits and places models.
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
	// pollEvery is how often a contender reads the lease while the holder
	// does not relay it.
	pollEvery = 3 * time.Second
	// takeJitter spreads the contenders' attempts to take a lapsed lease.
	takeJitter = 500 * time.Millisecond
)

// LeaseName returns the name of a zone's lease object.
func LeaseName(zone string) string { return "zone-" + zone }

// Options configure a Duty.
type Options struct {
	Self  platform.Instance
	Store platform.Store
	Peers peer.Caller
	// Lease is the name of the lease's object; empty for that of the zone.
	Lease string
	// Term is how long a write holds the lease; 0 for the default.
	Term time.Duration
	// ZonePeers returns the other contenders, who are told of each write.
	ZonePeers func() []platform.Instance
	// Contends reports whether this instance tries for the lease; nil for
	// always. One that holds it keeps it.
	Contends func() bool
	Now      func() time.Duration
	Log      *slog.Logger
	Seed     int64
}

// Duty drives one lease.Lease. One goroutine steps it; a mutex lets others ask
// at any time whether the lease is held.
type Duty struct {
	opts  Options
	inbox chan lease.Message
	mu    sync.Mutex
	lease *lease.Lease
	held  bool // as last logged
}

// New returns a duty that holds nothing.
func New(opts Options) *Duty {
	if opts.Lease == "" {
		opts.Lease = LeaseName(opts.Self.Zone)
	}
	l := lease.New(lease.Options{
		Holder: opts.Self.Name, Writer: opts.Self.Incarnation, Term: opts.Term, PollEvery: pollEvery, TakeJitter: takeJitter,
	}, rand.New(rand.NewSource(opts.Seed)))
	return &Duty{opts: opts, inbox: make(chan lease.Message, inboxSize), lease: l}
}

// Held reports whether this instance holds the lease now, and the fencing
// number of its term. Ask at the point of use.
func (d *Duty) Held() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lease.Held(d.opts.Now())
}

// HeldFor reports whether this instance holds the lease now and, unless it is
// paused, for d from now on; and the fencing number of its term.
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

// Holder returns the name of the instance that held the lease when its object
// was last seen, "" for none.
func (d *Duty) Holder() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, holder := d.lease.Seen()
	return holder
}

// Run contends for the lease until ctx ends.
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

// Release gives the lease up for good and waits until the platform knows or
// ctx ends.
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

// send gives the owner a message; when the inbox is full the message is
// dropped, since the lease asks again for what it misses.
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
	changed := held != d.held
	d.held = held
	d.mu.Unlock()
	if changed {
		d.opts.Log.Info("lease", "name", d.opts.Lease, "held", held, "fence", fence)
	}
	for _, a := range actions {
		go d.carryOut(ctx, a)
	}
}

func (d *Duty) carryOut(ctx context.Context, a lease.Action) {
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

// relay tells the zone of the lease's object as just written.
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
				d.opts.Log.Debug("relay lease", "peer", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

// Relay implements peerpb.DRPCLeasesServer.
func (d *Duty) Relay(_ context.Context, msg *peerpb.LeaseObject) (*peerpb.LeaseReply, error) {
	if msg.Name == d.opts.Lease {
		d.send(lease.Relayed{Object: platform.Object{
			Kind: platform.KindLease, Name: msg.Name, Version: msg.Version, Value: msg.Value,
		}})
	}
	return &peerpb.LeaseReply{}, nil
}
