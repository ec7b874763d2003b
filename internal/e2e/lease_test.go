package e2e

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/leader"
	"github.com/eelgrassbay/eelgrassbay/internal/lease"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/shoenig/test/must"
)

// takeoverTimeout is twice the term with the wait of a contender.
const takeoverTimeout = 2*lease.DefaultTerm + promptBound

// holder returns the instance that holds a zone's lease, as the platform has
// it, nil if there is none.
func (f *fleet) holder(zone string) *entry {
	f.t.Helper()
	obj, err := f.store.Get(context.Background(), platform.KindLease, leader.LeaseName(zone))
	if err != nil {
		return nil
	}
	value, err := lease.Decode(obj)
	must.NoError(f.t, err)
	if value.Released {
		return nil
	}
	return f.entry(value.Holder)
}

// tenure is a line of an instance's log about the zone's lease.
type tenure struct {
	Msg   string `json:"msg"`
	Held  bool   `json:"held"`
	Fence uint64 `json:"fence"`
}

// fences returns the fencing numbers of an instance's tenures, and whether the
// last one goes on by its own account.
func (e *entry) fences() (list []uint64, held bool) {
	for _, line := range strings.Split(e.proc.Logs(), "\n") {
		var t tenure
		if json.Unmarshal([]byte(line), &t) != nil || t.Msg != "lease" {
			continue
		}
		held = t.Held
		if t.Held {
			list = append(list, t.Fence)
		}
	}
	return list, held
}

// awaitFence waits until an instance holds the lease by its own account and
// returns its fencing number.
func (f *fleet) awaitFence(e *entry) (fence uint64) {
	f.t.Helper()
	f.eventually(takeoverTimeout, e.name+" holds the lease", func() bool {
		list, held := e.fences()
		if held {
			fence = list[len(list)-1]
		}
		return held
	})
	return fence
}

// awaitOther waits until another instance holds a zone's lease.
func (f *fleet) awaitOther(zone string, former *entry) (next *entry) {
	f.t.Helper()
	f.eventually(takeoverTimeout, "another instance than "+former.name+" holds the lease", func() bool {
		next = f.holder(zone)
		return next != nil && next != former
	})
	return next
}

// others returns all instances but one.
func (f *fleet) others(e *entry) []*entry {
	var list []*entry
	for _, o := range f.entries {
		if o != e {
			list = append(list, o)
		}
	}
	return list
}

// TestPausedLeaseHolder: when the holder of a zone's lease is paused for
// longer than its term, another takes over under a higher fencing number, the
// former holder sees when it wakes that it holds nothing, and configuration
// spreads all the while.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.eventually(takeoverTimeout, "north has a holder", func() bool { return f.holder("north") != nil })
	former := f.holder("north")
	fence := f.awaitFence(former)
	former.proc.Pause()
	f.mark(1)
	f.awaitEdition(1, f.others(former)...)
	next := f.awaitOther("north", former)
	nextFence := f.awaitFence(next)
	must.Greater(t, fence, nextFence)
	f.mark(2)
	f.awaitEdition(2, f.others(former)...)
	former.proc.Resume()
	f.awaitEdition(2, former)
	f.eventually(promptBound, "the former holder knows", func() bool {
		list, held := former.fences()
		return !held || list[len(list)-1] > nextFence
	})
	f.mark(3)
	f.awaitEdition(3, f.entries...)
}

// TestKilledLeaseHolder: after the holders of both zones were killed at once,
// others take over under higher fencing numbers, and configuration spreads.
func TestKilledLeaseHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	former, fence := map[string]*entry{}, map[string]uint64{}
	for _, zone := range zoneNames {
		f.eventually(takeoverTimeout, zone+" has a holder", func() bool { return f.holder(zone) != nil })
		former[zone] = f.holder(zone)
		fence[zone] = f.awaitFence(former[zone])
	}
	for _, zone := range zoneNames {
		former[zone].proc.Kill()
	}
	var left []*entry
	for _, e := range f.entries {
		if e != former[e.zone] {
			left = append(left, e)
		}
	}
	f.mark(1)
	f.awaitEdition(1, left...)
	for _, zone := range zoneNames {
		next := f.awaitOther(zone, former[zone])
		must.Greater(t, fence[zone], f.awaitFence(next))
	}
	f.mark(2)
	f.awaitEdition(2, left...)
	f.startEntry(former["north"])
	f.awaitEdition(2, former["north"])
}
