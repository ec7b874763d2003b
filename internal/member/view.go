// Package member keeps one instance's view of the other instances and of
// leaving upstreams. It merges the platform's list, which lags, with what
// instances say of themselves and with the outcome of calls; the first source
// to say that an incarnation leaves is believed.
package member

import (
	_ "embed"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/chart"
	"github.com/eelgrassbay/eelgrassbay/internal/platform"
)

//go:embed instance.hujson
var chartSource []byte

var instanceChart = chart.MustLoad(chartSource)

// States of the chart.
const (
	stateLive    = "live"
	stateSuspect = "suspect"
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// Events of the chart.
const (
	eventAnswered = "answered"
	eventFailed   = "failed"
	eventLeaving  = "leaving"
	eventUnlisted = "unlisted"
)

type member struct {
	inst    platform.Instance
	machine *chart.Machine
}

// View is a plain value without I/O; it is not safe for concurrent use.
//
// Invariant: once any source has said that an incarnation is leaving, no older
// or slower source makes that incarnation live again.
type View struct {
	self     string
	members  map[string]*member
	departed map[departure]time.Duration // leaving, and when first seen
	list     List
	changes  uint64
}

// Changes grows when the result of Peers, LeavingUpstreams or List().Instances
// may have changed.
func (v *View) Changes() uint64 { return v.changes }

// departure names one run of an instance. Upstreams are known by address.
type departure struct {
	name        string
	incarnation string
}

// departedKept is how long a departure is remembered: longer than any source
// lags.
const departedKept = 10 * time.Minute

// NewView returns an empty view for the instance named self.
func NewView(self string) *View {
	return &View{self: self, members: map[string]*member{}, departed: map[departure]time.Duration{}}
}

// ObserveList takes the platform's list as it was read at readAt on the local
// clock. An older read than the last one is ignored.
func (v *View) ObserveList(now, readAt time.Duration, list []platform.Instance) {
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
	v.forget(now)
}

// ObserveSameList takes a read, made elsewhere, that equals the last one.
func (v *View) ObserveSameList(now, readAt time.Duration) {
	v.ObserveList(now, readAt, v.list.Instances)
}

// List returns the last read of the platform's list.
func (v *View) List() List { return v.list }

// ObserveSelf takes what an instance says of itself, in a call or an answer.
func (v *View) ObserveSelf(now time.Duration, inst platform.Instance) {
	v.observe(now, inst)
	if m := v.members[inst.Name]; m != nil && inst.State == platform.InstanceLive && m.inst.Incarnation == inst.Incarnation {
		v.fire(now, m, eventAnswered)
	}
}

// observe adds or replaces an instance. An entry that is leaving replaces a
// live one of the same incarnation, never the reverse.
func (v *View) observe(now time.Duration, inst platform.Instance) {
	if inst.Name == v.self {
		return
	}
	key := departure{inst.Name, inst.Incarnation}
	if _, gone := v.departed[key]; gone && inst.State == platform.InstanceLive {
		return
	}
	m := v.members[inst.Name]
	if m == nil || m.inst.Incarnation != inst.Incarnation {
		m = &member{machine: instanceChart.New()}
		v.members[inst.Name] = m
	}
	if m.inst != inst {
		v.changes++
	}
	m.inst = inst
	if inst.State == platform.InstanceLeaving {
		v.fire(now, m, eventLeaving)
	}
}

// ObserveCall takes the outcome of a call to an instance.
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

// ObserveUpstreamLeaving takes an upstream's own word that it is leaving.
func (v *View) ObserveUpstreamLeaving(now time.Duration, address string) {
	for _, m := range v.members {
		if m.inst.Role == platform.RoleUpstream && m.inst.Address == address {
			v.fire(now, m, eventLeaving)
		}
	}
}

func (v *View) fire(now time.Duration, m *member, event string) {
	before := m.machine.State()
	state, err := m.machine.Fire(event)
	if err != nil {
		panic(err) // the chart defines every event in every state
	}
	if state != before {
		v.changes++
	}
	key := departure{m.inst.Name, m.inst.Incarnation}
	if state == stateLeaving {
		if _, known := v.departed[key]; !known {
			v.departed[key] = now
		}
	}
	if state == stateGone {
		delete(v.members, m.inst.Name)
	}
}

func (v *View) forget(now time.Duration) {
	for key, since := range v.departed {
		_, present := v.members[key.name]
		if !present && now-since > departedKept {
			delete(v.departed, key)
		}
	}
}

// Peers returns the other entry instances that are not leaving, by name.
func (v *View) Peers() []platform.Instance {
	var peers []platform.Instance
	for _, m := range v.members {
		if m.inst.Role == platform.RoleEntry && m.machine.State() != stateLeaving {
			peers = append(peers, m.inst)
		}
	}
	slices.SortFunc(peers, func(a, b platform.Instance) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

// Suspect reports whether the last call to an instance failed.
func (v *View) Suspect(name string) bool {
	m := v.members[name]
	return m != nil && m.machine.State() == stateSuspect
}

// LeavingUpstreams returns the addresses of upstreams that are leaving.
func (v *View) LeavingUpstreams() map[string]bool {
	leaving := map[string]bool{}
	for _, m := range v.members {
		if m.inst.Role == platform.RoleUpstream && m.machine.State() == stateLeaving {
			leaving[m.inst.Address] = true
		}
	}
	return leaving
}

// Sample returns up to n peers for which keep is true, at random, those that
// are not suspect first.
func (v *View) Sample(rng *rand.Rand, n int, keep func(platform.Instance) bool) []platform.Instance {
	var good, suspect []platform.Instance
	for _, p := range v.Peers() {
		switch {
		case !keep(p):
		case v.Suspect(p.Name):
			suspect = append(suspect, p)
		default:
			good = append(good, p)
		}
	}
	for _, list := range [][]platform.Instance{good, suspect} {
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	all := append(good, suspect...)
	return all[:min(n, len(all))]
}
