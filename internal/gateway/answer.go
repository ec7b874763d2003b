package gateway

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxAnswerBytes is the maximum size of the body of a non-stream answer.
	maxAnswerBytes = 16 << 20
	// answerMemoryDivisor is the inverse of the fraction of the instance's memory that
	// the bodies of all answers being read may take.
	answerMemoryDivisor = 8
	// defaultAnswerMemory is what they may take if the memory has no limit.
	defaultAnswerMemory = 64 << 20
	// answerBlockBytes is the size of the first buffer for an answer, which doubles as
	// needed.
	answerBlockBytes = 4 << 10
	// maxRejectionBytes is how much of the body of a rejection is read so that its
	// connection can be kept.
	maxRejectionBytes = 16 << 10
)

// Errors of reading an answer.
var (
	errAnswerTooLarge = errors.New("gateway: answer too large")
	errAnswerMemory   = errors.New("gateway: no memory left for answers")
)

// answerMemory bounds the memory of the bodies of all answers being read, as an upstream
// may send without end. It is safe for concurrent use.
type answerMemory struct {
	limit int64 // bytes
	used  atomic.Int64
	small atomic.Int64 // of smallAnswerMemory
	// evictUnread gives up the answer that has been unread for longest and reports whether
	// there was one. It may be nil.
	evictUnread func() bool
}

// newAnswerMemory returns the bound for an instance with so much memory, in MB; 0 means no
// limit.
func newAnswerMemory(limitMB int) *answerMemory {
	if limitMB == 0 {
		return &answerMemory{limit: defaultAnswerMemory}
	}
	return &answerMemory{limit: int64(limitMB) << 20 / answerMemoryDivisor}
}

const (
	// smallAnswerMemory is what the first buffers of answers may take beside the limit, so
	// that large answers do not keep out small ones.
	smallAnswerMemory = 1 << 20
	// freeTries is how often memory is asked for while answers are given up that callers do
	// not read, freeInterval the time in between, in which their memory is released.
	freeTries    = 20
	freeInterval = 5 * time.Millisecond
)

// take counts n bytes and reports whether there was room. Answers that their callers do not
// read give way.
func (m *answerMemory) take(n int64) bool {
	for range freeTries {
		if m.used.Add(n) <= m.limit {
			return true
		}
		m.used.Add(-n)
		if m.evictUnread == nil || !m.evictUnread() {
			return false
		}
		time.Sleep(freeInterval)
	}
	return false
}

// read reads a whole body. The memory of the body counts until release is called. It
// fails with errAnswerTooLarge or errAnswerMemory, or the error of reading.
func (m *answerMemory) read(r io.Reader) (body []byte, release func(), err error) {
	counted, small := int64(0), int64(0)
	release = func() {
		m.used.Add(-counted)
		m.small.Add(-small)
		counted, small = 0, 0
	}
	if m.small.Add(answerBlockBytes) <= smallAnswerMemory {
		small, body = answerBlockBytes, make([]byte, 0, answerBlockBytes)
	} else {
		m.small.Add(-answerBlockBytes)
	}
	for {
		if len(body) == cap(body) {
			grown := max(answerBlockBytes, 2*cap(body)) // the old one is garbage until it is collected
			if !m.take(int64(grown)) {
				return body, release, errAnswerMemory
			}
			counted += int64(grown)
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return body, release, err
		case len(body) > maxAnswerBytes:
			return body, release, errAnswerTooLarge
		}
	}
}

// discardRejection reads the body of a rejection and reports whether it was read to its
// end.
func discardRejection(r io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxRejectionBytes+1))
	return err == nil && n <= maxRejectionBytes
}
