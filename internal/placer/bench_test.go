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

// BenchmarkTick measures what a holder does in a second but for calls: four
// ticks, one plan and the reports of 20 instances, at 510 models and 116
// engines and at parts of that.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{4, 20}, {29, 128}, {58, 255}, {116, 510}} {
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			t, doc := benchTerm(size.engines, size.models)
			defer t.end()
			b.ReportAllocs()
			for b.Loop() {
				benchSecond(t, doc)
			}
		})
	}
}

func benchSecond(t *term, doc *config.Service) {
	now := t.d.opts.Now()
	for i := range 20 {
		use := usage{demand: map[string]time.Duration{}, flights: map[flight]int64{}}
		for m := range 20 {
			model := doc.Models[(i*20+m)%len(doc.Models)].Name
			use.demand["lab/"+model] = 10 * time.Millisecond
			use.flights[flight{upstream: "lab/e0", model: model}] = 1
		}
		t.take(now, fmt.Sprint("n", i), use)
	}
	t.plan(now)
	for range 4 {
		t.nextFull = 0
		t.stepUpstreams(now)
	}
}

// benchTerm returns a term of which each engine holds five models.
func benchTerm(engines, models int) (*term, *config.Service) {
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
	d.term, t.greeted, t.homes.read = t, true, true
	for _, s := range t.homes.shards {
		s.view.Take(1, placement.Homes{Owners: map[string]uint64{"north": 1}})
	}
	for i, target := range inventory.Targets(known) {
		t.upstreams[target.Name] = benchUpstream(t, target, doc, i*5)
	}
	return t, doc
}

func benchUpstream(t *term, target inventory.Target, doc *config.Service, first int) *upstream {
	u := newUpstream(t, target, len(doc.Upstreams))
	u.ctx = context.Background()
	report := engine.Report{Boot: "b", Seq: 1}
	for i := range 5 {
		m := doc.Models[(first+i)%len(doc.Models)]
		report.Resident = append(report.Resident, engine.Resident{Model: m.Name, MemoryMB: m.MemoryMB, State: engine.ResidencyReady})
	}
	stored := ledger.Ledger{Owner: 1, MemoryMB: 100, Boot: "b", Resident: report.Resident}
	value, _ := stored.Encode()
	u.c.Step(0, ledger.Tick{})
	u.c.Step(0, ledger.ReadDone{ID: 1, Object: platform.Object{Version: 1, Value: value}})
	u.polled(ledger.PollDone{ID: 1, Report: report})
	return u
}
