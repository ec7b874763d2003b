package recorder

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/platform"
	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/shoenig/test/must"
)

// TestZoneStoresItsHeadsOnceASecond: the platform sees one write a second for
// a zone of any size and load, and none while nothing happens.
func TestZoneStoresItsHeadsOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		z.lines, z.holder = true, "b"
		defer z.end()
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			z.start(name)
		}
		time.Sleep(3 * headPeriod)
		before := z.store.Calls()
		const seconds = 10
		for range 10 * seconds {
			for _, r := range z.runs {
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
		must.Eq(t, after, z.store.Calls(), must.Sprint("calls while nothing happens"))
		for _, r := range z.runs {
			must.Eq(t, 0, r.Waiting())
			must.Eq(t, uint64(1+200*seconds), r.head().Seq)
		}
	})
}

// TestHeadsOutliveTheirHolder: after lost replies, an outage and a change of
// holder the heads are stored; a line that is gone is named, and a planned
// stop leaves nothing to find.
func TestHeadsOutliveTheirHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		z.lines, z.holder = true, "b"
		defer z.end()
		a := z.start("a")
		b := z.start("b")
		z.start("c")
		z.store.SetFaults(platform.Faults{LoseReplies: 2})
		time.Sleep(5 * headPeriod)
		must.False(t, a.headWaits())
		z.store.SetFaults(platform.Faults{Outage: true})
		a.append(3)
		time.Sleep(3 * headPeriod)
		z.kill(b)
		z.give("c")
		z.store.SetFaults(platform.Faults{})
		time.Sleep(4 * headPeriod)
		must.Eq(t, z.open(a, 5), z.findings(t, a))
		must.Eq(t, z.open(b, 2), z.findings(t, b))
		obj, err := z.store.Get(context.Background(), platform.KindRecord, record.HeadsName("z"))
		must.NoError(t, err)
		var stored record.Stored
		must.NoError(t, stored.Add(obj.Name, obj.Value))
		must.Len(t, 3, stored.Heads, must.Sprint("the dead holder's own head"))
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
