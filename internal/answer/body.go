package answer

import (
	"errors"
	"fmt"
)

// Errors of CheckBody.
var (
	ErrCrossed = errors.New("answer: body belongs to another attempt")
	ErrShort   = errors.New("answer: body is not whole")
)

// Body is an answer that is not streamed, as the transport saw it.
type Body struct {
	Attempt  string // attempt id that the answer echoes
	Declared int64  // Content-Length, -1 if the transport marks the end
	Received int64
	// Ended is true if the transport saw the end of the body.
	Ended bool
}

// CheckBody returns nil if the body is the whole answer to the attempt.
func CheckBody(attempt string, b Body) error {
	switch {
	case b.Attempt != attempt:
		return fmt.Errorf("%w: want %q, got %q", ErrCrossed, attempt, b.Attempt)
	case !b.Ended:
		return fmt.Errorf("%w: no end after %d bytes", ErrShort, b.Received)
	case b.Declared >= 0 && b.Declared != b.Received:
		return fmt.Errorf("%w: %d of %d bytes", ErrShort, b.Received, b.Declared)
	}
	return nil
}
