package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/config"
	"github.com/eelgrassbay/eelgrassbay/internal/crashwatch"
	"github.com/eelgrassbay/eelgrassbay/internal/inventory"
	"github.com/eelgrassbay/eelgrassbay/internal/quarantine"
)

// errHeldBack ends the wait of a request that is held back.
var errHeldBack = errors.New("entry: upstreams crash under such requests")

// maxPromptParts is the number of messages, from the first one on, by which a request may
// be held back.
const maxPromptParts = 64

// newSuspect returns what the crash watch knows a request by. The host is left out, as
// callers may address instances themselves.
func (s *Server) newSuspect(c *call, r *http.Request, body []byte, parts []quarantine.Key) *crashwatch.Request {
	return s.opts.Crashes.NewRequest(parts, func() quarantine.Head {
		return quarantine.HeadOf(c.org.String(), r.Method, "", r.URL.RequestURI(), len(body))
	}, body)
}

// promptParts returns the keys of a chat's messages. The last one is that of the request
// alone.
func (req *completion) promptParts(service string) []quarantine.Key {
	var messages []json.RawMessage
	if !req.chat || json.Unmarshal(req.fields["messages"], &messages) != nil || len(messages) == 0 {
		return nil
	}
	var keys []quarantine.Key
	for _, m := range messages[:min(len(messages)-1, maxPromptParts)] {
		keys = append(keys, quarantine.Key{Kind: quarantine.KindPart, Service: service, ID: xxhash.Sum64(m)})
	}
	return keys
}

// heldBack returns the error of a request if upstreams crash under such requests.
func heldBack(suspect *crashwatch.Request) *Error {
	retryAfter, held := suspect.Held()
	if !held {
		return nil
	}
	return quarantinedError(retryAfter)
}

func quarantinedError(retryAfter time.Duration) *Error {
	return newRetryableError(http.StatusServiceUnavailable, CodeQuarantined, "upstreams crash under such requests", retryAfter)
}

// waitingRequests are the requests that wait for a slot.
type waitingRequests struct {
	mu      sync.Mutex
	cancels map[*crashwatch.Request]context.CancelCauseFunc
}

func (w *waitingRequests) add(suspect *crashwatch.Request, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancels == nil {
		w.cancels = map[*crashwatch.Request]context.CancelCauseFunc{}
	}
	w.cancels[suspect] = cancel
}

func (w *waitingRequests) remove(suspect *crashwatch.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancels, suspect)
}

// withdrawHeld ends the wait of the requests that are held back.
func (w *waitingRequests) withdrawHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for suspect, cancel := range w.cancels {
		if _, held := suspect.Held(); held {
			cancel(errHeldBack)
		}
	}
}

// restartTime is less than the time in which an upstream that has crashed is back, and more
// than that in which all instances notice the crash.
const restartTime = 2 * time.Second

// incarnation returns the run of an upstream that ends now or has answered now. Documents
// have no identity of a run that all instances know, so the time tells apart the crashes of
// an upstream that comes back.
func incarnation(service *config.Service, name string) quarantine.Upstream {
	u := quarantine.Upstream{ID: name, StartedAtMS: time.Now().Truncate(restartTime).UnixMilli()}
	_, upstreamName := inventory.SplitName(name)
	for _, d := range service.Upstreams {
		if d.Name == upstreamName {
			u.Zone = d.Zone
		}
	}
	return u
}

// recordBroken records that an attempt broke in the beginning of its answer. An upstream
// that leaves may end at any time, which says nothing about its requests.
func (s *Server) recordBroken(suspect *crashwatch.Request, u quarantine.Upstream, address string) {
	if !s.opts.Replica.Snapshot().LeavingUpstreams[address] {
		suspect.Broke(u, address)
	}
}
