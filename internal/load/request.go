package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
)

// Default paths of the kinds of flows.
const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathLookup      = "/lookup/{id}"
	pathCheckin     = "/checkin/{id}"
)

const headerIdempotencyKey = "Idempotency-Key"

// chatRole is the role of the only message of a chat request.
const chatRole = "user"

// completionBody is the body of a request to a model.
type completionBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// checkinBody is the body of a check-in request.
type checkinBody struct {
	ID string `json:"id"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// target is one base URL with the options of its target set.
type target struct {
	url         string
	plainPrefix string
	sendKeys    bool
}

// pick returns the nth target, counted round robin.
func (t TargetSet) pick(n int) target {
	return target{
		url:         strings.TrimSuffix(t.URLs[n%len(t.URLs)], "/"),
		plainPrefix: t.PlainPrefix,
		sendKeys:    t.sendKeys(),
	}
}

// requestID returns the id of a request, which is unique if the run id is.
func requestID(runID string, f *Flow, a Arrival) string {
	return runID + "-" + f.Name + "-" + strconv.Itoa(a.Seq)
}

// newRequest builds the HTTP request of an arrival.
func newRequest(ctx context.Context, t target, f *Flow, a Arrival, id string) (*http.Request, error) {
	method, body := http.MethodPost, []byte(nil)
	var err error
	switch f.Kind {
	case KindLookup:
		method = http.MethodGet
	case KindCheckin:
		body, err = json.Marshal(checkinBody{ID: id})
	case KindCompletion, KindChat:
		body, err = json.Marshal(f.body(id, a))
	}
	if err != nil {
		return nil, fmt.Errorf("load: body of flow %s: %w", f.Name, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.url+f.path(t, id), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("load: request of flow %s: %w", f.Name, err)
	}
	if f.Kind == KindCheckin {
		// Without GetBody the transport cannot rewind the body, so that it does
		// not retry a request with an Idempotency-Key on its own.
		req.GetBody = nil
	}
	f.setHeaders(req.Header, t, id)
	return req, nil
}

func (f *Flow) setHeaders(h http.Header, t target, id string) {
	if f.Kind != KindLookup {
		h.Set("Content-Type", "application/json")
	}
	if f.Class == ClassBatch {
		h.Set(engine.HeaderPriority, engine.PriorityBatch)
	}
	if f.Kind == KindCheckin {
		h.Set(headerIdempotencyKey, id)
	}
	if f.Key != "" && t.sendKeys {
		h.Set("Authorization", "Bearer "+string(f.Key))
	}
}

func (f *Flow) body(id string, a Arrival) completionBody {
	b := completionBody{Model: a.Model, MaxTokens: a.MaxTokens, Stream: f.Stream}
	text := f.prompt(id, a)
	if f.Kind == KindChat {
		b.Messages = []chatMessage{{Role: chatRole, Content: text}}
		return b
	}
	b.Prompt = text
	return b
}

func (f *Flow) path(t target, id string) string {
	path := f.Path
	if path == "" {
		path = map[Kind]string{
			KindCompletion: pathCompletions,
			KindChat:       pathChat,
			KindLookup:     pathLookup,
			KindCheckin:    pathCheckin,
		}[f.Kind]
	}
	if f.Kind.isPlain() {
		path = t.plainPrefix + path
	}
	return strings.ReplaceAll(path, "{id}", url.PathEscape(id))
}
