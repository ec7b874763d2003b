package gateway

import (
	"cmp"
	"errors"
	"io"
	"strings"
	"sync"
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
	// errAnswerOutgrown means that an answer without a stated length was given up because those
	// of its service took most of the memory.
	errAnswerOutgrown = errors.New("gateway: answers of the service take most of the memory for answers")
)

// answerMemory bounds the memory of the bodies of all answers being read, as an upstream
// may send without end. If it is short, the largest unfinished answer of the service that takes
// most of it gives way, so that one service does not keep out the others. It is safe for
// concurrent use.
type answerMemory struct {
	limit int64 // bytes
	// evictUnread gives up the answer that has been unread for longest and reports whether
	// there was one. It may be nil.
	evictUnread func() bool

	mu      sync.Mutex
	used    int64                    // bytes
	small   int64                    // of smallAnswerMemory
	leaving int64                    // part of used of the answers that give way, which is about to be released
	awaited int64                    // bytes for which they give way
	reading map[*answerBody]struct{} // unfinished, or about to release their memory for others
	lastID  uint64
}

// newAnswerMemory returns the bound for an instance with so much memory, in MB; 0 means no
// limit.
func newAnswerMemory(limitMB int) *answerMemory {
	m := &answerMemory{limit: defaultAnswerMemory, reading: map[*answerBody]struct{}{}}
	if limitMB > 0 {
		m.limit = int64(limitMB) << 20 / answerMemoryDivisor
	}
	return m
}

const (
	// smallAnswerMemory is what the first buffers of answers may take beside the limit, so
	// that large answers do not keep out small ones.
	smallAnswerMemory = 1 << 20
	// freeTries is how often memory is asked for while answers are given up, freeInterval the
	// time in between, in which their memory is released. Of those that callers do not read, at
	// most maxUnreadTries are given up.
	freeTries      = 100
	maxUnreadTries = 20
	freeInterval   = 5 * time.Millisecond
)

// answerSource says where an answer comes from.
type answerSource struct {
	service string
	length  int64  // of the body as stated, in bytes, -1 if it is not
	abort   func() // lets reading fail; may be nil
}

// answerBody is the body of an answer while it is read, and its memory until it is released.
// The lock of the answerMemory guards its fields.
type answerBody struct {
	answerSource
	id               uint64
	counted, small   int64
	leaving, awaited int64 // its parts of those of the answerMemory
	err              error // why it gives way, nil while it does not
}

// take counts n bytes for an answer. It fails with errAnswerTooLarge, errAnswerMemory or
// errAnswerOutgrown.
func (m *answerMemory) take(b *answerBody, n int64) error {
	defer m.stopWaiting(b)
	evicted := 0
	for range freeTries {
		granted, victim, unread := m.tryTake(b, n)
		switch {
		case granted:
			return nil
		case victim == b:
			return b.err
		case victim != nil && victim.abort != nil:
			victim.abort()
		case unread && (evicted == maxUnreadTries || m.evictUnread == nil || !m.evictUnread()):
			return errAnswerMemory
		case unread:
			evicted++
		}
		time.Sleep(freeInterval)
	}
	return errAnswerMemory
}

// tryTake counts n bytes if there is room. Otherwise it returns the answer that gives way, or
// whether one that its caller does not read should.
func (m *answerMemory) tryTake(b *answerBody, n int64) (granted bool, victim *answerBody, unread bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	need := m.used + n + m.awaited - b.awaited
	switch {
	case b.err != nil:
		return false, b, false
	case need <= m.limit:
		m.used += n
		b.counted += n
		return true, nil, false
	case b.counted+n > m.limit:
		b.err = errAnswerTooLarge
		return false, b, false
	case need-m.leaving <= m.limit:
		return false, nil, false
	}
	victim, share := m.largest(b, n)
	if share <= m.limit/2 {
		return false, nil, true
	}
	victim.err = errAnswerMemory
	if victim.length < 0 {
		victim.err = errAnswerOutgrown
	}
	if victim != b {
		victim.leaving = victim.counted
		m.leaving += victim.leaving
		m.awaited += n - b.awaited
		b.awaited = n
	}
	return false, victim, false
}

// stopWaiting gives up the claim of an answer on memory that others release.
func (m *answerMemory) stopWaiting(b *answerBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.awaited -= b.awaited
	b.awaited = 0
}

// largest returns the answer that would be the largest unfinished one with n more bytes for b, of
// the service whose unfinished answers take most, and what they take in bytes. Of several it is
// b or, without it, the latest.
func (m *answerMemory) largest(b *answerBody, n int64) (victim *answerBody, share int64) {
	size := func(other *answerBody) int64 {
		if other == b {
			return other.counted + n
		}
		return other.counted + other.awaited
	}
	shares := map[string]int64{}
	for other := range m.reading {
		shares[other.service] += other.counted + other.awaited
	}
	order := func(x, y *answerBody) int {
		return cmp.Or(cmp.Compare(shares[x.service], shares[y.service]), strings.Compare(x.service, y.service), cmp.Compare(size(x), size(y)), cmp.Compare(x.id, y.id))
	}
	for other := range m.reading {
		if other.err == nil && (victim == nil || order(other, victim) > 0) {
			victim = other
		}
	}
	if victim == nil {
		return nil, 0
	}
	if victim.service == b.service && size(victim) == size(b) {
		victim = b
	}
	return victim, shares[victim.service]
}

// begin registers an answer that is going to be read.
func (m *answerMemory) begin(from answerSource) *answerBody {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	b := &answerBody{answerSource: from, id: m.lastID}
	m.reading[b] = struct{}{}
	return b
}

// takeSmall counts the first buffer of an answer apart from the others, if there is room.
func (m *answerMemory) takeSmall(b *answerBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.small+answerBlockBytes <= smallAnswerMemory {
		b.small = answerBlockBytes
		m.small += answerBlockBytes
	}
}

// end records that an answer is no longer read. It returns err or, if the answer gave way before
// it was whole, the reason.
func (m *answerMemory) end(b *answerBody, err error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || b.err == nil {
		delete(m.reading, b)
		return err
	}
	return b.err
}

// release returns the memory of an answer. Repeated calls do nothing.
func (m *answerMemory) release(b *answerBody) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= b.counted
	m.small -= b.small
	m.leaving -= b.leaving
	delete(m.reading, b)
	b.counted, b.small, b.leaving = 0, 0, 0
}

// read reads a whole body. The memory of the body counts until release is called. It
// fails with errAnswerTooLarge, errAnswerMemory or errAnswerOutgrown, or the error of reading.
func (m *answerMemory) read(r io.Reader, from answerSource) (body []byte, release func(), err error) {
	b := m.begin(from)
	body, err = m.readAll(r, b)
	return body, func() { m.release(b) }, m.end(b, err)
}

func (m *answerMemory) readAll(r io.Reader, b *answerBody) ([]byte, error) {
	if b.length > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	m.takeSmall(b)
	body := make([]byte, 0, b.small)
	for {
		if len(body) == cap(body) {
			grown := max(answerBlockBytes, 2*cap(body)) // the old one is garbage until it is collected
			if err := m.take(b, int64(grown)); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxAnswerBytes:
			return body, errAnswerTooLarge
		}
	}
}

// eventMemory counts the memory of the unfinished event of a stream as that of an answer, if it
// is a large one.
type eventMemory struct {
	memory *answerMemory
	from   answerSource
	body   *answerBody // nil if nothing is counted
}

// uncountedEventBytes is the size up to which an event is not counted.
const uncountedEventBytes = 2 * readBufferBytes

// hold counts an unfinished event of n bytes in place of what was counted before. It fails like
// answerMemory.take.
func (e *eventMemory) hold(n int) error {
	if n <= uncountedEventBytes {
		return e.end(nil)
	}
	if e.body == nil {
		e.body = e.memory.begin(e.from)
	}
	if more := 2*int64(n) - e.body.counted; more > 0 { // twice, as the buffer grows by being copied
		return e.memory.take(e.body, more)
	}
	return nil
}

// end returns what is counted. Its result is that of answerMemory.end.
func (e *eventMemory) end(err error) error {
	if e.body == nil {
		return err
	}
	err = e.memory.end(e.body, err)
	e.memory.release(e.body)
	e.body = nil
	return err
}

// discardRejection reads the body of a rejection and reports whether it was read to its
// end.
func discardRejection(r io.Reader) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxRejectionBytes+1))
	return err == nil && n <= maxRejectionBytes
}
