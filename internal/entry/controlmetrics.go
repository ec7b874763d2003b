package entry

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/metrics"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/traffic"
)

// controlMetricsInterval is the time between two updates of the metrics of
// control traffic.
const controlMetricsInterval = time.Second

// controlTraffic counts the bytes that an instance exchanges with the platform and
// the engines in addition to the requests of callers. Traffic with peers is counted
// by the peer client and server.
type controlTraffic struct {
	platform traffic.Counter
	engines  traffic.Counter
}

// reportControlMetrics updates the metrics of control traffic and of the process
// every controlMetricsInterval until ctx ends.
func (n *Node) reportControlMetrics(ctx context.Context) error {
	ticker := time.NewTicker(controlMetricsInterval)
	defer ticker.Stop()
	for {
		n.metrics.SetControlPlane(n.controlMetrics(), metrics.ReadProcess())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// controlMetrics returns the current counts of control traffic and of the
// documents, instances and upstreams in force.
func (n *Node) controlMetrics() metrics.ControlPlane {
	client, server := n.peers.Traffic(), n.peerServer.Traffic()
	snapshot := n.replica.Snapshot()
	c := metrics.ControlPlane{
		Uptime:        n.now(),
		PeerSent:      client.Sent.Load() + server.Sent.Load(),
		PeerReceived:  client.Received.Load() + server.Received.Load(),
		PeerCalls:     client.Calls.Load(),
		PlatformSent:  n.traffic.platform.Sent.Load(),
		PlatformRecv:  n.traffic.platform.Received.Load(),
		EngineSent:    n.traffic.engines.Sent.Load(),
		EngineRecv:    n.traffic.engines.Received.Load(),
		EngineCalls:   n.traffic.engines.Calls.Load(),
		PlatformCalls: map[string]int64{},
		Documents:     len(snapshot.Services),
		Instances:     len(snapshot.Instances),
	}
	n.platform.Each(func(op objectstore.Operation, calls int64) { c.PlatformCalls[op.String()] = calls })
	for _, doc := range snapshot.Services {
		c.Upstreams += len(doc.Upstreams)
	}
	return c
}
