package answer

import (
	"errors"
	"fmt"
)

// Errors of CheckBody. ErrWrongAttempt means that the body answers another attempt,
// ErrIncomplete that it is incomplete.
var (
	ErrWrongAttempt = errors.New("answer: body belongs to another attempt")
	ErrIncomplete   = errors.New("answer: body is not whole")
)

// Body describes the body of an answer that is not streamed, as the transport
// received it.
type Body struct {
	Attempt  string // attempt id in the answer
	Declared int64  // Content-Length in bytes, -1 if the transport marks the end
	Received int64  // bytes
	// EndReceived is true if the transport received the end of the body.
	EndReceived bool
}

// CheckBody returns nil if the body is the complete answer to the attempt, and
// otherwise an error that wraps ErrWrongAttempt or ErrIncomplete.
func CheckBody(attempt string, b Body) error {
	switch {
	case b.Attempt != attempt:
		return fmt.Errorf("%w: want %q, got %q", ErrWrongAttempt, attempt, b.Attempt)
	case !b.EndReceived:
		return fmt.Errorf("%w: no end after %d bytes", ErrIncomplete, b.Received)
	case b.Declared >= 0 && b.Declared != b.Received:
		return fmt.Errorf("%w: %d of %d bytes", ErrIncomplete, b.Received, b.Declared)
	}
	return nil
}
