package recorder

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/shoenig/test/must"
)

// A zone of any size and load writes its heads to the platform once a second, and
// an idle zone makes no calls.
func TestZoneStoresItsHeadsOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		z.writeLines, z.leader = true, "b"
		defer z.stopAll()
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			z.start(name)
		}
		time.Sleep(3 * headPeriod)
		before := z.store.Calls()
		const seconds = 10
		for range 10 * seconds {
			for _, r := range z.members {
				r.append(20)
			}
			time.Sleep(headPeriod / 10)
		}
		time.Sleep(2*headPeriod + headPeriod/2)
		after := z.store.Calls()
		must.LessEq(t, seconds+2, after["put"]-before["put"])
		must.GreaterEq(t, seconds-1, after["put"]-before["put"])
		must.Eq(t, before["get"], after["get"])
		time.Sleep(10 * headPeriod)
		must.Eq(t, after, z.store.Calls(), must.Sprint("calls of an idle zone"))
		for _, r := range z.members {
			must.Eq(t, 0, r.PendingCount())
			must.Eq(t, uint64(1+200*seconds), r.head().Seq)
		}
	})
}

// After lost replies, an outage and a change of the zone leader the heads are
// stored. A planned stop leaves no finding, and a missing log line is reported.
func TestHeadsSurviveLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		z.writeLines, z.leader = true, "b"
		defer z.stopAll()
		a := z.start("a")
		b := z.start("b")
		z.start("c")
		z.store.SetFaults(objectstore.Faults{LoseReplies: 2})
		time.Sleep(5 * headPeriod)
		must.False(t, a.headPending())
		z.store.SetFaults(objectstore.Faults{Outage: true})
		a.append(3)
		time.Sleep(3 * headPeriod)
		z.kill(b)
		z.setLeader("c")
		z.store.SetFaults(objectstore.Faults{})
		time.Sleep(4 * headPeriod)
		must.Eq(t, z.openFinding(a, 5), z.findings(t, a))
		must.Eq(t, z.openFinding(b, 2), z.findings(t, b))
		obj, err := z.store.Get(context.Background(), objectstore.KindRecord, record.HeadsName("z"))
		must.NoError(t, err)
		var stored record.Stored
		must.NoError(t, stored.Add(obj.Name, obj.Value))
		must.Len(t, 3, stored.Heads, must.Sprint("including the head of the former leader"))
		a.append(1)
		ctx, cancel := context.WithTimeout(context.Background(), 4*headPeriod)
		defer cancel()
		a.Stop(ctx)
		must.NoError(t, ctx.Err())
		z.kill(a)
		must.SliceEmpty(t, z.findings(t, a))
		z.log.Truncate(bytes.LastIndexByte(bytes.TrimSpace(z.log.Bytes()), '\n') + 1)
		must.Eq(t, []record.Finding{{Origin: origin(a.self), Fault: record.FaultMissing, Seq: 6, Through: 6}}, z.findings(t, a))
	})
}
