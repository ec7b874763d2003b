package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/assign"
	"github.com/eelgrassbay/eelgrassbay/internal/mesh/meshpb"
	"github.com/eelgrassbay/eelgrassbay/internal/reach"
	"github.com/eelgrassbay/eelgrassbay/internal/relay"
	"github.com/shoenig/test/must"
)

// deadlineCodec forwards the time left.
type deadlineCodec struct{ relayCodec }

// ForwardedRequestHeader implements Codec.
func (deadlineCodec) ForwardedRequestHeader(_ http.Header, f Forward) http.Header {
	return http.Header{"Remaining-Ms": {strconv.FormatInt(f.Remaining.Milliseconds(), 10)}}
}

// A request that a relay has refused after a while goes to the next one with the time that is
// left then. With the time of the first relay the upstream would work beyond the deadline.
func TestSecondRelayGetsTheTimeThatIsLeft(t *testing.T) {
	const refusedAfter = 200 * time.Millisecond
	r, _ := newTestRelay(t, func(http.ResponseWriter, *http.Request) {})
	g := r.node.g
	g.codec = deadlineCodec{}
	var calls atomic.Int64
	told := make([]int64, 2)
	for i := range told {
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			call := calls.Add(1) - 1
			told[call], _ = strconv.ParseInt(r.Header.Get("Remaining-Ms"), 10, 64)
			if call == 0 {
				time.Sleep(refusedAfter)
				relay.WriteFailure(w, relay.ErrRefused)
				return
			}
			w.Header().Set("Eelgrass-Relay-Result", "answered")
		}))
		t.Cleanup(peer.Close)
		g.mesh.AddPeers([]*meshpb.MemberInfo{{Name: fmt.Sprint("p", i), Incarnation: "p", PeerAddress: strings.TrimPrefix(peer.URL, "http://"), Zone: "z"}})
	}
	g.links.with(func(now time.Duration, tr *reach.Tracker) { tr.DialFailed(now, relayedUpstream) })
	x := newTestExchange(0)
	x.g, x.r = g, httptest.NewRequest(http.MethodPost, "/a", nil)
	x.rec.stream = &streamState{}
	x.job = &assign.Job{Service: "app", Deadline: g.now() + 5*time.Second, Objective: g.now() + time.Second}
	placed, ok := g.dispatcher.placeNow(x.job)
	must.True(t, ok)
	a := &attempt{QueueResult: placed, ctx: context.Background(), cancel: func() {}}
	x.send(a)
	must.NoError(t, x.readHead(a))
	must.Eq(t, 2, calls.Load())
	must.LessEq(t, 5000, told[0])
	must.LessEq(t, told[0]-refusedAfter.Milliseconds(), told[1])
	must.Positive(t, told[1])
	a.response.Finish(true)
}
