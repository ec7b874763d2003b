package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io/fs"
	"time"
)

// change is one edit of a document: the version that it is based on and the time
// at which it was sent.
type change struct {
	base uint64
	at   time.Time
}

// inForceEntry is an entry of an instance's log that reports that a version of a
// document is in force.
type inForceEntry struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Version  uint64    `json:"version"`
}

// readPropagationDelays joins the edits of a window with the instances' logs and
// returns the time from each edit to its being in force at each instance, in
// seconds. All processes run on one machine and use the same clock.
func readPropagationDelays(root fs.FS, dir string) ([]float64, error) {
	changes, err := readChanges(root, dir+"/applied")
	if err != nil {
		return nil, err
	}
	inForceAt := map[int]map[string]time.Time{} // by index of the change and instance
	err = forEachLine(root, dir+"/in_force", func(line []byte) error {
		var l inForceEntry
		if err := json.Unmarshal(line, &l); err != nil {
			return err
		}
		i := changeOf(changes, l.Version)
		if i < 0 {
			return nil // was in force before the window
		}
		if inForceAt[i] == nil {
			inForceAt[i] = map[string]time.Time{}
		}
		inForceAt[i][l.Instance] = l.Time
		return nil
	})
	var delays []float64
	for i, c := range changes {
		for _, at := range inForceAt[i] {
			delays = append(delays, at.Sub(c.at).Seconds())
		}
	}
	return delays, err
}

// changeOf returns the index of the edit that created a version: the last one
// that is based on an older version; -1 if there is none.
func changeOf(changes []change, version uint64) int {
	found := -1
	for i, c := range changes {
		if c.base < version {
			found = i
		}
	}
	return found
}

// readChanges reads the edits of a window, one a line: the base version and the
// time in nanoseconds since the Unix epoch.
func readChanges(root fs.FS, name string) (changes []change, err error) {
	err = forEachLine(root, name, func(line []byte) error {
		var c change
		var nanoseconds int64
		if _, err := fmt.Sscan(string(line), &c.base, &nanoseconds); err != nil {
			return err
		}
		c.at = time.Unix(0, nanoseconds)
		changes = append(changes, c)
		return nil
	})
	return changes, err
}

func forEachLine(root fs.FS, name string, f func(line []byte) error) error {
	file, err := root.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if err := f(lines.Bytes()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return lines.Err()
}
