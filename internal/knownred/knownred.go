// Package knownred classifies the failures in the output of "go test -json".
// It separates the tests that KNOWN-RED.txt lists as known failures from all
// other failed tests and packages. The input is the list and a stream of test
// events; the output is a Summary.
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
)

// Entry is one test of the list of known failures.
type Entry struct {
	Package string
	Test    string
	Note    string // the rest of the line
}

// Summary is the classified result of one test run. Tests are named by package
// and test, separated by a space.
type Summary struct {
	Passed           int
	Skipped          int
	KnownFailures    []string            // listed tests that failed
	UnexpectedPasses []string            // listed tests that passed
	Failures         []string            // other tests and packages that failed
	Output           map[string][]string // output of each test or package
}

// OK reports whether only listed tests failed.
func (s Summary) OK() bool { return len(s.Failures) == 0 }

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// ParseList reads the list of known failures, one entry a line in the form
// "package test | note". Blank lines and lines that begin with # are ignored.
func ParseList(r io.Reader) ([]Entry, error) {
	var entries []Entry
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, note, _ := strings.Cut(line, "|")
		fields := strings.Fields(name)
		if len(fields) != 2 {
			return nil, fmt.Errorf("knownred: line %d: want \"package test | note\"", n)
		}
		entries = append(entries, Entry{Package: fields[0], Test: fields[1], Note: strings.TrimSpace(note)})
	}
	return entries, sc.Err()
}

// Classify reads test events in JSON from r and classifies the failures by list. A
// line that is not JSON counts as a failure.
func Classify(r io.Reader, list []Entry) (Summary, error) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Package+" "+e.Test] = true
	}
	c := classifier{listed: listed, knownFailureIn: map[string]bool{}, otherFailureIn: map[string]bool{}}
	c.summary.Output = map[string][]string{}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), 16<<20)
	for sc.Scan() {
		var ev event
		if err := json.Unmarshal(sc.Bytes(), &ev); err != nil {
			c.summary.Failures = append(c.summary.Failures, "unreadable: "+sc.Text())
			continue
		}
		c.handle(ev)
	}
	sort.Strings(c.summary.KnownFailures)
	return c.summary, sc.Err()
}

type classifier struct {
	summary        Summary
	listed         map[string]bool
	knownFailureIn map[string]bool // by package, whether a listed test failed
	otherFailureIn map[string]bool // by package, whether an unlisted test failed
}

func (c *classifier) handle(ev event) {
	id := strings.TrimSpace(ev.Package + " " + ev.Test)
	switch ev.Action {
	case "output", "build-output":
		c.summary.Output[id] = append(c.summary.Output[id], ev.Output)
	case "pass":
		c.pass(ev, id)
	case "skip":
		c.skip(ev)
	case "fail", "build-fail":
		c.fail(ev, id)
	}
}

func (c *classifier) pass(ev event, id string) {
	if ev.Test == "" {
		return
	}
	c.summary.Passed++
	if c.listed[id] {
		c.summary.UnexpectedPasses = append(c.summary.UnexpectedPasses, id)
	}
}

// skip counts skipped tests. A package without tests also reports a skip, which
// is not counted.
func (c *classifier) skip(ev event) {
	if ev.Test != "" {
		c.summary.Skipped++
	}
}

func (c *classifier) fail(ev event, id string) {
	switch {
	case ev.Test == "" && c.knownFailureIn[ev.Package] && !c.otherFailureIn[ev.Package]:
		// The package failed only because of listed tests.
	case ev.Test == "":
		c.summary.Failures = append(c.summary.Failures, id)
	case c.isListed(id):
		c.knownFailureIn[ev.Package] = true
		c.summary.KnownFailures = append(c.summary.KnownFailures, id)
	default:
		c.otherFailureIn[ev.Package] = true
		c.summary.Failures = append(c.summary.Failures, id)
	}
}

// isListed reports whether the test or its top-level test is listed.
func (c *classifier) isListed(id string) bool {
	pkg, test, _ := strings.Cut(id, " ")
	top, _, _ := strings.Cut(test, "/")
	return c.listed[id] || c.listed[pkg+" "+top]
}
