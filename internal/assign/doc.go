// Package assign decides which upstream a request is sent to, how long it
// waits for one, and when it is turned away instead. It is a pure value: time
// is passed in, and the caller carries out what it returns.
//
// An engine's work is seen in two parts. Requests that have not produced their
// first token form its backlog, counted in prompt tokens per urgency; they
// delay the first token of later requests. Requests that have form its batch.
// Each instance knows its own part exactly and that of its peers as of their
// last message.
package assign
