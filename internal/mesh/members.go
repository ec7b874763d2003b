// Package mesh keeps the instances before one fleet in touch: each swaps its
// state with its peers several times a second, so that all know of each
// other's work, use of limits and demand, and of newer configuration.
package mesh

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
)

const (
	// swapEvery is how old a peer's state may become before it is asked for.
	swapEvery = 150 * time.Millisecond
	// silentEvery is how often a peer that does not answer is tried.
	silentEvery = time.Second
	// silentAfter is when a peer counts as not answering.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is when a peer that does not answer is forgotten.
	forgetAfter = 20 * time.Second
	// fanOut bounds the peers asked in one round: with more peers each is
	// asked less often.
	fanOut = 12
)

// member is a peer as this instance knows it.
type member struct {
	info     *meshpb.MemberInfo
	heard    time.Duration // when the last state was asked for, or came
	met      time.Duration // when the peer was first known
	asked    time.Duration
	sequence uint64
	asking   bool
	leaving  bool
	answered bool
	reaches  bool // says that it reaches the store
}

// members is the set of peers. It is not safe for concurrent use.
type members struct {
	self  *meshpb.MemberInfo
	peers map[string]*member
	seeds map[string]time.Duration // addresses without a known name, and when asked
}

func newMembers(self *meshpb.MemberInfo) *members {
	return &members{self: self, peers: map[string]*member{}, seeds: map[string]time.Duration{}}
}

// learn takes in a peer that another one told of.
func (m *members) learn(now time.Duration, info *meshpb.MemberInfo) {
	if info.Name == m.self.Name || info.PeerAddress == "" {
		return
	}
	known := m.peers[info.Name]
	if known == nil {
		m.peers[info.Name] = &member{info: info, met: now}
		return
	}
	if known.info.Incarnation != info.Incarnation && now-known.heard > silentAfter {
		m.peers[info.Name] = &member{info: info, met: now}
	}
}

// heard takes in a peer's own state, and reports whether it is news rather
// than a message that was overtaken.
func (m *members) heard(now time.Duration, s *meshpb.InstanceState) bool {
	if s.Name == m.self.Name {
		return false
	}
	known := m.peers[s.Name]
	if known == nil || known.info.Incarnation != s.Incarnation {
		known = &member{met: now}
		m.peers[s.Name] = known
	}
	if s.Sequence <= known.sequence {
		return false
	}
	known.info = &meshpb.MemberInfo{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress, Zone: s.Zone}
	known.sequence, known.heard, known.leaving, known.answered = s.Sequence, now, s.Leaving, true
	known.reaches = s.StoreReachable
	delete(m.seeds, s.PeerAddress)
	return true
}

// due returns the peers to ask now, at most fanOut of them.
func (m *members) due(now time.Duration, rng *rand.Rand) []*member {
	var out []*member
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		if p.asking {
			continue
		}
		silent := now-max(p.heard, p.met) > silentAfter
		if silent && now-p.asked < silentEvery || !silent && now-p.heard < swapEvery {
			continue
		}
		out = append(out, p)
	}
	if len(out) > fanOut {
		rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:fanOut]
	}
	return out
}

// forget drops peers that have been silent for long, and returns them.
func (m *members) forget(now time.Duration) []*meshpb.MemberInfo {
	var gone []*meshpb.MemberInfo
	for name, p := range m.peers {
		if now-max(p.heard, p.met) > forgetAfter {
			gone = append(gone, p.info)
			delete(m.peers, name)
		}
	}
	return gone
}

// infos returns the peers that answer and this instance.
func (m *members) infos(now time.Duration) []*meshpb.MemberInfo {
	out := []*meshpb.MemberInfo{m.self}
	for _, p := range m.peers {
		if p.answered && now-p.heard <= silentAfter && !p.leaving {
			out = append(out, p.info)
		}
	}
	slices.SortFunc(out, func(a, b *meshpb.MemberInfo) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// reaching returns the names of the peers that answer and say that they reach
// the store, in order.
func (m *members) reaching(now time.Duration) []string {
	var out []string
	for name, p := range m.peers {
		if p.answered && now-p.heard <= silentAfter && p.reaches && !p.leaving {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// dueSeeds returns the addresses of seeds that no known peer has.
func (m *members) dueSeeds(now time.Duration, seeds []string) []string {
	known := map[string]bool{m.self.PeerAddress: true}
	for _, p := range m.peers {
		known[p.info.PeerAddress] = true
	}
	var out []string
	for _, s := range seeds {
		if known[s] || now-m.seeds[s] < silentEvery && m.seeds[s] != 0 {
			continue
		}
		m.seeds[s] = now
		out = append(out, s)
	}
	return out
}
