package evaluate

import (
	"slices"
	"time"
)

// Fleet is what a Planner sees.
type Fleet struct {
	// Homes are the models of each server, those being loaded included.
	Homes [][]int
	// Used is when each server last ran each model.
	Used [][]time.Duration
	// Demand is the number of tokens asked of each model since the last Plan.
	Demand []float64
}

// Move loads one model in a server in place of another, or of none (-1).
type Move struct {
	Server, Load, Unload int
}

// Planner decides which server holds which model.
type Planner interface {
	// Wanted is called for a request whose model has no home or whose homes
	// are all saturated.
	Wanted(now time.Duration, f *Fleet, model int) []Move
	// Plan is called every planInterval.
	Plan(now time.Duration, f *Fleet) []Move
}

const planInterval = 10 * time.Second

// staticHomes deals the models out to the servers in turn.
func staticHomes(w *Workload) [][]int {
	homes := make([][]int, w.Servers)
	for slot := range w.Servers * w.ModelsPerServer {
		server := slot % w.Servers
		homes[server] = append(homes[server], slot%w.Models)
	}
	return homes
}

// staticPlanner never moves a model.
type staticPlanner struct{}

// Wanted implements Planner.
func (staticPlanner) Wanted(time.Duration, *Fleet, int) []Move { return nil }

// Plan implements Planner.
func (staticPlanner) Plan(time.Duration, *Fleet) []Move { return nil }

// lruPlanner loads a model on demand in place of the one least recently used.
type lruPlanner struct {
	last map[int]time.Duration // when each model was last loaded
}

const lruCooldown = 10 * time.Second

// Wanted implements Planner.
func (p *lruPlanner) Wanted(now time.Duration, f *Fleet, model int) []Move {
	if at, ok := p.last[model]; ok && now-at < lruCooldown {
		return nil
	}
	server, victim, oldest := -1, -1, now
	for s, homes := range f.Homes {
		if slices.Contains(homes, model) {
			continue
		}
		for _, m := range homes {
			if f.Used[s][m] < oldest {
				server, victim, oldest = s, m, f.Used[s][m]
			}
		}
	}
	if server < 0 {
		return nil
	}
	p.last[model] = now
	return []Move{{Server: server, Load: model, Unload: victim}}
}

// Plan implements Planner.
func (p *lruPlanner) Plan(time.Duration, *Fleet) []Move { return nil }

func newLRUPlanner() *lruPlanner { return &lruPlanner{last: map[int]time.Duration{}} }
