package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// events writes server-sent events.
type events struct {
	w     http.ResponseWriter
	begun bool
}

func (e *events) begin(attempt string) {
	if e.begun {
		return
	}
	e.begun = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-cache")
	e.w.Header().Set(engine.HeaderAttempt, attempt)
	e.w.WriteHeader(http.StatusOK)
}

func (e *events) send(c *Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.write(string(data))
}

func (e *events) done() { e.write("[DONE]") }

func (e *events) write(data string) {
	// A write to a client that went away fails; its context ends the stream.
	_, _ = fmt.Fprintf(e.w, "data: %s\n\n", data)
	if f, ok := e.w.(http.Flusher); ok {
		f.Flush()
	}
}
