package assign

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// waitingPrefix begins the names under which instances report, beside their loads at
	// upstreams, the jobs that wait in their queues. The name goes on with the service and
	// the model. Earlier builds ignore the loads of upstreams that they do not know.
	waitingPrefix = "waiting:"
	// maxWaitingReports bounds the models of which waiting jobs are reported, since names of
	// models come from callers.
	maxWaitingReports = 64
)

// waitingKey is the name under which waiting jobs of the model of j are reported.
func waitingKey(j *Job) string { return waitingPrefix + j.Service + "/" + j.Model }

// QueueLoads returns the jobs that wait at this instance, as the pending part of a load, by
// the name under which they are reported. They are the most numerous, maxWaitingReports at
// most.
func (s *Scheduler) QueueLoads(now time.Duration) map[string]Load {
	out := map[string]Load{}
	for _, j := range s.queue {
		l := out[waitingKey(j)]
		l.Pending[j.UrgencyAt(now)]++
		out[waitingKey(j)] = l
	}
	if len(out) <= maxWaitingReports {
		return out
	}
	names := slices.SortedFunc(maps.Keys(out), func(a, b string) int {
		la, lb := out[a], out[b]
		return cmp.Or(cmp.Compare(lb.Requests(), la.Requests()), cmp.Compare(a, b))
	})
	for _, name := range names[maxWaitingReports:] {
		delete(out, name)
	}
	return out
}

// sumPeerWaiting recomputes how many jobs wait at peers, by reported name.
func (s *Scheduler) sumPeerWaiting() {
	s.peerWaiting = map[string]Load{}
	for _, p := range s.peers {
		for name, l := range p.Loads {
			if strings.HasPrefix(name, waitingPrefix) {
				sum := s.peerWaiting[name]
				sum.Add(&l)
				s.peerWaiting[name] = sum
			}
		}
	}
}

// waitingCounts returns the number of jobs of the job's model that wait at this instance,
// including j, and at its peers as they reported.
func (s *Scheduler) waitingCounts(j *Job) (own, peers int) {
	if !j.queued {
		own = 1
	}
	for _, w := range s.queue {
		if w.Service == j.Service && w.Model == j.Model {
			own++
		}
	}
	l := s.peerWaiting[waitingKey(j)]
	return own, l.Requests()
}

// shareOfSlots returns the fraction of the slots, and of those that are free, that this
// instance may use when the slots are nearly full: its part of the requests that run and wait
// over all instances. With even parts the queue of one instance would grow while the part of
// another is not used. An instance without requests keeps half of an even part.
func (s *Scheduler) shareOfSlots(j *Job, totals slotTotals) float64 {
	own, peers := s.waitingCounts(j)
	share := float64(totals.ownRequests+own) / float64(totals.requests+own+peers)
	return max(share, 1/(2*s.instanceCount()))
}

// moreUrgentWaits reports whether a job of the same model that is more urgent than urgency
// waits at a peer.
func (s *Scheduler) moreUrgentWaits(j *Job, urgency int) bool {
	l := s.peerWaiting[waitingKey(j)]
	for _, n := range l.Pending[:urgency] {
		if n > 0 {
			return true
		}
	}
	return false
}
