// Package member maintains one instance's view of the other instances and of
// leaving upstreams. Its inputs are the platform's instance list, which lags
// behind, the entries that instances send of themselves, and the results of calls.
// An incarnation counts as leaving as soon as any source reports it. The outputs
// are the peers of the instance and the addresses of leaving upstreams.
package member

import (
	_ "embed"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/statechart"
)

//go:embed instance.hujson
var chartSource []byte

var instanceChart = statechart.MustLoad(chartSource)

// States of the state machine in instance.hujson.
const (
	stateLive    = "live"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// Events of the state machine in instance.hujson.
const (
	eventAnswered = "answered"
	eventFailed   = "failed"
	eventLeaving  = "leaving"
	eventUnlisted = "unlisted"
)

// member is a known instance with the state machine of its current incarnation.
type member struct {
	inst    objectstore.Instance
	machine *statechart.Machine
}

// View holds the known instances and the last read of the platform's list. It does
// no I/O and is not safe for concurrent use.
//
// Invariant: once any source has reported that an incarnation is leaving, no older
// or slower source makes that incarnation live again.
type View struct {
	self         string
	members      map[string]*member
	leavingSince map[runKey]time.Duration // time at which an incarnation was first seen leaving
	list         List
	changes      uint64
}

// ChangeCount returns a counter that increases when the result of Peers,
// LeavingUpstreams or List().Instances may have changed.
func (v *View) ChangeCount() uint64 { return v.changes }

// runKey identifies one run of an instance. ObserveUpstreamLeaving identifies
// upstreams by address instead.
type runKey struct {
	name        string
	incarnation string
}

// leavingTTL is the minimum time for which a leaving incarnation is remembered. It
// is longer than the lag of any source.
const leavingTTL = 10 * time.Minute

// NewView returns an empty view of the instance named self.
func NewView(self string) *View {
	return &View{self: self, members: map[string]*member{}, leavingSince: map[runKey]time.Duration{}}
}

// ObserveList applies the platform's list as read at readAt, a monotonic time on
// the local clock. A list read no later than the last one is ignored.
func (v *View) ObserveList(now, readAt time.Duration, list []objectstore.Instance) {
	if v.list.Known && readAt <= v.list.ReadAt {
		return
	}
	next := newList(readAt, list)
	if !v.list.Known || next.Hash != v.list.Hash {
		v.changes++
	}
	v.list = next
	seen := map[string]bool{}
	for _, inst := range list {
		seen[inst.Name] = true
		v.observe(now, inst)
	}
	for name, m := range v.members {
		if !seen[name] {
			v.fire(now, m, eventUnlisted)
		}
	}
	v.expireLeaving(now)
}

// ObserveSameList records that another instance has read the same list at readAt.
func (v *View) ObserveSameList(now, readAt time.Duration) {
	v.ObserveList(now, readAt, v.list.Instances)
}

// List returns the last read of the platform's list.
func (v *View) List() List { return v.list }

// ObservePeer applies the entry that an instance sent of itself in a request or
// reply.
func (v *View) ObservePeer(now time.Duration, inst objectstore.Instance) {
	v.observe(now, inst)
	if m := v.members[inst.Name]; m != nil && inst.State == objectstore.InstanceLive && m.inst.Incarnation == inst.Incarnation {
		v.fire(now, m, eventAnswered)
	}
}

// observe adds or replaces an instance. A leaving entry replaces a live one of the
// same incarnation, but never the reverse.
func (v *View) observe(now time.Duration, inst objectstore.Instance) {
	if inst.Name == v.self {
		return
	}
	key := runKey{inst.Name, inst.Incarnation}
	if _, leaving := v.leavingSince[key]; leaving && inst.State == objectstore.InstanceLive {
		return
	}
	m := v.members[inst.Name]
	if m == nil || m.inst.Incarnation != inst.Incarnation {
		m = &member{machine: instanceChart.NewMachine()}
		v.members[inst.Name] = m
	}
	if m.inst != inst {
		v.changes++
	}
	m.inst = inst
	if inst.State == objectstore.InstanceLeaving {
		v.fire(now, m, eventLeaving)
	}
}

// ObserveCall records whether a call to the named instance got a reply.
func (v *View) ObserveCall(now time.Duration, name string, ok bool) {
	m := v.members[name]
	switch {
	case m == nil:
	case ok:
		v.fire(now, m, eventAnswered)
	default:
		v.fire(now, m, eventFailed)
	}
}

// ObserveUpstreamLeaving records that the upstream at address has reported that it
// is leaving.
func (v *View) ObserveUpstreamLeaving(now time.Duration, address string) {
	for _, m := range v.members {
		if m.inst.Role == objectstore.RoleUpstream && m.inst.Address == address {
			v.fire(now, m, eventLeaving)
		}
	}
}

// fire sends an event to the state machine of a member and applies the new state.
func (v *View) fire(now time.Duration, m *member, event string) {
	before := m.machine.State()
	state, err := m.machine.Fire(event)
	if err != nil {
		panic(err) // unreachable: instance.hujson defines every event in every state
	}
	if state != before {
		v.changes++
	}
	key := runKey{m.inst.Name, m.inst.Incarnation}
	if state == stateLeaving {
		if _, known := v.leavingSince[key]; !known {
			v.leavingSince[key] = now
		}
	}
	if state == stateGone {
		delete(v.members, m.inst.Name)
	}
}

// expireLeaving removes incarnations that started to leave more than leavingTTL ago
// and whose instance is no longer a member.
func (v *View) expireLeaving(now time.Duration) {
	for key, since := range v.leavingSince {
		_, present := v.members[key.name]
		if !present && now-since > leavingTTL {
			delete(v.leavingSince, key)
		}
	}
}

// Peers returns the other entry instances that are not leaving, sorted by name.
func (v *View) Peers() []objectstore.Instance {
	var peers []objectstore.Instance
	for _, m := range v.members {
		if m.inst.Role == objectstore.RoleEntry && m.machine.State() != stateLeaving {
			peers = append(peers, m.inst)
		}
	}
	slices.SortFunc(peers, func(a, b objectstore.Instance) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

// IsSuspect reports whether the named instance is suspect: the last call to it
// failed.
func (v *View) IsSuspect(name string) bool {
	m := v.members[name]
	return m != nil && m.machine.State() == stateSuspect
}

// LeavingUpstreams returns the addresses of upstreams that are leaving.
func (v *View) LeavingUpstreams() map[string]bool {
	leaving := map[string]bool{}
	for _, m := range v.members {
		if m.inst.Role == objectstore.RoleUpstream && m.machine.State() == stateLeaving {
			leaving[m.inst.Address] = true
		}
	}
	return leaving
}

// Sample returns up to n random peers for which keep returns true. It prefers peers
// that are not suspect.
func (v *View) Sample(rng *rand.Rand, n int, keep func(objectstore.Instance) bool) []objectstore.Instance {
	var healthy, suspect []objectstore.Instance
	for _, p := range v.Peers() {
		switch {
		case !keep(p):
		case v.IsSuspect(p.Name):
			suspect = append(suspect, p)
		default:
			healthy = append(healthy, p)
		}
	}
	for _, list := range [][]objectstore.Instance{healthy, suspect} {
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := append(healthy, suspect...)
	return all[:min(n, len(all))]
}
