package modelengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/emulator"
)

const (
	defaultMaxTokens = 16      // of a request that sets no limit
	maxBodyBytes     = 8 << 20 // of a request
)

// completionRequest holds the fields of completion and chat completion requests
// that the engine uses; it ignores others.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// Usage holds the token counts of one response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is a response, or one event of a streamed response. Offset is the index
// of its first token.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since the epoch
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Attempt string   `json:"attempt"`
	Offset  int      `json:"offset"`
}

// Choice is the only choice of a response. Text is set in completions, Delta in
// chunks of chat completions and Message in whole chat completions.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Content `json:"delta,omitempty"`
	Message      *Content `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is the text of a chat completion.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

var errNoPrompt = errors.New("prompt is empty")

// parsedRequest is a valid request.
type parsedRequest struct {
	chat      bool
	stream    bool
	name      string // model as the client named it
	model     string
	adapter   string
	prompt    []string // tokens
	maxTokens int
}

// parseRequest reads and validates the body of a completion, or of a chat
// completion if chat is set.
func parseRequest(w http.ResponseWriter, r *http.Request, chat bool) (parsedRequest, error) {
	var req completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		return parsedRequest{}, fmt.Errorf("body: %w", err)
	}
	p := parsedRequest{chat: chat, stream: req.Stream, name: req.Model, maxTokens: req.maxTokens()}
	p.model, p.adapter, _ = strings.Cut(req.Model, emulator.AdapterSeparator)
	if p.model == "" {
		return parsedRequest{}, errors.New("model is empty")
	}
	if p.maxTokens <= 0 {
		return parsedRequest{}, fmt.Errorf("max_tokens %d is not positive", p.maxTokens)
	}
	var err error
	p.prompt, err = req.tokens(chat)
	return p, err
}

// maxTokens returns the limit of generated tokens.
func (req completionRequest) maxTokens() int {
	switch {
	case req.MaxCompletionTokens != nil:
		return *req.MaxCompletionTokens
	case req.MaxTokens != nil:
		return *req.MaxTokens
	}
	return defaultMaxTokens
}

// tokens returns the prompt as tokens. Each word is one token, and each message
// begins with its role.
func (req completionRequest) tokens(chat bool) ([]string, error) {
	var tokens []string
	if !chat {
		text, err := textOf(req.Prompt)
		if err != nil {
			return nil, fmt.Errorf("prompt: %w", err)
		}
		tokens = strings.Fields(text)
	}
	for i, m := range req.Messages {
		text, err := textOf(m.Content)
		if err != nil {
			return nil, fmt.Errorf("messages[%d].content: %w", i, err)
		}
		tokens = append(tokens, m.Role)
		tokens = append(tokens, strings.Fields(text)...)
	}
	if len(tokens) == 0 {
		return nil, errNoPrompt
	}
	return tokens, nil
}

// textOf returns the text of a JSON string, list of strings or list of text parts.
func textOf(raw json.RawMessage) (string, error) {
	if len(raw) == 0 {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, " "), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("expected a string, strings or text parts")
	}
	for _, p := range parts {
		list = append(list, p.Text)
	}
	return strings.Join(list, " "), nil
}

// tokenGenerator generates the tokens of an answer, which depend only on the model
// and the prompt.
type tokenGenerator uint32

func newTokenGenerator(model string, prompt []string) tokenGenerator {
	h := fnv.New32a()
	_, _ = io.WriteString(h, model)
	for _, token := range prompt {
		_, _ = io.WriteString(h, "\x00"+token)
	}
	return tokenGenerator(h.Sum32())
}

// ExpectedText returns the text of the first n tokens of the answer to a prompt,
// with which tests compare what a client received.
func ExpectedText(model string, prompt []string, n int) string {
	return newTokenGenerator(model, prompt).text(0, n)
}

// text returns the text of the tokens in [from, to).
func (t tokenGenerator) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "t%d-%08x ", i, uint32(t))
	}
	return b.String()
}
