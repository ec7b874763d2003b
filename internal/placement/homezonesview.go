package placement

// HomeZonesView is what the holder of one zone's placement lease knows of one
// shard. It assumes the worst case for writes whose outcome is unknown: a write
// that designates the zone, conditional on a version, may take effect for as
// long as that version may be the latest one.
//
// A new owner first claims the ledgers of the zone's upstreams, then the
// shards. Until it has claimed both it adds and removes no home zone and
// unloads nothing, so that no write or order of a former owner can undo a
// change.
type HomeZonesView struct {
	zone    string
	owner   uint64
	known   bool
	version uint64
	homes   HomeZones
	// uncertainDesignations holds the models that a write of unknown outcome
	// may designate, and uncertainVersion the version on which that write is
	// conditional.
	uncertainDesignations map[string]bool
	uncertainVersion      uint64
}

// NewHomeZonesView returns an empty view for a zone and the fencing token of its
// owner.
func NewHomeZonesView(zone string, owner uint64) *HomeZonesView {
	return &HomeZonesView{zone: zone, owner: owner, uncertainDesignations: map[string]bool{}}
}

// Update updates the view with a version that was read or that a write
// returned. A version older than the known one is ignored.
func (v *HomeZonesView) Update(version uint64, h HomeZones) {
	if v.known && version < v.version {
		return
	}
	v.known = true
	v.version = version
	v.homes = h
	if version > v.uncertainVersion {
		clear(v.uncertainDesignations)
	}
}

// Homes returns the shard and version of the last update.
func (v *HomeZonesView) Homes() (HomeZones, uint64) { return v.homes, v.version }

// Claimed reports whether the shard names this owner for the zone.
func (v *HomeZonesView) Claimed() bool { return v.known && v.homes.Owners[v.zone] == v.owner }

// Designated reports whether the zone is, or may be, a home zone of a model. It
// returns true until the shard is claimed.
func (v *HomeZonesView) Designated(model string) bool {
	return !v.Claimed() || v.uncertainDesignations[model] || v.homes.HasHome(model, v.zone)
}

// Edit applies this zone's moves to the shard. It returns the result, to be
// written conditionally on the version that Homes returns, and whether there is
// anything to write. While the shard is not claimed, the result is only the
// claim. Moves that would leave a model without a home zone are omitted. It
// fails with ErrSuperseded if a later owner has claimed the zone.
func (v *HomeZonesView) Edit(moves []Move, alive func(zone string) bool) (HomeZones, bool, error) {
	if v.homes.Owners[v.zone] > v.owner {
		return v.homes, false, ErrSuperseded
	}
	if !v.known {
		return v.homes, false, nil
	}
	if !v.Claimed() {
		return v.homes.withOwner(v.zone, v.owner), true, nil
	}
	next, changed := v.homes, false
	for _, m := range moves {
		if after, ok := v.apply(next, m, alive); ok {
			next = after
			changed = true
		}
	}
	return next, changed, nil
}

// apply returns the shard after one move, and whether the move changes it.
func (v *HomeZonesView) apply(h HomeZones, m Move, alive func(zone string) bool) (HomeZones, bool) {
	has, lost := h.HasHome(m.Model, v.zone), h.isLost(m.Model, v.zone)
	switch {
	case m.Kind == Designate && (!has || lost):
		v.uncertainDesignations[m.Model] = true
		v.uncertainVersion = v.version
		return h.Designate(m.Model, v.zone), true
	case m.Kind == MarkLost && has && !lost:
		return h.MarkLost(m.Model, v.zone), true
	case m.Kind == Forget && has:
		return h.RemoveDeleted(m.Model, v.zone), true
	case m.Kind == RemoveHome && has:
		rest, err := h.RemoveHome(m.Model, v.zone, alive)
		return rest, err == nil
	}
	return h, false
}
