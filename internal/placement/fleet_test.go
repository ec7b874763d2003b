package placement

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetModels = 8
	modelSize   = 20
	tick        = 10 * time.Second
)

// fleet simulates zones that plan independently from stale views of the record
// of home zones. Writes are delayed, lose their reply, or fail.
type fleet struct {
	t       *rapid.T
	now     time.Duration
	planner Planner
	version uint64
	homes   HomeZones
	zones   []*zone
	writes  []homesWrite
	exempt  map[string]bool                                     // by model name: an upstream that held it failed
	bounds  [fleetModels]struct{ minReplicas, maxReplicas int } // replicas in the fleet, by model
}

type zone struct {
	name      string
	owner     uint64
	view      *HomeZonesView
	upstreams []Upstream
	since     time.Duration
}

type homesWrite struct {
	from    *zone
	view    *HomeZonesView // view of the owner that sent the write
	version uint64
	homes   HomeZones
}

func newFleet(t *rapid.T, planner Planner, upstreamMB int64) *fleet {
	f := &fleet{t: t, planner: planner, exempt: map[string]bool{}}
	for i := range 3 {
		z := &zone{name: fmt.Sprint("z", i)}
		for j := range 2 {
			z.upstreams = append(z.upstreams, Upstream{
				Name: fmt.Sprint(z.name, "-", j), MemoryMB: upstreamMB, Live: true,
			})
		}
		f.zones = append(f.zones, z)
		f.restart(z)
	}
	for m := range fleetModels {
		f.exempt[modelName(m)] = true // not checked until it has had a home zone
	}
	return f
}

func modelName(m int) string { return fmt.Sprint("m", m) }

func (f *fleet) draw(n int) int { return rapid.IntRange(0, n-1).Draw(f.t, "n") }

// restart replaces a zone's lease holder; the router no longer drains anything.
func (f *fleet) restart(z *zone) {
	z.owner++
	z.view = NewHomeZonesView(z.name, z.owner)
	for _, up := range z.upstreams {
		for i := range up.Replicas {
			up.Replicas[i].Draining = false
		}
	}
}

func (f *fleet) read(z *zone) { z.view.Update(f.version, f.homes) }

// plan runs the planner on a zone's view and applies the moves.
func (f *fleet) plan(z *zone, demand func(m int) float64, alive func(string) bool) {
	homes, version := z.view.Homes()
	in := Input{Zone: z.name, Upstreams: z.upstreams, LoadBudget: 2}
	for _, other := range f.zones {
		in.AllZones = append(in.AllZones, other.name)
		if other == z || alive(other.name) {
			in.LiveZones = append(in.LiveZones, other.name)
		}
	}
	for m := range fleetModels {
		name := modelName(m)
		d := demand(m)
		in.Models = append(in.Models, Model{
			Name: name, MemoryMB: modelSize, Fast: d, Slow: d, MinReplicas: f.bounds[m].minReplicas, MaxReplicas: f.bounds[m].maxReplicas,
			IsHome: z.view.Designated(name), Lost: homes.isLost(name, z.name),
			HomesElsewhere: homes.CountElsewhere(name, z.name, alive), UnchangedFor: f.now - z.since,
		})
	}
	if !z.view.Claimed() {
		in.Models = nil
		in.Upstreams = nil
	}
	moves := f.planner.Plan(in)
	for _, m := range moves {
		z.apply(m)
	}
	next, changed, err := z.view.Edit(moves, alive)
	if err == nil && changed {
		f.writes = append(f.writes, homesWrite{z, z.view, version, next})
	}
}

func (z *zone) apply(m Move) {
	for u := range z.upstreams {
		up := &z.upstreams[u]
		if up.Name != m.Upstream {
			continue
		}
		var index int
		fmt.Sscanf(m.Model, "m%d", &index)
		i := slices.IndexFunc(up.Replicas, func(r Replica) bool { return r.Model == index })
		switch m.Kind {
		case Load:
			up.Replicas = append(up.Replicas, Replica{Model: index})
			up.CommittedMB += modelSize
		case Drain, Resume:
			up.Replicas[i].Draining = m.Kind == Drain
		case Unload:
			up.Replicas[i].State = Unloading
		}
	}
}

// completeWrite applies one write if its version is still the latest.
func (f *fleet) completeWrite(i int, loseReply bool) {
	w := f.writes[i]
	f.writes = slices.Delete(f.writes, i, i+1)
	if w.version != f.version {
		return
	}
	f.version++
	f.homes = w.homes
	if !loseReply && w.view == w.from.view {
		w.view.Update(f.version, f.homes)
	}
}

// progress completes the loads and unloads of a zone.
func (f *fleet) progress(z *zone) {
	for u := range z.upstreams {
		up := &z.upstreams[u]
		up.Replicas = slices.DeleteFunc(up.Replicas, func(r Replica) bool { return r.State == Unloading })
		up.CommittedMB = int64(len(up.Replicas)) * modelSize
		for i := range up.Replicas {
			up.Replicas[i].State = Ready
			up.Replicas[i].Age += tick
		}
	}
}

// failUpstream replaces an upstream by an empty one.
func (f *fleet) failUpstream(z *zone, u int) {
	for _, r := range z.upstreams[u].Replicas {
		f.exempt[modelName(r.Model)] = true
	}
	z.upstreams[u].Replicas = nil
	z.upstreams[u].CommittedMB = 0
}

// readyZones returns the number of zones where a model is ready and not
// draining.
func (f *fleet) readyZones(m int) int {
	n := 0
	for _, z := range f.zones {
		if z.serves(m) {
			n++
		}
	}
	return n
}

// serves reports whether a model is ready and not draining in the zone.
func (z *zone) serves(m int) bool {
	return slices.ContainsFunc(z.upstreams, func(up Upstream) bool {
		return slices.ContainsFunc(up.Replicas, func(r Replica) bool {
			return r.Model == m && r.State == Ready && !r.Draining
		})
	})
}

// replicas returns the number of a model's replicas in any state.
func (f *fleet) replicas(m int) int {
	n := 0
	for _, z := range f.zones {
		for _, up := range z.upstreams {
			for _, r := range up.Replicas {
				if r.Model == m {
					n++
				}
			}
		}
	}
	return n
}

// check fails if a model that had a home zone is ready in no zone. A model
// exempt because an upstream failed is checked again once every home zone that
// is recorded, or may still become so, serves it.
func (f *fleet) check() {
	for m := range fleetModels {
		name := modelName(m)
		if f.exempt[name] {
			f.exempt[name] = !f.allPossibleHomesServe(m)
			continue
		}
		if f.readyZones(m) == 0 {
			f.t.Fatalf("%s is ready in no zone; homes %v", name, f.homes.Models[name])
		}
	}
}

// allPossibleHomesServe reports whether every recorded home zone serves the
// model, and every home zone that a pending write may still record.
func (f *fleet) allPossibleHomesServe(m int) bool {
	records := []HomeZones{f.homes}
	for _, w := range f.writes {
		if w.version == f.version {
			records = append(records, w.homes)
		}
	}
	for _, homes := range records {
		if !f.allHomesServe(m, homes) {
			return false
		}
	}
	return true
}

// allHomesServe reports whether a record has a home zone of the model that is
// not lost, and all such home zones serve it.
func (f *fleet) allHomesServe(m int, record HomeZones) bool {
	homes := 0
	for _, z := range f.zones {
		if !record.HasHome(modelName(m), z.name) || record.isLost(modelName(m), z.name) {
			continue
		}
		if !z.serves(m) {
			return false
		}
		homes++
	}
	return homes > 0
}
