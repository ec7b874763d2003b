// Package wait provides a sleep that a context can cancel. Callers pass a context
// and a duration and learn whether the context is still active.
package wait

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done, whichever comes first, and
// reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}
