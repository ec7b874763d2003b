package entry

import (
	"bufio"
	"context"
	"net/http"

	"github.com/eelgrassbay/eelgrassbay/internal/engine"
	"github.com/eelgrassbay/eelgrassbay/internal/once"
	"github.com/eelgrassbay/eelgrassbay/internal/upstream"
)

// connection carries the answer to an attempt, or the rest of it if resumed. Its
// goroutine reads; the fields belong to the goroutine of the stream.
type connection struct {
	resumed bool
	closed  bool // given up: what it still carries is not read
	cancel  context.CancelFunc
}

// close gives the connection up.
func (c *connection) close() {
	c.closed = true
	c.cancel()
}

// signal is an event of a connection, or else its end.
type signal struct {
	from    *connection
	event   []byte
	outcome once.Outcome
	err     error    // why the connection ended
	refusal *refusal // the answer, if it is not a stream
}

// refusal is an answer with a status other than 200.
type refusal struct {
	status int
	header http.Header
	body   []byte
	err    error // of reading the body
}

// signalSender passes signals to the stream until that has ended.
type signalSender struct {
	signals chan<- signal
	ended   <-chan struct{}
}

func (s signalSender) send(sig signal) bool {
	select {
	case s.signals <- sig:
		return true
	case <-s.ended:
		return false
	}
}

// read sends the attempt and passes on the events of its answer and the end of the
// connection.
func (c *connection) read(ctx context.Context, client *upstream.Client, a *upstream.Attempt, out signalSender) {
	resp, err := client.Do(ctx, a)
	if err != nil {
		out.send(signal{from: c, outcome: once.Classify(once.Evidence{Sent: a.Sent.Load()}), err: err})
		return
	}
	defer resp.Body.Close()
	switch {
	case resp.Header.Get(engine.HeaderAttempt) != a.ID:
		out.send(signal{from: c, outcome: once.Unknown, err: errOtherAnswer})
		return
	case resp.StatusCode != http.StatusOK:
		body, err := upstream.ReadAll(resp.Body, maxErrorBodyBytes)
		out.send(signal{from: c, refusal: &refusal{status: resp.StatusCode, header: resp.Header, body: body, err: err}})
		return
	}
	in := bufio.NewReaderSize(resp.Body, streamBufferBytes)
	for {
		data, err := readEvent(in)
		if err != nil {
			out.send(signal{from: c, outcome: once.Unknown, err: err})
			return
		}
		if !out.send(signal{from: c, event: data}) {
			return
		}
	}
}
