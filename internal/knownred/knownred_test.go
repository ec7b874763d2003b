package knownred

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testEvents = `{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p","Test":"TestB/x"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
{"Action":"fail","Package":"q","Test":"TestC"}
{"Action":"fail","Package":"q"}
{"Action":"skip","Package":"r"}
{"Action":"skip","Package":"s","Test":"TestD"}
`

func TestJudge(t *testing.T) {
	list, err := ParseList(strings.NewReader("# head\np TestB | seed 1 | seen | 4\n"))
	must.NoError(t, err)
	sum, err := Classify(strings.NewReader(testEvents), list)
	must.NoError(t, err)
	must.Eq(t, []string{"p TestB", "p TestB/x"}, sum.KnownFailures)
	must.Eq(t, []string{"q TestC", "q"}, sum.Failures)
	must.False(t, sum.OK())
	must.Eq(t, 1, sum.Passed)
	must.Eq(t, 1, sum.Skipped)
}

func TestJudgeWholePackageFailure(t *testing.T) {
	sum, err := Classify(strings.NewReader(`{"Action":"fail","Package":"p"}`), nil)
	must.NoError(t, err)
	must.False(t, sum.OK())
}

func TestParseListRefusesShortLine(t *testing.T) {
	_, err := ParseList(strings.NewReader("p"))
	must.ErrorContains(t, err, "line 1")
}
