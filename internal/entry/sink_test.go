package entry

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

func give(t *testing.T, s sink, text string) {
	data := []byte(`{"choices":[{"text":"` + text + `"}]}`)
	var c chunk
	must.NoError(t, json.Unmarshal(data, &c))
	must.NoError(t, s.event(data, &c))
}

// TestNoAnswerIsSpliced: an answer holds the tokens of one attempt only. A
// stream that has begun takes no further attempt; a whole answer starts again.
func TestNoAnswerIsSpliced(t *testing.T) {
	stream := newSink(httptest.NewRecorder(), &completion{stream: true})
	must.True(t, stream.restart())
	give(t, stream, "lost ")
	must.False(t, stream.restart())

	w := httptest.NewRecorder()
	whole := newSink(w, &completion{})
	give(t, whole, "lost ")
	must.True(t, whole.restart())
	give(t, whole, "kept")
	must.Eq(t, 1, whole.tokens())
	must.Nil(t, whole.finish())
	var answer struct{ Choices []wholeChoice }
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
	must.Eq(t, "kept", *answer.Choices[0].Text)
}
