package docsync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const document = `{"service": %q, "organisations": [{"name": "o", "rate_tokens_per_s": %d, "burst_tokens": 1}]}`

// fleet is a set of states that share one object API and one exact clock.
type fleet struct {
	now     time.Duration
	store   *objectstore.Memory
	states  []*State
	written map[string]map[uint64]time.Duration // write times by service and version
}

func newFleet(n int) *fleet {
	f := &fleet{store: objectstore.NewMemory(0), written: map[string]map[uint64]time.Duration{}}
	for i := range n {
		f.states = append(f.states, NewState(objectstore.Instance{Name: fmt.Sprint(i), Role: objectstore.RoleEntry, State: objectstore.InstanceLive}))
	}
	return f
}

// write stores a new version of a service's document, or deletes it.
func (f *fleet) write(t must.T, service string, remove bool) {
	ctx := context.Background()
	old, _ := f.store.Get(ctx, objectstore.KindService, service)
	next := objectstore.Object{Kind: objectstore.KindService, Name: service, Version: old.Version}
	next.Value = fmt.Appendf(nil, document, service, f.now/time.Second+1)
	obj, err := f.store.Put(ctx, next)
	if remove {
		obj, err = f.store.Delete(ctx, objectstore.KindService, service, obj.Version)
	}
	must.NoError(t, err)
	if f.written[service] == nil {
		f.written[service] = map[uint64]time.Duration{}
	}
	f.written[service][obj.Version] = f.now
}

// exchange runs one exchange in which each reply arrives after replyDelay.
func (f *fleet) exchange(from, to *State, replyDelay time.Duration) {
	req := from.NewRequest(f.now)
	for round := 0; req != nil && round < maxRounds; round++ {
		sentAt := f.now
		reply, _ := to.HandleRequest(f.now, req)
		f.now += replyDelay
		req, _ = from.HandleReply(f.now, sentAt, req, reply)
	}
}

// check verifies that no version has decreased and that each state holds every
// write that its Age and CompleteRevision cover.
func (f *fleet) check(t must.T, before []map[string]uint64) {
	for i, s := range f.states {
		versions := s.set.Versions()
		for service, v := range before[i] {
			must.GreaterEq(t, v, versions[service], must.Sprint("version decreased"))
		}
		age, known := s.Age(f.now)
		for service, writes := range f.written {
			for v, at := range writes {
				if known && at < f.now-age {
					must.GreaterEq(t, v, versions[service], must.Sprintf("state %d reports age %v", i, age))
				}
				if v <= s.CompleteRevision() {
					must.GreaterEq(t, v, versions[service], must.Sprintf("state %d reports a complete revision", i))
				}
			}
		}
	}
}

// TestAgeAndCompleteAreNeverOverstated writes documents while instances read the
// platform or exchange in any order, with delayed requests and replies. No
// version decreases, and each instance holds every write that its reported age
// and complete revision cover.
func TestAgeAndCompleteAreNeverOverstated(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		var delayed []*peerpb.ExchangeRequest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			s := rapid.SampledFrom(f.states).Draw(t, "state")
			before := make([]map[string]uint64, len(f.states))
			for i := range f.states {
				before[i] = f.states[i].set.Versions()
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				f.write(t, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), rapid.IntRange(0, 4).Draw(t, "remove") == 0)
			case 1:
				list, err := f.store.Watch(context.Background(), objectstore.KindService, s.CompleteRevision())
				must.NoError(t, err)
				s.ApplyDocuments(f.now, list)
			case 2:
				delayed = append(delayed, s.NewPushRequest(f.now, s.set.Accepted()))
			case 3:
				for _, req := range delayed {
					s.HandleRequest(f.now, req)
				}
			default:
				to := rapid.SampledFrom(f.states).Draw(t, "peer")
				f.exchange(s, to, time.Duration(rapid.IntRange(0, 2000).Draw(t, "reply delay"))*time.Millisecond)
			}
			f.check(t, before)
		}
	})
}

// TestNewInstanceLearnsAllFromOnePeer starts an instance while the platform is
// unreachable: one reachable peer is enough to learn all documents, deletions
// included, their age and the instance list.
func TestNewInstanceLearnsAllFromOnePeer(t *testing.T) {
	f := newFleet(2)
	f.write(t, "a", false)
	f.write(t, "b", false)
	f.write(t, "b", true)
	list, err := f.store.List(context.Background(), objectstore.KindService)
	must.NoError(t, err)
	f.states[0].ApplyDocuments(0, list)
	f.states[0].ApplyInstances(0, 0, []objectstore.Instance{{Name: "9", Role: objectstore.RoleEntry, State: objectstore.InstanceLive}})
	f.now = 5 * time.Second
	f.exchange(f.states[1], f.states[0], 0)
	must.Eq(t, map[string]uint64{"a": 1, "b": 4}, f.states[1].set.Versions())
	age, known := f.states[1].Age(f.now)
	must.True(t, known)
	must.Eq(t, 5*time.Second, age)
	must.Len(t, 2, f.states[1].view.Peers()) // the peer itself, and instance 9 from its list
}

// TestExchangeTransfersNewerInstanceList lets two instances read lists with any
// differences at different times: after an exchange that the one with the earlier
// read starts, both hold the later list.
func TestExchangeTransfersNewerInstanceList(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		f := newFleet(2)
		draw := func(label string) (list []objectstore.Instance) {
			for _, i := range rapid.SliceOfDistinct(rapid.IntRange(10, 400), rapid.ID).Draw(t, label) {
				list = append(list, objectstore.Instance{
					Name: fmt.Sprint(i), Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "incarnation"), Role: objectstore.RoleEntry, State: objectstore.InstanceLive,
				})
			}
			return list
		}
		later := draw("later")
		if rapid.Bool().Draw(t, "earlier is known") {
			f.states[0].ApplyInstances(0, 0, draw("earlier"))
		}
		f.now = time.Second
		f.states[1].ApplyInstances(f.now, f.now, later)
		f.now += time.Second
		f.exchange(f.states[0], f.states[1], 0)
		must.Eq(t, f.states[1].view.List().Hash, f.states[0].view.List().Hash)
		must.Eq(t, len(later), len(f.states[0].view.List().Instances))
	})
}

// TestNewInstanceRecoversLastAcceptedVersion covers a fleet that is replaced while
// the stored document fails validation: a new instance finds the version in force
// in a zone's status object.
func TestNewInstanceRecoversLastAcceptedVersion(t *testing.T) {
	f := newFleet(2)
	f.write(t, "a", false)
	read := func(s *State) Change {
		list, err := f.store.List(context.Background(), objectstore.KindService)
		must.NoError(t, err)
		return s.ApplyDocuments(f.now, list)
	}
	old, newInstance := f.states[0], f.states[1]
	read(old)
	obj, err := f.store.Get(context.Background(), objectstore.KindService, "a")
	must.NoError(t, err)
	obj.Value = []byte(`{"service": "a", "models": 1}`)
	_, err = f.store.Put(context.Background(), obj)
	must.NoError(t, err)
	must.True(t, read(old).AnyRejected)

	must.True(t, read(newInstance).AnyRejected)
	must.Eq(t, []string{"a"}, newInstance.ServicesWithoutAccepted())
	value, err := json.Marshal(old.Status(f.now))
	must.NoError(t, err)
	c, err := newInstance.StatusesRead(objectstore.List{Objects: []objectstore.Object{{Kind: objectstore.KindStatus, Name: "z", Value: value}}})
	must.NoError(t, err)
	must.Len(t, 1, c.Accepted)
	must.Eq(t, map[string]uint64{"a": 1}, newInstance.set.Versions())
	must.Eq(t, 2, newInstance.Status(f.now).Rejected[0].Version)
}
