package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/peer"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
)

// permitStub grants every permit at once.
type permitStub struct{ meshpb.DRPCMeshServer }

// AcquirePermit implements meshpb.DRPCMeshServer.
func (permitStub) AcquirePermit(context.Context, *meshpb.PermitRequest) (*meshpb.PermitReply, error) {
	return &meshpb.PermitReply{Granted: true, Upstream: "backend-3", Born: 1_790_000_000_000}, nil
}

// ReleasePermits implements meshpb.DRPCMeshServer.
func (permitStub) ReleasePermits(context.Context, *meshpb.PermitRelease) (*meshpb.PermitReleaseReply, error) {
	return &meshpb.PermitReleaseReply{}, nil
}

// newPermitCalls returns a function that acquires and releases a permit over a connection
// that is kept, and the client.
func newPermitCalls(tb testing.TB) (func(id uint64), *peer.Client) {
	srv, err := peer.NewServer("127.0.0.1:0", nil)
	must.NoError(tb, err)
	must.NoError(tb, srv.Register(permitStub{}, meshpb.DRPCMeshDescription{}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx) }()
	client := peer.NewClient(peer.ClientOptions{CallTimeout: 10 * time.Second})
	tb.Cleanup(func() { _ = client.Close(); cancel(); <-done })
	const name, incarnation = "gateway-042", "0b3f5b0e-5b0e-4b0e-8b0e-0b3f5b0e5b0e"
	return func(id uint64) {
		must.NoError(tb, client.Call(ctx, srv.Address(), func(ctx context.Context, conn drpc.Conn) error {
			_, err := meshpb.NewDRPCMeshClient(conn).AcquirePermit(ctx, &meshpb.PermitRequest{
				Service: "storefront", Instance: name, Incarnation: incarnation, Id: id, Urgency: 4, Organisation: "harbour-tools", ObjectiveMs: 300, MaxWaitMs: 1000,
			})
			return err
		}))
		must.NoError(tb, client.Call(ctx, srv.Address(), func(ctx context.Context, conn drpc.Conn) error {
			_, err := meshpb.NewDRPCMeshClient(conn).ReleasePermits(ctx, &meshpb.PermitRelease{
				Instance: name, Incarnation: incarnation, Ended: []*meshpb.EndedPermit{{Service: "storefront", Id: id, ServedMs: 64}},
			})
			return err
		}))
	}, client
}

// The two calls for a request stay small: at 450 requests a second an arbiter's link carries
// 180 KB a second for them at most.
func TestPermitCallsAreSmall(t *testing.T) {
	call, client := newPermitCalls(t)
	call(1)
	sentBefore, receivedBefore := client.Traffic().Sent.Load(), client.Traffic().Received.Load()
	for id := range uint64(100) {
		call(1000 + id)
	}
	sent, received := (client.Traffic().Sent.Load()-sentBefore)/100, (client.Traffic().Received.Load()-receivedBefore)/100
	t.Logf("%d bytes sent and %d received for a request", sent, received)
	must.LessEq(t, 400, sent+received)
}

// BenchmarkPermitCalls measures both ends of the two calls for a request.
func BenchmarkPermitCalls(b *testing.B) {
	call, _ := newPermitCalls(b)
	id := uint64(0)
	for b.Loop() {
		id++
		call(id)
	}
}
