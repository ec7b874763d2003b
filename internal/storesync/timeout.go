package storesync

import (
	"sync/atomic"
	"time"
)

// readTimeout is the timeout of reads of one kind of object. Its zero value is
// minReadTimeout. It is safe for concurrent use.
type readTimeout struct{ extra atomic.Int64 } // nanoseconds beyond minReadTimeout

func (t *readTimeout) get() time.Duration { return minReadTimeout + time.Duration(t.extra.Load()) }

// expired records that a read did not end within the timeout used.
func (t *readTimeout) expired(used time.Duration) {
	t.extra.Store(int64(min(2*used, maxReadTimeout) - minReadTimeout))
}

// succeeded records that a read ended within the timeout. The timeout shrinks slowly,
// because the next read over a slow link needs it again.
func (t *readTimeout) succeeded() { t.extra.Store(t.extra.Load() * 3 / 4) }
