package entry

import (
	"context"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
)

// nextAttempt secures the attempt that replaces a silent one before that is given up.
// It belongs to the goroutine of the request.
type nextAttempt struct {
	server      *Server
	call        *call
	req         *once.Request
	slotRequest dispatch.Request
	slot        *dispatch.Slot // taken and not used yet
}

// reserve takes the time, the retry and the slot that another attempt needs, and
// reports whether it has all of them.
func (n *nextAttempt) reserve() bool {
	if n.slot != nil {
		return true
	}
	if !n.req.ReserveRetry(n.server.opts.Now()) {
		return false
	}
	if n.slot = n.server.opts.Dispatch.TryAcquire(n.slotRequest); n.slot == nil {
		n.req.ReturnRetry()
	}
	return n.slot != nil
}

// acquire returns the slot for an attempt: the one taken before, or else one that it
// waits for.
func (n *nextAttempt) acquire(ctx context.Context) (*dispatch.Slot, *Error) {
	if slot := n.slot; slot != nil {
		n.slot = nil
		return slot, nil
	}
	return n.server.acquire(ctx, n.call, n.slotRequest)
}

// release returns a slot that no attempt used.
func (n *nextAttempt) release() {
	if n.slot != nil {
		n.slot.Failed(true, false)
	}
}
