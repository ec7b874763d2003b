// Package mesh exchanges state between the instances that serve one fleet of
// upstreams, so that each knows the others' load, use of limits and demand, and
// whether a peer has a newer configuration.
//
// In a small fleet, each instance exchanges its state with every other
// instance. In a large one, it does so with the leads of its zone, which are
// the instances of the zone with the highest capacity. Leads exchange the sums of their
// zones with each other and pass on to each member what it does not know. A lead
// need not be the zone leader, which holds the lease of the zone. The traffic
// within a zone grows with its instances, and the traffic between zones with the
// number of zones.
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
	// smallFleetSize is the number of instances up to which each exchanges
	// states with all others.
	smallFleetSize = 16
	// leadsPerZone is the number of leads of a zone, more than one because a
	// lead's failure may go unnoticed for a while.
	leadsPerZone = 2
	// exchangeInterval is the age of a peer's state at which the state is
	// requested again.
	exchangeInterval = 150 * time.Millisecond
	// exchangeIntervalLarge is the same in a large fleet.
	exchangeIntervalLarge = 250 * time.Millisecond
	// silentRetryInterval is the interval between attempts to reach a peer that
	// does not answer.
	silentRetryInterval = time.Second
	// silentAfter is the time without a message from a peer after which it
	// counts as not answering.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the time after which a peer is removed if no instance has
	// received a message from it.
	forgetAfter = 20 * time.Second
	// presentTimeout is the time within which some instance must have received
	// a message from a peer for the peer to be counted and reported to others.
	presentTimeout = 5 * time.Second
	// maxExchangesPerRound is the maximum number of peers with which exchanges
	// are started in one round.
	maxExchangesPerRound = 16
	// memberListInterval is the interval at which the member list is sent to a
	// peer.
	memberListInterval = time.Second
	// memberListIntervalMember is the same for an instance of a large fleet that
	// is no lead, since its leads hear from all instances.
	memberListIntervalMember = 10 * time.Second
)

// member is this instance's view of a peer.
type member struct {
	info             *meshpb.MemberInfo
	stateAt          time.Duration // time of the last state received from it by this instance, 0 for never
	seenAt           time.Duration // time of the last message from it to any instance, as far as known
	requestedAt      time.Duration // start of the last exchange, 0 for never
	memberListSentAt time.Duration // 0 for never
	sequence         uint64        // of the last state received from it
	inFlight         bool          // an exchange is in progress
	leaving          bool
	storeReachable   bool          // it reports that it reaches the store
	storeEra         uint64        // latest era of the store that it reports
	watchers         []string      // last list of watchers that it reported
	watchersAt       time.Duration // time of the last report of watchers, 0 for never
}

// silent reports whether a state of the peer was requested and no instance has
// received a message from it for silentAfter, or the peer is leaving.
func (p *member) silent(now time.Duration) bool {
	return p.requestedAt != 0 && now-max(p.stateAt, p.seenAt) > silentAfter || p.leaving
}

// members is the set of peers. It is not safe for concurrent use.
type members struct {
	self             *meshpb.MemberInfo
	peers            map[string]*member       // by name
	seedsRequestedAt map[string]time.Duration // time of the last exchange with a seed, by address
	started          time.Duration
	era              uint64        // latest era of the store that any instance has reported
	eraAt            time.Duration // when it was first reported
}

func newMembers(started time.Duration, self *meshpb.MemberInfo) *members {
	return &members{self: self, peers: map[string]*member{}, seedsRequestedAt: map[string]time.Duration{}, started: started}
}

// addReported records a peer that another peer or the platform's list reports.
func (m *members) addReported(now time.Duration, info *meshpb.MemberInfo) {
	at := now - time.Duration(info.AgeMs)*time.Millisecond
	if info.Name == m.self.Name || info.PeerAddress == "" {
		return
	}
	known := m.peers[info.Name]
	switch {
	case known == nil:
		m.peers[info.Name] = &member{info: info, seenAt: at}
	case known.info.Incarnation == info.Incarnation:
		known.seenAt = max(known.seenAt, at)
	case at > max(known.stateAt, known.seenAt)+silentAfter:
		m.peers[info.Name] = &member{info: info, seenAt: at}
	}
}

// update records a state received from a peer. It returns false if the state is
// this instance's own or arrived out of order.
func (m *members) update(at time.Duration, s *meshpb.InstanceState) bool {
	if s.Name == m.self.Name {
		return false
	}
	known := m.peers[s.Name]
	if known == nil || known.info.Incarnation != s.Incarnation {
		known = &member{}
		m.peers[s.Name] = known
	}
	if s.Sequence <= known.sequence {
		return false
	}
	known.info = &meshpb.MemberInfo{Name: s.Name, Incarnation: s.Incarnation, PeerAddress: s.PeerAddress, Zone: s.Zone, Capacity: s.Capacity}
	known.sequence, known.stateAt, known.seenAt = s.Sequence, at, at
	known.leaving, known.storeReachable, known.storeEra = s.Leaving, s.StoreReachable, s.StoreEra
	m.observeEra(at, s.StoreEra)
	if len(s.Watchers) > 0 {
		known.watchers, known.watchersAt = s.Watchers, at
	}
	delete(m.seedsRequestedAt, s.PeerAddress)
	return true
}

// observeEra records that this instance or a peer knows an era of the store.
func (m *members) observeEra(now time.Duration, era uint64) {
	if era > m.era {
		m.era, m.eraAt = era, now
	}
}

// knowsEra reports whether the peer knows the latest era of the store or may just not have
// heard of it. What a peer of a build without eras reads counts as of an earlier era, so it
// does not read for others.
func (m *members) knowsEra(now time.Duration, p *member) bool {
	return p.storeEra >= m.era || now-m.eraAt < silentAfter
}

// isPresent reports whether any instance has received a message from the peer
// within presentTimeout and the peer is not leaving.
func (p *member) isPresent(now time.Duration) bool {
	return now-max(p.stateAt, p.seenAt) <= presentTimeout && !p.leaving
}

// present returns the present peers, sorted by name.
func (m *members) present(now time.Duration) []*member {
	var out []*member
	for _, p := range m.peers {
		if p.isPresent(now) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return cmp.Compare(a.info.Name, b.info.Name) })
	return out
}

// sample returns n present peers at random, see Exchanger.Sample.
func (m *members) sample(now time.Duration, rng *rand.Rand, n int, skip func(name string) bool) []*meshpb.MemberInfo {
	var near, far []*meshpb.MemberInfo
	large := m.large(now)
	for _, p := range m.present(now) {
		switch {
		case skip(p.info.Name):
		case !large || p.info.Zone == m.self.Zone:
			near = append(near, p.info)
		default:
			far = append(far, p.info)
		}
	}
	for _, list := range [][]*meshpb.MemberInfo{near, far} {
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	far = far[:min(len(far), max(1, n-len(near)))]
	near = near[:max(min(len(near), n-len(far)), 0)]
	return append(near, far...)
}

// presentCount returns the number of present instances, including this one.
func (m *members) presentCount(now time.Duration) int {
	n := 1
	for _, p := range m.peers {
		if p.isPresent(now) {
			n++
		}
	}
	return n
}

// large reports whether the fleet is large, so that states are summed by zone.
func (m *members) large(now time.Duration) bool { return m.presentCount(now) > smallFleetSize }

// compareRelays orders instances by their fitness to relay for others: by capacity,
// the highest first, then by name.
func compareRelays(a, b *meshpb.MemberInfo) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
}

// leads returns the names of a zone's leads in this instance's view: the first
// members of the zone by compareRelays that are not silent.
func (m *members) leads(now time.Duration, zone string) []string {
	var infos []*meshpb.MemberInfo
	if zone == m.self.Zone {
		infos = append(infos, m.self)
	}
	for _, p := range m.peers {
		if p.info.Zone == zone && !p.silent(now) {
			infos = append(infos, p.info)
		}
	}
	slices.SortFunc(infos, compareRelays)
	return names(infos[:min(len(infos), leadsPerZone)])
}

func names(infos []*meshpb.MemberInfo) []string {
	var out []string
	for _, i := range infos {
		out = append(out, i.Name)
	}
	return out
}

// isLead reports whether the named member of a zone is one of its leads.
func (m *members) isLead(now time.Duration, name, zone string) bool {
	return slices.Contains(m.leads(now, zone), name)
}

// dueForExchange returns the peers to exchange states with now, at most
// maxExchangesPerRound of them.
func (m *members) dueForExchange(now time.Duration, rng *rand.Rand) []*member {
	interval, isPartner := exchangeInterval, func(*member) bool { return true }
	if m.large(now) {
		interval, isPartner = exchangeIntervalLarge, m.exchangePartners(now)
	}
	var out []*member
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		if p.inFlight || !isPartner(p) {
			continue
		}
		if p.silent(now) && now-p.requestedAt < silentRetryInterval || !p.silent(now) && (now-p.stateAt < interval && p.stateAt != 0 || now-p.requestedAt < interval && p.requestedAt != 0) {
			continue
		}
		out = append(out, p)
	}
	if len(out) > maxExchangesPerRound {
		rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxExchangesPerRound]
	}
	return out
}

// exchangePartners returns a function that reports whether this instance
// exchanges states with a peer in a large fleet. The partners are the leads of
// the zone or, for a lead, its peers in the zone and one lead of each other zone.
func (m *members) exchangePartners(now time.Duration) func(*member) bool {
	own := m.leads(now, m.self.Zone)
	rank := slices.Index(own, m.self.Name)
	remoteLeads := map[string]bool{}
	if rank >= 0 {
		for _, p := range m.peers {
			if leads := m.leads(now, p.info.Zone); p.info.Zone != m.self.Zone && len(leads) > 0 {
				remoteLeads[leads[min(rank, len(leads)-1)]] = true
			}
		}
	}
	return func(p *member) bool {
		if p.info.Zone != m.self.Zone {
			return remoteLeads[p.info.Name]
		}
		return rank >= 0 || slices.Contains(own, p.info.Name)
	}
}

// removeExpired removes the peers from which no instance has received a message
// for forgetAfter, and returns them.
func (m *members) removeExpired(now time.Duration) []*meshpb.MemberInfo {
	var expired []*meshpb.MemberInfo
	for name, p := range m.peers {
		if now-max(p.stateAt, p.seenAt) > forgetAfter {
			expired = append(expired, p.info)
			delete(m.peers, name)
		}
	}
	return expired
}

// memberInfos returns this instance and the present peers, with the time since
// the last message from them to any instance.
func (m *members) memberInfos(now time.Duration) []*meshpb.MemberInfo {
	out := []*meshpb.MemberInfo{m.self}
	for _, p := range m.present(now) {
		out = append(out, &meshpb.MemberInfo{
			Name: p.info.Name, Incarnation: p.info.Incarnation, PeerAddress: p.info.PeerAddress, Zone: p.info.Zone, Capacity: p.info.Capacity,
			AgeMs: uint32((now - max(p.stateAt, p.seenAt)).Milliseconds()),
		})
	}
	return out
}

// withStoreReachable returns the names of the peers that answer and report that
// they reach the store, ordered by compareRelays. If zone is not empty, only peers of
// that zone are returned.
func (m *members) withStoreReachable(now time.Duration, zone string) []string {
	return names(m.storeReaders(now, zone))
}

func (m *members) storeReaders(now time.Duration, zone string) []*meshpb.MemberInfo {
	var out []*meshpb.MemberInfo
	for _, p := range m.peers {
		if p.stateAt != 0 && now-p.stateAt <= silentAfter && p.storeReachable && m.knowsEra(now, p) && !p.leaving && (zone == "" || p.info.Zone == zone) {
			out = append(out, p.info)
		}
	}
	slices.SortFunc(out, compareRelays)
	return out
}

// storeReaderRank returns the number of peers that reach the store and are fitter
// than this instance to read it for others. If zone is not empty, only peers of that
// zone count.
func (m *members) storeReaderRank(now time.Duration, zone string) int {
	rank := 0
	for _, i := range m.storeReaders(now, zone) {
		if compareRelays(i, m.self) < 0 {
			rank++
		}
	}
	return rank
}

// dueSeeds returns the seeds that are not the address of a known peer and are
// due for another exchange.
func (m *members) dueSeeds(now time.Duration, seeds []string) []string {
	known := map[string]bool{m.self.PeerAddress: true}
	for _, p := range m.peers {
		known[p.info.PeerAddress] = true
	}
	var out []string
	for _, s := range seeds {
		if requestedAt, ok := m.seedsRequestedAt[s]; known[s] || ok && now-requestedAt < silentRetryInterval {
			continue
		}
		m.seedsRequestedAt[s] = now
		out = append(out, s)
	}
	return out
}
