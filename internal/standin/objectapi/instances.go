package objectapi

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// maxViews bounds the views of the instance list that are kept.
const maxViews = 4096

// view is the instance list as it was from one moment on.
type view struct {
	from      time.Time
	instances []platform.Instance
}

// history keeps the instance list and its former views, oldest first.
type history struct {
	mu      sync.Mutex
	current map[string]platform.Instance
	views   []view
}

func newHistory() *history {
	return &history{
		current: map[string]platform.Instance{},
		views:   []view{{instances: []platform.Instance{}}},
	}
}

// change edits the list and keeps the view that follows from it.
func (h *history) change(edit func(map[string]platform.Instance)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	edit(h.current)
	list := []platform.Instance{}
	for _, name := range slices.Sorted(maps.Keys(h.current)) {
		list = append(list, h.current[name])
	}
	h.views = append(h.views, view{from: time.Now(), instances: list})
	if extra := len(h.views) - maxViews; extra > 0 {
		h.views = h.views[extra:]
	}
}

// at returns the instance list as it was at a moment.
func (h *history) at(moment time.Time) []platform.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.views) - 1; i > 0; i-- {
		if !h.views[i].from.After(moment) {
			return h.views[i].instances
		}
	}
	return h.views[0].instances
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.Instances(r.Context())
	if err == nil {
		tag := tagOf(list)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	answer(w, list, err)
}

// tagOf returns the entity tag of a list.
func tagOf(list []platform.Instance) string {
	d := xxhash.New()
	for _, inst := range list {
		_, _ = fmt.Fprintf(d, "%q", []string{
			inst.Name, inst.Incarnation, inst.Zone, string(inst.Role), inst.Address, inst.PeerAddress, string(inst.State),
		})
	}
	return fmt.Sprintf("\"%x\"", d.Sum64())
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var inst platform.Instance
	const limit = 64 << 10
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(&inst); err != nil {
		reply.Error(w, http.StatusBadRequest, "instance", err.Error())
		return
	}
	inst.Name = r.PathValue("name")
	answer(w, inst, s.Register(r.Context(), inst))
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	answer(w, struct{}{}, s.Deregister(r.Context(), r.PathValue("name")))
}

// Instances implements platform.InstanceList; it shows the list with its lag.
func (s *Server) Instances(ctx context.Context) ([]platform.Instance, error) {
	if _, err := s.Memory.Instances(ctx); err != nil {
		return nil, err
	}
	lag := time.Duration(s.faults.Get().InstanceLagMS) * time.Millisecond
	return s.instances.at(time.Now().Add(-lag)), nil
}

// Register implements platform.InstanceList.
func (s *Server) Register(ctx context.Context, inst platform.Instance) error {
	if err := s.Memory.Register(ctx, inst); err != nil {
		return err
	}
	s.instances.change(func(list map[string]platform.Instance) { list[inst.Name] = inst })
	return nil
}

// Deregister implements platform.InstanceList.
func (s *Server) Deregister(ctx context.Context, name string) error {
	if err := s.Memory.Deregister(ctx, name); err != nil {
		return err
	}
	s.instances.change(func(list map[string]platform.Instance) { delete(list, name) })
	return nil
}
