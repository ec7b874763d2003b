// Package wait holds the sleep that ends with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever comes first, and reports
// whether ctx is still alive.
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
