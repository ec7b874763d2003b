package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"golang.org/x/sync/errgroup"
)

// Periods of the duty.
const (
	exchangePeriod = 500 * time.Millisecond
	listPeriod     = time.Second
	retryPeriod    = 500 * time.Millisecond
	// fallbackAge is the age of knowledge from which an instance that does
	// not read for its zone reads the platform itself.
	fallbackAge = 3 * time.Second
	// fallbackPeriod spaces such reads of one instance; it is jittered.
	fallbackPeriod = 5 * time.Second
	// readerSilence is the time without a word from the zone's reader after
	// which others read in its place. Instances hear of it every second on
	// average.
	readerSilence = 5 * time.Second
	inboxSize     = 256
)

// ErrStopped means that the duty has ended.
var ErrStopped = errors.New("replica: stopped")

// Peers calls other instances; peer.Client implements it.
type Peers interface {
	Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
}

// Clock stamps messages for the service record; recorder.Duty implements it.
type Clock interface {
	Stamp() *peerpb.Stamp
	Observe(*peerpb.Stamp)
}

// Options configure a Duty.
type Options struct {
	Self      platform.Instance
	Store     platform.Store
	Instances platform.InstanceList
	Peers     Peers
	// Seeds are addresses of peers to ask before the list is known.
	Seeds []string
	// Reads reports whether this instance reads the platform for its zone.
	Reads func() bool
	// Reader returns the name of the instance that reads for the zone, "" if
	// it is not known.
	Reader func() string
	Clock  Clock
	// WatchTimeout bounds a waiting watch.
	WatchTimeout time.Duration
	// Now is the monotonic clock.
	Now  func() time.Duration
	Log  *slog.Logger
	Seed int64
}

// Snapshot is what an instance knows at one moment. It is immutable.
type Snapshot struct {
	Services  map[string]*config.Service
	Versions  map[string]uint64
	Rejected  []config.Rejected
	Keys      *keys.Directory
	Peers     []platform.Instance // entry instances other than this one, not leaving
	Leaving   map[string]bool     // addresses of upstreams that are leaving
	Instances []platform.Instance // the platform's list as last read
	Hash      uint64              // equal for equal versions
	Edition   uint64              // grows when documents change
	Ready     bool                // documents have been read from some source
	Complete  uint64              // all documents up to this revision are known
}

// ZonePeers returns the other entry instances of a zone.
func (s *Snapshot) ZonePeers(zone string) []platform.Instance {
	var peers []platform.Instance
	for _, p := range s.Peers {
		if p.Zone == zone {
			peers = append(peers, p)
		}
	}
	return peers
}

// Duty owns a State. One goroutine steps it; others read the platform, call
// peers and answer them, joined to it by a bounded channel. When the channel
// is full the sender waits, so that no reading is lost.
type Duty struct {
	opts      Options
	state     *State
	inbox     chan func()
	stopped   chan struct{}
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Int64 // monotonic time, or unconfirmed
	changed   chan struct{}
	rng       *rand.Rand
}

const unconfirmed = -1

// NewDuty returns a duty that has not read anything yet.
func NewDuty(opts Options) *Duty {
	d := &Duty{
		opts:    opts,
		state:   NewState(opts.Self),
		inbox:   make(chan func(), inboxSize),
		stopped: make(chan struct{}),
		changed: make(chan struct{}, 1),
		rng:     rand.New(rand.NewSource(opts.Seed)),
	}
	d.confirmed.Store(unconfirmed)
	d.publish(true, true)
	return d
}

// Snapshot returns what is known now.
func (d *Duty) Snapshot() *Snapshot { return d.snapshot.Load() }

// Age returns how old the knowledge of documents is; without any it is as old
// as the clock.
func (d *Duty) Age() time.Duration {
	at := d.confirmed.Load()
	return d.opts.Now() - max(0, time.Duration(at))
}

// Changed receives after documents or instances changed; a signal stands for
// any number of changes.
func (d *Duty) Changed() <-chan struct{} { return d.changed }

// Run reads and exchanges until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	defer close(d.stopped)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.own(ctx) })
	g.Go(func() error { return d.watchDocuments(ctx) })
	g.Go(func() error { return d.readInstances(ctx) })
	g.Go(func() error { return d.exchangeWithPeers(ctx) })
	g.Go(func() error { return d.publishStatus(ctx) })
	return g.Wait()
}

// own steps the state; it is the only goroutine that touches it.
func (d *Duty) own(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-d.inbox:
			step()
		}
	}
}

// step runs f in the owning goroutine and waits for it.
func (d *Duty) step(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case d.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-d.stopped:
		return ErrStopped
	}
}

// apply publishes a change; it runs in the owning goroutine.
func (d *Duty) apply(c Change) {
	for _, a := range c.Accepted {
		d.opts.Log.Info("document in force", "service", a.Service, "version", a.Version, "deleted", a.Deleted)
	}
	d.publish(len(c.Accepted) > 0 || c.Rejected, c.Members)
	if len(c.Accepted) > 0 || c.Members {
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}

func (d *Duty) publish(documents, members bool) {
	s := d.state
	if s.confirmed {
		d.confirmed.Store(int64(s.confirmedAt))
	}
	next := &Snapshot{}
	if last := d.snapshot.Load(); last != nil {
		*next = *last
	}
	if documents {
		d.publishDocuments(next)
	}
	if members {
		next.Peers = s.view.Peers()
		next.Leaving = s.view.LeavingUpstreams()
		next.Instances = s.view.List().Instances
	}
	next.Ready = s.confirmed
	next.Complete = s.complete
	d.snapshot.Store(next)
}

func (d *Duty) publishDocuments(next *Snapshot) {
	docs := d.state.set.Services()
	next.Edition++
	next.Services = make(map[string]*config.Service, len(docs))
	for _, doc := range docs {
		next.Services[doc.Service] = doc
	}
	next.Versions = d.state.set.Versions()
	next.Hash = d.state.set.Hash()
	next.Rejected = d.state.set.Rejected()
	next.Keys = keys.NewDirectory(docs)
}

// Leave tells peers from now on that this instance is leaving.
func (d *Duty) Leave(ctx context.Context) error {
	return d.step(ctx, func() {
		d.opts.Self.State = platform.InstanceLeaving
		d.state.SetSelf(d.opts.Self)
	})
}

// UpstreamLeaving takes an upstream's own word that it is leaving.
func (d *Duty) UpstreamLeaving(ctx context.Context, address string) error {
	return d.step(ctx, func() { d.apply(d.state.UpstreamLeaving(d.opts.Now(), address)) })
}
