package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

// readBody reads a request's body up to the bound.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.Requests.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large")
	case err != nil:
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "the body ended early")
	}
	return body, nil
}

// completion is a request to a model, as far as the instance reads it.
type completion struct {
	fields    map[string]json.RawMessage
	chat      bool
	name      string // as the caller named it, with the adapter
	model     config.Model
	adapter   string
	stream    bool
	maxTokens int
	prompt    int    // estimated tokens
	prefix    []byte // of the prompt, as it came
	// prefixTokens is the estimated length of prefix.
	prefixTokens int
	tier         string
}

// prefixBytes is the length of the beginning of a prompt that decides where it
// may be cached.
const prefixBytes = 512

// parseCompletion reads the fields that routing needs. Others pass unread.
func (s *Server) parseCompletion(body []byte, chat bool) (*completion, *Error) {
	req := &completion{chat: chat}
	if err := json.Unmarshal(body, &req.fields); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "the body is not a JSON object")
	}
	field := "prompt"
	if chat {
		field = "messages"
	}
	prompt := req.fields[field]
	if len(prompt) == 0 || string(prompt) == "null" {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "field "+field+": want a prompt")
	}
	req.prefix = prompt[:min(len(prompt), prefixBytes)]
	req.prompt = s.estimate(prompt)
	req.prefixTokens = s.estimate(req.prefix)
	for _, f := range []struct {
		name string
		dst  any
	}{
		{"model", &req.name}, {"stream", &req.stream}, {"service_tier", &req.tier},
		{"max_tokens", &req.maxTokens}, {"max_completion_tokens", &req.maxTokens},
	} {
		raw, ok := req.fields[f.name]
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return nil, refuse(http.StatusBadRequest, CodeBadRequest, "field "+f.name+": wrong type")
		}
	}
	if req.name == "" {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "field model: want a model's name")
	}
	if req.maxTokens < 0 {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "field max_tokens: want more than 0")
	}
	return req, nil
}

// estimate returns about how many tokens a text has.
func (s *Server) estimate(text []byte) int {
	per := s.opts.Requests.BytesPerToken
	return int((int64(len(text)) + per - 1) / per)
}

// resolve finds the model and the adapter in the service's document.
func (req *completion) resolve(service *config.Service) *Error {
	name, adapter, _ := strings.Cut(req.name, ":")
	model, ok := service.Model(name)
	if !ok {
		return refuse(http.StatusNotFound, CodeNotFound, "no model "+name+" in the service")
	}
	if _, ok := model.Adapter(adapter); adapter != "" && !ok {
		return refuse(http.StatusNotFound, CodeNotFound, "no adapter "+adapter+" of the model "+name)
	}
	req.model, req.adapter = model, adapter
	if req.maxTokens == 0 {
		req.maxTokens = model.MaxOutputTokens
	}
	if req.maxTokens > model.MaxOutputTokens {
		return refuse(http.StatusBadRequest, CodeBadRequest, "field max_tokens: above the model's max_output_tokens")
	}
	return nil
}

// upstreamBody is the body sent to the engine: always streamed, so that
// progress shows and a broken answer can be resumed.
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

// path returns the engine's path.
func (req *completion) path() string {
	if req.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}
