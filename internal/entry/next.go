package entry

import (
	"context"

	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
)

// nextAttempt secures the attempt that replaces a silent one before that is given up.
// It belongs to the goroutine of the request.
type nextAttempt struct {
	server      *Server
	call        *call
	req         *once.Request
	suspect     *crashwatch.Request
	slotRequest dispatch.Request
	slot        *dispatch.Slot // taken and not used yet
}

// reserve takes the time, the retry and the slot that another attempt needs, and
// reports whether it has all of them.
func (n *nextAttempt) reserve() bool {
	if n.slot != nil {
		return true
	}
	if n.suspect.Suspected() || !n.req.ReserveRetry(n.server.opts.Now()) {
		return false
	}
	if n.slot = n.server.opts.Dispatch.TryAcquire(n.slotRequest); n.slot == nil {
		n.req.ReturnRetry()
	}
	return n.slot != nil
}

// acquire returns the slot for an attempt: the one taken before, or else one that it
// waits for. It fails at once for a request that is held back.
func (n *nextAttempt) acquire(ctx context.Context) (*dispatch.Slot, *Error) {
	if err := heldBack(n.suspect); err != nil {
		return nil, err
	}
	if slot := n.slot; slot != nil {
		n.slot = nil
		return slot, nil
	}
	return n.server.acquire(ctx, n)
}

// release returns a slot that no attempt used.
func (n *nextAttempt) release() {
	if n.slot != nil {
		n.slot.Failed(true, false)
	}
}
