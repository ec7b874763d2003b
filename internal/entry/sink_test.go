package entry

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func sendEvent(t *testing.T, s sink, text string) {
	data := []byte(`{"choices":[{"text":"` + text + `"}]}`)
	var c chunk
	must.NoError(t, json.Unmarshal(data, &c))
	must.NoError(t, s.event(data, &c))
}

// An answer must not combine the tokens of two attempts. A stream that has started
// must accept no further attempt; a buffered answer must start again.
func TestAnswerHoldsTokensOfOneAttempt(t *testing.T) {
	stream := newSink(httptest.NewRecorder(), &completion{stream: true})
	must.True(t, stream.reset())
	sendEvent(t, stream, "lost ")
	must.False(t, stream.reset())

	w := httptest.NewRecorder()
	whole := newSink(w, &completion{})
	sendEvent(t, whole, "lost ")
	must.True(t, whole.reset())
	sendEvent(t, whole, "kept")
	must.Eq(t, 1, whole.tokens())
	must.Nil(t, whole.finish())
	var answer struct{ Choices []completionChoice }
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	must.Eq(t, "kept", *answer.Choices[0].Text)
}
