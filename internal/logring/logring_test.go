package logring

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowWriter is an io.Writer that blocks until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestFullRingDropsAndCounts(t *testing.T) {
	w := &slowWriter{release: make(chan struct{})}
	r := New(w, 4)
	for range 100 {
		_, err := r.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	close(w.release)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.Close(ctx)
	out := w.buf.String()
	written, dropped := strings.Count(out, "line\n"), 0
	for line := range strings.Lines(out) {
		var note struct {
			Message string `json:"msg"`
			Lines   int    `json:"lines"`
		}
		if json.Unmarshal([]byte(line), &note) == nil && note.Message == "log lines dropped" {
			dropped += note.Lines
		}
	}
	must.Positive(t, dropped)
	must.Eq(t, 100, written+dropped)
}

// Long lines that nobody reads must not fill the memory, however few they are.
func TestQueueOfLongLinesIsBounded(t *testing.T) {
	const lineBytes = 300 << 10
	w := &slowWriter{release: make(chan struct{})}
	r := New(w, 2048)
	line := append(bytes.Repeat([]byte("x"), lineBytes-1), '\n')
	for range 2048 {
		_, err := r.Write(line)
		must.NoError(t, err)
	}
	must.LessEq(t, int64(maxQueuedBytes), r.queued.Load())
	must.Between(t, 1, len(r.lines), maxQueuedBytes/lineBytes)
	close(w.release)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.Close(ctx)
	must.Zero(t, r.queued.Load())
	must.StrContains(t, w.buf.String(), "log lines dropped")
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var out bytes.Buffer
	r := New(&out, 100)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := r.Write([]byte(line))
		must.NoError(t, err)
	}
	r.Close(context.Background())
	must.Eq(t, "a\nb\nc\n", out.String())
}
