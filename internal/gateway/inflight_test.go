package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Large bodies must not pile up at one upstream, which would end, and one is always let through,
// or else requests at the limit could not be served in a large fleet.
func TestBytesInFlightAreBounded(t *testing.T) {
	f := newInFlight()
	must.True(t, f.take("u0", 4<<20, 1<<20))
	must.False(t, f.take("u0", 1, 1<<20))
	must.True(t, f.take("u1", 512<<10, 1<<20))
	must.True(t, f.take("u1", 512<<10, 1<<20))
	must.False(t, f.take("u1", 1, 1<<20))
	f.release("u0", 4<<20)
	must.True(t, f.take("u0", 1, 1<<20))
	f.release("u0", 1)
	f.release("u1", 1<<20)
	must.MapEmpty(t, f.bytes)
}
