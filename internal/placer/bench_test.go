package placer

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// BenchmarkTick measures the work of a zone leader in one second, without its
// calls: four ticks, one planning round and the reports of 20 instances, with
// 510 models on 116 engines and with fractions of that.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{4, 20}, {29, 128}, {58, 255}, {116, 510}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			t, doc := newBenchLeadership(size.engines, size.models)
			defer t.end()
			b.ReportAllocs()
			for b.Loop() {
				runSecond(t, doc)
			}
		})
	}
}

func runSecond(l *leadership, doc *config.Service) {
	now := l.controller.opts.Now()
	for i := range 20 {
		usage := usageReport{demand: map[string]time.Duration{}, inFlight: map[inFlightKey]int64{}}
		for m := range 20 {
			model := doc.Models[(i*20+m)%len(doc.Models)].Name
			usage.demand["lab/"+model] = 10 * time.Millisecond
			usage.inFlight[inFlightKey{upstream: "lab/e0", model: model}] = 1
		}
		l.recordUsage(now, fmt.Sprint("n", i), usage)
	}
	l.plan(now)
	for range 4 {
		l.nextFullStep = 0
		l.stepUpstreams(now)
	}
}

// newBenchLeadership returns a leadership in which each engine holds five models.
func newBenchLeadership(engines, models int) (*leadership, *config.Service) {
	zones := make([]string, engines)
	for i := range zones {
		zones[i] = "north"
	}
	doc := document(models, zones...)
	for i := range doc.Models {
		doc.Models[i].MemoryMB = 18
	}
	known := &docsync.Snapshot{Services: map[string]*config.Service{"lab": doc}}
	began := time.Now()
	c := New(Options{
		Self: objectstore.Instance{Zone: "north"}, Snapshot: func() *docsync.Snapshot { return known },
		LeaseHeld: func() (uint64, bool) { return 1, true }, OnDrainsChanged: func([]string) {}, IncrementCounter: func(string) {},
		Store: objectstore.NewMemory(time.Hour), Planner: placement.Demand{Options: placement.DefaultDemandOptions()},
		Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler),
	})
	l := newLeadership(context.Background(), c, 1)
	l.cancel() // no calls
	c.leadership, l.zonesContacted, l.homes.loaded = l, true, true
	for _, s := range l.homes.shards {
		s.view.Update(1, placement.HomeZones{Owners: map[string]uint64{"north": 1}})
	}
	for i, target := range inventory.Targets(known) {
		l.upstreams[target.Name] = newBenchUpstream(l, target, doc, i*5)
	}
	return l, doc
}

func newBenchUpstream(l *leadership, target inventory.Target, doc *config.Service, first int) *upstream {
	u := newUpstream(l, target, len(doc.Upstreams))
	u.ctx = context.Background()
	report := engine.Report{Boot: "b", Seq: 1}
	for i := range 5 {
		m := doc.Models[(first+i)%len(doc.Models)]
		report.Resident = append(report.Resident, engine.Resident{Model: m.Name, MemoryMB: m.MemoryMB, State: engine.ResidencyReady})
	}
	stored := ledger.Ledger{Owner: 1, MemoryMB: 100, Boot: "b", Resident: report.Resident}
	value, _ := stored.Encode()
	u.controller.Step(0, ledger.Tick{})
	u.controller.Step(0, ledger.ReadDone{ID: 1, Object: objectstore.Object{Version: 1, Value: value}})
	u.handleReport(ledger.PollDone{ID: 1, Report: report})
	return u
}
