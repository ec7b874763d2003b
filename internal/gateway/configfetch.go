package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/chunk"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"storj.io/drpc"
)

const (
	// firstReplyBytes is the size of the first replies with blocks. It is halved by a call
	// that fails, and doubled by a reply of that size that takes less than quickCall.
	firstReplyBytes = 8 << 10
	minReplyBytes   = 4 << 10
	maxReplyBytes   = 32 << 10
	quickCall       = peerCallTimeout / 4
	// peersFirst is how long transfers from peers that receive nothing keep the instance from
	// reading the store, whose copy is whole and not compressed.
	peersFirst = time.Second
	// refusedFor is how long peers are not asked for a configuration that was not put in force.
	// Whether it is depends on more than its content.
	refusedFor = 2 * time.Second
	// maxGuesses is the number of peers in a row that are asked although they have not said
	// that they have the revision, once those that have said so failed.
	maxGuesses = 4
)

// configFetcher fetches the configuration from peers block by block. Blocks that it has,
// from whichever peer and revision, are not fetched again, so each call brings it closer to
// having a newer configuration, and no peer's silence lasts longer than a call.
type configFetcher struct {
	sources sources
	whole   documentFetcher // from peers of earlier builds
	// progressAt is when the running transfer last received something, or when the first of
	// those in a row that received nothing began, as a duration, 0 if none is running.
	progressAt atomic.Int64

	mu         sync.Mutex // held during a transfer
	fruitless  fruitlessTransfers
	target     configTarget
	collector  chunk.Collector
	replyBytes int
	refused    refusedConfig
}

// refusedConfig is the newest configuration from a peer that was not put in force.
type refusedConfig struct {
	revision uint64
	at       time.Duration
}

// upTo returns the revision up to which peers are not asked, 0 for none.
func (r refusedConfig) upTo(now time.Duration) uint64 {
	if now-r.at >= refusedFor {
		return 0
	}
	return r.revision
}

// fruitlessTransfers are transfers in a row that received nothing. The zero value has none.
type fruitlessTransfers struct {
	since time.Duration // when the first of them began
	own   uint64        // revision that the instance has meanwhile
}

// configTarget is the configuration that is being collected.
type configTarget struct {
	revision uint64
	index    chunk.Index
}

// transferStats describe a transfer for the log.
type transferStats struct {
	began                time.Duration
	calls, failed, bytes int
	guesses              int    // in a row
	answered             source // to the last call, with no name if that failed
}

// Errors of a peer's answers.
var (
	errNotNewer   = errors.New("the peer has no newer configuration")
	errNoBlocks   = errors.New("the peer has none of the blocks")
	errNotApplied = errors.New("the configuration was refused")
)

// run fetches until no peer is known to have a newer configuration, unless it runs
// already.
func (f *configFetcher) run(g *Gateway) {
	for f.pending(g) && f.mu.TryLock() {
		f.progressAt.Store(int64(f.waitsSince(g)))
		f.transfer(g)
		f.progressAt.Store(0)
		f.mu.Unlock()
	}
}

// waitsSince returns since when transfers have received nothing, for one that begins now.
func (f *configFetcher) waitsSince(g *Gateway) time.Duration {
	own, _, _ := g.catalog.Revisions()
	if f.fruitless == (fruitlessTransfers{}) || f.fruitless.own != own {
		f.fruitless = fruitlessTransfers{g.now(), own}
	}
	return f.fruitless.since
}

// arrives returns a function that reports whether a transfer is running, and transfers have
// received something within peersFirst or have been tried for less.
func (f *configFetcher) arrives(now func() time.Duration) func() bool {
	return func() bool {
		at := time.Duration(f.progressAt.Load())
		return at != 0 && now()-at < peersFirst
	}
}

// pending reports whether a peer is known to have a newer configuration.
func (f *configFetcher) pending(g *Gateway) bool {
	own, _, _ := g.catalog.Revisions()
	_, ok := f.sources.pick(g.now(), own)
	return ok
}

// transfer makes one call after another. A peer whose call fails is not asked again until
// it says what it has.
func (f *configFetcher) transfer(g *Gateway) {
	stats := transferStats{began: g.now()}
	for {
		own, _, _ := g.catalog.Revisions()
		if own >= f.target.revision {
			f.target = configTarget{}
		}
		refused := f.refused.upTo(g.now())
		s, ok := f.choose(g, max(own, refused), &stats)
		if !ok {
			f.sources.dropUpTo(refused)
			return
		}
		began := g.now()
		if err := f.advance(g, s, own, &stats); err != nil {
			f.sources.failed(g.now(), s.name)
			stats.failed, stats.answered = stats.failed+1, source{}
			g.log.Warn("failed to fetch from a peer", "kind", configDocument{}.String(), "peer", s.name, "lacks", s.revision, "calls", stats.calls,
				"bytes", stats.bytes, "reply_bytes", f.replyBytes, "call_ms", (g.now() - began).Milliseconds(), "error", err)
			continue
		}
		f.fruitless = fruitlessTransfers{}
		f.progressAt.Store(int64(g.now()))
		stats.guesses, stats.answered = 0, s
	}
}

// choose returns the peer to call next: the one that answered the last call, one that says
// that it has a newer configuration or, while all of those fail, one that may have it.
func (f *configFetcher) choose(g *Gateway, own uint64, stats *transferStats) (source, bool) {
	if stats.answered.revision > own {
		return stats.answered, true
	}
	s, ok := f.sources.pick(g.now(), own)
	if ok && !f.sources.suspect(g.now(), s.name) || stats.failed == 0 || stats.guesses >= maxGuesses {
		return s, ok
	}
	stats.guesses++
	if guess, found := f.guess(g, own); found {
		return guess, true
	}
	return s, ok
}

// guess returns a peer that relays for others, of any zone, and has not failed lately.
func (f *configFetcher) guess(g *Gateway, own uint64) (source, bool) {
	lacks, _ := g.configLag.lacks(g.now(), own)
	if lacks == 0 {
		return source{}, false
	}
	peers, _ := g.mesh.Candidates()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if !f.sources.suspect(g.now(), p.Name) {
			return source{name: p.Name, address: p.PeerAddress, sameZone: p.Zone == g.self.Zone, revision: lacks}, true
		}
	}
	return source{}, false
}

// advance makes one call to a peer, for the index of its configuration or for blocks, and
// puts the configuration in force when it is complete.
func (f *configFetcher) advance(g *Gateway, s source, own uint64, stats *transferStats) error {
	stats.calls++
	if f.target.revision == 0 {
		if done, err := f.fetchIndex(g, s, own); done || err != nil {
			return err
		}
	} else if err := f.fetchBlocks(g, s, stats); err != nil {
		return err
	}
	return f.apply(g, s, stats)
}

// apply puts the target in force if none of its blocks is missing.
func (f *configFetcher) apply(g *Gateway, s source, stats *transferStats) error {
	have := g.currentBlocks()
	if len(f.collector.Missing(f.target.index, have)) > 0 {
		return nil
	}
	target := f.target
	f.target = configTarget{}
	raw, err := f.collector.Assemble(target.index, have)
	if err != nil {
		return err
	}
	if err := g.catalog.Apply(storesync.Update{ConfigRevision: target.revision, Config: raw}, s.name); err != nil {
		return err
	}
	if revision, _, _ := g.catalog.Revisions(); revision < target.revision {
		f.refused = refusedConfig{max(f.refused.upTo(g.now()), target.revision), g.now()}
		return errNotApplied
	}
	g.log.Info("document fetched", "kind", configDocument{}.String(), "peer", s.name, "revision", target.revision, "calls", stats.calls, "failed_calls", stats.failed,
		"bytes", stats.bytes, "took_ms", (g.now() - stats.began).Milliseconds(), "behind_ms", g.configLag.behind(g.now()).Milliseconds())
	return nil
}

// fetchIndex asks a peer which blocks its configuration has. done means that the peer
// knows no index and has sent the whole document.
func (f *configFetcher) fetchIndex(g *Gateway, s source, own uint64) (done bool, err error) {
	request := configDocument{g}.request()
	request.WantIndex, request.MaxPartBytes = true, minPartBytes
	var reply *meshpb.KnowledgeReply
	if err := f.call(g, s, func(ctx context.Context, c meshpb.DRPCMeshClient) (err error) {
		reply, err = c.Knowledge(ctx, request)
		return err
	}); err != nil {
		return false, err
	}
	revision := versionFromWire(reply.ConfigRevision, reply.ConfigEra)
	switch {
	case reply.ConfigIndex != nil && revision > own:
		f.target = configTarget{revision, chunk.Index{
			Digest: reply.ConfigIndex.Digest, Size: int(min(reply.ConfigIndex.Size, math.MaxInt32)), Blocks: reply.ConfigIndex.Blocks,
		}}
		return false, nil
	case reply.ConfigPart == nil && len(reply.Config) == 0:
		return false, errNotNewer
	}
	f.whole.fetch(g, configDocument{g}, s.name, s.address)
	if revision, _, _ := g.catalog.Revisions(); revision <= own {
		return true, errNotApplied
	}
	return true, nil
}

// fetchBlocks asks a peer for blocks that are missing.
func (f *configFetcher) fetchBlocks(g *Gateway, s source, stats *transferStats) error {
	if f.replyBytes == 0 {
		f.replyBytes = firstReplyBytes
	}
	missing := f.collector.Missing(f.target.index, g.currentBlocks())
	if len(missing) == 0 {
		return nil // the instance has read a configuration with them meanwhile
	}
	request := &meshpb.BlocksRequest{Hashes: missing[:min(len(missing), maxBlocksAsked)], MaxBytes: uint32(f.replyBytes)}
	var reply *meshpb.BlocksReply
	began := g.now()
	if err := f.call(g, s, func(ctx context.Context, c meshpb.DRPCMeshClient) (err error) {
		reply, err = c.Blocks(ctx, request)
		return err
	}); err != nil {
		f.replyBytes = max(f.replyBytes/2, minReplyBytes)
		return err
	}
	if g.now()-began < quickCall && len(reply.Data) >= f.replyBytes {
		f.replyBytes = min(2*f.replyBytes, maxReplyBytes)
	}
	stats.bytes += len(reply.Data)
	added, err := f.collector.Add(reply.Data, reply.Sizes)
	if err == nil && added == 0 {
		f.target = configTarget{} // a revision that peers no longer have
		err = errNoBlocks
	}
	return err
}

func (f *configFetcher) call(g *Gateway, s source, do func(context.Context, meshpb.DRPCMeshClient) error) error {
	err := g.peers.Call(context.Background(), s.address, func(ctx context.Context, conn drpc.Conn) error {
		return do(ctx, meshpb.NewDRPCMeshClient(conn))
	})
	if err != nil {
		return fmt.Errorf("gateway: calling %s: %w", s.name, err)
	}
	return nil
}
