package entry

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/placement"
	"github.com/eelgrassbay/eelgrassbay/internal/placer"
)

// adapterLoad is how long an engine takes to load an adapter, with the record
// of the order.
const adapterLoad = 15 * time.Millisecond

// adapterTimeout bounds the wait for an adapter within a request's deadline.
const adapterTimeout = 5 * time.Second

// assumedOutputTokens is the demand that a request without an answer counts
// as.
const assumedOutputTokens = 64

// Placement is told of demand and loads adapters; placer.Duty implements it.
type Placement interface {
	Asked(model string, cost time.Duration)
	Started(upstream, model, adapter string) (ended func())
	EnsureAdapter(ctx context.Context, upstream, model, adapter string) error
}

// Inventory is what is known of upstreams; inventory.Duty implements it.
type Inventory interface {
	Entry(upstream string) (inventory.Entry, bool)
	Address(upstream string) (string, bool)
}

func (n *Node) newPlacer(engines *engine.Client) *placer.Duty {
	return placer.New(placer.Options{
		Self: n.self, Store: n.platform, Peers: n.peers, Engines: engines, Known: n.replica.Snapshot,
		Held: n.leader.Held, Holder: n.leader.Holder, DrainsChanged: n.table.refresh, Count: n.metrics.Count,
		Planner: placement.Demand{Options: placement.DefaultDemandOptions()}, Now: n.now, Log: n.log,
	})
}

// address finds where an upstream listens, also one that the document named
// until a moment ago.
func (s *Server) address(service *config.Service, upstream string) (string, bool) {
	if address, ok := addressOf(service, upstream); ok {
		return address, true
	}
	return s.opts.Inventory.Address(upstream)
}

// countDemand tells placement what the request took, or would have taken if it
// had found a home.
func (m *modelCall) countDemand() {
	output := m.sink.tokens()
	if output == 0 {
		output = min(m.req.maxTokens, assumedOutputTokens)
	}
	m.server.opts.Placement.Asked(m.model(), placer.Cost(m.call.service, m.req.prompt, output))
}

// ensureAdapter waits until the request's adapter is ready on an upstream, no
// longer than the request's deadline.
func (m *modelCall) ensureAdapter(ctx context.Context, upstream string) bool {
	if m.req.adapter == "" || m.adapterReady(upstream) {
		return true
	}
	s := m.server
	ctx, cancel := context.WithTimeout(ctx, min(adapterTimeout, m.deadline-s.opts.Now()))
	defer cancel()
	err := s.opts.Placement.EnsureAdapter(ctx, upstream, m.req.model.Name, m.req.adapter)
	if err != nil {
		s.opts.Log.Info("adapter not loaded", "request", m.call.id, "upstream", upstream,
			"model", m.req.model.Name, "adapter", m.req.adapter, "error", err)
	}
	return err == nil
}

func (m *modelCall) adapterReady(upstream string) bool {
	e, ok := m.server.opts.Inventory.Entry(upstream)
	return ok && slices.ContainsFunc(e.Report.Resident, func(r engine.Resident) bool {
		return r.Model == m.req.model.Name && r.Adapter == m.req.adapter && r.State == engine.ResidencyReady
	})
}
