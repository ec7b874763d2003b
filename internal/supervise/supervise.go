// Package supervise keeps the controllers of an instance running. A controller that
// fails is started again; the others, and the requests in progress, go on.
package supervise

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/wait"
)

const (
	// minRestartPause is the pause before a controller that failed is started again.
	// It doubles with each further failure up to maxRestartPause, and starts anew
	// once a controller ran for stableAfter.
	minRestartPause = 100 * time.Millisecond
	maxRestartPause = 5 * time.Second
	stableAfter     = 30 * time.Second
)

// Run runs a controller until it returns nil or ctx ends. An error or a panic in the
// controller's own goroutine is logged under its name, and the controller started
// again after a pause.
func Run(ctx context.Context, log *slog.Logger, name string, controller func(context.Context) error) {
	pause := minRestartPause
	for ctx.Err() == nil {
		began := time.Now()
		err := Recover(func() error { return controller(ctx) })
		if err == nil || ctx.Err() != nil {
			return
		}
		if time.Since(began) >= stableAfter {
			pause = minRestartPause
		}
		log.Error("controller failed and is started again", "controller", name, "pause_ms", pause.Milliseconds(), "error", err)
		wait.Sleep(ctx, pause)
		pause = min(2*pause, maxRestartPause)
	}
}

// Recover runs f and turns a panic into an error that holds the stack.
func Recover(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("supervise: panic: %v\n%s", p, debug.Stack())
		}
	}()
	return f()
}
