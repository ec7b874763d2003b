package assign

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// zoneModel is the truth about zones that the scheduler has to keep to.
type zoneModel struct {
	regionOf  map[string]string
	evacuated map[string]bool
}

// allowed reports whether a request with these lists may be sent to a zone.
func (m *zoneModel) allowed(zone string, lists ...[]string) bool {
	if m.evacuated[zone] {
		return false
	}
	for _, l := range lists {
		region, known := m.regionOf[zone]
		if l != nil && (!known || !slices.Contains(l, region)) {
			return false
		}
	}
	return true
}

var testRegions = []string{"eu", "us", "ap"}

func drawRegions(t *rapid.T, label string) []string {
	if rapid.Bool().Draw(t, label+" is absent") {
		return nil
	}
	out := rapid.SliceOfDistinct(rapid.SampledFrom(testRegions), rapid.ID).Draw(t, label)
	if out == nil {
		out = []string{}
	}
	return out
}

// A request must not reach an upstream outside the regions of its route and organisation, or of
// an evacuated zone, by any way: at once, from the queue, at a handover, or as a relay's. One that
// has no such upstream is rejected at once.
func TestRequestsStayInTheirRegionsAndOutOfEvacuatedZones(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		zones := []string{"za", "zb", "zc", "zd"}
		m := &zoneModel{regionOf: map[string]string{}, evacuated: map[string]bool{}}
		for _, z := range zones[:3] {
			m.regionOf[z] = rapid.SampledFrom(testRegions).Draw(t, "region of "+z)
		}
		s := New(Options{Name: "n", Zone: "za", Seed: 1, Regions: m.regionOf})
		var list []fleet.Upstream
		zoneOf := map[string]string{}
		for i := range rapid.IntRange(1, 6).Draw(t, "upstreams") {
			u := fleet.Upstream{ID: fmt.Sprint("u", i), Service: "app", Address: "a", Slots: 1, StartedAtMS: 1, Zone: rapid.SampledFrom(zones).Draw(t, "zone")}
			list, zoneOf[u.ID] = append(list, u), u.Zone
		}
		s.SetUpstreams(&fleet.Config{Services: map[string]*fleet.Service{"app": {Name: "app"}}}, list)
		lists := map[*Job][2][]string{}
		var placed []*Placement
		now := time.Duration(0)
		record := func(p *Placement, d *Decision) {
			if p == nil {
				return
			}
			l := lists[d.Job]
			if !m.allowed(d.Upstream.Zone, l[0], l[1]) {
				t.Fatalf("%v placed in %s, evacuated %v, regions %v", l, d.Upstream.Zone, m.evacuated, m.regionOf)
			}
			d.Job.TriedUpstreams = append(d.Job.TriedUpstreams, d.Upstream.ID)
			placed = append(placed, p)
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				l := [2][]string{drawRegions(t, "route"), drawRegions(t, "organisation")}
				j := &Job{
					ID: fmt.Sprint(len(lists)), Service: "app", Objective: now + time.Second, FirstEventDeadline: now + 2*time.Second, Deadline: now + 3*time.Second,
					Regions: fleet.AllowedRegions(&fleet.Route{AllowedRegions: l[0]}, &fleet.Organisation{AllowedRegions: l[1]}),
				}
				lists[j] = l
				p, d := s.Submit(now, j)
				record(p, d)
				none := !slices.ContainsFunc(list, func(u fleet.Upstream) bool { return m.allowed(u.Zone, l[0], l[1]) })
				if none && (d == nil || d.Refusal.Reason != fleet.ReasonEvacuated && d.Refusal.Reason != fleet.ReasonRegion) {
					t.Fatalf("%v without an upstream is not rejected at once: %v", l, d)
				}
				if !none && d != nil && (d.Refusal.Reason == fleet.ReasonEvacuated || d.Refusal.Reason == fleet.ReasonRegion) {
					t.Fatalf("%v rejected although an upstream may serve it", l)
				}
			},
			"queue": func(*rapid.T) {
				for _, r := range s.PlaceQueued(now) {
					record(r.Placement, &r.Decision)
				}
			},
			"hand over": func(t *rapid.T) {
				if len(placed) == 0 {
					t.Skip()
				}
				j := placed[rapid.IntRange(0, len(placed)-1).Draw(t, "placement")].job
				l := lists[j]
				eligible := slices.ContainsFunc(list, func(u fleet.Upstream) bool {
					return m.allowed(u.Zone, l[0], l[1]) && !slices.Contains(j.TriedUpstreams, u.ID)
				})
				if s.HasEligible(now, j) != eligible {
					t.Fatalf("%v: HasEligible is not %v", l, eligible)
				}
				record(s.PlaceNow(now, j))
			},
			"send": func(t *rapid.T) {
				if len(placed) == 0 {
					t.Skip()
				}
				p := placed[0]
				l := lists[p.job]
				if s.MaySend(now, p) && !m.allowed(p.upstream.entry.Zone, l[0], l[1]) {
					t.Fatalf("%v sent to %s", l, p.upstream.entry.Zone)
				}
				s.Release(now, p, ResultOK)
				placed = placed[1:]
			},
			"relay": func(t *rapid.T) {
				l := drawRegions(t, "regions")
				u := rapid.SampledFrom(list).Draw(t, "upstream")
				if s.MayRelay(now, u.ID, 1, l) != m.allowed(u.Zone, l) {
					t.Fatalf("relay to %s with %v, evacuated %v", u.Zone, l, m.evacuated)
				}
			},
			"carry": func(t *rapid.T) {
				l, own, carrier := drawRegions(t, "regions"), rapid.SampledFrom(zones).Draw(t, "own"), rapid.SampledFrom(zones).Draw(t, "carrier")
				region, known := m.regionOf[carrier]
				want := l == nil || own == carrier || known && (slices.Contains(l, region) || m.regionOf[own] == region)
				if MayCarry(m.regionOf, l, own, carrier) != want {
					t.Fatalf("from %s to %s with %v: not %v", own, carrier, l, want)
				}
			},
			"evacuate": func(t *rapid.T) {
				m.evacuated = map[string]bool{}
				for _, z := range rapid.SliceOfDistinct(rapid.SampledFrom(zones), rapid.ID).Draw(t, "zones") {
					m.evacuated[z] = true
				}
				s.SetEvacuated(m.evacuated)
			},
			"wait": func(*rapid.T) { now += 10 * time.Millisecond },
		})
	})
}

// Requests that wait for upstreams of a zone must be rejected at once when it is evacuated, all
// of them: three in each tick would leave the others waiting until their deadline.
func TestQueueIsRejectedWhenItsZonesAreEvacuated(t *testing.T) {
	s := New(Options{Name: "n", Zone: "za", Seed: 1})
	s.SetUpstreams(&fleet.Config{Services: map[string]*fleet.Service{"app": {Name: "app"}}}, []fleet.Upstream{{ID: "u", Service: "app", Zone: "za", Slots: 1, StartedAtMS: 1}})
	for i := range 8 {
		s.Submit(0, &Job{ID: fmt.Sprint(i), Service: "app", Objective: time.Second, FirstEventDeadline: 20 * time.Second, Deadline: 30 * time.Second})
	}
	must.Eq(t, 6, s.QueueLength())
	s.SetEvacuated(map[string]bool{"za": true})
	rejected := s.PlaceQueued(time.Millisecond)
	must.SliceLen(t, 6, rejected)
	for _, r := range rejected {
		must.Eq(t, fleet.ReasonEvacuated, r.Decision.Refusal.Reason)
		must.Positive(t, r.Decision.Refusal.RetryAfter)
	}
	must.MapEq(t, map[string]int{"za": 2}, s.RequestsInEvacuated())
}
