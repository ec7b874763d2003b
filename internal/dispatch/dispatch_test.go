package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/route"
	"github.com/shoenig/test/must"
)

// startController runs a controller with one upstream that has model m ready and
// room for the given number of concurrent requests.
func startController(t *testing.T, slots int) *Controller {
	return startControllerWithPolicy(t, slots, nil)
}

func startControllerWithPolicy(t *testing.T, slots int, policy route.Policy) *Controller {
	began := time.Now()
	c := New(Options{Now: func() time.Duration { return time.Since(began) }, Seed: 1, Route: route.Options{Policy: policy}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	must.NoError(t, c.Update(func(_ time.Duration, table *route.Table) {
		table.SetUpstream(route.Upstream{Name: "u", PrefillRate: 1e6, MaxRunning: slots})
		table.SetResident("u", []route.ResidentModel{{Model: "m", Ready: true}})
	}))
	return c
}

func request(deadline time.Duration) Request {
	return Request{Organisation: "o", Route: route.Request{Model: "m", PromptTokens: 10, MaxTokens: 10, Deadline: deadline}}
}

func TestWaitsForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startController(t, 1)
		ctx := context.Background()
		first, err := c.Acquire(ctx, request(0))
		must.NoError(t, err)
		go func() {
			time.Sleep(time.Second)
			first.Finished(5)
		}()
		began := time.Now()
		second, err := c.Acquire(ctx, request(0))
		must.NoError(t, err)
		must.GreaterEq(t, time.Second, time.Since(began))
		second.Failed(false, false)
	})
}

// TryAcquire must not wait, and must not pass a queued request.
func TestTryAcquireTakesAFreePlaceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startController(t, 1)
		first := c.TryAcquire(request(0))
		must.NotNil(t, first)
		began := time.Now()
		must.Nil(t, c.TryAcquire(request(0)))
		must.EqOp(t, 0, time.Since(began))
		queued := make(chan *Slot, 1)
		go func() {
			slot, err := c.Acquire(context.Background(), request(0))
			must.NoError(t, err)
			queued <- slot
		}()
		synctest.Wait()
		first.Finished(1)
		must.Nil(t, c.TryAcquire(request(0)))
		(<-queued).Finished(1)
		must.NotNil(t, c.TryAcquire(request(0)))
		late := request(1)
		must.Nil(t, c.TryAcquire(late))
	})
}

// TryAcquire must not wait either if its second choice of an upstream has no place.
func TestTryAcquireDoesNotWaitBesideASaturatedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startControllerWithPolicy(t, 1, route.Random{})
		must.NoError(t, c.Update(func(_ time.Duration, table *route.Table) {
			for _, name := range []string{"v", "w", "x"} {
				table.SetUpstream(route.Upstream{Name: name, PrefillRate: 1e6, MaxRunning: 1})
				table.SetResident(name, []route.ResidentModel{{Model: "m", Ready: true}})
			}
		}))
		began := time.Now()
		for range 200 {
			slots := []*Slot{c.TryAcquire(request(0)), c.TryAcquire(request(0)), c.TryAcquire(request(0)), c.TryAcquire(request(0))}
			for _, slot := range slots {
				if slot != nil {
					slot.Finished(1)
				}
			}
		}
		must.EqOp(t, 0, time.Since(began))
	})
}

func TestRefusesOnceTheDeadlineCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startController(t, 1)
		ctx := context.Background()
		_, err := c.Acquire(ctx, request(0))
		must.NoError(t, err)
		began := time.Now()
		_, err = c.Acquire(ctx, request(time.Since(began)+200*time.Millisecond))
		var refused *fair.RefusedError
		var overloaded *route.OverloadedError
		must.True(t, errors.As(err, &refused) || errors.As(err, &overloaded))
		must.LessEq(t, 200*time.Millisecond+dispatchInterval, time.Since(began))
	})
}

func TestDisconnectedCallerTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startController(t, 1)
		first, err := c.Acquire(context.Background(), request(0))
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = c.Acquire(ctx, request(0))
		must.ErrorIs(t, err, context.DeadlineExceeded)
		first.Finished(1)
		next, err := c.Acquire(context.Background(), request(0))
		must.NoError(t, err)
		next.Finished(1)
	})
}

func TestModelWithoutReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startController(t, 1)
		req := request(0)
		req.Route.Model = "other"
		_, err := c.Acquire(context.Background(), req)
		must.ErrorIs(t, err, route.ErrNoReplica)
	})
}
