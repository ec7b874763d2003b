package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	engineMemoryMB = 100000.0
	modelMB        = 72700.0
	adapterMB      = 66.0
	adapterSlots   = 8
	storeLoadTime  = 3800 * time.Millisecond
	diskLoadTime   = 760 * time.Millisecond
)

// engine is the part of a server that holds models.
type engine struct {
	mu       sync.Mutex
	models   map[string][]string // adapters by model
	onDisk   []string
	busy     bool
	sequence int64
	fence    uint64
}

type residentModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// residents returns what the engine holds. e.mu must be held.
func (e *engine) residents() []residentModel {
	out := []residentModel{}
	for name, adapters := range e.models {
		out = append(out, residentModel{name, 1, slices.Clone(adapters)})
	}
	slices.SortFunc(out, func(a, b residentModel) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// holds reports whether the engine holds a model, or an adapter of it.
func (e *engine) holds(ref string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, adapter, _ := strings.Cut(ref, "/")
	adapters, ok := e.models[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fencing_token"`
}

func (s *server) writeJSON(conn net.Conn, status int, body any) bool {
	raw, _ := json.Marshal(body)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(raw), raw)
	return err == nil
}

func (s *server) report(conn net.Conn) bool {
	e := s.engine
	e.mu.Lock()
	out := map[string]any{
		"stage": "colocated", "models": e.residents(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "active": len(s.slots), "kv_used": 0,
		"kv_total": 149759, "handles": 0, "born": s.born, "coming": []string{}, "available": map[string]any{"in_memory": []string{}, "on_disk": e.onDisk},
	}
	e.mu.Unlock()
	return s.writeJSON(conn, http.StatusOK, out)
}

// order takes an order. One that the memory cannot hold crashes the server.
func (s *server) order(conn net.Conn, r *http.Request) bool {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		return s.writeJSON(conn, http.StatusBadRequest, nil)
	}
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, held := e.models[o.Model]
	expected := "any"
	if o.Expected != nil {
		expected = fmt.Sprint(*o.Expected)
	}
	answer := func(status int) bool {
		s.log("order %s %s %s (holder %s, fencing token %d, expected %s) answered %d; holds %v, sequence %d", o.Operation, o.Model, o.Adapter,
			o.Holder, o.Fence, expected, status, e.residents(), e.sequence)
		return s.writeJSON(conn, status, nil)
	}
	switch {
	case o.Fence < e.fence:
		return answer(http.StatusPreconditionFailed)
	case e.busy, o.Expected != nil && *o.Expected != e.sequence:
		return answer(http.StatusConflict)
	case o.Adapter != "" && !held:
		return answer(http.StatusBadRequest)
	case o.Operation == "model_load" && held && (o.Adapter == "" || slices.Contains(adapters, o.Adapter)):
		return answer(http.StatusOK)
	}
	e.fence = o.Fence
	e.sequence++
	switch {
	case o.Adapter != "" && o.Operation == "model_load":
		if len(adapters) >= adapterSlots {
			s.overfull(&o)
		}
		e.models[o.Model] = append(adapters, o.Adapter)
	case o.Adapter != "":
		e.models[o.Model] = slices.DeleteFunc(adapters, func(a string) bool { return a == o.Adapter })
	case o.Operation == "model_load":
		used := 0.0
		for _, a := range e.models {
			used += modelMB + float64(len(a))*adapterMB
		}
		if used+modelMB > engineMemoryMB {
			s.overfull(&o)
		}
		e.busy = true
		took := storeLoadTime
		if slices.Contains(e.onDisk, o.Model) {
			took = diskLoadTime
		}
		time.AfterFunc(took, func() { s.loaded(o.Model) })
	default:
		delete(e.models, o.Model)
		defer s.changed()
	}
	return answer(http.StatusAccepted)
}

func (s *server) loaded(model string) {
	e := s.engine
	e.mu.Lock()
	e.busy = false
	e.models[model] = []string{}
	if !slices.Contains(e.onDisk, model) {
		e.onDisk = append(e.onDisk, model)
	}
	e.mu.Unlock()
	s.log("has loaded %s", model)
	s.changed()
}

// overfull ends the server. e.mu is held.
func (s *server) overfull(o *order) {
	s.log("%s: ordered to load %s %s, sequence %d, while it holds %v", overfullText, o.Model, o.Adapter, *o.Expected, s.engine.residents())
	os.Exit(1)
}

// overfullText is in the line of a server that was ordered to load more than it holds.
const overfullText = "LIMIT: crashes, as it has no room"
