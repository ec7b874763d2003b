package fault

import (
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// WrapAll returns a handler that applies latency and outage to every request and
// then calls next. It serves requests to Path itself, without faults.
func (s *Set) WrapAll(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.ServeHTTP(w, r)
			return
		}
		f := s.Get()
		if f.LatencyMS > 0 && !sleep(r, time.Duration(f.LatencyMS)*time.Millisecond) {
			return
		}
		if f.Outage {
			echoAttempt(w, r)
			reply.NotExecuted(w, http.StatusServiceUnavailable, "outage", "stand-in is in an outage")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// WrapWork returns a handler that applies the faults of responses (Refuse,
// DropReplies and SwapResponses) to requests that do work.
func (s *Set) WrapWork(next http.Handler) http.Handler {
	next = echoAttempts(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Get().Refuse {
			echoAttempt(w, r)
			reply.NotExecuted(w, http.StatusServiceUnavailable, "refused", "stand-in was told to refuse")
			return
		}
		if s.Consume(func(f *Faults) *int { return &f.DropReplies }) {
			next.ServeHTTP(newDiscardWriter(), r)
			panic(http.ErrAbortHandler)
		}
		if s.Get().SwapResponses > 0 {
			s.swapper.serve(s, next, w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// echoAttempts makes every response of next carry the attempt id of its request,
// including refusals and responses that are written to another request's
// connection.
func echoAttempts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		echoAttempt(w, r)
		next.ServeHTTP(w, r)
	})
}

// echoAttempt copies the attempt id of a request to its response.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(engine.HeaderAttempt); attempt != "" {
		w.Header().Set(engine.HeaderAttempt, attempt)
	}
}

// sleep waits for d and returns true, or returns false if the client disconnects
// first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func newDiscardWriter() *discardWriter { return &discardWriter{header: http.Header{}} }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}
