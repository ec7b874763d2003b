package ledger

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// randomStep performs one random event or fault and checks the memory bound.
func (s *simulation) randomStep() {
	o := s.owners[s.draw(len(s.owners))]
	switch kind := s.draw(24); {
	case kind < 8 && len(s.calls) > 0:
		s.performCall(s.draw(len(s.calls)), s.draw(6) == 0)
	case kind < 13 && len(s.replies) > 0:
		s.deliverReply(s.draw(len(s.replies)))
	case kind < 15 && len(s.network) > 0:
		s.deliverOrder(s.draw(len(s.network)), s.draw(2) == 0)
	case kind == 15 && len(s.network) > 0 && s.draw(2) == 0:
		i := s.draw(len(s.network))
		s.network = append(s.network[:i], s.network[i+1:]...)
	case kind == 16 && s.draw(2) == 0:
		s.engine.progress(s.draw(8), s.draw(3) == 0)
	case kind == 17 && s.draw(4) == 0:
		s.engine.reboot()
	case kind == 18:
		s.want(o)
	case kind == 19 && s.draw(4) == 0:
		s.restart(o)
	case kind == 20:
		s.outage = s.draw(4) == 0
	case kind > 20:
		s.advanceTime(time.Duration(s.draw(400)) * time.Millisecond)
	default:
		s.step(o, Tick{})
	}
	s.check()
}

// deliverReply delivers a reply; sometimes a copy stays queued.
func (s *simulation) deliverReply(i int) {
	r := s.replies[i]
	if s.draw(8) != 0 {
		s.replies = append(s.replies[:i], s.replies[i+1:]...)
	}
	s.step(r.to, r.msg)
}

// quiesce runs the simulation without faults, in which only the latest owner
// acts, and returns that owner.
func (s *simulation) quiesce() *owner {
	s.outage = false
	latest := s.owners[0]
	if s.owners[1].token > latest.token {
		latest = s.owners[1]
	}
	for range 300 {
		for len(s.calls) > 0 {
			s.performCall(0, false)
		}
		for len(s.network) > 0 {
			s.deliverOrder(0, false)
		}
		for len(s.replies) > 0 {
			r := s.replies[0]
			s.replies = s.replies[1:]
			if r.to == latest {
				s.step(r.to, r.msg)
			}
		}
		for i := len(s.engine.resident) - 1; i >= 0; i-- {
			s.engine.progress(i, false)
		}
		s.advanceTime(100 * time.Millisecond)
		s.step(latest, Tick{})
		s.check()
	}
	return latest
}

// checkMemory checks that memory is never overcommitted under random faults, and
// that the wanted set is resident once they end.
func checkMemory(t *testing.T, fencing fencingKind) {
	rapidtest.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt, fencing)
		for range rapid.IntRange(50, 400).Draw(rt, "steps") {
			s.randomStep()
		}
		latest := s.quiesce()
		for _, want := range latest.c.want {
			if !latest.c.Ledger().Ready(want.Key) {
				rt.Fatalf("%v is not ready: state %s, ledger %+v", want.Key, latest.c.State(), latest.c.Ledger())
			}
		}
		if len(s.engine.resident) != len(latest.c.want) {
			rt.Fatalf("wanted %v, resident %+v", latest.c.want, s.engine.resident)
		}
	})
}

func TestMemoryNeverOvercommitted(t *testing.T) {
	t.Run("durable fencing", func(t *testing.T) { checkMemory(t, fencingDurable) })
	t.Run("fencing lost at reboot", func(t *testing.T) { checkMemory(t, fencingVolatile) })
	t.Run("fencing ignored", func(t *testing.T) { checkMemory(t, fencingIgnored) })
}

func TestReserveCountsWorstCase(t *testing.T) {
	l := NewLedger(100, true)
	_, _, err := l.Reserve(engine.Order{Op: engine.OpLoad, Model: "a", MemoryMB: 1})
	must.ErrorIs(t, err, ErrNoReport)
	never := func(string) bool { return false }
	l = l.WithReport(engine.Report{Boot: "1", Seq: 1}, never)
	reserved, o, err := l.Reserve(engine.Order{ID: "1", Op: engine.OpLoad, Model: "a", MemoryMB: 60})
	must.NoError(t, err)
	must.Eq(t, 60, reserved.Committed())
	must.Eq(t, 0, l.Committed())
	_, _, err = reserved.Reserve(engine.Order{ID: "2", Op: engine.OpLoad, Model: "b", MemoryMB: 41})
	must.ErrorIs(t, err, ErrNoMemory)
	// The engine saw the order and shows nothing resident: a copy of the order
	// may still be executed.
	seen := reserved.WithReport(engine.Report{Boot: "1", Seq: 2, FencingToken: o.FencingToken}, never)
	must.Eq(t, 60, seen.Committed())
	later := seen.WithReport(engine.Report{Boot: "1", Seq: 3, FencingToken: o.FencingToken + 1}, never)
	must.Eq(t, 0, later.Committed())
	value, err := seen.Encode()
	must.NoError(t, err)
	decoded, err := Decode(value)
	must.NoError(t, err)
	must.Eq(t, seen.Committed(), decoded.Committed())
}

func TestReportRequestedBeforeLedgerVersionIsIgnored(t *testing.T) {
	c := NewController(Options{
		Upstream: "u", Writer: "w", Owner: 1, MemoryMB: 100,
		Guarantees: Guarantees{DurableFencing: true},
		SendWindow: time.Second, RetryAfter: time.Hour, PollInterval: time.Hour, CallTimeout: time.Hour,
	})
	actions := c.Step(0, Tick{})
	actions = c.Step(1, ReadDone{ID: actions[0].(ReadObject).ID, Err: objectstore.ErrNotFound})
	claim, poll := actions[0].(WriteObject), actions[1].(PollReport)
	actions = c.Step(2, WriteDone{Attempt: claim.Attempt, Version: 1})
	again := actions[0].(PollReport)
	c.Step(3, PollDone{ID: poll.ID, Report: engine.Report{Boot: "old"}})
	must.False(t, c.Claimed())
	c.Step(4, PollDone{ID: again.ID, Report: engine.Report{Boot: "new"}})
	must.True(t, c.Claimed())
	must.Eq(t, "new", c.Ledger().Boot)
}

func TestFenceLostAtRestartIsNotTrusted(t *testing.T) {
	never := func(string) bool { return false }
	l := NewLedger(100, true).WithReport(engine.Report{Boot: "1", FencingToken: 5}, never)
	l, _, err := l.Reserve(engine.Order{ID: "1", Op: engine.OpLoad, Model: "a", MemoryMB: 60})
	must.NoError(t, err)
	l = l.WithReport(engine.Report{Boot: "2", FencingToken: 2}, never)
	must.True(t, l.FencingLost)
	l = l.WithReport(engine.Report{Boot: "2", FencingToken: 99}, never)
	must.Eq(t, 60, l.Committed())
}

func TestOrderIsNotSentAfterTheSendWindow(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second} {
		c := NewController(Options{
			Upstream: "u", Writer: "w", Owner: 1, MemoryMB: 100,
			SendWindow: time.Second, RetryAfter: time.Hour, PollInterval: time.Hour, CallTimeout: time.Hour,
		})
		k := Key{Model: "m"}
		c.Step(0, SetWanted{Set: []WantedModel{{Key: k, MemoryMB: 60}}})
		actions := c.Step(0, ReadDone{ID: 1, Err: objectstore.ErrNotFound})
		actions = c.Step(0, WriteDone{Attempt: actions[0].(WriteObject).Attempt, Version: 1})
		actions = c.Step(0, PollDone{ID: actions[0].(PollReport).ID, Report: engine.Report{Boot: "1"}})
		write := actions[0].(WriteObject)
		actions = c.Step(late, WriteDone{Attempt: write.Attempt, Version: 2})
		_, sent := actions[0].(SendOrder)
		must.Eq(t, late == 0, sent)
		must.Eq(t, 60, c.Ledger().Committed())
	}
}

func BenchmarkIdleStep(b *testing.B) {
	c := NewController(Options{
		Upstream: "u", Writer: "w", Owner: 1, MemoryMB: 100, Guarantees: Guarantees{DurableFencing: true},
		SendWindow: time.Second, RetryAfter: time.Hour, PollInterval: time.Hour, CallTimeout: time.Hour,
	})
	report := engine.Report{Boot: "1"}
	var want []WantedModel
	for _, m := range []string{"a", "b", "c", "d"} {
		report.Resident = append(report.Resident, engine.Resident{Model: m, MemoryMB: 20, State: engine.ResidencyReady})
		want = append(want, WantedModel{Key: Key{Model: m}, MemoryMB: 20})
	}
	c.Step(0, SetWanted{Set: want})
	actions := c.Step(0, ReadDone{ID: 1, Err: objectstore.ErrNotFound})
	actions = c.Step(0, WriteDone{Attempt: actions[0].(WriteObject).Attempt, Version: 1})
	c.Step(0, PollDone{ID: actions[0].(PollReport).ID, Report: report})
	b.ReportAllocs()
	for b.Loop() {
		c.Step(1, Tick{})
	}
}
