package docsync

import (
	"context"
	"errors"
	"log/slog"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/keys"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// Periods and limits of the controller.
const (
	exchangePeriod = 500 * time.Millisecond
	listPeriod     = time.Second
	retryPeriod    = 500 * time.Millisecond
	// fallbackAge is the age of the local copy from which an instance other
	// than the zone leader reads the platform itself.
	fallbackAge = 3 * time.Second
	// fallbackPeriod is the time between such reads of one instance, before
	// jitter.
	fallbackPeriod = 5 * time.Second
	// leaderTimeout is the time without a message from the zone leader after
	// which other instances read in its place. An instance exchanges messages
	// with the leader every second on average.
	leaderTimeout = 5 * time.Second
	inboxSize     = 256
)

// ErrStopped means that Run has returned.
var ErrStopped = errors.New("replica: stopped")

// Peers calls other instances; peer.Client implements it.
type Peers interface {
	Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
}

// Clock provides and observes the stamps that messages carry for the service
// record; recorder.Recorder implements it.
type Clock interface {
	Stamp() *peerpb.Stamp
	Observe(*peerpb.Stamp)
}

// Options configure a Controller.
type Options struct {
	Self      objectstore.Instance
	Store     objectstore.Store
	Instances objectstore.InstanceList
	Peers     Peers
	// Seeds are peer addresses to contact before the instance list is known.
	Seeds []string
	// IsZoneLeader reports whether this instance is the zone leader, which reads
	// the platform for its zone.
	IsZoneLeader func() bool
	// ZoneLeader returns the name of the zone leader, "" if it is not known.
	ZoneLeader func() string
	Clock      Clock
	// WatchTimeout limits the duration of one watch call.
	WatchTimeout time.Duration
	// Now returns the monotonic time.
	Now  func() time.Duration
	Log  *slog.Logger
	Seed int64
}

// Snapshot is the local copy of documents and instances at one time. It is
// immutable.
type Snapshot struct {
	Services         map[string]*config.Service
	Versions         map[string]uint64
	Rejected         []config.Rejected
	Keys             *keys.Directory
	Peers            []objectstore.Instance // other entry instances that are not leaving
	LeavingUpstreams map[string]bool        // addresses of leaving upstreams
	Instances        []objectstore.Instance // platform's instance list as last read
	Hash             uint64                 // equal for equal document versions
	Generation       uint64                 // increases when documents change
	HasDocuments     bool                   // documents have been received from some source
	CompleteRevision uint64                 // revision up to which all documents are known
}

// ZonePeers returns the other entry instances of zone that are not leaving.
func (s *Snapshot) ZonePeers(zone string) []objectstore.Instance {
	var peers []objectstore.Instance
	for _, p := range s.Peers {
		if p.Zone == zone {
			peers = append(peers, p)
		}
	}
	return peers
}

// Controller is the controller that owns a State. One goroutine updates the state;
// others read the platform, call peers and answer their calls, and send updates
// over a bounded channel. A sender blocks while the channel is full, so no
// update is dropped.
type Controller struct {
	opts        Options
	state       *State
	inbox       chan func()
	stopped     chan struct{}
	snapshot    atomic.Pointer[Snapshot]
	confirmedAt atomic.Int64 // monotonic time, or unconfirmed
	changed     chan struct{}
	rng         *rand.Rand
}

const unconfirmed = -1

// NewController returns a controller whose snapshot is not ready; Run starts it.
func NewController(opts Options) *Controller {
	d := &Controller{
		opts:    opts,
		state:   NewState(opts.Self),
		inbox:   make(chan func(), inboxSize),
		stopped: make(chan struct{}),
		changed: make(chan struct{}, 1),
		rng:     rand.New(rand.NewSource(opts.Seed)),
	}
	d.confirmedAt.Store(unconfirmed)
	d.publishSnapshot(true, true)
	return d
}

// Snapshot returns the current snapshot.
func (d *Controller) Snapshot() *Snapshot { return d.snapshot.Load() }

// Age returns the time since the documents were last known to be complete. If
// they never were, it returns the clock's reading.
func (d *Controller) Age() time.Duration {
	at := d.confirmedAt.Load()
	return d.opts.Now() - max(0, time.Duration(at))
}

// Changed returns a channel that receives a value after documents or instances
// have changed; one value may stand for several changes.
func (d *Controller) Changed() <-chan struct{} { return d.changed }

// Run reads the platform and exchanges documents with peers until ctx ends.
func (d *Controller) Run(ctx context.Context) error {
	defer close(d.stopped)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.runLoop(ctx) })
	g.Go(func() error { return d.watchDocuments(ctx) })
	g.Go(func() error { return d.readInstances(ctx) })
	g.Go(func() error { return d.exchangeWithPeers(ctx) })
	g.Go(func() error { return d.publishStatus(ctx) })
	return g.Wait()
}

// runLoop executes the functions sent to the inbox. Only its goroutine accesses
// the state.
func (d *Controller) runLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-d.inbox:
			f()
		}
	}
}

// runInLoop executes f in the goroutine of runLoop and waits until it returns.
func (d *Controller) runInLoop(ctx context.Context, f func()) error {
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

// apply publishes a change; it must run in the goroutine of runLoop.
func (d *Controller) apply(c Change) {
	for _, a := range c.Accepted {
		d.opts.Log.Info("document in force", "service", a.Service, "version", a.Version, "deleted", a.Deleted)
	}
	d.publishSnapshot(len(c.Accepted) > 0 || c.AnyRejected, c.MembersChanged)
	if len(c.Accepted) > 0 || c.MembersChanged {
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}

// publishSnapshot stores a new snapshot in which the documents or the members
// are rebuilt from the state.
func (d *Controller) publishSnapshot(documents, members bool) {
	s := d.state
	if s.confirmed {
		d.confirmedAt.Store(int64(s.confirmedAt))
	}
	next := &Snapshot{}
	if last := d.snapshot.Load(); last != nil {
		*next = *last
	}
	if documents {
		d.setDocuments(next)
	}
	if members {
		next.Peers = s.view.Peers()
		next.LeavingUpstreams = s.view.LeavingUpstreams()
		next.Instances = s.view.List().Instances
	}
	next.HasDocuments = s.confirmed
	next.CompleteRevision = s.complete
	d.snapshot.Store(next)
}

// setDocuments fills the document fields of next from the state.
func (d *Controller) setDocuments(next *Snapshot) {
	docs := d.state.set.Services()
	next.Generation++
	next.Services = make(map[string]*config.Service, len(docs))
	for _, doc := range docs {
		next.Services[doc.Service] = doc
	}
	next.Versions = d.state.set.Versions()
	next.Hash = d.state.set.Hash()
	next.Rejected = d.state.set.Rejected()
	next.Keys = keys.NewDirectory(docs)
}

// Leave marks this instance as leaving in all further messages to peers.
func (d *Controller) Leave(ctx context.Context) error {
	return d.runInLoop(ctx, func() {
		d.opts.Self.State = objectstore.InstanceLeaving
		d.state.SetSelf(d.opts.Self)
	})
}

// RecordUpstreamLeaving records that the upstream at address has reported that it
// is leaving.
func (d *Controller) RecordUpstreamLeaving(ctx context.Context, address string) error {
	return d.runInLoop(ctx, func() { d.apply(d.state.RecordUpstreamLeaving(d.opts.Now(), address)) })
}
