// Package logring provides a log writer that never blocks its caller. Lines pass
// through a queue, bounded in lines and bytes, to a goroutine that writes them to an
// io.Writer. When the queue is full, lines are dropped and counted, and a log line with
// the count is written as soon as there is room.
package logring

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer is a non-blocking io.Writer. Each call to Write must pass one whole line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // bytes in lines
	dropped atomic.Int64
	wg      sync.WaitGroup
}

// New returns a Writer that queues up to size lines and writes them to out.
func New(out io.Writer, size int) *Writer {
	r := &Writer{out: out, lines: make(chan []byte, size)}
	r.wg.Go(r.run)
	return r
}

// maxQueuedBytes bounds the queue: a line may quote what a faulty peer sent.
const maxQueuedBytes = 4 << 20

// Write queues a copy of line, or drops the line if the queue is full. It
// implements io.Writer and never blocks or fails.
func (r *Writer) Write(line []byte) (int, error) {
	n := int64(len(line))
	if r.queued.Add(n) <= maxQueuedBytes {
		select {
		case r.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	r.queued.Add(-n)
	r.dropped.Add(1)
	return len(line), nil
}

// maxBatchBytes is the size of a batch from which no more lines are added to it.
const maxBatchBytes = 32 << 10

func (r *Writer) run() {
	var batch []byte
	for line := range r.lines {
		batch = r.appendLine(batch[:0], line)
		batch = r.appendQueued(batch)
		if n := r.dropped.Swap(0); n > 0 {
			batch = append(batch, droppedLine(n)...)
		}
		_, _ = r.out.Write(batch) // an error cannot be reported anywhere else
	}
}

func (r *Writer) appendLine(batch, line []byte) []byte {
	r.queued.Add(-int64(len(line)))
	return append(batch, line...)
}

// appendQueued appends the lines that are already queued, until the batch has
// maxBatchBytes.
func (r *Writer) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, ok := <-r.lines:
			if !ok {
				return batch
			}
			batch = r.appendLine(batch, line)
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

// Close writes the queued lines, or gives up when ctx ends. Write must not be
// called after Close.
func (r *Writer) Close(ctx context.Context) {
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
