package gateway

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/wait"
	"storj.io/drpc"
)

const (
	// newsFanout is the number of peers that an instance tells of what it has just
	// learned. They do the same, so that news reaches n instances within about log n calls.
	newsFanout = 3
	// newsInterval is the minimum time between two rounds of news.
	newsInterval = 50 * time.Millisecond
)

// wakeNews makes announceNews look for news.
func (g *Gateway) wakeNews() {
	select {
	case g.newsWake <- struct{}{}:
	default:
	}
}

// announceNews tells peers of each new configuration until ctx ends, so that those that
// lack it hear of it soon and can fetch it from more peers than their leads.
func (g *Gateway) announceNews(ctx context.Context) error {
	announced := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.newsWake:
		}
		revision, _, _ := g.catalog.Revisions()
		if revision <= announced {
			continue
		}
		announced = revision
		news := g.newsToWire(revision, nil)
		for _, p := range g.mesh.Sample(newsFanout, func(name string) bool { return g.configFetcher.sources.has(name, revision) }) {
			go g.announceTo(ctx, p, news)
		}
		if !wait.Sleep(ctx, newsInterval) {
			return nil
		}
	}
}

func (g *Gateway) announceTo(ctx context.Context, p *meshpb.MemberInfo, news *meshpb.News) {
	err := g.peers.Call(ctx, p.PeerAddress, func(ctx context.Context, conn drpc.Conn) error {
		_, err := meshpb.NewDRPCMeshClient(conn).Announce(ctx, news)
		return err
	})
	if err != nil && ctx.Err() == nil {
		g.log.Debug("failed to announce news to a peer", "peer", p.Name, "error", err)
	}
}

// Announce implements meshpb.DRPCMeshServer.
func (s meshServer) Announce(_ context.Context, in *meshpb.News) (*meshpb.NewsReply, error) {
	s.g.recordConfigSource(source{name: in.Name, address: in.PeerAddress, sameZone: in.Zone == s.g.self.Zone, revision: versionFromWire(in.ConfigRevision, in.ConfigEra)})
	s.g.evacuations.mergeWire(in.Evacuations, in.Name)
	return &meshpb.NewsReply{}, nil
}
