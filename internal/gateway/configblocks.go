package gateway

import (
	"context"
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/chunk"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
)

const (
	// keptConfigs is the number of configurations whose blocks an instance serves to
	// peers, so that those that began with one before the newest can end with it.
	keptConfigs = 4
	// maxBlocksAsked is the maximum number of blocks that are asked for in one call.
	maxBlocksAsked = 1024
)

// configBlocks has the blocks of the configurations that this instance had last. Its zero
// value is empty. It is safe for concurrent use.
type configBlocks struct {
	mu     sync.Mutex
	recent []revisionBlocks // by revision, the newest last
}

type revisionBlocks struct {
	revision uint64
	*chunk.Indexed
}

// of returns the blocks of a revision, nil for an empty configuration.
func (b *configBlocks) of(revision uint64, raw []byte) *chunk.Indexed {
	if revision == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.recent {
		if r.revision == revision {
			return r.Indexed
		}
	}
	d := chunk.NewIndexed(raw)
	b.recent = append(b.recent, revisionBlocks{revision, d})
	if len(b.recent) > keptConfigs {
		b.recent = append(b.recent[:0:0], b.recent[1:]...)
	}
	return d
}

// find returns those of the blocks that are there.
func (b *configBlocks) find(hashes []uint64) [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out [][]byte
	for _, hash := range hashes {
		for _, r := range b.recent {
			if block := r.Block(hash); block != nil {
				out = append(out, block)
				break
			}
		}
	}
	return out
}

// currentBlocks returns the blocks of the configuration in force, nil if there is none.
func (g *Gateway) currentBlocks() *chunk.Indexed {
	u, err := g.catalog.UpdateSince(0, noRevision)
	if err != nil {
		return nil
	}
	return g.configBlocks.of(u.ConfigRevision, u.Config)
}

// configIndex answers a request for the index of a configuration that is newer than the
// caller's.
func (g *Gateway) configIndex(since uint64) (*meshpb.KnowledgeReply, error) {
	u, err := g.catalog.UpdateSince(since, noRevision)
	if err != nil || u.ConfigRevision == 0 {
		return &meshpb.KnowledgeReply{}, err
	}
	d := g.configBlocks.of(u.ConfigRevision, u.Config)
	out := &meshpb.KnowledgeReply{ConfigIndex: &meshpb.DocumentIndex{Digest: d.Digest, Size: uint64(d.Size), Blocks: d.Blocks}}
	out.ConfigRevision, out.ConfigEra = versionToWire(u.ConfigRevision)
	return out, nil
}

// Blocks implements meshpb.DRPCMeshServer.
func (s meshServer) Blocks(_ context.Context, in *meshpb.BlocksRequest) (*meshpb.BlocksReply, error) {
	s.g.currentBlocks() // so that they are among those found
	blocks := s.g.configBlocks.find(in.Hashes[:min(len(in.Hashes), maxBlocksAsked)])
	data, n, err := chunk.Pack(blocks, int(min(in.MaxBytes, maxReplyBytes)))
	if err != nil {
		return nil, err
	}
	out := &meshpb.BlocksReply{Data: data}
	for _, b := range blocks[:n] {
		out.Sizes = append(out.Sizes, uint32(len(b)))
	}
	return out, nil
}
