package gateway

import (
	"context"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"storj.io/drpc"
)

const (
	// releaseInterval is the shortest time between two calls that release permits of the
	// same arbiter. Where fewer permits end, each is released at once, since requests may
	// wait for it.
	releaseInterval = 8 * time.Millisecond
	// maxReleaseQueue is the number of ended permits that are kept for one arbiter. Those
	// beyond it expire there.
	maxReleaseQueue = 4096
	// releaseAttempts is the number of calls in a row that may fail before the ended
	// permits are left to expire, with pauses of releaseRetryInterval.
	releaseAttempts      = 5
	releaseRetryInterval = 50 * time.Millisecond
	// releaseTimeout is the timeout of one call.
	releaseTimeout = 200 * time.Millisecond
)

// releaseQueue holds the ended permits of one arbiter.
type releaseQueue struct {
	ended   []*meshpb.EndedPermit
	sending bool
}

// withdraw tells an arbiter that a request has no use for a permit, also if one was granted.
func (p *permits) withdraw(to *meshpb.MemberInfo, in *meshpb.PermitRequest) {
	p.release(to, &meshpb.EndedPermit{Service: in.Service, Id: in.Id})
}

// ended releases the permit of a placement, if it has one, when the placement ends. full is
// whether the upstream had no room.
func (p *permits) ended(placement *assign.Placement, result assign.Result, full bool) {
	p.mu.Lock()
	h := p.grants[placement]
	delete(p.grants, placement)
	p.mu.Unlock()
	if h == nil {
		return
	}
	served := uint32(max((p.g.now() - h.at).Milliseconds(), 1))
	e := &meshpb.EndedPermit{Service: h.service, Id: h.id, Rejected: full || result == assign.ResultFailed}
	if !full && result != assign.ResultUnknown {
		e.ServedMs = served
	}
	p.release(h.arbiter, e)
}

// release queues an ended permit for its arbiter. Together, rejected and a duration mean that
// the upstream failed.
func (p *permits) release(to *meshpb.MemberInfo, e *meshpb.EndedPermit) {
	if to.Name == p.g.self.Name {
		p.serveRelease(&meshpb.PermitRelease{Instance: p.g.self.Name, Incarnation: p.g.self.Incarnation, Ended: []*meshpb.EndedPermit{e}})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.releases[to.PeerAddress]
	if q == nil {
		q = &releaseQueue{}
		p.releases[to.PeerAddress] = q
	}
	if len(q.ended) >= maxReleaseQueue {
		p.g.metrics.Count("permit_releases_lost")
		return
	}
	q.ended = append(q.ended, e)
	if !q.sending {
		q.sending = true
		go p.sendReleases(to.PeerAddress, q)
	}
}

// sendReleases sends the ended permits of an arbiter until there are no more.
func (p *permits) sendReleases(address string, q *releaseQueue) {
	for {
		p.mu.Lock()
		batch := q.ended
		q.ended = nil
		if len(batch) == 0 {
			q.sending = false
			delete(p.releases, address)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		p.sendBatch(address, batch)
		time.Sleep(releaseInterval)
	}
}

func (p *permits) sendBatch(address string, batch []*meshpb.EndedPermit) {
	in := &meshpb.PermitRelease{Instance: p.g.self.Name, Incarnation: p.g.self.Incarnation, Ended: batch}
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := p.peers.Call(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
			_, err := meshpb.NewDRPCMeshClient(conn).ReleasePermits(ctx, in)
			return err
		})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releaseRetryInterval)
	}
	p.g.metrics.Count("permit_releases_lost")
	p.g.log.Debug("failed to release permits", "address", address, "permits", len(batch))
}
