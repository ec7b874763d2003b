// Package knownred classifies the failures in the output of "go test -json".
// It separates the tests that KNOWN-RED.txt lists as known failures from all
// other failed tests and packages. The input is the list and a stream of test
// events; the output is a Summary.
//
// The failure of a package is put down to its listed tests only if the package ran
// to its end. The list therefore doesn't cover a panic, an exit or a timeout, not
// even in a listed test, as the other tests of the package may not have run.
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
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
	Failures         []string            // other tests and packages that failed or did not end
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
	c := classifier{listed: listed, packages: map[string]*packageRun{}}
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
	c.failOpenPackages()
	if len(c.packages) == 0 {
		c.summary.Failures = append(c.summary.Failures, noEvents)
	}
	sort.Strings(c.summary.KnownFailures)
	return c.summary, sc.Err()
}

// binaryFail is the last line that a test binary writes after all its tests ended
// and at least one failed.
const binaryFail = "FAIL\n"

// incompleteNote is added to the output of a package with failed listed tests that
// did not run to its end.
const incompleteNote = "knownred: the package did not run to its end after a listed test failed\n"

// noEvents stands for the result of a run of which no event was read.
const noEvents = "no test events"

// openNote is added to the output of a package that started and never ended.
const openNote = "knownred: the package started but no event reports its end\n"

// packageRun is the state of one package while its events are read.
type packageRun struct {
	open         bool            // the package started and did not end yet
	running      map[string]bool // by id, tests that started and did not end yet
	lastFailed   string          // id of the test that failed last
	binaryFailed bool            // the last event of the test binary is binaryFail
	knownFailure bool            // a listed test failed
	otherFailure bool            // an unlisted test failed or a test did not end
}

// explained reports whether listed tests are the only reason of the failure of
// the package.
func (p *packageRun) explained() bool {
	return p.knownFailure && !p.otherFailure && p.binaryFailed
}

// follow updates which tests run and whether the test binary ended as usual.
func (p *packageRun) follow(ev event, id string) {
	switch ev.Action {
	case "start":
		p.open = true
	case "run":
		p.running[id] = true
	case "pass", "fail", "skip":
		delete(p.running, id)
	}
	if ev.Test != "" {
		p.binaryFailed = false
	} else if ev.Action == "output" && !isPackageResult(ev) {
		p.binaryFailed = ev.Output == binaryFail
	}
}

// isPackageResult reports whether the event is the line that the go command writes
// about a failed package after the test binary ended.
func isPackageResult(ev event) bool {
	return strings.HasPrefix(ev.Output, "FAIL\t"+ev.Package+"\t")
}

type classifier struct {
	summary  Summary
	listed   map[string]bool
	packages map[string]*packageRun
}

func (c *classifier) packageRun(name string) *packageRun {
	if c.packages[name] == nil {
		c.packages[name] = &packageRun{running: map[string]bool{}}
	}
	return c.packages[name]
}

func (c *classifier) handle(ev event) {
	id := strings.TrimSpace(ev.Package + " " + ev.Test)
	p := c.packageRun(ev.Package)
	p.follow(ev, id)
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
	if ev.Test == "" && (ev.Action == "pass" || ev.Action == "skip") {
		c.endPackage(p)
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
	p := c.packageRun(ev.Package)
	if ev.Test == "" {
		c.failPackage(p, id)
		return
	}
	p.lastFailed = id
	if c.isListed(id) {
		p.knownFailure = true
		c.summary.KnownFailures = append(c.summary.KnownFailures, id)
		return
	}
	p.otherFailure = true
	c.summary.Failures = append(c.summary.Failures, id)
}

// failPackage ends a failed package. The package is a failure of its own unless
// listed tests explain it.
func (c *classifier) failPackage(p *packageRun, id string) {
	c.endPackage(p)
	if p.explained() {
		return
	}
	c.summary.Failures = append(c.summary.Failures, id)
	if p.knownFailure && !p.otherFailure {
		c.explainIncomplete(p, id)
	}
}

// endPackage ends a package. Tests that are still running are failures, listed or not.
func (c *classifier) endPackage(p *packageRun) {
	p.open = false
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		p.otherFailure = true
		c.summary.Failures = append(c.summary.Failures, id)
	}
	clear(p.running)
}

// explainIncomplete adds to the output of a package the output of the listed test
// that failed last, which shows its panic if there was one.
func (c *classifier) explainIncomplete(p *packageRun, id string) {
	out := append(c.summary.Output[id], incompleteNote)
	c.summary.Output[id] = append(out, c.summary.Output[p.lastFailed]...)
}

// failOpenPackages fails the packages that started and never ended.
func (c *classifier) failOpenPackages() {
	for _, name := range slices.Sorted(maps.Keys(c.packages)) {
		if p := c.packages[name]; p.open {
			c.endPackage(p)
			c.summary.Failures = append(c.summary.Failures, name)
			c.summary.Output[name] = append(c.summary.Output[name], openNote)
		}
	}
}

// isListed reports whether the test or its top-level test is listed.
func (c *classifier) isListed(id string) bool {
	pkg, test, _ := strings.Cut(id, " ")
	top, _, _ := strings.Cut(test, "/")
	return c.listed[id] || c.listed[pkg+" "+top]
}
