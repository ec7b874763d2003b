package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/standin/modelengine"
	"github.com/eelgrassbay/eelgrassbay/internal/standin/plain"
)

// Finish reasons of an answer.
const (
	finishLength = "length" // max_tokens were written
	finishStop   = "stop"   // the model ended earlier
)

// check compares a whole answer with what the stand-ins answer to this very
// request. It fails with errWrong.
func (c *call) check() error {
	if c.result.Outcome != "" {
		return nil // a refusal has no answer
	}
	if c.flow.Kind.plain() {
		return c.checkPlain()
	}
	return c.checkCompletion()
}

func (c *call) checkPlain() error {
	var a plain.Answer
	if err := json.Unmarshal(c.answer.whole, &a); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	if a.ID != c.id || a.Result != plain.Result(c.id) {
		return fmt.Errorf("%w: it is for %q", errWrong, a.ID)
	}
	return nil
}

func (c *call) checkCompletion() error {
	a := &c.answer
	want := modelengine.Answer(c.arrival.Model, c.promptTokens(), a.tokens)
	if a.text.String() != want {
		return fmt.Errorf("%w: another text", errWrong)
	}
	switch a.finish {
	case finishLength:
		if a.tokens != c.arrival.MaxTokens {
			return fmt.Errorf("%w: %d tokens of %d", errWrong, a.tokens, c.arrival.MaxTokens)
		}
	case finishStop:
	default:
		return fmt.Errorf("%w: finish reason %q", errWrong, a.finish)
	}
	if a.usage != nil && a.usage.CompletionTokens != a.tokens {
		return fmt.Errorf("%w: %d tokens, and %d in its usage", errWrong, a.tokens, a.usage.CompletionTokens)
	}
	return nil
}

// promptTokens returns the tokens that the stand-in engine takes the prompt for.
func (c *call) promptTokens() []string {
	words := strings.Fields(c.flow.prompt(c.id, c.arrival))
	if c.flow.Kind == KindChat {
		return append([]string{chatRole}, words...)
	}
	return words
}
