package supervise

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A controller that fails, in whatever way, runs again and ends with its context.
func TestFailedControllerIsStartedAgain(t *testing.T) {
	for name, fail := range map[string]func() error{
		"error": func() error { return errors.New("lost") },
		"panic": func() error { panic("lost") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				starts := 0
				Run(ctx, slog.New(slog.DiscardHandler), "c", func(ctx context.Context) error {
					if starts++; starts < 4 {
						return fail()
					}
					<-ctx.Done()
					return ctx.Err()
				})
				must.Eq(t, 4, starts)
				must.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
			})
		})
	}
}

// A controller that fails at once all the time does not keep the processor busy.
func TestFailuresAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		starts := 0
		Run(ctx, slog.New(slog.DiscardHandler), "c", func(context.Context) error {
			starts++
			return errors.New("lost")
		})
		must.Less(t, 25, starts)
	})
}

func TestControllerThatEndsIsNotStartedAgain(t *testing.T) {
	starts := 0
	Run(context.Background(), slog.New(slog.DiscardHandler), "c", func(context.Context) error {
		starts++
		return nil
	})
	must.Eq(t, 1, starts)
}
