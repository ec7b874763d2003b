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
	streamed := newSink(httptest.NewRecorder(), &completion{stream: true})
	must.True(t, streamed.reset())
	sendEvent(t, streamed, "lost ")
	must.False(t, streamed.reset())

	w := httptest.NewRecorder()
	buffered := newSink(w, &completion{})
	sendEvent(t, buffered, "lost ")
	must.True(t, buffered.reset())
	sendEvent(t, buffered, "kept")
	must.Eq(t, 1, buffered.tokens())
	must.Nil(t, buffered.finish())
	var answer struct{ Choices []completionChoice }
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	must.Eq(t, "kept", *answer.Choices[0].Text)
}
