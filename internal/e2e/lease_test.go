package e2e

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/leader"
	"github.com/eelgrassbay/eelgrassbay/internal/lease"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// takeoverTimeout is the timeout of a takeover: twice the lease duration, which
// covers the time that a candidate waits before it takes the lease, plus
// promptTimeout.
const takeoverTimeout = 2*lease.DefaultDuration + promptTimeout

// leaseHolder returns the instance that the lease object of the platform names as
// the holder of a zone's lease, or nil if there is none.
func (f *fleet) leaseHolder(zone string) *entry {
	f.t.Helper()
	obj, err := f.store.Get(context.Background(), objectstore.KindLease, leader.LeaseName(zone))
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

// leaseLogLine is a log line of an instance about the lease of its zone.
type leaseLogLine struct {
	Msg          string `json:"msg"`
	Held         bool   `json:"held"`
	FencingToken uint64 `json:"fence"`
}

// fencingTokens returns the fencing tokens of an instance's leaderships, and
// whether it holds the lease now, both according to its log.
func (e *entry) fencingTokens() (tokens []uint64, held bool) {
	for _, line := range strings.Split(e.proc.Logs(), "\n") {
		var parsed leaseLogLine
		if json.Unmarshal([]byte(line), &parsed) != nil || parsed.Msg != "lease" {
			continue
		}
		held = parsed.Held
		if parsed.Held {
			tokens = append(tokens, parsed.FencingToken)
		}
	}
	return tokens, held
}

// awaitFencingToken waits until an instance holds the lease according to its log
// and returns its fencing token.
func (f *fleet) awaitFencingToken(e *entry) (token uint64) {
	f.t.Helper()
	f.eventually(takeoverTimeout, e.name+" holds the lease", func() bool {
		tokens, held := e.fencingTokens()
		if held {
			token = tokens[len(tokens)-1]
		}
		return held
	})
	return token
}

// awaitOtherHolder waits until an instance other than the former holder holds a
// zone's lease, and returns it.
func (f *fleet) awaitOtherHolder(zone string, former *entry) (next *entry) {
	f.t.Helper()
	f.eventually(takeoverTimeout, "another instance than "+former.name+" holds the lease", func() bool {
		next = f.leaseHolder(zone)
		return next != nil && next != former
	})
	return next
}

// others returns all instances except e.
func (f *fleet) others(e *entry) []*entry {
	var list []*entry
	for _, o := range f.entries {
		if o != e {
			list = append(list, o)
		}
	}
	return list
}

// TestPausedLeaseHolder checks that when the holder of a zone's lease is paused
// for longer than the lease duration, another instance takes the lease with a
// higher fencing token, that the former holder detects the loss after it resumes,
// and that configuration is distributed throughout.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	f.eventually(takeoverTimeout, "north has a lease holder", func() bool { return f.leaseHolder("north") != nil })
	former := f.leaseHolder("north")
	token := f.awaitFencingToken(former)
	former.proc.Pause()
	f.writeMarker(1)
	f.awaitMarker(1, f.others(former)...)
	next := f.awaitOtherHolder("north", former)
	nextToken := f.awaitFencingToken(next)
	must.Greater(t, token, nextToken)
	f.writeMarker(2)
	f.awaitMarker(2, f.others(former)...)
	former.proc.Resume()
	f.awaitMarker(2, former)
	f.eventually(promptTimeout, "the former holder has detected the loss of the lease", func() bool {
		tokens, held := former.fencingTokens()
		return !held || tokens[len(tokens)-1] > nextToken
	})
	f.writeMarker(3)
	f.awaitMarker(3, f.entries...)
}

// TestKilledLeaseHolder checks that after the lease holders of both zones are
// killed at once, other instances take the leases with higher fencing tokens, and
// that configuration is distributed throughout.
func TestKilledLeaseHolder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, defaultFleet())
	former, token := map[string]*entry{}, map[string]uint64{}
	for _, zone := range zoneNames {
		f.eventually(takeoverTimeout, zone+" has a lease holder", func() bool { return f.leaseHolder(zone) != nil })
		former[zone] = f.leaseHolder(zone)
		token[zone] = f.awaitFencingToken(former[zone])
	}
	for _, zone := range zoneNames {
		former[zone].proc.Kill()
	}
	var survivors []*entry
	for _, e := range f.entries {
		if e != former[e.zone] {
			survivors = append(survivors, e)
		}
	}
	f.writeMarker(1)
	f.awaitMarker(1, survivors...)
	for _, zone := range zoneNames {
		next := f.awaitOtherHolder(zone, former[zone])
		must.Greater(t, token[zone], f.awaitFencingToken(next))
	}
	f.writeMarker(2)
	f.awaitMarker(2, survivors...)
	f.startEntry(former["north"])
	f.awaitMarker(2, former["north"])
}
