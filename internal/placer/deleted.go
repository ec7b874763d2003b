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

// documentsCurrent reports whether the known documents of a service are at
// least as new as a revision of the platform. It returns false if the newest
// version failed validation, because then it is unknown which older version is
// in force in other instances.
func documentsCurrent(known *replica.Snapshot, service string, revision uint64) bool {
	rejected := slices.ContainsFunc(known.Rejected, func(r config.Rejected) bool { return r.Service == service })
	return known.Complete >= revision && !rejected
}

// modelDeleted reports whether the documents prove that a model that a record
// named at a revision has been deleted since.
func modelDeleted(known *replica.Snapshot, service, model string, revision uint64) bool {
	if !documentsCurrent(known, service, revision) {
		return false
	}
	doc := known.Services[service]
	if doc == nil {
		return known.Versions[service] > 0 // version of the tombstone
	}
	_, named := doc.Model(model)
	return !named
}

// modelDeleted reports whether a model was deleted since the record of its
// homes was last written.
func (t *term) modelDeleted(known *replica.Snapshot, service, model string) bool {
	s := t.homes.shardOf(service + "/" + model)
	if !t.homes.loaded || !s.view.Claimed() {
		return false
	}
	_, version := s.view.Homes()
	return modelDeleted(known, service, model, version)
}

// deletedModelMoves returns the moves that remove this zone's entries for
// deleted models from the record.
func (h *homes) deletedModelMoves(known *replica.Snapshot) []placement.Move {
	var moves []placement.Move
	for _, name := range slices.Sorted(maps.Keys(h.shards)) {
		record, _ := h.shards[name].view.Homes()
		for _, scoped := range slices.Sorted(maps.Keys(record.Models)) {
			service, model, _ := strings.Cut(scoped, "/")
			if record.Has(scoped, h.t.d.opts.Self.Zone) && h.t.modelDeleted(known, service, model) {
				moves = append(moves, placement.Move{Kind: placement.Forget, Model: scoped, Reason: "deleted"})
				delete(h.t.models, scoped)
			}
		}
	}
	return moves
}

// removeDeletedModels drains and unloads models that were deleted from a
// document, and unloads deleted adapters that are not in use.
func (t *term) removeDeletedModels(now time.Duration, doc *config.Service, known *replica.Snapshot) {
	for _, u := range t.sortedUpstreams() {
		if u.service != doc.Service || u.retired {
			continue
		}
		for _, k := range u.wantedModels() {
			if t.modelDeleted(known, doc.Service, k.Model) {
				t.drainAndUnload(now, u, k.Model)
			}
		}
		t.removeDeletedAdapters(now, u, doc)
	}
}

// removeDeletedAdapters unloads adapters that were deleted from a document and
// have no request in flight.
func (t *term) removeDeletedAdapters(now time.Duration, u *upstream, doc *config.Service) {
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

// drainAndUnload drains a model that an upstream should no longer hold, and
// unloads it with its adapters once no request is in flight.
func (t *term) drainAndUnload(now time.Duration, u *upstream, model string) {
	since, draining := u.draining[model]
	switch {
	case !u.hasReady(model):
		u.removeWanted(model)
	case !draining:
		u.draining[model] = now
	case now-since >= drainPropagationTime && t.inFlight(now, u.target.Name, model, "") == 0:
		u.removeWanted(model)
		t.d.opts.Count(CountUnloads)
		t.d.opts.Log.Info("model drained and unloaded", "model", u.service+"/"+model, "upstream", u.target.Name)
	}
}
