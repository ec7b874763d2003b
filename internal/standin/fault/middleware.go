package fault

import (
	"net/http"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/reply"
)

// Wrap applies latency and outage to every request but those to Path.
func (s *Set) Wrap(next http.Handler) http.Handler {
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
			echo(w, r)
			reply.NotRun(w, http.StatusServiceUnavailable, "outage", "stand-in is in an outage")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Work applies the faults of answers to requests that do work.
func (s *Set) Work(next http.Handler) http.Handler {
	next = echoing(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Get().Refuse {
			echo(w, r)
			reply.NotRun(w, http.StatusServiceUnavailable, "refused", "stand-in was told to refuse")
			return
		}
		if s.Take(func(f *Faults) *int { return &f.LoseReplies }) {
			next.ServeHTTP(newDiscard(), r)
			panic(http.ErrAbortHandler)
		}
		if s.Get().CrossAnswers > 0 {
			s.cross.serve(s, next, w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// echoing makes every answer of next, refusals included, name the attempt that
// it answers, also when it is written to another request's connection.
func echoing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		echo(w, r)
		next.ServeHTTP(w, r)
	})
}

func echo(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(engine.HeaderAttempt); attempt != "" {
		w.Header().Set(engine.HeaderAttempt, attempt)
	}
}

// sleep waits, and reports false if the client went away first.
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

// discard is a ResponseWriter whose answer nobody gets.
type discard struct{ header http.Header }

func newDiscard() *discard { return &discard{header: http.Header{}} }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}
