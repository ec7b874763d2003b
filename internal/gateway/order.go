package gateway

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

// orderReportInterval is the interval at which changes of the order of queues are logged.
const orderReportInterval = time.Second

// reportOrder logs when the order of a service's queue changes between due time and
// priority, and keeps the metrics of the queue, until ctx ends.
func (g *Gateway) reportOrder(ctx context.Context) error {
	seen := map[string]assign.OrderState{}
	for wait.Sleep(ctx, orderReportInterval) {
		g.reportOrderOnce(seen)
	}
	return nil
}

// reportOrderOnce compares the orders with those seen before and records the new ones.
func (g *Gateway) reportOrderOnce(seen map[string]assign.OrderState) {
	states, queued := g.dispatcher.orderStates()
	byPriority := 0
	for _, o := range states {
		before := seen[o.Service]
		seen[o.Service] = o
		if o.ByPriority {
			byPriority++
		}
		if o.Shortages > before.Shortages {
			g.metrics.Count("queue_shortages")
			g.log.Info("requests late, ordered by priority", "service", o.Service, "for_ms", o.Hold.Milliseconds(), "shortages", o.Shortages)
		}
		if before.ByPriority && !o.ByPriority {
			g.log.Info("requests ordered by due time again", "service", o.Service)
		}
	}
	g.metrics.SetGauge("services_by_priority", float64(byPriority))
	g.metrics.SetGauge("queued_requests", float64(queued))
}
