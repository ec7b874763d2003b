package gateway

import (
	"errors"
	"io"
	"sync/atomic"
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
}

// newAnswerMemory returns the bound for an instance with so much memory, in MB; 0 means no
// limit.
func newAnswerMemory(limitMB int) *answerMemory {
	if limitMB == 0 {
		return &answerMemory{limit: defaultAnswerMemory}
	}
	return &answerMemory{limit: int64(limitMB) << 20 / answerMemoryDivisor}
}

// read reads a whole body. The memory of the body counts until release is called. It
// fails with errAnswerTooLarge or errAnswerMemory, or the error of reading.
func (m *answerMemory) read(r io.Reader) (body []byte, release func(), err error) {
	counted := int64(0)
	release = func() {
		m.used.Add(-counted)
		counted = 0
	}
	for {
		if len(body) == cap(body) {
			grown := max(answerBlockBytes, 2*cap(body)) // the old one is garbage until it is collected
			if m.used.Add(int64(grown)) > m.limit {
				m.used.Add(-int64(grown))
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
