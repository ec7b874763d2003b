package limit

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/heaptest"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// permanentLease is a zone lease that is always held.
type permanentLease struct{}

func (permanentLease) Held(time.Duration) (uint64, bool) { return 1, true }

// BenchmarkZoneRequest measures how a zone leader serves the share requests of its
// instances, with an object store that replies without delay.
func BenchmarkZoneRequest(b *testing.B) {
	for _, n := range []struct{ instances, orgs int }{{3, 5}, {9, 50}, {21, 200}} {
		b.Run(fmt.Sprintf("instances=%d/orgs=%d", n.instances, n.orgs), func(b *testing.B) { benchmarkZone(b, n.instances, n.orgs) })
	}
}

func benchmarkZone(b *testing.B, instances, orgs int) {
	limits := Limits{Version: 1, Orgs: map[string]Limit{}}
	for i := range orgs {
		limits.Orgs[fmt.Sprintf("service-%d/organisation-%d", i%40, i)] = Limit{Rate: 10_000, Burst: 60_000}
	}
	z := NewZoneLeader(Options{}, "z", permanentLease{})
	stored := map[string]objectstore.Object{}
	members := make(map[string]*InstanceLimiter, instances)
	version, writes, requestBytes, grantBytes := uint64(0), 0, 0, 0
	var step func(now time.Duration, m Message)
	step = func(now time.Duration, m Message) {
		for _, a := range z.Step(now, m) {
			switch a := a.(type) {
			case Get:
				obj := stored[a.Name]
				obj.Kind, obj.Name = objectstore.KindShare, a.Name
				step(now, Read{Object: obj})
			case Put:
				version++
				writes++
				obj := objectstore.Object{Kind: objectstore.KindShare, Name: a.Name, Version: version, Value: a.Value}
				stored[a.Name] = obj
				step(now, Written{Object: obj})
			case SendGrant:
				grantBytes = jsonBytes(b, a.Grant)
				members[a.Instance].Step(now, a.Grant)
			}
		}
	}
	now := time.Second
	step(now, limits)
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprint("i", i)
		members[names[i]] = NewInstanceLimiter(Options{}, names[i], fmt.Sprint("run", i))
		members[names[i]].Step(now, limits)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		now += time.Second / time.Duration(instances)
		for _, a := range members[names[i%instances]].Step(now, Tick{}) {
			if r, ok := a.(SendShareRequest); ok {
				requestBytes = jsonBytes(b, r.Request)
				step(now, r.Request)
			}
		}
	}
	if z.Err() != nil {
		b.Fatal(z.Err())
	}
	b.ReportMetric(float64(writes)/now.Seconds(), "writes/s")
	b.ReportMetric(float64(requestBytes), "request-JSON-B")
	b.ReportMetric(float64(grantBytes), "grant-JSON-B")
}

func jsonBytes(b *testing.B, v any) int {
	raw, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

// BenchmarkLimitHeap measures the heap that one instance uses for its limits.
func BenchmarkLimitHeap(b *testing.B) {
	for _, orgs := range []int{5, 50, 200} {
		b.Run(fmt.Sprintf("orgs=%d", orgs), func(b *testing.B) {
			heaptest.Report(b, func() *InstanceLimiter {
				limits := Limits{Version: 1, Orgs: map[string]Limit{}}
				for i := range orgs {
					limits.Orgs[fmt.Sprintf("service-%d/organisation-%d", i%40, i)] = Limit{Rate: 10_000, Burst: 60_000}
				}
				in := NewInstanceLimiter(Options{}, "i", "run")
				in.Step(0, limits)
				return in
			})
		})
	}
}
