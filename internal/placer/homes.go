package placer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

// homeShards is the number of objects that hold the record of homes.
const homeShards = 4

// homes is the zone's view of the record of homes.
type homes struct {
	t      *term
	shards map[string]*shard
	read   bool
}

// shard is one object of the record. One write is under way at a time.
type shard struct {
	name    string
	view    *placement.HomesView
	writing bool
}

func newHomes(t *term) *homes {
	h := &homes{t: t, shards: map[string]*shard{}}
	for i := range homeShards {
		name := fmt.Sprintf("homes-%02d", i)
		h.shards[name] = &shard{name: name, view: placement.NewHomesView(t.d.opts.Self.Zone, t.fence)}
	}
	return h
}

// of returns the shard that holds a model, service/model.
func (h *homes) of(model string) *shard { return h.shards[placement.ShardName(model, homeShards)] }

// elsewhere counts the homes of a model in other zones.
func (h *homes) elsewhere(model string, alive func(string) bool) int {
	record, _ := h.of(model).view.Homes()
	return record.Elsewhere(model, h.t.d.opts.Self.Zone, alive)
}

// watch reads the record and follows its changes until ctx ends.
func (h *homes) watch(ctx context.Context) {
	store := h.t.d.opts.Store
	var since uint64
	listed := false
	for ctx.Err() == nil {
		var list platform.List
		var err error
		if listed {
			list, err = store.Watch(ctx, platform.KindHomes, since)
		} else {
			list, err = store.List(ctx, platform.KindHomes)
		}
		if err != nil {
			sleep(ctx, retryPeriod)
			continue
		}
		listed = true
		since = max(since, list.Revision)
		_ = h.t.d.post(ctx, func() { h.t.step(func() { h.take(list) }) })
		sleep(ctx, watchPause)
	}
}

// take counts what was read. The first read is of the whole record, so a shard
// missing from it does not exist.
func (h *homes) take(list platform.List) {
	for _, obj := range list.Objects {
		h.takeObject(obj)
	}
	if !h.read {
		for _, s := range h.shards {
			s.view.Take(0, placement.Homes{})
		}
	}
	if !h.read {
		h.t.hasten()
	}
	h.read = true
}

func (h *homes) takeObject(obj platform.Object) {
	s := h.shards[obj.Name]
	if s == nil {
		return
	}
	record := placement.Homes{}
	if !obj.Deleted {
		var err error
		if record, err = placement.DecodeHomes(obj.Value); err != nil {
			h.t.d.opts.Log.Error("record of homes cannot be read", "object", obj.Name, "error", err)
			return
		}
	}
	s.view.Take(obj.Version, record)
}

// apply writes what moves of this round change, and claims shards first.
func (h *homes) apply(moves []placement.Move, alive func(string) bool) {
	if !h.read {
		return
	}
	byShard := map[*shard][]placement.Move{}
	for _, m := range moves {
		s := h.of(m.Model)
		byShard[s] = append(byShard[s], m)
	}
	for _, s := range h.shards {
		h.write(s, byShard[s], alive)
	}
}

func (h *homes) write(s *shard, moves []placement.Move, alive func(string) bool) {
	if s.writing {
		return
	}
	next, changed, err := s.view.Edit(moves, alive)
	if err != nil {
		h.t.d.opts.Log.Debug("homes", "object", s.name, "error", err)
	}
	if err != nil || !changed {
		return
	}
	value, err := next.Encode()
	if err != nil {
		h.t.d.opts.Log.Error("homes", "object", s.name, "error", err)
		return
	}
	for _, m := range moves {
		h.t.log(m)
	}
	_, version := s.view.Homes()
	s.writing = true
	h.put(s, platform.Object{Kind: platform.KindHomes, Name: s.name, Version: version, Value: value})
}

// put writes a shard. After any error the shard is read again, and what is
// still due is written by a later round.
func (h *homes) put(s *shard, obj platform.Object) {
	store := h.t.d.opts.Store
	h.t.start(func(ctx context.Context) func() {
		err := platform.ErrUnavailable
		var stored platform.Object
		if h.t.holds() {
			stored, err = store.Put(ctx, obj)
			stored.Value = obj.Value
		}
		if err != nil {
			h.t.d.opts.Log.Debug("write homes", "object", obj.Name, "error", err)
			readCtx, cancel := context.WithTimeout(h.t.ctx, time.Second)
			defer cancel()
			stored, err = store.Get(readCtx, obj.Kind, obj.Name)
		}
		return func() {
			s.writing = false
			h.t.hasten()
			if err == nil {
				h.takeObject(stored)
			} else if !errors.Is(err, platform.ErrNotFound) {
				h.t.d.opts.Log.Debug("read homes", "object", obj.Name, "error", err)
			}
		}
	})
}
