package placement

// minReplicaValue is the value of a replica within a model's minimum, in
// accelerators. It exceeds any demand, but is below homeValue.
const minReplicaValue = 1e3

// zoneQuota returns this zone's share of n replicas divided evenly among zones.
// The remainder goes to the zones that rank first by rendezvous hashing, so the
// quotas of zones that see the same set of zones add up to n.
func (p *plan) zoneQuota(model string, n int, zones []string) int {
	if len(zones) == 0 {
		return n
	}
	quota := n / len(zones)
	if p.rankAmong(model, zones) < n%len(zones) {
		quota++
	}
	return quota
}

// homesWanted returns the target number of home zones of a model.
func (p *plan) homesWanted(m int) int {
	model := p.in.Models[m]
	wanted := max(p.opt.TargetHomeZones, model.MinReplicas)
	if model.MaxReplicas > 0 {
		wanted = min(wanted, model.MaxReplicas)
	}
	return wanted
}

// minReplicas returns how many replicas this zone has to hold for a model's
// minimum: one while too few other zones are home zones, and its quota if the
// minimum exceeds the number of zones.
func (p *plan) minReplicas(m int) int {
	model := p.in.Models[m]
	if model.MinReplicas > len(p.in.LiveZones) {
		return max(1, p.zoneQuota(model.Name, model.MinReplicas, p.in.LiveZones))
	}
	if model.HomesElsewhere < max(model.MinReplicas, 1) {
		return 1
	}
	return 0
}

// atMaximum reports whether one more replica in this zone might exceed a
// model's maximum. The zones' quotas depend only on the configuration document,
// so they never add up to more than the maximum, whichever zones are seen as
// live. A model without a replica here or a home zone elsewhere is loaded
// regardless: a zone whose quota is zero may substitute for a home zone, and
// its replica counts towards the maximum while it does.
func (p *plan) atMaximum(m int) bool {
	model := p.in.Models[m]
	if model.MaxReplicas == 0 || p.replicaCount[m] == 0 && model.HomesElsewhere == 0 {
		return false
	}
	return p.replicaCount[m] >= p.maxReplicas(m) || p.replicaCount[m]+model.HomesElsewhere >= model.MaxReplicas
}

// maxReplicas returns this zone's quota of a model's maximum.
func (p *plan) maxReplicas(m int) int {
	zones := p.in.AllZones
	if len(zones) == 0 {
		zones = p.in.LiveZones
	}
	return p.zoneQuota(p.in.Models[m].Name, p.in.Models[m].MaxReplicas, zones)
}

// removeExcess starts the removal of replicas above a model's maximum: after
// the configuration document lowered it, or once the home zone for which this
// zone substituted is back.
func (p *plan) removeExcess() {
	for m, model := range p.in.Models {
		if model.MaxReplicas == 0 {
			continue
		}
		isSubstitute := len(p.upstreamsOf[m]) == 1 && 1+model.HomesElsewhere <= model.MaxReplicas
		for excess := len(p.upstreamsOf[m]) - p.maxReplicas(m); !isSubstitute && excess > 0 && p.evictionBudget > 0; excess-- {
			id, ok := p.mostLoadedReplica(m)
			if !ok {
				break
			}
			p.evictionBudget--
			p.remove(placementRequest{model: m, reason: "above max_replicas"}, id)
		}
	}
}

// mostLoadedReplica returns the removable replica of a model on the upstream
// with the highest load, so that its removal relieves that upstream, and
// whether there is one.
func (p *plan) mostLoadedReplica(m int) (replicaID, bool) {
	best, found := replicaID{}, false
	if p.removal(m) == removalForbidden {
		return best, false
	}
	for u, up := range p.in.Upstreams {
		for i, r := range up.Replicas {
			id := replicaID{u, i}
			if r.Model != m || !up.Live || r.State != Ready || r.Draining || p.victims[id] {
				continue
			}
			if !found || p.load[u] > p.load[best.upstream] {
				best, found = id, true
			}
		}
	}
	return best, found
}

// loadMinimums loads the replicas that this zone has to hold for the minimums
// of models. The first replica waits for the zone's start delay, because other
// zones may rank before it.
func (p *plan) loadMinimums() {
	belowMinimum := p.modelsByKey(func(m int) (float64, bool) {
		model := p.in.Models[m]
		if model.MinReplicas <= 1 || p.awaitingMemory[m] || len(p.upstreamsOf[m]) >= p.minReplicas(m) {
			return 0, false
		}
		return p.demand(m), len(p.upstreamsOf[m]) > 0 || model.IsHome || model.UnchangedFor >= p.startDelay(m)
	})
	for _, m := range belowMinimum {
		for range p.minReplicas(m) - len(p.upstreamsOf[m]) {
			if p.budgetExhausted() || !p.place(placementRequest{model: m, evict: true, value: minReplicaValue, reason: "min_replicas"}) {
				break
			}
		}
	}
}
