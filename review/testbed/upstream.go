package testbed

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which upstreams write their entries.
const heartbeat = 1200 * time.Millisecond

// Upstream is a stand-in for a server of a service. It holds the models that it was started with
// and takes no orders.
type Upstream struct {
	ID      string
	service string
	zone    string
	models  []string
	slots   int
	born    int64
	address string
	beats   atomic.Int64
	handle  http.HandlerFunc
}

// StartUpstream starts an upstream that answers requests with handle and lists itself in the store.
// The ID of the request and the signature of the upstream are in the answer's headers already.
func StartUpstream(s *Store, id, service, zone string, slots int, models []string, handle http.HandlerFunc) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &Upstream{ID: id, service: service, zone: zone, models: models, slots: slots, born: time.Now().UnixMilli(), address: l.Addr().String(), handle: handle}
	if err := s.Put("servers", id, u.entry()); err != nil {
		return err
	}
	go func() { _ = http.Serve(l, u) }() // ends with the process
	go func() {
		for range time.Tick(heartbeat) {
			_ = s.Put("servers", id, u.entry()) // it could be written once
		}
	}()
	return nil
}

func (u *Upstream) resident() []any {
	out := []any{}
	for _, m := range u.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{"a1"}})
	}
	return out
}

func (u *Upstream) entry() map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots, "state": "ready", "cold_left_ms": 0,
		"stage": "colocated", "models": u.resident(), "sequence": u.beats.Add(1), "born": u.born,
	}
}

func (u *Upstream) report() map[string]any {
	return map[string]any{
		"stage": "colocated", "models": u.resident(), "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 149759,
		"handles": 0, "born": u.born, "available": map[string]any{"in_memory": u.models, "on_disk": u.models},
	}
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	switch want := r.Header.Get("X-Expect-Instance"); {
	case want != "" && want != u.ID:
		w.Header().Set("X-Instance-Id", u.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", u.ID)
	case r.URL.Path == "/api/report":
		reply(w, http.StatusOK, u.report())
	case r.URL.Path == "/api/order":
		w.WriteHeader(http.StatusConflict) // another order is always under way
	default:
		w.Header().Set("X-Server-Signature", u.ID+"."+id)
		u.handle(w, r)
	}
}
