// Package knownred reads the output of "go test -json" and tells failures
// that KNOWN-RED.txt lists from those it does not.
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
)

// Entry names one listed test.
type Entry struct {
	Package string
	Test    string
	Note    string // the rest of the line
}

// Summary is the verdict of one run.
type Summary struct {
	Passed   int
	Skipped  int
	KnownRed []string // listed tests that failed
	NowGreen []string // listed tests that passed
	Failures []string // other tests and packages that failed
	Output   map[string][]string
}

// OK reports whether only listed tests failed.
func (s Summary) OK() bool { return len(s.Failures) == 0 }

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// ParseList reads entries, one a line: "package test | note"; blank lines and
// lines that begin with # are passed over.
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

// Judge reads test events from r and sorts the failures by the list.
func Judge(r io.Reader, list []Entry) (Summary, error) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Package+" "+e.Test] = true
	}
	j := judge{listed: listed, redIn: map[string]bool{}, plainIn: map[string]bool{}}
	j.sum.Output = map[string][]string{}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 64<<10), 16<<20)
	for sc.Scan() {
		var ev event
		if err := json.Unmarshal(sc.Bytes(), &ev); err != nil {
			j.sum.Failures = append(j.sum.Failures, "unreadable: "+sc.Text())
			continue
		}
		j.step(ev)
	}
	sort.Strings(j.sum.KnownRed)
	return j.sum, sc.Err()
}

type judge struct {
	sum     Summary
	listed  map[string]bool
	redIn   map[string]bool // packages with a listed failure
	plainIn map[string]bool // packages with another failure
}

func (j *judge) step(ev event) {
	id := strings.TrimSpace(ev.Package + " " + ev.Test)
	switch ev.Action {
	case "output", "build-output":
		j.sum.Output[id] = append(j.sum.Output[id], ev.Output)
	case "pass":
		j.pass(ev, id)
	case "skip":
		j.skip(ev)
	case "fail", "build-fail":
		j.fail(ev, id)
	}
}

func (j *judge) pass(ev event, id string) {
	if ev.Test == "" {
		return
	}
	j.sum.Passed++
	if j.listed[id] {
		j.sum.NowGreen = append(j.sum.NowGreen, id)
	}
}

// skip counts skipped tests; a package without tests is skipped too.
func (j *judge) skip(ev event) {
	if ev.Test != "" {
		j.sum.Skipped++
	}
}

func (j *judge) fail(ev event, id string) {
	switch {
	case ev.Test == "" && j.redIn[ev.Package] && !j.plainIn[ev.Package]:
		// The package failed only because of listed tests.
	case ev.Test == "":
		j.sum.Failures = append(j.sum.Failures, id)
	case j.covered(id):
		j.redIn[ev.Package] = true
		j.sum.KnownRed = append(j.sum.KnownRed, id)
	default:
		j.plainIn[ev.Package] = true
		j.sum.Failures = append(j.sum.Failures, id)
	}
}

// covered reports whether the test, or the test that it is a subtest of, is
// listed.
func (j *judge) covered(id string) bool {
	pkg, test, _ := strings.Cut(id, " ")
	top, _, _ := strings.Cut(test, "/")
	return j.listed[id] || j.listed[pkg+" "+top]
}
