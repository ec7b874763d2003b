package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// eventWriter writes a stream of server-sent events.
type eventWriter struct {
	w             http.ResponseWriter
	headerWritten bool
}

// writeHeader writes the response header with the first call.
func (e *eventWriter) writeHeader(attempt string) {
	if e.headerWritten {
		return
	}
	e.headerWritten = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.Header().Set(engine.HeaderAttempt, attempt)
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) send(c *Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.write(string(data))
}

func (e *eventWriter) sendDone() { e.write("[DONE]") }

func (e *eventWriter) write(data string) {
	// The error is ignored: if the client disconnected, the request's context
	// ends the stream.
	_, _ = fmt.Fprintf(e.w, "data: %s\n\n", data)
	if f, ok := e.w.(http.Flusher); ok {
		f.Flush()
	}
}
