package placement

// HomesView is what one zone's duty holder knows of one shard. It keeps the
// worst case across writes whose outcome is unknown: a write that designates
// the zone, conditional on a version, may land for as long as that version
// may be the latest one.
//
// The order of a takeover: claim the ledgers of the zone's upstreams, then
// the shards. Before both, nothing is designated, retired or unloaded, so
// that no write or order of a former owner can still undo it.
type HomesView struct {
	zone    string
	owner   uint64
	known   bool
	version uint64
	homes   Homes
	// designating holds the models that a write in doubt may designate, and
	// doubt the version on which it is conditional.
	designating map[string]bool
	doubt       uint64
}

// NewHomesView returns a view that knows nothing, for the owner of a zone.
func NewHomesView(zone string, owner uint64) *HomesView {
	return &HomesView{zone: zone, owner: owner, designating: map[string]bool{}}
}

// Take counts a version that was read, or that a write returned. An older
// version than the one known changes nothing.
func (v *HomesView) Take(version uint64, h Homes) {
	if v.known && version < v.version {
		return
	}
	v.known = true
	v.version = version
	v.homes = h
	if version > v.doubt {
		clear(v.designating)
	}
}

// Homes returns the shard and the version that was last taken.
func (v *HomesView) Homes() (Homes, uint64) { return v.homes, v.version }

// Claimed says whether the shard names this owner for the zone.
func (v *HomesView) Claimed() bool { return v.known && v.homes.Owners[v.zone] == v.owner }

// Designated says whether the zone is, or may be, a home of a model. It is
// true while nothing is known.
func (v *HomesView) Designated(model string) bool {
	return !v.Claimed() || v.designating[model] || v.homes.Has(model, v.zone)
}

// Edit returns the shard that a set of moves of this zone leads to, to be
// written on the version of Homes, and whether there is anything to write.
// Moves that would leave a model without a home are left out. It fails with
// ErrSuperseded.
func (v *HomesView) Edit(moves []Move, alive func(zone string) bool) (Homes, bool, error) {
	if v.homes.Owners[v.zone] > v.owner {
		return v.homes, false, ErrSuperseded
	}
	if !v.known {
		return v.homes, false, nil
	}
	if !v.Claimed() {
		return v.homes.own(v.zone, v.owner), true, nil
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

// apply returns the shard after one move, and whether that changes it.
func (v *HomesView) apply(h Homes, m Move, alive func(zone string) bool) (Homes, bool) {
	has, lost := h.Has(m.Model, v.zone), h.lost(m.Model, v.zone)
	switch {
	case m.Kind == Designate && (!has || lost):
		v.designating[m.Model] = true
		v.doubt = v.version
		return h.Designate(m.Model, v.zone), true
	case m.Kind == MarkLost && has && !lost:
		return h.MarkLost(m.Model, v.zone), true
	case m.Kind == Forget && has:
		return h.Forget(m.Model, v.zone), true
	case m.Kind == Retire && has:
		rest, err := h.Retire(m.Model, v.zone, alive)
		return rest, err == nil
	}
	return h, false
}
