package gateway

import (
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/streamversion"
)

const (
	// listConfirmedFor is how long after it last heard from the store or from a peer an instance
	// takes its list of upstreams for that of all.
	listConfirmedFor = 2 * time.Second
	// largeHeardFor is the same for what others say of instances of a large fleet, which hear of
	// each other through their leads.
	largeHeardFor = 5 * time.Second
	// absentFor is how long an instance that ended counts as one that may be out of reach, in
	// addition to the time for which a peer may take a silent store for reachable.
	absentFor = 20 * time.Second
)

// listConfirmed reports whether another version of a service could not have been listed for
// some time without this instance knowing. It may be cut off, or have been frozen until now, also
// together with peers that confirm what it knows: so the store has to have answered it or a
// peer, or it hears of most of the instances, which lack no more than the store's latest.
func (v *streamVersions) listConfirmed() bool {
	now, known := v.g.now(), 0
	v.withLock(func(time.Duration, *streamversion.Tracker) { known = len(v.fleet) })
	switch {
	case now-v.g.catalog.LastAnswered() <= listConfirmedFor:
		return true
	case known > 1 && now-time.Duration(v.g.lastStateAt.Load()) > listConfirmedFor:
		return false
	case v.g.mesh.HasStoreReader():
		return true
	}
	heardFor := listConfirmedFor
	if v.g.mesh.IsLargeFleet() {
		heardFor = largeHeardFor
	}
	return 2*v.g.mesh.HeardCount(heardFor) > known
}

// noteFleet records which instances are present. Those that are not are forgotten only while the
// store is reached: this instance may be the one that is cut off.
func (v *streamVersions) noteFleet(present []streamversion.Member) {
	reached := v.g.now()-v.g.catalog.LastAnswered() <= listConfirmedFor || v.g.mesh.HasStoreReader()
	keep := absentFor + v.g.opts.Settings.Store.WatchWait.Std()
	v.withLock(func(now time.Duration, _ *streamversion.Tracker) {
		for _, m := range present {
			v.fleet[m.Name] = now
		}
		for name, at := range v.fleet {
			if reached && now-at > keep {
				delete(v.fleet, name)
			}
		}
	})
}
