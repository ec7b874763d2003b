package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/evacuation"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// noEvacuationsStore is a store that does not answer for evacuations.
type noEvacuationsStore struct{ objectstore.Store }

// List implements objectstore.Store.
func (s noEvacuationsStore) List(ctx context.Context, kind objectstore.Kind) (objectstore.List, error) {
	if kind == objectstore.KindEvacuation {
		return objectstore.List{}, objectstore.ErrUnavailable
	}
	return s.Store.List(ctx, kind)
}

// An instance that has started must not send requests before it has heard which zones are
// evacuated; a peer that knows is enough. If nobody says so, it must serve in the end: peers of
// an earlier build never do.
func TestInstanceServesOnceItKnowsTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEvacuationFleet(t, 0)
		f.wrapStore = func(s objectstore.Store) objectstore.Store { return noEvacuationsStore{s} }
		ready := func(n *testNode) int {
			w := httptest.NewRecorder()
			n.g.serveReady(w, nil)
			return w.Code
		}
		alone := f.add(0)
		time.Sleep(time.Second)
		must.True(t, alone.g.catalog.Ready())
		must.Eq(t, http.StatusServiceUnavailable, ready(alone))
		must.Nil(t, alone.g.evacuations.toWire())
		must.True(t, alone.g.evacuations.pending())
		time.Sleep(evacuateWithin)
		must.Eq(t, http.StatusOK, ready(alone))
		alone.g.evacuations.merge(evacuation.Snapshot{Revision: 30, Zones: []string{evacuatedZone}}, "test")
		second := f.add(1)
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, ready(second))
		must.Eq(t, []string{evacuatedZone}, second.g.evacuations.toWire().Zones)
		for _, u := range second.g.evacuations.placeable() {
			must.NotEqOp(t, evacuatedZone, u.Zone)
		}
		must.SliceLen(t, 8, second.g.evacuations.placeable())
		f.stopAll()
	})
}
