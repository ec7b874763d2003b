// Package bodybudget decides how much memory the clients of one process may take, how many
// of them may be connected, and which are closed when either is short. It counts
// what clients have sent and what is kept for them while they read. It makes decisions only:
// the caller passes the time as a duration on a monotonic clock and closes the connections.
package bodybudget

import "time"

// State is what a client is doing.
type State uint8

const (
	// StateIdle: no byte of the next request has come.
	StateIdle State = iota
	// StateHead: the head of a request is being received.
	StateHead
	// StateBody: the body of a request is being received.
	StateBody
	// StateServed: a whole request is being processed. It may have run, so the client is
	// never closed.
	StateServed
	// StateUnread: the client does not read what is being sent to it.
	StateUnread
)

const (
	// SmallBytes is how much a client may hold to count as small.
	SmallBytes = 64 << 10
	// smallDivisor is the inverse of the part of the budget that only small clients may
	// use. Large requests that are being processed cannot be closed; without this part
	// they would keep out all others.
	smallDivisor = 4
	// evictDivisor is the inverse of the part of the budget that is freed beyond what is
	// needed, so that not every reservation has to look for clients to close.
	evictDivisor = 32
	// ageFloor is added to the time for which a client has held memory. It makes the size decide
	// between clients that came at the same time.
	ageFloor = 100 * time.Millisecond
	// stalledFactor is the weight of the time for which nothing came from a client.
	stalledFactor = 3
	// minAge is the time for which a client may do what it does before it has to give
	// way to a large one, and for which a large one waits. With 27 MB for large bodies it bounds
	// what is read in vain to 54 MB/s.
	minAge = 500 * time.Millisecond
)

// Group is the connections of one listener.
type Group struct {
	max int
	n   int
}

// NewGroup returns a group of so many connections at most.
func NewGroup(max int) *Group { return &Group{max: max} }

// Len returns the number of connections of the group.
func (g *Group) Len() int { return g.n }

// Client is one connection.
type Client struct {
	id     uint64
	group  *Group // nil if it is not counted as a connection
	held   int64  // bytes
	state  State
	since  time.Duration // when it entered the state
	grown  time.Duration // when memory was reserved for it last
	served bool          // has sent a whole request
	gone   bool          // closed by a decision, or disconnected
}

// Held returns the memory that is reserved for the client, in bytes.
func (c *Client) Held() int64 { return c.held }

// State returns what the client is doing.
func (c *Client) State() State { return c.state }

// Budget is the memory for the clients of one process. It is not safe for concurrent use.
type Budget struct {
	limit   int64
	used    int64
	lastID  uint64
	clients map[*Client]struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, clients: map[*Client]struct{}{}} }

// Used returns the memory that is reserved, in bytes.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Connect adds a connection to a group. If the group is full, the caller must close the
// second client in its place. It returns no client if none can be closed.
func (b *Budget) Connect(now time.Duration, g *Group) (c, evicted *Client) {
	if g.n >= g.max {
		if evicted = b.leastActive(g); evicted == nil {
			return nil, nil
		}
		b.Disconnect(evicted)
	}
	g.n++
	return b.add(now, g), evicted
}

// Attach adds a client that is not counted as a connection, such as a request of a peer.
func (b *Budget) Attach(now time.Duration) *Client { return b.add(now, nil) }

func (b *Budget) add(now time.Duration, g *Group) *Client {
	b.lastID++
	c := &Client{id: b.lastID, group: g, since: now}
	b.clients[c] = struct{}{}
	return c
}

// Disconnect removes a connection with all that it holds. Repeated calls do nothing.
func (b *Budget) Disconnect(c *Client) {
	if c.gone {
		return
	}
	c.gone = true
	if c.group != nil {
		c.group.n--
	}
	b.Release(c, c.held)
	delete(b.clients, c)
}

// Enter records that a client has begun something else.
func (b *Budget) Enter(now time.Duration, c *Client, s State) {
	c.state, c.since, c.grown = s, now, now
	c.served = c.served || s == StateServed
}

// Release returns n bytes of those that a client holds, all of them if it holds fewer.
func (b *Budget) Release(c *Client, n int64) {
	n = min(n, c.held)
	c.held -= n
	b.used -= n
}

// Verdict is the answer to a reservation.
type Verdict uint8

const (
	// Refused: the client itself is the one to be rejected.
	Refused Verdict = iota
	// Wait: nothing can be freed yet; the caller may ask again after a moment.
	Wait
	// Reserved: the client has the memory.
	Reserved
)

// Reserve takes n bytes for a client. When the budget is short, it names the clients that the
// caller must close first; their memory counts as free. Large clients make others give way
// only after minAge, or else clients that come again at once would keep the process busy with
// reading what it throws away.
func (b *Budget) Reserve(now time.Duration, c *Client, n int64) (evicted []*Client, v Verdict) {
	if c.gone {
		return nil, Refused
	}
	limit, age := b.limit, time.Duration(0)
	if c.held+n > SmallBytes {
		limit -= b.limit / smallDivisor
		age = minAge
	}
	if n > limit {
		return nil, Refused
	}
	spare := int64(0)
	for b.used+n > limit-spare {
		worst := b.worst(now)
		if worst == nil || worst == c || cost(now, worst, 0) <= cost(now, c, n) && evictable(c) {
			break
		}
		if now-worst.since < age {
			break
		}
		evicted = append(evicted, worst)
		b.Disconnect(worst)
		spare = b.limit / evictDivisor
	}
	if b.used+n > limit {
		if evictable(c) && now-c.grown < age {
			return evicted, Wait
		}
		return evicted, Refused
	}
	c.held += n
	b.used += n
	c.grown = now
	return evicted, Reserved
}

// EvictUnread removes the client that has not read for longest what is kept for it, and
// returns it; nil if all read. Memory outside the budget is freed by closing it.
func (b *Budget) EvictUnread() *Client {
	var longest *Client
	for c := range b.clients {
		if c.state != StateUnread {
			continue
		}
		if longest == nil || c.since < longest.since || c.since == longest.since && c.id < longest.id {
			longest = c
		}
	}
	if longest != nil {
		b.Disconnect(longest)
	}
	return longest
}

// evictable reports whether a client may be closed to free memory. A request that is being
// processed may have run and is not ended.
func evictable(c *Client) bool {
	return c.state == StateHead || c.state == StateBody || c.state == StateUnread
}

// cost is what a client costs the others with n more bytes: the memory that it holds, times
// the time for which it has not finished what it began. The time for which nothing came
// counts more.
func cost(now time.Duration, c *Client, n int64) float64 {
	stalled := time.Duration(0)
	if n == 0 {
		stalled = now - max(c.grown, c.since)
	}
	return float64(c.held+n) * (now - c.since + stalledFactor*stalled + ageFloor).Seconds()
}

// worst returns the client to close first for its memory, nil if there is none.
func (b *Budget) worst(now time.Duration) *Client {
	var worst *Client
	for c := range b.clients {
		if c.held == 0 || !evictable(c) {
			continue
		}
		if worst == nil || before(cost(now, c, 0), cost(now, worst, 0), c, worst) {
			worst = c
		}
	}
	return worst
}

// before orders two clients by cost, the earlier first if they cost the same.
func before(a, b float64, ca, cb *Client) bool { return a > b || a == b && ca.id < cb.id }

// leastActive returns the client to close first for its connection: one that has not sent a
// whole request yet before others, and the one that has been at what it does for longest. A
// connection between two requests of an ordinary client is closed only if there is no other.
func (b *Budget) leastActive(g *Group) *Client {
	var least *Client
	for c := range b.clients {
		if c.group != g || c.state == StateServed {
			continue
		}
		switch {
		case least == nil, !c.served && least.served:
			least = c
		case c.served != least.served:
		case c.since < least.since, c.since == least.since && c.id < least.id:
			least = c
		}
	}
	return least
}
