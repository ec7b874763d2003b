// Package logring writes log lines without ever holding up who logs: lines go
// through a bounded ring to a goroutine that writes them. Lines that find the
// ring full are dropped and counted, and the count is written as soon as there
// is room.
package logring

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Ring is an io.Writer for one whole line at a time.
type Ring struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	wg      sync.WaitGroup
}

// New returns a ring that holds up to size lines and writes them to out.
func New(out io.Writer, size int) *Ring {
	r := &Ring{out: out, lines: make(chan []byte, size)}
	r.wg.Go(r.run)
	return r
}

// Write implements io.Writer. It never blocks and never fails.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// batchBytes bounds what is gathered for one write.
const batchBytes = 32 << 10

func (r *Ring) run() {
	var batch []byte
	for line := range r.lines {
		batch = append(batch[:0], line...)
		batch = r.gather(batch)
		if n := r.dropped.Swap(0); n > 0 {
			batch = append(batch, droppedLine(n)...)
		}
		_, _ = r.out.Write(batch) // there is nowhere else to report to
	}
}

// gather adds the lines that wait already.
func (r *Ring) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-r.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

func droppedLine(n int64) []byte {
	line, err := json.Marshal(struct {
		Time    time.Time `json:"time"`
		Level   string    `json:"level"`
		Message string    `json:"msg"`
		Lines   int64     `json:"lines"`
	}{time.Now(), "WARN", "log lines dropped", n})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return append(line, '\n')
}

// Close writes what is left, or gives up when ctx ends. Nothing may be written
// after it.
func (r *Ring) Close(ctx context.Context) {
	close(r.lines)
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
