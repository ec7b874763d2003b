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
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// maxSnapshots is the number of snapshots of the instance list that are kept.
const maxSnapshots = 4096

// snapshot is the instance list from since until the next snapshot.
type snapshot struct {
	since     time.Time
	instances []objectstore.Instance
}

// instanceHistory holds the instance list and its latest snapshots, oldest first.
type instanceHistory struct {
	mu        sync.Mutex
	current   map[string]objectstore.Instance
	snapshots []snapshot
}

func newInstanceHistory() *instanceHistory {
	return &instanceHistory{
		current:   map[string]objectstore.Instance{},
		snapshots: []snapshot{{instances: []objectstore.Instance{}}},
	}
}

// update edits the list and records a snapshot of the result.
func (h *instanceHistory) update(edit func(map[string]objectstore.Instance)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	edit(h.current)
	list := []objectstore.Instance{}
	for _, name := range slices.Sorted(maps.Keys(h.current)) {
		list = append(list, h.current[name])
	}
	h.snapshots = append(h.snapshots, snapshot{since: time.Now(), instances: list})
	if extra := len(h.snapshots) - maxSnapshots; extra > 0 {
		h.snapshots = h.snapshots[extra:]
	}
}

// at returns the instance list as it was at moment, or the oldest snapshot if
// moment is before all snapshots.
func (h *instanceHistory) at(moment time.Time) []objectstore.Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.snapshots) - 1; i > 0; i-- {
		if !h.snapshots[i].since.After(moment) {
			return h.snapshots[i].instances
		}
	}
	return h.snapshots[0].instances
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.Instances(r.Context())
	if err == nil {
		tag := entityTag(list)
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	writeResult(w, list, err)
}

// entityTag returns the HTTP entity tag (ETag) of a list, a hash of its content.
func entityTag(list []objectstore.Instance) string {
	d := xxhash.New()
	for _, inst := range list {
		_, _ = fmt.Fprintf(d, "%q", []string{
			inst.Name, inst.Incarnation, inst.Zone, string(inst.Role), inst.Address, inst.PeerAddress, string(inst.State),
		})
	}
	return fmt.Sprintf("\"%x\"", d.Sum64())
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var inst objectstore.Instance
	const limit = 64 << 10
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(&inst); err != nil {
		reply.Error(w, http.StatusBadRequest, "instance", err.Error())
		return
	}
	inst.Name = r.PathValue("name")
	writeResult(w, inst, s.Register(r.Context(), inst))
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	writeResult(w, struct{}{}, s.Deregister(r.Context(), r.PathValue("name")))
}

// Instances implements objectstore.InstanceList. It returns the list as it was
// Faults.InstanceLagMS milliseconds ago.
func (s *Server) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	if _, err := s.Memory.Instances(ctx); err != nil {
		return nil, err
	}
	lag := time.Duration(s.faults.Get().InstanceLagMS) * time.Millisecond
	return s.instances.at(time.Now().Add(-lag)), nil
}

// Register implements objectstore.InstanceList: it adds or replaces an entry.
func (s *Server) Register(ctx context.Context, inst objectstore.Instance) error {
	if err := s.Memory.Register(ctx, inst); err != nil {
		return err
	}
	s.instances.update(func(list map[string]objectstore.Instance) { list[inst.Name] = inst })
	return nil
}

// Deregister implements objectstore.InstanceList: it removes an entry.
func (s *Server) Deregister(ctx context.Context, name string) error {
	if err := s.Memory.Deregister(ctx, name); err != nil {
		return err
	}
	s.instances.update(func(list map[string]objectstore.Instance) { delete(list, name) })
	return nil
}
