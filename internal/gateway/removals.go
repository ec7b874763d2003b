package gateway

import (
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/upstreamlist"
)

// removalsToWire returns the upstreams whose entries are known to be gone, as peers are told.
func (g *Gateway) removalsToWire() []*meshpb.RemovedUpstream {
	var out []*meshpb.RemovedUpstream
	for _, r := range g.catalog.Removals() {
		u := &meshpb.RemovedUpstream{Upstream: r.ID, Born: r.StartedAtMS}
		u.Revision, u.Era = versionToWire(r.AsOf)
		u.LastRevision, u.LastEra = versionToWire(r.Entry)
		out = append(out, u)
	}
	return out
}

func (g *Gateway) recordRemovals(in []*meshpb.RemovedUpstream, peer string) {
	if len(in) == 0 {
		return
	}
	list := make([]upstreamlist.Removal, 0, len(in))
	for _, u := range in {
		list = append(list, upstreamlist.Removal{
			ID: u.Upstream, StartedAtMS: u.Born, AsOf: versionFromWire(u.Revision, u.Era), Entry: versionFromWire(u.LastRevision, u.LastEra),
		})
	}
	g.catalog.RecordRemovals(list, peer)
}
