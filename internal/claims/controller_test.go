package claims

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/shoenig/test/must"
)

// startController runs a Controller on a store; stop ends it without a flush,
// like a crash.
func startController(store objectstore.Store, writer string) (c *Controller, stop func()) {
	began := time.Now()
	c = New(Options{Writer: writer, Store: store, Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = c.Run(ctx) }()
	return c, cancel
}

func key(t *testing.T, value string) once.Key {
	k, err := once.ParseKey("s", "o", value, 0, once.KeyOptions{})
	must.NoError(t, err)
	return k
}

func TestSecondInstanceReplaysTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := objectstore.NewMemory(0)
		a, stopA := startController(store, "a")
		defer stopA()
		b, stopB := startController(store, "b")
		defer stopB()
		holder, reply, err := a.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.True(t, reply.Granted)
		_, reply, err = b.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.Eq(t, once.DenialInProgress, reply.Denial)

		result := &once.Result{Status: http.StatusOK, Body: []byte("done")}
		a.Settle(ctx, once.Settlement{Key: key(t, "k").Digest, Holder: holder, State: once.StateDone, Result: result})
		a.Flush(ctx)
		_, reply, err = b.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.Eq(t, once.DenialReplay, reply.Denial)
		must.Eq(t, result, reply.Result)
		_, reply, err = b.Claim(ctx, key(t, "k"), 2)
		must.NoError(t, err)
		must.Eq(t, once.DenialMismatch, reply.Denial)
	})
}

func TestCrashedHolderCountsAsUnknownAndOutageAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := objectstore.NewMemory(0)
		a, stopA := startController(store, "a")
		_, reply, err := a.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.True(t, reply.Granted)
		stopA()
		b, stopB := startController(store, "b")
		defer stopB()
		_, reply, err = b.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.False(t, reply.Granted)
		time.Sleep(once.DefaultMaxRunDuration + time.Minute)
		_, reply, err = b.Claim(ctx, key(t, "k"), 1)
		must.NoError(t, err)
		must.Eq(t, once.DenialUnknown, reply.Denial)

		store.SetFaults(objectstore.Faults{Outage: true})
		_, reply, err = b.Claim(ctx, key(t, "other"), 1)
		must.NoError(t, err)
		must.False(t, reply.Granted)
		must.Eq(t, once.DenialNone, reply.Denial)
		must.NotEq(t, "", string(reply.Reason))
	})
}

// TestClaimOfACancelledCallerIsReleased cancels the caller while its claim is
// being written. The claim must be released, so that a retry is granted the key.
func TestClaimOfACancelledCallerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory(0)
		store.SetFaults(objectstore.Faults{Latency: 200 * time.Millisecond})
		a, stop := startController(store, "a")
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()
		_, _, err := a.Claim(ctx, key(t, "k"), 1)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(5 * time.Second)
		_, reply, err := a.Claim(context.Background(), key(t, "k"), 1)
		must.NoError(t, err)
		must.True(t, reply.Granted)
	})
}
