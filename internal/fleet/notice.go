package fleet

import "time"

// Notice is what an upstream says in an answer about its own state. The zero value says
// that the upstream takes requests without a limit.
type Notice struct {
	// Leaving is whether the upstream is about to end.
	Leaving bool
	// Limited is whether the upstream takes at most RatePerS requests a second from
	// all instances together.
	Limited  bool
	RatePerS float64
	// LimitUnknown is whether the answer does not tell if there is a limit, because
	// what it says of it is malformed.
	LimitUnknown bool
	// Brittle is whether the upstream ends if it has to reject more than MaxRejections
	// requests in a second for want of room.
	Brittle       bool
	MaxRejections int
	// Pause is how long the upstream wants no request from this instance, 0 for no
	// pause.
	Pause time.Duration
	// ColdLeft is the time for which the upstream stays cold. HasColdLeft is whether the
	// answer says so.
	ColdLeft    time.Duration
	HasColdLeft bool
}
