// Package assign selects an upstream for each request. It queues requests that
// cannot be placed yet and refuses those that cannot be served before the
// caller gives up. The Scheduler does no I/O and reads no clock: the caller
// passes in the time and acts on the returned decisions.
//
// The load of an engine has two parts. Requests that have not produced their
// first token form its backlog, counted in prompt tokens per urgency level;
// they delay the first token of later requests. Requests that have produced it
// form its batch. Each instance knows its own load exactly and that of its
// peers as of their last message. A plain service is one without an engine.
package assign
