package gateway

import (
	"io"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/eventstream"
	"github.com/shoenig/test/must"
)

// A complaint about a stream must show which numbers each attempt brought, and where they went back.
func TestLineOfAStreamNamesWhatIsOutOfOrder(t *testing.T) {
	r := requestRecord{attempts: []attemptRecord{{upstream: "u1"}, {upstream: "u2"}, {upstream: "u3"}}}
	order := eventstream.NewOrder("", true, eventstream.Steps{}, 1<<10)
	bring := func(run *streamRun, ids ...string) (err error) {
		order.Begin("u")
		for _, id := range ids {
			var p eventstream.Passed
			if p, err = order.Next(eventstream.Event{Raw: []byte("data: " + id + "\n\n"), ID: []byte(id)}); err == nil {
				run.passed(p, []byte(id))
			}
		}
		return err
	}
	run := &r.attempts[0].run
	run.begin(1700, "chunked")
	must.NoError(t, bring(run, "1", "2", "2"))
	run.endedWith(io.ErrUnexpectedEOF)
	run = &r.attempts[1].run
	run.begin(1701, "close")
	run.endedWith(bring(run, "2", "3", "1"))
	run = &r.attempts[2].run
	run.begin(1702, "close")
	run.endedWith(bring(run, "5"))
	must.Eq(t, "u1/1700:1-2/2+1,chunked,closed,!repeated:2>2 u2/1701:3-3/1+1,close,rejected,!back:3>1 u3/1702:-/0+0,close,rejected,!skipped:3>5", r.runList())
}
