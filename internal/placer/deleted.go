package placer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/docsync"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placement/ledger"
)

// documentsCurrent reports whether the known documents of a service are at
// least as new as a revision of the platform. It returns false if the newest
// version failed validation, because then it is unknown which older version is
// in force in other instances.
func documentsCurrent(known *docsync.Snapshot, service string, revision uint64) bool {
	rejected := slices.ContainsFunc(known.Rejected, func(r config.Rejected) bool { return r.Service == service })
	return known.CompleteRevision >= revision && !rejected
}

// modelDeleted reports whether a model that existed at a revision of the platform
// has been deleted since. It returns false if the known documents do not show
// that (see documentsCurrent).
func modelDeleted(known *docsync.Snapshot, service, model string, revision uint64) bool {
	if !documentsCurrent(known, service, revision) {
		return false
	}
	doc := known.Services[service]
	if doc == nil {
		return known.Versions[service] > 0 // version of the tombstone
	}
	_, exists := doc.Model(model)
	return !exists
}

// modelDeleted reports whether a model was deleted since its shard of the record
// of home zones was last written.
func (l *leadership) modelDeleted(known *docsync.Snapshot, service, model string) bool {
	s := l.homes.shardOf(service + "/" + model)
	if !l.homes.loaded || !s.view.Claimed() {
		return false
	}
	_, version := s.view.Homes()
	return modelDeleted(known, service, model, version)
}

// deletedModelMoves returns the moves that remove this zone's entries for
// deleted models from the record of home zones.
func (h *homes) deletedModelMoves(known *docsync.Snapshot) []placement.Move {
	var moves []placement.Move
	for _, name := range slices.Sorted(maps.Keys(h.shards)) {
		record, _ := h.shards[name].view.Homes()
		for _, scoped := range slices.Sorted(maps.Keys(record.Models)) {
			service, model, _ := strings.Cut(scoped, "/")
			if record.HasHome(scoped, h.leadership.controller.opts.Self.Zone) && h.leadership.modelDeleted(known, service, model) {
				moves = append(moves, placement.Move{Kind: placement.Forget, Model: scoped, Reason: "deleted"})
				delete(h.leadership.models, scoped)
			}
		}
	}
	return moves
}

// removeDeletedModels drains and unloads models that were deleted from a
// document, and unloads deleted adapters that are not in use.
func (l *leadership) removeDeletedModels(now time.Duration, doc *config.Service, known *docsync.Snapshot) {
	for _, u := range l.sortedUpstreams() {
		if u.service != doc.Service || u.retired {
			continue
		}
		for _, k := range u.wantedModels() {
			if l.modelDeleted(known, doc.Service, k.Model) {
				l.drainAndUnload(now, u, k.Model)
			}
		}
		l.removeDeletedAdapters(now, u, doc)
	}
}

// removeDeletedAdapters unloads adapters that were deleted from a document and
// have no request in flight.
func (l *leadership) removeDeletedAdapters(now time.Duration, u *upstream, doc *config.Service) {
	before := len(u.want)
	maps.DeleteFunc(u.want, func(k ledger.Key, _ *wanted) bool {
		m, ok := doc.Model(k.Model)
		if !ok || k.Adapter == "" {
			return false
		}
		_, ok = m.Adapter(k.Adapter)
		return !ok && l.inFlight(now, u.target.Name, k.Model, k.Adapter) == 0
	})
	if len(u.want) != before {
		u.sendWanted()
	}
}

// drainAndUnload drains a model that an upstream should no longer hold, and
// unloads it with its adapters once no request is in flight.
func (l *leadership) drainAndUnload(now time.Duration, u *upstream, model string) {
	since, draining := u.draining[model]
	switch {
	case !u.hasReady(model):
		u.removeWanted(model)
	case !draining:
		u.draining[model] = now
	case now-since >= drainPropagationTime && l.inFlight(now, u.target.Name, model, "") == 0:
		u.removeWanted(model)
		l.controller.opts.IncrementCounter(CounterUnloads)
		l.controller.opts.Log.Info("model drained and unloaded", "model", u.service+"/"+model, "upstream", u.target.Name)
	}
}
