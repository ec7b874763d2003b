package storesync

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// restoredFixture is a controller whose store comes back from older copies.
type restoredFixture struct {
	t      *testing.T
	memory *objectstore.Memory
	c      *Controller
}

func newRestoredFixture(t *testing.T, memory *objectstore.Memory, watches bool) (*restoredFixture, func()) {
	c, stop := runInstance(t, memory, watches)
	return &restoredFixture{t, memory, c}, stop
}

// runInstance runs a controller that watches and polls a store, or follows its peers.
func runInstance(t *testing.T, store objectstore.Store, watches bool) (*Controller, func()) {
	began := time.Now()
	c := New(Options{
		Store: store, WatchWait: time.Second, Decoder: Decoder{ConfigName: "main", Config: decodeConfig, Upstream: decodeUpstream},
		Now: func() time.Duration { return time.Since(began) + time.Hour }, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
		Watches: func() bool { return watches }, Polls: func() bool { return watches },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	return c, func() {
		cancel()
		must.NoError(t, <-done)
	}
}

func (f *restoredFixture) put(kind objectstore.Kind, name, value string) {
	obj, err := f.memory.Get(context.Background(), kind, name)
	if err != nil {
		obj = objectstore.Object{Kind: kind, Name: name}
	}
	obj.Value = json.RawMessage(value)
	_, err = f.memory.Put(context.Background(), obj)
	must.NoError(f.t, err)
}

func (f *restoredFixture) version() int64 { return f.c.Config().Version }

// The configuration of an older copy waits for the operator to write the lost one again, and is
// put in force if that does not happen; changes count from the first one on, although their
// revisions are lower than before (review/3).
func TestConfigurationOfAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindConfig, "main", `{"Version":1}`)
		f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
		f, stop := newRestoredFixture(t, memory, true)
		defer stop()
		copied := memory.Copy()
		for version := 2; version < 9; version++ {
			f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d}`, version))
		}
		time.Sleep(time.Second)
		must.Eq(t, 8, f.version())
		for range 3 { // several returns in a row
			memory.Restore(copied)
			time.Sleep(10 * time.Second)
			must.Eq(t, 8, f.version())
		}
		f.put(objectstore.KindConfig, "main", `{"Version":8}`)
		f.put(objectstore.KindConfig, "main", `{"Version":9}`)
		time.Sleep(time.Second)
		must.Eq(t, 9, f.version())
		memory.Restore(copied)
		time.Sleep(restoredConfigGrace + 2*time.Second)
		must.Eq(t, 1, f.version())
	})
}

// An instance that is cut off from the store learns of the era from a peer. A peer that has not
// heard of it and has higher revisions does not win (review/3).
func TestPeerOfALaterEraWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindConfig, "main", `{"Version":1}`)
		f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
		copied := memory.Copy()
		for version := 2; version < 9; version++ {
			f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d}`, version))
		}
		behind, stopBehind := newRestoredFixture(t, memory, false)
		defer stopBehind()
		time.Sleep(time.Second)
		must.Eq(t, 8, behind.version())
		memory.Restore(copied)
		f.put(objectstore.KindConfig, "main", `{"Version":9}`)
		f.put(objectstore.KindUpstream, "b", `{"Slots":1}`)
		ahead, stopAhead := newRestoredFixture(t, memory, true)
		defer stopAhead()
		time.Sleep(time.Second)
		tell := func(from, to *restoredFixture) {
			config, _, _ := to.c.Revisions()
			update, err := from.c.UpdateSince(config, noRoster)
			must.NoError(t, err)
			must.NoError(t, to.c.Apply(update, "peer"))
			revision, raw, err := from.c.RosterChanges(to.c.RosterBase())
			must.NoError(t, err)
			if revision > 0 {
				must.NoError(t, to.c.ApplyRosterChanges(revision, raw, "peer"))
			}
		}
		tell(behind, ahead)
		must.Eq(t, 9, ahead.version())
		must.Len(t, 2, ahead.c.Usable())
		tell(ahead, behind)
		must.Eq(t, 9, behind.version())
		must.Len(t, 2, behind.c.Usable())
	})
}

// noRoster is a revision that no list of upstreams is newer than.
const noRoster = 1<<64 - 1

// Peers of builds without eras compare the revisions of entries as the store gives them.
func TestEntriesTellErasApart(t *testing.T) {
	version, err := objectstore.VersionOf(3, 7)
	must.NoError(t, err)
	raw, err := json.Marshal(toWireEntry(fleet.Upstream{ID: "a", Revision: version}))
	must.NoError(t, err)
	var earlier fleet.Upstream
	must.NoError(t, json.Unmarshal(raw, &earlier))
	must.Eq(t, 7, earlier.Revision)
	var entry wireEntry
	must.NoError(t, json.Unmarshal(raw, &entry))
	back, err := fromWireEntries([]wireEntry{entry})
	must.NoError(t, err)
	must.Eq(t, version, back[0].Revision)
	_, err = fromWireEntries([]wireEntry{{Era: objectstore.MaxEra + 1}})
	must.ErrorIs(t, err, objectstore.ErrVersionOutOfBounds)
}

// newOlderCopy returns an instance that has been there since version from and has version 8 in
// force, and a function that lets its store come back from a copy with version 5.
func newOlderCopy(t *testing.T, from int) (f *restoredFixture, restore func(), stop func()) {
	memory := objectstore.NewMemory(time.Second)
	f = &restoredFixture{t: t, memory: memory}
	f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
	var copied objectstore.Copy
	stop = func() {}
	for version := 1; version <= 8; version++ {
		f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d}`, version))
		if version == from {
			f, stop = newRestoredFixture(t, memory, true)
		}
		time.Sleep(time.Second)
		if version == 5 {
			copied = memory.Copy()
		}
	}
	must.Eq(t, 8, f.version())
	return f, func() { memory.Restore(copied) }, stop
}

// applyBound is the time within which a change is to be in force.
const applyBound = 2 * time.Second

// The operator goes on from the copy, so that the versions fall below the one in force: the
// changes are acknowledged, and requests must not be handled as before them.
func TestChangeThatGoesOnFromAnOlderCopyIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		from  int // version at which the instance started
		after time.Duration
	}{
		{"later", 1, 5 * time.Second},
		{"at once", 1, 0},
		{"before a version is first read again", 1, 50 * time.Millisecond},
		{"at an instance that does not know the copy's version", 8, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, restore, stop := newOlderCopy(t, c.from)
				defer stop()
				follower, stopFollower := newRestoredFixture(t, f.memory, false)
				defer stopFollower()
				time.Sleep(time.Second)
				restore()
				time.Sleep(c.after)
				must.Eq(t, 8, f.version())
				for _, version := range []int64{6, 7} {
					f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d,"MaxBodyBytes":%d}`, version, version))
					time.Sleep(applyBound)
					must.Eq(t, version, f.version())
					update, err := f.c.UpdateSince(0, noRoster)
					must.NoError(t, err)
					must.NoError(t, follower.c.Apply(update, "peer"))
					time.Sleep(rewriteSettleTime + 2*tickPeriod)
					must.Eq(t, version, follower.version())
				}
			})
		})
	}
}

// The operator writes the lost versions again one after the other: an instance that has the
// last of them does not go back to those before.
func TestVersionsThatAreWrittenAgainDoNotReplaceTheLastOfThem(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f, restore, stop := newOlderCopy(t, 1)
			defer stop()
			restore()
			for version := 6; version <= 9; version++ {
				f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d}`, version))
				for range 10 {
					must.GreaterEq(t, 8, f.version())
					time.Sleep(pause / 10)
				}
			}
			time.Sleep(applyBound)
			must.Eq(t, 9, f.version())
		})
	}
}

// An instance that started after the copy was made does not know the copy's version from one
// that was written since; it stays at the one in force.
func TestCopyOfBeforeAnInstanceStartedIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, restore, stop := newOlderCopy(t, 8)
		defer stop()
		restore()
		for range 20 {
			time.Sleep(time.Second)
			must.Eq(t, 8, f.version())
		}
	})
}

// A change that waited was replaced by the version of the copy that a peer had, and was lost until
// the next read of the store.
func TestCopyOfAPeerDoesNotReplaceTheChangeThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
		f.put(objectstore.KindConfig, "main", `{"Version":5}`)
		f, stop := newRestoredFixture(t, memory, false)
		defer stop()
		time.Sleep(time.Second)
		apply := func(era, revision uint64, text, source string) {
			version, err := objectstore.VersionOf(era, revision)
			must.NoError(t, err)
			f.c.applyConfig(objectstore.Object{Kind: objectstore.KindConfig, Name: "main", Version: version, Value: json.RawMessage(text)}, source)
		}
		apply(0, 20, `{"Version":8}`, sourceStore)
		apply(1, 9, `{"Version":6,"MaxBodyBytes":6}`, sourceStore)
		time.Sleep(rewriteSettleTime / 2)
		apply(1, 2, `{"Version":5}`, "peer")
		must.Eq(t, 8, f.version())
		time.Sleep(applyBound)
		must.Eq(t, 6, f.version())
	})
}

// An instance that follows its peers held the copy's version back for another 30 s when they had
// put it in force.
func TestGraceOfAFollowerEndsWithThatOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
		f.put(objectstore.KindConfig, "main", `{"Version":5}`)
		f, stop := newRestoredFixture(t, memory, true)
		defer stop()
		follower, stopFollower := newRestoredFixture(t, memory, false)
		defer stopFollower()
		time.Sleep(time.Second)
		tell := func() {
			time.Sleep(tickPeriod)
			own, _, _ := follower.c.Revisions()
			update, err := f.c.UpdateSince(own, noRoster)
			must.NoError(t, err)
			must.NoError(t, follower.c.Apply(update, "peer"))
		}
		copied := memory.Copy()
		f.put(objectstore.KindConfig, "main", `{"Version":8}`)
		time.Sleep(time.Second)
		tell()
		must.Eq(t, 8, follower.version())
		memory.Restore(copied)
		for f.version() == 8 {
			tell()
		}
		for range applyBound / tickPeriod {
			tell()
		}
		must.Eq(t, 5, follower.version())
	})
}

// The copy falls between versions of which this instance had only the last one: the copy's is
// unknown to it and must not count as a change.
func TestCopyOfASkippedVersionIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := objectstore.NewMemory(time.Second)
		f := &restoredFixture{t: t, memory: memory}
		f.put(objectstore.KindUpstream, "a", `{"Slots":1}`)
		f.put(objectstore.KindConfig, "main", `{"Version":5}`)
		f, stop := newRestoredFixture(t, memory, true)
		defer stop()
		time.Sleep(3 * time.Second)
		var copied objectstore.Copy
		for version := 6; version <= 8; version++ {
			f.put(objectstore.KindConfig, "main", fmt.Sprintf(`{"Version":%d}`, version))
			if version == 7 {
				copied = memory.Copy()
			}
		}
		time.Sleep(3 * time.Second)
		memory.Restore(copied)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, 8, f.version())
		}
	})
}
