package gateway

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// A complaint about a stream must show which numbers each attempt brought, and where they went back.
func TestLineOfAStreamNamesWhatIsOutOfOrder(t *testing.T) {
	r := requestRecord{attempts: []attemptRecord{{upstream: "u1"}, {upstream: "u2"}, {upstream: "u3"}}}
	run := &r.attempts[0].run
	run.begin(1700, "chunked")
	run.passed("", "1")
	run.passed("1", "2")
	run.endedWith(io.ErrUnexpectedEOF)
	run = &r.attempts[1].run
	run.begin(1701, "close")
	run.skipped = 1
	run.passed("2", "4")
	run.passed("4", "3")
	run.endedWith(nil)
	must.Eq(t, "u1/1700:1-2/2+0,chunked,closed u2/1701:4-3/2+1,close,end,!skipped:2>4", r.runList())
}

func TestOrderFaults(t *testing.T) {
	long := strings.Repeat("9", 40)
	for _, c := range []struct{ before, id, fault string }{
		{"", "5", ""}, {"1", "2", ""}, {"2", "2", faultRepeated}, {"2", "1", faultBack}, {"2", "4", faultSkipped},
		{long, long, faultRepeated}, {long, "1", faultBack}, {"a", "b", ""},
	} {
		must.Eq(t, c.fault, orderFault(c.before, c.id), must.Sprint(c))
	}
}
