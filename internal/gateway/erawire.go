package gateway

import (
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
)

// Messages between instances have versions as the store's revision and its era, each in a
// field of its own, so that instances of builds without eras compare revisions as before. What
// those send is of era 0, which comes before all that a store with eras has.

// versionToWire returns the revision and the era of a version. noRevision is sent as it is.
func versionToWire(version uint64) (revision, era uint64) {
	if version == noRevision {
		return noRevision, 0
	}
	return objectstore.RevisionOf(version), objectstore.EraOf(version)
}

// versionFromWire returns the version of a message, 0 if it is out of bounds.
func versionFromWire(revision, era uint64) uint64 {
	if revision == noRevision {
		return noRevision
	}
	version, err := objectstore.VersionOf(era, revision)
	if err != nil {
		return 0
	}
	return version
}

// newsToWire returns the news of the configuration and, if they are known, of the evacuations.
func (g *Gateway) newsToWire(config uint64, evacuations *meshpb.Evacuations) *meshpb.News {
	news := &meshpb.News{Name: g.self.Name, Zone: g.self.Zone, PeerAddress: g.self.PeerAddress, Evacuations: evacuations}
	news.ConfigRevision, news.ConfigEra = versionToWire(config)
	return news
}
