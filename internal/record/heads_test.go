package record

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/eelgrassbay/eelgrassbay/internal/rapidtest"
)

// Two lease holders that store heads alternately, with reports in any order, keep
// the latest head of every chain.
func TestHeadsKeepTheLatest(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		var stored Heads
		holders := [2]Heads{}
		latest := map[Origin]uint64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := &holders[rapid.IntRange(0, 1).Draw(t, "holder")]
			o := origin(rapid.IntRange(0, 4).Draw(t, "origin"))
			seq := rapid.Uint64Range(1, 20).Draw(t, "seq")
			must.NoError(t, h.Report(Head{Origin: o, Seq: seq, Hash: Hash{byte(seq)}}))
			must.SliceEmpty(t, h.Merge(stored))
			stored = Heads{Heads: h.Sorted()}
			latest[o] = max(latest[o], seq)
		}
		must.MapLen(t, len(stored.Heads), latest)
		for _, h := range stored.Heads {
			must.EqOp(t, latest[h.Origin], h.Seq)
		}
	})
}

func TestHeadsRejectForeignChain(t *testing.T) {
	var h Heads
	must.NoError(t, h.Report(Head{Origin: origin(0), Seq: 3, Hash: Hash{1}}))
	must.ErrorIs(t, h.Report(Head{Origin: origin(0), Seq: 3, Hash: Hash{2}}), ErrChainMismatch)
	must.SliceLen(t, 1, h.Merge(Heads{Heads: []Head{{Origin: origin(0), Seq: 3, Hash: Hash{4}}}}))
}
