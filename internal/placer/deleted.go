package placer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
	"github.com/eelgrassbay/eelgrassbay/internal/replica"
)

// current says whether what is known of a service is at least as new as a
// revision of the platform. A newest version that failed its check leaves it
// open which older one is in force elsewhere.
func current(known *replica.Snapshot, service string, revision uint64) bool {
	rejected := slices.ContainsFunc(known.Rejected, func(r config.Rejected) bool { return r.Service == service })
	return known.Complete >= revision && !rejected
}

// deleted says whether the documents prove that a model was deleted, which a
// record named at a revision.
func deleted(known *replica.Snapshot, service, model string, revision uint64) bool {
	if !current(known, service, revision) {
		return false
	}
	doc := known.Services[service]
	if doc == nil {
		return known.Versions[service] > 0 // the tombstone's
	}
	_, named := doc.Model(model)
	return !named
}

// deleted says whether a model was deleted since the record of its homes was
// last written.
func (t *term) deleted(known *replica.Snapshot, service, model string) bool {
	s := t.homes.of(service + "/" + model)
	if !t.homes.read || !s.view.Claimed() {
		return false
	}
	_, version := s.view.Homes()
	return deleted(known, service, model, version)
}

// deleted returns the moves that take deleted models out of the record.
func (h *homes) deleted(known *replica.Snapshot) []placement.Move {
	var moves []placement.Move
	for _, name := range slices.Sorted(maps.Keys(h.shards)) {
		record, _ := h.shards[name].view.Homes()
		for _, scoped := range slices.Sorted(maps.Keys(record.Models)) {
			service, model, _ := strings.Cut(scoped, "/")
			if record.Has(scoped, h.t.d.opts.Self.Zone) && h.t.deleted(known, service, model) {
				moves = append(moves, placement.Move{Kind: placement.Forget, Model: scoped, Reason: "deleted"})
				delete(h.t.models, scoped)
			}
		}
	}
	return moves
}

// forgetModels lets go of models that were deleted from a document, and of
// adapters in no use.
func (t *term) forgetModels(now time.Duration, doc *config.Service, known *replica.Snapshot) {
	for _, u := range t.sorted() {
		if u.service != doc.Service || u.retired {
			continue
		}
		for _, k := range u.wantedModels() {
			if t.deleted(known, doc.Service, k.Model) {
				t.letGo(now, u, k.Model)
			}
		}
		t.forgetDeletedAdapters(now, u, doc)
	}
}

func (t *term) forgetDeletedAdapters(now time.Duration, u *upstream, doc *config.Service) {
	before := len(u.want)
	maps.DeleteFunc(u.want, func(k ledger.Key, _ *wanted) bool {
		m, ok := doc.Model(k.Model)
		if !ok || k.Adapter == "" {
			return false
		}
		_, ok = m.Adapter(k.Adapter)
		return !ok && t.inFlight(now, u.target.Name, k.Model, k.Adapter) == 0
	})
	if len(u.want) != before {
		u.sendWanted()
	}
}

// letGo drains a model that an upstream shall not hold any more, and unloads
// it with its adapters once nothing is in flight.
func (t *term) letGo(now time.Duration, u *upstream, model string) {
	since, draining := u.draining[model]
	switch {
	case !u.ready(model):
		u.unwant(model)
	case !draining:
		u.draining[model] = now
	case now-since >= drainGrace && t.inFlight(now, u.target.Name, model, "") == 0:
		u.unwant(model)
		t.d.opts.Count(CountUnloads)
		t.d.opts.Log.Info("model let go", "model", u.service+"/"+model, "upstream", u.target.Name)
	}
}
