package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// unstated is the source of answers without a stated length.
var unstated = answerSource{service: "app", length: -1}

// endless is a body without an end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)
	return len(p), nil
}

func TestBodyWithoutEnd(t *testing.T) {
	m := newAnswerMemory(0)
	e := &endless{}
	_, release, err := m.read(e, unstated)
	must.ErrorIs(t, err, errAnswerTooLarge)
	must.LessEq(t, 2*maxAnswerBytes, e.read)
	release()
	must.Zero(t, m.used)
}

// Many bodies without an end together take no more than the instance has for answers.
func TestBodiesWithoutEndShareTheMemory(t *testing.T) {
	const memoryMB = 184
	m := newAnswerMemory(memoryMB)
	var releases []func()
	for range 200 {
		_, release, err := m.read(&endless{}, unstated)
		must.Error(t, err)
		releases = append(releases, release)
		must.LessEq(t, memoryMB<<20/answerMemoryDivisor, m.used)
	}
	for _, release := range releases {
		release()
	}
	must.Zero(t, m.used)
	body, release, err := m.read(strings.NewReader("an answer"), unstated)
	must.NoError(t, err)
	must.Eq(t, "an answer", string(body))
	release()
}

// slowly is a body without an end that takes a moment for each piece, until it is aborted.
type slowly struct{ aborted chan struct{} }

func (s slowly) Read(p []byte) (int, error) {
	select {
	case <-s.aborted:
		return 0, net.ErrClosed
	case <-time.After(10 * time.Millisecond):
		return len(p), nil
	}
}

// Bodies without an end must not keep out the answers of other services, and the memory comes
// from them and not from callers that read slowly.
func TestBodiesWithoutEndLeaveRoomForOtherServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newAnswerMemory(144)
		m.evictUnread = func() bool {
			t.Error("a caller is cut off")
			return false
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		outgrown := 0
		for range 200 {
			wg.Go(func() {
				for ctx.Err() == nil {
					s := slowly{make(chan struct{})}
					_, release, err := m.read(s, answerSource{"endless", -1, sync.OnceFunc(func() { close(s.aborted) })})
					m.mu.Lock()
					if errors.Is(err, errAnswerOutgrown) {
						outgrown++
					}
					m.mu.Unlock()
					release()
				}
			})
		}
		for range 100 {
			time.Sleep(7 * time.Millisecond)
			body, release, err := m.read(bytes.NewReader(make([]byte, 100<<10)), answerSource{service: "app", length: 100 << 10})
			must.NoError(t, err)
			must.Len(t, 100<<10, body)
			release()
		}
		cancel()
		wg.Wait()
		must.Positive(t, outgrown)
		must.Zero(t, m.used)
		must.Zero(t, m.leaving)
	})
}

// The unfinished events of streams take from the same memory, as long as they are large.
func TestUnfinishedEventsShareTheMemory(t *testing.T) {
	m := newAnswerMemory(144)
	var streams []*eventMemory
	var err error
	for err == nil {
		must.Less(t, 100, len(streams))
		e := &eventMemory{memory: m, from: unstated}
		streams = append(streams, e)
		must.NoError(t, e.hold(uncountedEventBytes))
		err = e.hold(maxEventBytes)
	}
	must.ErrorIs(t, err, errAnswerOutgrown)
	for _, e := range streams {
		must.NoError(t, e.hold(100))
	}
	must.Zero(t, m.used)
	must.MapEmpty(t, m.reading)
}

func TestAnswerIsReadWhole(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 20_000)
	for _, r := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
		body, release, err := newAnswerMemory(0).read(r, unstated)
		must.NoError(t, err)
		must.Eq(t, want, body)
		release()
	}
	_, release, err := newAnswerMemory(0).read(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), unstated)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	release()
}

func TestRejectionWithoutEndIsNotReadOn(t *testing.T) {
	e := &endless{}
	must.False(t, discardRejection(e))
	must.LessEq(t, 4*maxRejectionBytes, e.read)
	must.True(t, discardRejection(strings.NewReader("full")))
}
