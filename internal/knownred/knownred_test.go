package knownred

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const testEvents = `{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"fail","Package":"p","Test":"TestB/x"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"FAIL\n"}
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

func TestClassifyWithoutEvents(t *testing.T) {
	sum, err := Classify(strings.NewReader(""), nil)
	must.NoError(t, err)
	must.False(t, sum.OK())
}

func TestParseListRefusesShortLine(t *testing.T) {
	_, err := ParseList(strings.NewReader("p"))
	must.ErrorContains(t, err, "line 1")
}

// listedFailure is the beginning of a package in which the listed test p TestListed
// fails. Output events without influence on the result are left out.
const listedFailure = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"    p_test.go:6: no\n"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"--- FAIL: TestListed (0.00s)\n"}
{"Action":"fail","Package":"p","Test":"TestListed","Elapsed":0}
`

// Output line of the test binary after all its tests, and the end of a failed
// package, which the go command writes.
const (
	binaryFailEvent   = `{"Action":"output","Package":"p","Output":"FAIL\n"}` + "\n"
	packageFailEvents = `{"Action":"output","Package":"p","Output":"FAIL\tp\t0.005s\n"}
{"Action":"fail","Package":"p","Elapsed":0.006}
`
)

// listedFailureCases holds events in the form that go test -json writes.
var listedFailureCases = []struct {
	name     string
	events   string
	failures []string
}{
	{"only the listed test fails", listedFailure + `{"Action":"run","Package":"p","Test":"TestPrint"}
{"Action":"output","Package":"p","Test":"TestPrint","Output":"panic: not really\n"}
{"Action":"pass","Package":"p","Test":"TestPrint","Elapsed":0}
` + binaryFailEvent + packageFailEvents, nil},
	{"a subtest of the listed test fails", `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"run","Package":"p","Test":"TestListed/a"}
{"Action":"fail","Package":"p","Test":"TestListed/a","Elapsed":0}
{"Action":"run","Package":"p","Test":"TestListed/b"}
{"Action":"pass","Package":"p","Test":"TestListed/b","Elapsed":0}
{"Action":"fail","Package":"p","Test":"TestListed","Elapsed":0}
` + binaryFailEvent + packageFailEvents, nil},
	{"packages interleave", listedFailure + `{"Action":"start","Package":"q"}
` + binaryFailEvent + `{"Action":"run","Package":"q","Test":"TestA"}
` + packageFailEvents + `{"Action":"pass","Package":"q","Test":"TestA","Elapsed":0}
{"Action":"pass","Package":"q","Elapsed":0}
`, nil},
	{"a later test panics", listedFailure + `{"Action":"run","Package":"p","Test":"TestBoom"}
{"Action":"output","Package":"p","Test":"TestBoom","Output":"--- FAIL: TestBoom (0.00s)\n"}
{"Action":"output","Package":"p","Test":"TestBoom","Output":"panic: boom [recovered, repanicked]\n"}
{"Action":"fail","Package":"p","Test":"TestBoom","Elapsed":0}
` + packageFailEvents, []string{"p TestBoom", "p"}},
	{"a goroutine of a later test panics", listedFailure + `{"Action":"run","Package":"p","Test":"TestBg"}
{"Action":"output","Package":"p","Test":"TestBg","Output":"panic: bg\n"}
` + packageFailEvents, []string{"p TestBg", "p"}},
	{"a later test runs into the timeout", listedFailure + `{"Action":"run","Package":"p","Test":"TestSlow"}
{"Action":"output","Package":"p","Test":"TestSlow","Output":"panic: test timed out after 1s\n"}
` + packageFailEvents, []string{"p TestSlow", "p"}},
	{"a later test exits", listedFailure + `{"Action":"run","Package":"p","Test":"TestPaused"}
{"Action":"pause","Package":"p","Test":"TestPaused"}
{"Action":"run","Package":"p","Test":"TestExit"}
` + packageFailEvents, []string{"p TestExit", "p TestPaused", "p"}},
	{"a later test exits after it printed FAIL", listedFailure + `{"Action":"run","Package":"p","Test":"TestExit"}
{"Action":"output","Package":"p","Test":"TestExit","Output":"FAIL\n"}
` + packageFailEvents, []string{"p TestExit", "p"}},
	{"a later test exits with 0", listedFailure + `{"Action":"run","Package":"p","Test":"TestExit"}
{"Action":"output","Package":"p","Test":"TestExit","Output":"ok  \tp\t0.003s\n"}
{"Action":"pass","Package":"p","Test":"TestExit","Elapsed":0.003}
`, []string{"p"}},
	{"TestMain panics after the tests", listedFailure + binaryFailEvent +
		`{"Action":"output","Package":"p","Output":"panic: teardown\n"}
` + packageFailEvents, []string{"p"}},
	{"TestMain fails after the tests", listedFailure + binaryFailEvent +
		`{"Action":"output","Package":"p","Output":"teardown failed\n"}
` + packageFailEvents, []string{"p"}},
	{"the listed test panics", `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"--- FAIL: TestListed (0.00s)\n"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"panic: boom [recovered, repanicked]\n"}
{"Action":"fail","Package":"p","Test":"TestListed","Elapsed":0}
` + packageFailEvents, []string{"p"}},
	{"a subtest of the listed test panics", `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"run","Package":"p","Test":"TestListed/a"}
{"Action":"fail","Package":"p","Test":"TestListed/a","Elapsed":0}
{"Action":"output","Package":"p","Test":"TestListed","Output":"panic: x [recovered, repanicked]\n"}
{"Action":"fail","Package":"p","Test":"TestListed","Elapsed":0}
` + packageFailEvents, []string{"p"}},
	{"the listed test runs into the timeout", `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"panic: test timed out after 1s\n"}
` + packageFailEvents, []string{"p TestListed", "p"}},
	{"the test of that name fails in another package", `{"Action":"start","Package":"q"}
{"Action":"run","Package":"q","Test":"TestListed"}
{"Action":"fail","Package":"q","Test":"TestListed","Elapsed":0}
{"Action":"output","Package":"q","Output":"FAIL\n"}
{"Action":"output","Package":"q","Output":"FAIL\tq\t0.005s\n"}
{"Action":"fail","Package":"q","Elapsed":0.006}
`, []string{"q TestListed", "q"}},
	{"the events break off", listedFailure + `{"Action":"run","Package":"p","Test":"TestCut"}
`, []string{"p TestCut", "p"}},
}

func TestClassifyWithListedFailure(t *testing.T) {
	list := []Entry{{Package: "p", Test: "TestListed"}}
	for _, tc := range listedFailureCases {
		t.Run(tc.name, func(t *testing.T) {
			sum, err := Classify(strings.NewReader(tc.events), list)
			must.NoError(t, err)
			must.Eq(t, tc.failures, sum.Failures)
			must.Eq(t, len(tc.failures) == 0, sum.OK())
		})
	}
}

func TestClassifyKeepsListedFailureBesideOthers(t *testing.T) {
	events := listedFailure + `{"Action":"run","Package":"p","Test":"TestExit"}` + "\n" + packageFailEvents
	sum, err := Classify(strings.NewReader(events), []Entry{{Package: "p", Test: "TestListed"}})
	must.NoError(t, err)
	must.Eq(t, []string{"p TestListed"}, sum.KnownFailures)
	must.Eq(t, []string{"p TestExit", "p"}, sum.Failures)
}

// The panic of a listed test is the reason of the failure of its package and
// must be found in the output of the package.
func TestClassifyShowsPanicOfListedTest(t *testing.T) {
	events := `{"Action":"run","Package":"p","Test":"TestListed"}
{"Action":"output","Package":"p","Test":"TestListed","Output":"panic: boom [recovered, repanicked]\n"}
{"Action":"fail","Package":"p","Test":"TestListed","Elapsed":0}
` + packageFailEvents
	sum, err := Classify(strings.NewReader(events), []Entry{{Package: "p", Test: "TestListed"}})
	must.NoError(t, err)
	must.StrContains(t, strings.Join(sum.Output["p"], ""), "panic: boom")
}

func TestClassifyUnfinishedTestInPassedPackage(t *testing.T) {
	sum, err := Classify(strings.NewReader(`{"Action":"run","Package":"p","Test":"TestPaused"}
{"Action":"pause","Package":"p","Test":"TestPaused"}
{"Action":"pass","Package":"p","Elapsed":0.006}
`), nil)
	must.NoError(t, err)
	must.Eq(t, []string{"p TestPaused"}, sum.Failures)
}
