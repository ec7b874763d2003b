package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
)

// costPeriod is how often the gauges of control are set.
const costPeriod = time.Second

// controlBytes counts what an instance exchanges outside requests, beside what
// the peer connections count themselves.
type controlBytes struct {
	platform traffic.Counter
	engines  traffic.Counter
}

// measureCost keeps the gauges of what control costs until ctx ends.
func (n *Node) measureCost(ctx context.Context) error {
	ticker := time.NewTicker(costPeriod)
	defer ticker.Stop()
	for {
		n.metrics.Control(n.controlCost(), metrics.ReadProcess())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) controlCost() metrics.Control {
	client, server := n.peers.Traffic(), n.peerSrv.Traffic()
	known := n.replica.Snapshot()
	c := metrics.Control{
		Uptime:        n.now(),
		PeerSent:      client.Sent.Load() + server.Sent.Load(),
		PeerReceived:  client.Received.Load() + server.Received.Load(),
		PeerCalls:     client.Calls.Load(),
		PlatformSent:  n.bytes.platform.Sent.Load(),
		PlatformRecv:  n.bytes.platform.Received.Load(),
		EngineSent:    n.bytes.engines.Sent.Load(),
		EngineRecv:    n.bytes.engines.Received.Load(),
		EngineCalls:   n.bytes.engines.Calls.Load(),
		PlatformCalls: map[string]int64{},
		Documents:     len(known.Services),
		Instances:     len(known.Instances),
	}
	n.platform.Each(func(op platform.Operation, calls int64) { c.PlatformCalls[op.String()] = calls })
	for _, doc := range known.Services {
		c.Upstreams += len(doc.Upstreams)
	}
	return c
}
