package gateway

import (
	"context"
	"math"
	"sync"

	"github.com/eelgrassbay/eelgrassbay/internal/chunk"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/storesync"
	"storj.io/drpc"
)

// The size of the parts in which documents are fetched, in bytes, adapts to the
// link: it is halved by a part that does not come through within the timeout of a
// call and doubled by one that does.
const (
	minPartBytes   = 4 << 10
	firstPartBytes = 32 << 10
	maxPartBytes   = 128 << 10
	// noRevision is a revision that no document is newer than. A request with it
	// asks for other documents only.
	noRevision = math.MaxUint64
)

// document is one kind of document that instances fetch from each other.
type document interface {
	// String returns the name of the kind, for the log.
	String() string
	// lag returns what is known of the revisions that this instance lacks.
	lag() *lag
	// request returns the request for what this instance lacks.
	request() *meshpb.KnowledgeRequest
	// part returns the part in a reply, nil if there is none.
	part(reply *meshpb.KnowledgeReply) *meshpb.DocumentPart
	// apply puts the document in force: raw or, if that is nil, the whole document
	// in the reply of an earlier build, if any.
	apply(reply *meshpb.KnowledgeReply, raw []byte, peer string) error
}

// documentFetcher fetches one kind of document in parts, from one peer at a time. A
// transfer that failed goes on with the next peer that has the same document. Its
// zero value is ready for use.
type documentFetcher struct {
	mu        sync.Mutex // held during a transfer
	assembly  chunk.Assembly
	partBytes int
}

// fetch runs one transfer from a peer, unless another is running. It ends when the
// document is in force, the peer has nothing new or a part failed: the next peer that
// tells of a newer revision is asked then, and what was received is kept for it.
func (f *documentFetcher) fetch(g *Gateway, doc document, peer, address string) {
	if !f.mu.TryLock() {
		return
	}
	defer f.mu.Unlock()
	began := g.now()
	parts, received := 0, 0
	log := g.log.With("peer", peer)
	for {
		n, done, err := f.fetchPart(g, doc, peer, address)
		if n > 0 {
			parts, received = parts+1, received+n
		}
		switch {
		case err != nil:
			log.Warn("failed to fetch a part of a document", "kind", doc.String(), "part_bytes", f.partBytes, "parts", parts,
				"bytes", received, "took_ms", (g.now() - began).Milliseconds(), "error", err)
			return
		case done && parts > 0:
			log.Info("document fetched", "kind", doc.String(), "parts", parts, "bytes", received, "took_ms", (g.now() - began).Milliseconds(),
				"behind_ms", doc.lag().behind(g.now()).Milliseconds())
			return
		case done:
			return
		}
	}
}

// fetchPart fetches the next part. It returns the number of bytes received and
// whether the transfer has ended.
func (f *documentFetcher) fetchPart(g *Gateway, doc document, peer, address string) (n int, done bool, err error) {
	if f.partBytes == 0 {
		f.partBytes = firstPartBytes
	}
	req := doc.request()
	digest, offset := f.assembly.Next()
	req.MaxPartBytes, req.Digest, req.Offset = uint32(f.partBytes), digest, uint64(offset)
	var reply *meshpb.KnowledgeReply
	err = g.peers.Call(context.Background(), address, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = meshpb.NewDRPCMeshClient(conn).Knowledge(ctx, req)
		return err
	})
	if err != nil {
		f.partBytes = max(f.partBytes/2, minPartBytes)
		return 0, false, err
	}
	p := doc.part(reply)
	if p == nil {
		return 0, true, doc.apply(reply, nil, peer)
	}
	f.partBytes = min(2*f.partBytes, maxPartBytes)
	raw, complete, err := f.assembly.Add(chunk.Part{
		Digest: p.Digest, Size: int(min(p.Size, math.MaxInt32)), Offset: int(min(p.Offset, math.MaxInt32)), Data: p.Data,
	})
	if err != nil || !complete {
		return len(p.Data), false, err
	}
	return len(p.Data), true, doc.apply(reply, raw, peer)
}

// configDocument is the configuration.
type configDocument struct{ g *Gateway }

func (d configDocument) String() string { return "configuration" }

func (d configDocument) lag() *lag { return &d.g.configLag }

func (d configDocument) request() *meshpb.KnowledgeRequest {
	revision, _, _ := d.g.catalog.Revisions()
	out := &meshpb.KnowledgeRequest{RosterRevision: noRevision}
	out.ConfigRevision, out.ConfigEra = versionToWire(revision)
	return out
}

func (d configDocument) part(reply *meshpb.KnowledgeReply) *meshpb.DocumentPart {
	return reply.ConfigPart
}

func (d configDocument) apply(reply *meshpb.KnowledgeReply, raw []byte, peer string) error {
	if raw == nil {
		raw = reply.Config
	}
	return d.g.catalog.Apply(storesync.Update{ConfigRevision: versionFromWire(reply.ConfigRevision, reply.ConfigEra), Config: raw}, peer)
}

// rosterDocument is the list of upstreams, as changes since the revision that this
// instance has.
type rosterDocument struct{ g *Gateway }

func (d rosterDocument) String() string { return "upstreams" }

func (d rosterDocument) lag() *lag { return &d.g.rosterLag }

func (d rosterDocument) request() *meshpb.KnowledgeRequest {
	out := &meshpb.KnowledgeRequest{ConfigRevision: noRevision}
	out.RosterRevision, out.RosterEra = versionToWire(d.g.catalog.RosterBase())
	return out
}

func (d rosterDocument) part(reply *meshpb.KnowledgeReply) *meshpb.DocumentPart {
	return reply.RosterPart
}

func (d rosterDocument) apply(reply *meshpb.KnowledgeReply, raw []byte, peer string) error {
	revision := versionFromWire(reply.RosterRevision, reply.RosterEra)
	if raw != nil {
		return d.g.catalog.ApplyRosterChanges(revision, raw, peer)
	}
	return d.g.catalog.Apply(storesync.Update{RosterRevision: revision, Roster: reply.Roster}, peer)
}

// keptEncodings is the number of encoded documents that an instance keeps, so that a
// transfer ends with the revision with which it began.
const keptEncodings = 8

// encodings are the documents that were sent to peers last. Its zero value is empty. It is
// safe for concurrent use.
type encodings struct {
	mu     sync.Mutex
	recent []revisionEncoding
}

type revisionEncoding struct {
	revision uint64
	*chunk.Document
}

// begun returns the document of which a peer has a prefix, if it is newer than the
// revision that the peer has.
func (e *encodings) begun(digest, since uint64) (revisionEncoding, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.recent {
		if digest != 0 && r.Digest == digest && r.revision > since {
			return r, true
		}
	}
	return revisionEncoding{}, false
}

// encode encodes a document. cached is whether a revision has one encoding only, so that
// it is made once.
func (e *encodings) encode(revision uint64, raw []byte, cached bool) (revisionEncoding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.recent {
		if cached && r.revision == revision {
			return r, nil
		}
	}
	encoded, err := chunk.Encode(raw)
	if err != nil {
		return revisionEncoding{}, err
	}
	r := revisionEncoding{revision, encoded}
	e.recent = append(e.recent, r)
	if len(e.recent) > keptEncodings {
		e.recent = append(e.recent[:0:0], e.recent[1:]...)
	}
	return r, nil
}

// knowledgeParts answers a request for parts of the documents that are newer than
// those of the caller.
func (g *Gateway) knowledgeParts(in *meshpb.KnowledgeRequest, ownConfig, ownRoster uint64) (*meshpb.KnowledgeReply, error) {
	out := &meshpb.KnowledgeReply{}
	config, err := g.configEncoding(in.Digest, ownConfig)
	if err != nil {
		return nil, err
	}
	if config.revision > 0 {
		out.ConfigPart = partToWire(config.Document, in)
		out.ConfigRevision, out.ConfigEra = versionToWire(config.revision)
	}
	roster, err := g.rosterEncoding(in.Digest, ownRoster)
	if err != nil {
		return nil, err
	}
	if roster.revision > 0 {
		out.RosterPart = partToWire(roster.Document, in)
		out.RosterRevision, out.RosterEra = versionToWire(roster.revision)
	}
	return out, nil
}

// configEncoding returns the encoded configuration for a peer that has the given revision and
// a prefix of the document with the digest, with revision 0 if there is no newer one.
func (g *Gateway) configEncoding(digest, own uint64) (revisionEncoding, error) {
	if begun, ok := g.configEncodings.begun(digest, own); ok {
		return begun, nil
	}
	u, err := g.catalog.UpdateSince(own, noRevision)
	if err != nil || u.ConfigRevision == 0 {
		return revisionEncoding{}, err
	}
	return g.configEncodings.encode(u.ConfigRevision, u.Config, true)
}

// rosterEncoding is the same as configEncoding for the changes of the list of upstreams.
func (g *Gateway) rosterEncoding(digest, own uint64) (revisionEncoding, error) {
	if begun, ok := g.rosterEncodings.begun(digest, own); ok {
		return begun, nil
	}
	revision, changes, err := g.catalog.RosterChanges(own)
	if err != nil || revision == 0 {
		return revisionEncoding{}, err
	}
	return g.rosterEncodings.encode(revision, changes, false)
}

func partToWire(d *chunk.Document, in *meshpb.KnowledgeRequest) *meshpb.DocumentPart {
	p := d.Part(in.Digest, int(min(in.Offset, chunk.MaxSize)), int(min(in.MaxPartBytes, maxPartBytes)))
	return &meshpb.DocumentPart{Digest: p.Digest, Size: uint64(p.Size), Offset: uint64(p.Offset), Data: p.Data}
}
