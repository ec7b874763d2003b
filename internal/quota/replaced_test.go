package quota

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/peer/peerpb"
	"github.com/shoenig/test/must"
)

// follower is never the zone leader.
type follower struct{}

func (follower) Held() (uint64, bool) { return 0, false }
func (follower) Holder() string       { return "" }

// TestOnlyPreviousIncarnationIsReplaced: a late request of the previous incarnation
// that arrives after the first request of its successor must not end the successor.
func TestOnlyPreviousIncarnationIsReplaced(t *testing.T) {
	c := New(Options{
		Self: objectstore.Instance{Name: "a", Zone: "z"}, Limit: limit.Options{}, Leader: follower{},
		Now: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
	})
	ask := func(incarnation string) bool {
		return c.endReplaced(context.Background(), &peerpb.ShareRequest{PeerAddress: "127.0.0.1:1", Incarnation: incarnation})
	}
	must.True(t, ask("old"))
	must.True(t, ask("new"))
	must.False(t, ask("old"))
	must.True(t, ask("new"))
	must.Eq(t, map[string]bool{"old": true}, c.endedIncarnations)
}
