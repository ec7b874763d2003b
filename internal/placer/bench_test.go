package placer

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// BenchmarkTick measures the work of a lease holder in one second, without its
// calls: four ticks, one planning round and the reports of 20 instances, with
// 510 models on 116 engines and with fractions of that.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{4, 20}, {29, 128}, {58, 255}, {116, 510}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			t, doc := newBenchTerm(size.engines, size.models)
			defer t.end()
			b.ReportAllocs()
			for b.Loop() {
				runSecond(t, doc)
			}
		})
	}
}

func runSecond(t *term, doc *config.Service) {
	now := t.d.opts.Now()
	for i := range 20 {
		use := usageReport{demand: map[string]time.Duration{}, flights: map[flightKey]int64{}}
		for m := range 20 {
			model := doc.Models[(i*20+m)%len(doc.Models)].Name
			use.demand["lab/"+model] = 10 * time.Millisecond
			use.flights[flightKey{upstream: "lab/e0", model: model}] = 1
		}
		t.recordUsage(now, fmt.Sprint("n", i), use)
	}
	t.plan(now)
	for range 4 {
		t.nextFullStep = 0
		t.stepUpstreams(now)
	}
}

// newBenchTerm returns a term in which each engine holds five models.
func newBenchTerm(engines, models int) (*term, *config.Service) {
	zones := make([]string, engines)
	for i := range zones {
		zones[i] = "north"
	}
	doc := document(models, zones...)
	for i := range doc.Models {
		doc.Models[i].MemoryMB = 18
	}
	known := &replica.Snapshot{Services: map[string]*config.Service{"lab": doc}}
	began := time.Now()
	d := New(Options{
		Self: platform.Instance{Zone: "north"}, Known: func() *replica.Snapshot { return known },
		Held: func() (uint64, bool) { return 1, true }, DrainsChanged: func([]string) {}, Count: func(string) {},
		Store: platform.NewMemory(time.Hour), Planner: placement.Demand{Options: placement.DefaultDemandOptions()},
		Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler),
	})
	t := newTerm(context.Background(), d, 1)
	t.cancel() // no calls
	d.term, t.zonesContacted, t.homes.loaded = t, true, true
	for _, s := range t.homes.shards {
		s.view.Take(1, placement.Homes{Owners: map[string]uint64{"north": 1}})
	}
	for i, target := range inventory.Targets(known) {
		t.upstreams[target.Name] = newBenchUpstream(t, target, doc, i*5)
	}
	return t, doc
}

func newBenchUpstream(t *term, target inventory.Target, doc *config.Service, first int) *upstream {
	u := newUpstream(t, target, len(doc.Upstreams))
	u.ctx = context.Background()
	report := engine.Report{Boot: "b", Seq: 1}
	for i := range 5 {
		m := doc.Models[(first+i)%len(doc.Models)]
		report.Resident = append(report.Resident, engine.Resident{Model: m.Name, MemoryMB: m.MemoryMB, State: engine.ResidencyReady})
	}
	stored := ledger.Ledger{Owner: 1, MemoryMB: 100, Boot: "b", Resident: report.Resident}
	value, _ := stored.Encode()
	u.controller.Step(0, ledger.Tick{})
	u.controller.Step(0, ledger.ReadDone{ID: 1, Object: platform.Object{Version: 1, Value: value}})
	u.handleReport(ledger.PollDone{ID: 1, Report: report})
	return u
}
