package placer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
)

// homeShards is the number of objects that the record of home zones is split
// into.
const homeShards = 4

// homes is the zone leader's view of the record of home zones, which lists the
// zones that must keep a ready replica of each model.
type homes struct {
	leadership *leadership
	shards     map[string]*shard
	loaded     bool // the whole record was read at least once
}

// shard is one object of the record. At most one write to it is in flight.
type shard struct {
	name    string
	view    *placement.HomeZonesView
	writing bool
}

func newHomes(l *leadership) *homes {
	h := &homes{leadership: l, shards: map[string]*shard{}}
	for i := range homeShards {
		name := fmt.Sprintf("homes-%02d", i)
		h.shards[name] = &shard{name: name, view: placement.NewHomeZonesView(l.controller.opts.Self.Zone, l.fence)}
	}
	return h
}

// shardOf returns the shard that holds a model, named service/model.
func (h *homes) shardOf(model string) *shard { return h.shards[placement.ShardName(model, homeShards)] }

// countElsewhere returns the number of other home zones of a model that are
// alive and not lost.
func (h *homes) countElsewhere(model string, alive func(string) bool) int {
	record, _ := h.shardOf(model).view.Homes()
	return record.CountElsewhere(model, h.leadership.controller.opts.Self.Zone, alive)
}

// watch reads the record and then watches it for changes until ctx is done.
func (h *homes) watch(ctx context.Context) {
	store := h.leadership.controller.opts.Store
	var since uint64
	listed := false
	for ctx.Err() == nil {
		var list objectstore.List
		var err error
		if listed {
			list, err = store.Watch(ctx, objectstore.KindHomeZones, since)
		} else {
			list, err = store.List(ctx, objectstore.KindHomeZones)
		}
		if err != nil {
			sleep(ctx, retryPeriod)
			continue
		}
		listed = true
		since = max(since, list.Revision)
		_ = h.leadership.controller.post(ctx, func() { h.leadership.runStep(func() { h.applyList(list) }) })
		sleep(ctx, watchInterval)
	}
}

// applyList applies the objects of a read. The first read is of the whole
// record, so a shard missing from it does not exist.
func (h *homes) applyList(list objectstore.List) {
	for _, obj := range list.Objects {
		h.applyObject(obj)
	}
	if !h.loaded {
		for _, s := range h.shards {
			s.view.Update(0, placement.HomeZones{})
		}
	}
	if !h.loaded {
		h.leadership.planAtNextTick()
	}
	h.loaded = true
}

func (h *homes) applyObject(obj objectstore.Object) {
	s := h.shards[obj.Name]
	if s == nil {
		return
	}
	record := placement.HomeZones{}
	if !obj.Deleted {
		var err error
		if record, err = placement.DecodeHomeZones(obj.Value); err != nil {
			h.leadership.controller.opts.Log.Error("decoding record of home zones failed", "object", obj.Name, "error", err)
			return
		}
	}
	s.view.Update(obj.Version, record)
}

// writeMoves writes the changes that the moves of a planning round make to the
// record. The first write to a shard only claims it, by naming this leadership
// as the zone's owner.
func (h *homes) writeMoves(moves []placement.Move, alive func(string) bool) {
	if !h.loaded {
		return
	}
	byShard := map[*shard][]placement.Move{}
	for _, m := range moves {
		s := h.shardOf(m.Model)
		byShard[s] = append(byShard[s], m)
	}
	for _, s := range h.shards {
		h.writeShard(s, byShard[s], alive)
	}
}

// writeShard writes a shard with the changes of moves, unless a write to it is
// in flight or nothing changes.
func (h *homes) writeShard(s *shard, moves []placement.Move, alive func(string) bool) {
	if s.writing {
		return
	}
	next, changed, err := s.view.Edit(moves, alive)
	if err != nil {
		h.leadership.controller.opts.Log.Debug("homes", "object", s.name, "error", err)
	}
	if err != nil || !changed {
		return
	}
	value, err := next.Encode()
	if err != nil {
		h.leadership.controller.opts.Log.Error("homes", "object", s.name, "error", err)
		return
	}
	for _, m := range moves {
		h.leadership.logMove(m)
	}
	_, version := s.view.Homes()
	s.writing = true
	h.putShard(s, objectstore.Object{Kind: objectstore.KindHomeZones, Name: s.name, Version: version, Value: value})
}

// putShard writes a shard. After any error it reads the shard again, and a
// later round writes the changes that are still missing.
func (h *homes) putShard(s *shard, obj objectstore.Object) {
	store := h.leadership.controller.opts.Store
	h.leadership.startCall(func(ctx context.Context) func() {
		err := objectstore.ErrUnavailable
		var stored objectstore.Object
		if h.leadership.holdsLease() {
			stored, err = store.Put(ctx, obj)
			stored.Value = obj.Value
		}
		if err != nil {
			h.leadership.controller.opts.Log.Debug("writing record of home zones failed", "object", obj.Name, "error", err)
			readCtx, cancel := context.WithTimeout(h.leadership.ctx, time.Second)
			defer cancel()
			stored, err = store.Get(readCtx, obj.Kind, obj.Name)
		}
		return func() {
			s.writing = false
			h.leadership.planAtNextTick()
			if err == nil {
				h.applyObject(stored)
			} else if !errors.Is(err, objectstore.ErrNotFound) {
				h.leadership.controller.opts.Log.Debug("reading record of home zones failed", "object", obj.Name, "error", err)
			}
		}
	})
}
