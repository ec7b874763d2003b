package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
	"storj.io/drpc"
)

const (
	// versionTellDelay is the time in which the records of streams that begin are collected
	// into one message.
	versionTellDelay = 50 * time.Millisecond
	// versionTellInterval is the interval at which an instance looks for records that became
	// due without a new stream, and records which versions are listed.
	versionTellInterval = time.Second
	// askTimeout is the timeout of the calls that ask for the version of a stream.
	askTimeout = 150 * time.Millisecond
	// askRounds is the number of times that an instance is asked that has not answered.
	askRounds = 2
	// callerReturnTime is the time in which a caller resumes a stream after its timeout.
	callerReturnTime = 15 * time.Second
)

// streamVersions is a streamversion.Tracker with the calls to other instances. It is safe
// for concurrent use.
type streamVersions struct {
	g    *Gateway
	wake chan struct{}

	mu      sync.Mutex
	tracker *streamversion.Tracker
	horizon time.Duration
	listed  map[serviceVersion]bool
	routes  routeServices
	begun   []begunStream            // within doubtFor, by time
	fleet   map[string]time.Duration // when each instance was last present
	// stored is what the store has, by service, and storeRead whether it was read: before,
	// what was listed in the time of earlier processes is not known.
	stored    map[string][]string
	storeRead bool
	// segments is what this instance stores of records as the writer, and mayHaveSegments
	// whether the store may have segments that are of no use any more.
	segments        *streamversion.Segments
	mayHaveSegments bool
}

type serviceVersion struct{ service, version string }

func newStreamVersions(g *Gateway) *streamVersions {
	horizon := defaultTimeout + callerReturnTime
	return &streamVersions{
		g: g, wake: make(chan struct{}, 1), horizon: horizon, stored: map[string][]string{}, segments: streamversion.NewSegments(),
		fleet: map[string]time.Duration{}, tracker: streamversion.NewTracker(streamversion.Member{Name: g.self.Name, Zone: g.self.Zone}, horizon),
	}
}

func (v *streamVersions) withLock(f func(now time.Duration, t *streamversion.Tracker)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.g.now(), v.tracker)
}

// applyCatalog records which versions the list of upstreams has, and how long streams may
// last by the configuration.
func (v *streamVersions) applyCatalog() {
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		config, listed := v.g.catalog.Config(), map[serviceVersion]bool{}
		longest := time.Duration(0)
		for _, r := range config.Routes {
			if r.Kind == fleet.KindStream {
				longest = max(longest, r.Timeout)
			}
		}
		if longest == 0 {
			longest = defaultTimeout
		}
		v.horizon = longest + callerReturnTime
		t.History().SetHorizon(v.horizon)
		upstreams := v.g.catalog.Usable()
		v.doubt(now, upstreams)
		for _, u := range upstreams {
			listed[serviceVersion{u.Service, u.Version}] = true
		}
		v.listed = listed
		if v.routes.apply(now, config) {
			t.History().SetGroups(v.routes.groups())
		}
		v.observe(now)
	})
	v.wakeUp()
}

// observe records the versions that are listed, and which services share routes. The caller
// holds the lock.
func (v *streamVersions) observe(now time.Duration) {
	if v.routes.expire(now - v.horizon) {
		v.tracker.History().SetGroups(v.routes.groups())
	}
	for l := range v.listed {
		v.tracker.History().Observe(now, l.service, l.version)
	}
}

func (v *streamVersions) wakeUp() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// began records that a request of a caller brought the first event of a stream.
func (v *streamVersions) began(organisation, request, service, version string) {
	several := false
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		t.Began(now, streamversion.Record{
			Key: streamversion.KeyOf(organisation, request), Service: service, Version: version, Until: now + v.horizon,
		})
		several = t.History().Several(now, service)
	})
	if several {
		v.wakeUp()
	}
}

// mayDiffer reports whether a stream of a service's routes may have begun at another version than
// one that is listed now. An instance that has neither read what the store has nor run for the
// time in which streams are resumed does not know, and says so.
func (v *streamVersions) mayDiffer(service string) (differ bool) {
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		known := v.storeRead || now-v.g.started > v.horizon
		differ = !known || t.History().Several(now, service)
	})
	return differ
}

// Where the version of a stream is known from, for the log.
const (
	versionFromSelf = "self"
	// versionFromStore: this instance has read it at its start.
	versionFromStore = "store"
	// versionUnknown: all instances that would know have answered.
	versionUnknown = "unknown"
	// versionUnreached: some of them have not.
	versionUnreached = "unreached"
)

// servicesFor returns the services at which a stream of a route may have begun, the likeliest first.
func (v *streamVersions) servicesFor(r *fleet.Route, likeliest string) []string {
	out := []string{likeliest}
	for _, service := range servicesOf(r) {
		if service != likeliest {
			out = append(out, service)
		}
	}
	v.withLock(func(time.Duration, *streamversion.Tracker) { out = append(out, v.routes.formerOf(r)...) })
	return out
}

// lookUp returns the service and version at which a stream began if this instance knows it, and
// from where.
func (v *streamVersions) lookUp(key streamversion.Key, services []string) (began serviceVersion, from string, ok bool) {
	v.withLock(func(now time.Duration, t *streamversion.Tracker) {
		for _, service := range services {
			began.service = service
			if began.version, ok = t.Version(now, key, service); ok {
				from = versionFromSelf
				return
			}
			if began.version, ok = t.RestoredVersion(now, key, service); ok {
				from = versionFromStore
				return
			}
		}
	})
	return began, from, ok
}

// find returns the service and version at which a stream began, one of the given services, and
// who knew it: this instance, the store or another instance. ok is false if nobody did, or if
// those that may know were not reached.
func (v *streamVersions) find(ctx context.Context, organisation, request string, services []string) (began serviceVersion, from string, ok bool) {
	key := streamversion.KeyOf(organisation, request)
	if began, from, ok = v.lookUp(key, services); ok {
		return began, from, true
	}
	var names []string
	members := v.members()
	v.withLock(func(_ time.Duration, t *streamversion.Tracker) { names = t.Asked(key, members) })
	asked := v.infosOf(names)
	for range askRounds {
		if began, from, asked = v.ask(ctx, asked, key, services); from != "" {
			v.withLock(func(now time.Duration, t *streamversion.Tracker) {
				t.Receive(now, []streamversion.Record{{Key: key, Service: began.service, Version: began.version, Until: now + v.horizon}})
			})
			return began, from, true
		}
		if len(asked) == 0 {
			break
		}
	}
	if began, from, ok = v.lookUp(key, services); ok { // the store was read in the meantime
		return began, from, true
	}
	if len(asked) > 0 {
		return serviceVersion{}, versionUnreached, false
	}
	return serviceVersion{}, versionUnknown, false
}

// ask asks instances at the same time. It returns the first answer that knows the stream and
// who gave it, or the instances that have not answered.
func (v *streamVersions) ask(ctx context.Context, asked []*meshpb.MemberInfo, key streamversion.Key, services []string) (began serviceVersion, from string, silent []*meshpb.MemberInfo) {
	type answer struct {
		peer  *meshpb.MemberInfo
		began serviceVersion
		known bool
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan answer, len(asked))
	for _, p := range asked {
		go func() {
			a := answer{peer: p}
			if a.began, a.known, a.err = v.askOne(ctx, p, key, services); a.err != nil && ctx.Err() == nil {
				v.g.log.Debug("failed to ask for the version of a stream", "peer", p.Name, "error", a.err)
			}
			answers <- a
		}()
	}
	for range asked {
		switch a := <-answers; {
		case a.known:
			return a.began, a.peer.Name, nil
		case a.err != nil:
			silent = append(silent, a.peer)
		}
	}
	return serviceVersion{}, "", silent
}

// askOne asks an instance whether a stream began at one of the services, one after the other:
// instances of all builds answer for one service.
func (v *streamVersions) askOne(ctx context.Context, p *meshpb.MemberInfo, key streamversion.Key, services []string) (began serviceVersion, known bool, err error) {
	err = v.g.peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
		for _, service := range services {
			reply, err := meshpb.NewDRPCMeshClient(conn).FindStream(ctx, &meshpb.StreamQuery{Key: key[:], Service: service})
			if err != nil {
				return err
			}
			if reply.Known {
				began, known = serviceVersion{service, reply.Version}, true
				return nil
			}
		}
		return nil
	})
	return began, known, err
}

func (v *streamVersions) members() []streamversion.Member {
	var out []streamversion.Member
	for _, m := range v.g.mesh.Members() {
		out = append(out, streamversion.Member{Name: m.Name, Zone: m.Zone})
	}
	return out
}

// infosOf returns the instances with the given names.
func (v *streamVersions) infosOf(names []string) []*meshpb.MemberInfo {
	return slices.DeleteFunc(v.g.mesh.Members(), func(m *meshpb.MemberInfo) bool { return !slices.Contains(names, m.Name) })
}

// tell tells keepers of streams that began here, until ctx ends.
func (v *streamVersions) tell(ctx context.Context) error {
	ticker := time.NewTicker(versionTellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-v.wake:
		}
		var due []streamversion.Batch
		members := v.members()
		v.noteFleet(members)
		v.withLock(func(now time.Duration, t *streamversion.Tracker) {
			v.observe(now)
			due = t.Due(now, members)
		})
		for _, b := range due {
			go v.send(ctx, b)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(versionTellDelay):
		}
	}
}

// send sends records to another instance.
func (v *streamVersions) send(ctx context.Context, b streamversion.Batch) {
	request := v.recordsToWire(b.Records)
	err := v.g.peers.Call(ctx, v.g.mesh.Address(b.To), func(ctx context.Context, conn drpc.Conn) error {
		_, err := meshpb.NewDRPCMeshClient(conn).RecordStreams(ctx, request)
		return err
	})
	if err == nil || ctx.Err() != nil {
		return
	}
	v.g.log.Debug("failed to tell the versions of streams", "peer", b.To, "records", len(b.Records), "error", err)
	v.withLock(func(now time.Duration, t *streamversion.Tracker) { t.Failed(now, b) })
	v.wakeUp()
}

// handOver tells other instances what this one knows, because it ends.
func (v *streamVersions) handOver(ctx context.Context) {
	var due []streamversion.Batch
	members := v.members()
	v.withLock(func(now time.Duration, t *streamversion.Tracker) { due = t.HandOver(now, members) })
	var sent sync.WaitGroup
	for _, b := range due {
		sent.Go(func() { v.send(ctx, b) })
	}
	sent.Wait()
}
