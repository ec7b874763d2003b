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

// adapterLoadTime is how long an engine takes to load an adapter, including the
// time to record the order for the load.
const adapterLoadTime = 15 * time.Millisecond

// adapterTimeout bounds the wait for an adapter; the request's deadline may
// shorten it.
const adapterTimeout = 5 * time.Second

// assumedOutputTokens is the number of output tokens that is counted as demand for
// a request without an answer, unless the request's token limit is lower.
const assumedOutputTokens = 64

// Placement records demand and loads adapters; placer.Controller implements it.
type Placement interface {
	// RecordDemand adds the accelerator time of a request to the demand for a
	// model.
	RecordDemand(model string, cost time.Duration)
	// BeginRequest counts a request as in flight on an upstream until ended is
	// called.
	BeginRequest(upstream, model, adapter string) (ended func())
	// EnsureAdapter returns when the adapter is ready on the upstream.
	EnsureAdapter(ctx context.Context, upstream, model, adapter string) error
}

// Inventory returns the latest reports and the addresses of upstreams;
// inventory.Controller implements it.
type Inventory interface {
	Entry(upstream string) (inventory.Entry, bool)
	Address(upstream string) (string, bool)
}

func (n *Node) newPlacer(engines *engine.Client) *placer.Controller {
	return placer.New(placer.Options{
		Self: n.self, Store: n.platform, Peers: n.peers, Engines: engines, Snapshot: n.replica.Snapshot,
		LeaseHeld: n.leader.Held, ZoneLeader: n.leader.Holder, OnDrainsChanged: n.tableUpdater.reapplyReports, IncrementCounter: n.metrics.Count,
		Planner: placement.Demand{Options: placement.DefaultDemandOptions()}, Now: n.now, Log: n.log,
	})
}

// address returns the address of an upstream. It also knows upstreams that were
// recently removed from the document.
func (s *Server) address(service *config.Service, upstream string) (string, bool) {
	if address, ok := addressOf(service, upstream); ok {
		return address, true
	}
	return s.opts.Inventory.Address(upstream)
}

// reportDemand reports to placement the accelerator time that the request took,
// or would have taken if an upstream had had its model ready.
func (m *modelCall) reportDemand() {
	output := m.sink.tokens()
	if output == 0 {
		output = min(m.req.maxTokens, assumedOutputTokens)
	}
	m.server.opts.Placement.RecordDemand(m.model(), placer.RequestCost(m.call.service, m.req.promptTokens, output))
}

// ensureAdapter waits until the request's adapter is ready on an upstream, at
// most until the request's deadline. It reports whether the adapter is ready.
func (m *modelCall) ensureAdapter(ctx context.Context, upstream string) bool {
	if m.req.adapter == "" || m.adapterReady(upstream) {
		return true
	}
	s := m.server
	ctx, cancel := context.WithTimeout(ctx, min(adapterTimeout, m.deadline-s.opts.Now()))
	defer cancel()
	err := s.opts.Placement.EnsureAdapter(ctx, upstream, m.req.model.Name, m.req.adapter)
	if err != nil {
		s.opts.Log.Info("adapter load failed", "request", m.call.id, "upstream", upstream,
			"model", m.req.model.Name, "adapter", m.req.adapter, "error", err)
	}
	return err == nil
}

// adapterReady reports whether the upstream's latest report lists the adapter as
// ready.
func (m *modelCall) adapterReady(upstream string) bool {
	e, ok := m.server.opts.Inventory.Entry(upstream)
	return ok && slices.ContainsFunc(e.Report.Resident, func(r engine.Resident) bool {
		return r.Model == m.req.model.Name && r.Adapter == m.req.adapter && r.State == engine.ResidencyReady
	})
}
