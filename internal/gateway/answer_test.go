package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// endless is a body without an end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

func TestBodyWithoutEnd(t *testing.T) {
	m := newAnswerMemory(0)
	e := &endless{}
	_, release, err := m.read(e)
	must.ErrorIs(t, err, errAnswerTooLarge)
	must.LessEq(t, 2*maxAnswerBytes, e.read)
	release()
	must.Zero(t, m.used.Load())
}

// Many bodies without an end together take no more than the instance has for answers.
func TestBodiesWithoutEndShareTheMemory(t *testing.T) {
	const memoryMB = 184
	m := newAnswerMemory(memoryMB)
	var releases []func()
	for range 200 {
		_, release, err := m.read(&endless{})
		must.Error(t, err)
		releases = append(releases, release)
		must.LessEq(t, memoryMB<<20/answerMemoryDivisor, m.used.Load())
	}
	for _, release := range releases {
		release()
	}
	must.Zero(t, m.used.Load())
	body, release, err := m.read(strings.NewReader("an answer"))
	must.NoError(t, err)
	must.Eq(t, "an answer", string(body))
	release()
}

func TestAnswerIsReadWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 20_000)
	for _, r := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
		body, release, err := newAnswerMemory(0).read(r)
		must.NoError(t, err)
		must.Eq(t, want, body)
		release()
	}
	_, release, err := newAnswerMemory(0).read(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)))
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	release()
}

func TestRejectionWithoutEndIsNotReadOn(t *testing.T) {
	e := &endless{}
	must.False(t, discardRejection(e))
	must.LessEq(t, 4*maxRejectionBytes, e.read)
	must.True(t, discardRejection(strings.NewReader("full")))
}
