package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Sets that arrive late, twice or in another order must lead to the set of the highest
// revision: a late copy would otherwise end an evacuation.
func TestHighestRevisionWinsInAnyOrder(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		var history []Snapshot
		for r := range rapid.IntRange(1, 8).Draw(t, "revisions") {
			history = append(history, Snapshot{Revision: uint64(10 + 3*r), Zones: rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID).Draw(t, "zones")})
		}
		var s Set
		highest := Snapshot{}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			in := rapid.SampledFrom(history).Draw(t, "message")
			before := s.Snapshot()
			change := s.Merge(0, in)
			if in.Revision >= highest.Revision {
				highest = in
			}
			got := s.Snapshot()
			want := slices.Sorted(slices.Values(highest.Zones))
			if got.Revision != highest.Revision || !slices.Equal(got.Zones, want) {
				t.Fatalf("after %v: %v, want %v", in, got, highest)
			}
			if change.IsEmpty() != slices.Equal(before.Zones, got.Zones) {
				t.Fatalf("from %v to %v: change %v", before, got, change)
			}
		}
	})
}

// Two reads of one revision that differ must not end an evacuation.
func TestSetsOfOneRevisionAreUnited(t *testing.T) {
	var s Set
	must.False(t, s.Known())
	s.Merge(0, Snapshot{Revision: 4, Zones: []string{"b"}})
	change := s.Merge(0, Snapshot{Revision: 4, Zones: []string{"a"}})
	must.Eq(t, Change{Began: []string{"a"}, Ended: []string{}}, change)
	must.Eq(t, Snapshot{Revision: 4, Zones: []string{"a", "b"}}, s.Snapshot())
}

// Names that other writers leave in the store must not crowd out a zone.
func TestKnownZonesAreKeptAmongManyNames(t *testing.T) {
	names := []string{"", strings.Repeat("x", MaxNameBytes+1), "zone"}
	for i := range 2 * MaxZones {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	kept, skipped := Limit(names, func(z string) bool { return z == "zone" })
	must.SliceContains(t, kept, "zone")
	must.SliceLen(t, MaxZones, kept)
	must.SliceLen(t, len(names)-MaxZones, skipped)
}

// An older copy of the store may lack an evacuation, which the operator writes again (review/3).
func TestEvacuationOutlastsAnOlderCopy(t *testing.T) {
	var s Set
	s.Merge(0, Snapshot{Revision: 100, Zones: []string{"z"}})
	era := func(revision uint64) uint64 {
		version, err := objectstore.VersionOf(1, revision)
		must.NoError(t, err)
		return version
	}
	must.True(t, s.Known())
	change := s.Merge(time.Second, Snapshot{Revision: era(5)})
	must.True(t, change.IsEmpty())
	change = s.Merge(2*time.Second, Snapshot{Revision: 200}) // of a peer in the earlier era
	must.True(t, change.IsEmpty())
	change = s.Merge(RestoredGrace+time.Second, Snapshot{Revision: era(6)})
	must.Eq(t, []string{"z"}, change.Ended)
}
