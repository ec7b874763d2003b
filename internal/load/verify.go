package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
)

// Finish reasons of a response.
const (
	finishLength = "length" // max_tokens were generated
	finishStop   = "stop"   // the model ended the text earlier
)

// check compares a complete response with the one that the stand-ins give to
// this request. It fails with errMismatch.
func (c *call) check() error {
	if c.result.Outcome != "" {
		return nil // a refused request has no response to check
	}
	if c.flow.Kind.isPlain() {
		return c.checkPlain()
	}
	return c.checkCompletion()
}

func (c *call) checkPlain() error {
	var a plain.Answer
	if err := json.Unmarshal(c.response.body, &a); err != nil {
		return fmt.Errorf("%w: %w", errMismatch, err)
	}
	if a.ID != c.id || a.Result != plain.Result(c.id) {
		return fmt.Errorf("%w: response is for request %q", errMismatch, a.ID)
	}
	return nil
}

func (c *call) checkCompletion() error {
	r := &c.response
	want := modelengine.ExpectedText(c.arrival.Model, c.promptTokens(), r.tokens)
	if r.text.String() != want {
		return fmt.Errorf("%w: text differs", errMismatch)
	}
	switch r.finish {
	case finishLength:
		if r.tokens != c.arrival.MaxTokens {
			return fmt.Errorf("%w: got %d tokens, want %d", errMismatch, r.tokens, c.arrival.MaxTokens)
		}
	case finishStop:
	default:
		return fmt.Errorf("%w: finish reason %q", errMismatch, r.finish)
	}
	if r.usage != nil && r.usage.CompletionTokens != r.tokens {
		return fmt.Errorf("%w: got %d tokens, usage reports %d", errMismatch, r.tokens, r.usage.CompletionTokens)
	}
	return nil
}

// promptTokens returns the tokens into which the stand-in engine splits the
// prompt.
func (c *call) promptTokens() []string {
	words := strings.Fields(c.flow.prompt(c.id, c.arrival))
	if c.flow.Kind == KindChat {
		return append([]string{chatRole}, words...)
	}
	return words
}
