package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/clientguard"
	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

// bodyCopies is the number of copies of a body that a call makes beside the blocks in which it
// arrives: the body in one piece, its decoded fields, and the body for the upstream.
const bodyCopies = 3

// readBody reads a request's body, at most Requests.MaxBodyBytes bytes, and takes memory for
// all that is made of it until the call ends.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) ([]byte, *Error) {
	c.held = s.opts.Clients.Hold(r.Context())
	blocks, err := c.held.ReadBody(w, r, s.opts.Requests.MaxBodyBytes)
	switch {
	case errors.Is(err, clientguard.ErrTooLarge):
		return nil, newError(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large")
	case errors.Is(err, clientguard.ErrMemory):
		return nil, errNoMemory()
	case errors.Is(err, clientguard.ErrSlow):
		return nil, newError(http.StatusRequestTimeout, CodeSlowBody, "the body came too slowly")
	case err != nil:
		return nil, newError(http.StatusBadRequest, CodeBadRequest, "the body ended early")
	}
	n := 0
	for _, b := range blocks {
		n += len(b)
	}
	if n > 0 && !c.held.Take(bodyCopies*n) {
		return nil, errNoMemory()
	}
	return bytes.Join(blocks, nil), nil
}

func errNoMemory() *Error {
	return newRetryableError(http.StatusServiceUnavailable, CodeOverloaded, "no memory left for bodies", busyRetryAfter)
}

// completion holds the fields of a request to a model that the instance reads,
// and values derived from them.
type completion struct {
	fields       map[string]json.RawMessage
	chat         bool
	modelName    string // as the caller sent it: model or model:adapter
	model        config.Model
	adapter      string
	stream       bool
	maxTokens    int
	promptTokens int    // estimated tokens
	prefix       []byte // the first bytes of the prompt's JSON, as received
	// prefixTokens is the estimated length of prefix in tokens.
	prefixTokens int
	serviceTier  string
}

// maxPrefixBytes is how many bytes at the beginning of a prompt identify it for
// prefix-cache routing.
const maxPrefixBytes = 512

// parseCompletion decodes the fields that routing needs. Other fields are passed
// on without being decoded.
func (s *Server) parseCompletion(body []byte, chat bool) (*completion, *Error) {
	req := &completion{chat: chat}
	if err := json.Unmarshal(body, &req.fields); err != nil {
		return nil, newError(http.StatusBadRequest, CodeBadRequest, "the body is not a JSON object")
	}
	field := "prompt"
	if chat {
		field = "messages"
	}
	prompt := req.fields[field]
	if len(prompt) == 0 || string(prompt) == "null" {
		return nil, newError(http.StatusBadRequest, CodeBadRequest, "field "+field+": want a prompt")
	}
	req.prefix = prompt[:min(len(prompt), maxPrefixBytes)]
	req.promptTokens = s.estimateTokens(prompt)
	req.prefixTokens = s.estimateTokens(req.prefix)
	for _, f := range []struct {
		name string
		dst  any
	}{
		{"model", &req.modelName}, {"stream", &req.stream}, {"service_tier", &req.serviceTier},
		{"max_tokens", &req.maxTokens}, {"max_completion_tokens", &req.maxTokens},
	} {
		raw, ok := req.fields[f.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return nil, newError(http.StatusBadRequest, CodeBadRequest, "field "+f.name+": wrong type")
		}
	}
	if req.modelName == "" {
		return nil, newError(http.StatusBadRequest, CodeBadRequest, "field model: want a model's name")
	}
	if req.maxTokens < 0 {
		return nil, newError(http.StatusBadRequest, CodeBadRequest, "field max_tokens: want more than 0")
	}
	return req, nil
}

// estimateTokens estimates the number of tokens of a text from its length in
// bytes.
func (s *Server) estimateTokens(text []byte) int {
	bytesPerToken := s.opts.Requests.BytesPerToken
	return int((int64(len(text)) + bytesPerToken - 1) / bytesPerToken)
}

// resolve looks up the model and the adapter in the service's document and sets
// or checks the output token limit.
func (req *completion) resolve(service *config.Service) *Error {
	name, adapter, _ := strings.Cut(req.modelName, ":")
	model, ok := service.Model(name)
	if !ok {
		return newError(http.StatusNotFound, CodeNotFound, "no model "+name+" in the service")
	}
	if _, ok := model.Adapter(adapter); adapter != "" && !ok {
		return newError(http.StatusNotFound, CodeNotFound, "no adapter "+adapter+" of the model "+name)
	}
	req.model, req.adapter = model, adapter
	if req.maxTokens == 0 {
		req.maxTokens = model.MaxOutputTokens
	}
	if req.maxTokens > model.MaxOutputTokens {
		return newError(http.StatusBadRequest, CodeBadRequest, "field max_tokens: above the model's max_output_tokens")
	}
	return nil
}

// upstreamBody returns the body to send to the engine. It always asks for a
// stream, so that progress is visible and a broken answer can be resumed.
func (req *completion) upstreamBody() ([]byte, error) {
	fields := make(map[string]any, len(req.fields)+2)
	for name, raw := range req.fields {
		fields[name] = raw
	}
	delete(fields, "service_tier")
	delete(fields, "max_completion_tokens")
	fields["stream"] = true
	fields["max_tokens"] = req.maxTokens
	return json.Marshal(fields)
}

// enginePath returns the path of the engine's API.
func (req *completion) enginePath() string {
	if req.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}
