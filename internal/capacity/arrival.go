package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io/fs"
	"time"
)

// change is one edit: the version that it was based on and when it was sent.
type change struct {
	base uint64
	at   time.Time
}

// inForce is a line of an instance's log that says a document is in force.
type inForce struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Version  uint64    `json:"version"`
}

// readArrivals joins the edits of a window with the instances' logs. All run
// on one machine and read one clock.
func readArrivals(root fs.FS, dir string) ([]float64, error) {
	changes, err := readChanges(root, dir+"/applied")
	if err != nil {
		return nil, err
	}
	first := map[int]map[string]time.Time{} // by change and instance
	err = eachLine(root, dir+"/in_force", func(line []byte) error {
		var l inForce
		if err := json.Unmarshal(line, &l); err != nil {
			return err
		}
		i := causeOf(changes, l.Version)
		if i < 0 {
			return nil // in force before the window
		}
		if first[i] == nil {
			first[i] = map[string]time.Time{}
		}
		first[i][l.Instance] = l.Time
		return nil
	})
	var arrivals []float64
	for i, c := range changes {
		for _, at := range first[i] {
			arrivals = append(arrivals, at.Sub(c.at).Seconds())
		}
	}
	return arrivals, err
}

// causeOf returns the edit that made a version: the last one that was based on
// an older version.
func causeOf(changes []change, version uint64) int {
	cause := -1
	for i, c := range changes {
		if c.base < version {
			cause = i
		}
	}
	return cause
}

func readChanges(root fs.FS, name string) (changes []change, err error) {
	err = eachLine(root, name, func(line []byte) error {
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

func eachLine(root fs.FS, name string, f func(line []byte) error) error {
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
