package testbed

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is the record of a run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

// NewRecord creates the file of a record.
func NewRecord(file string) (*Record, error) {
	out, err := os.Create(file)
	return &Record{began: time.Now(), out: out}, err
}

// Printf writes a line with the milliseconds since the beginning of the run.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%6d %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...)) // a record that cannot be written fails the run at Close
}

// Close ends the record.
func (r *Record) Close() error { return r.out.Close() }

// maxTries is how often a script is run that could not run, as another process may take a free port
// before an instance does.
const maxTries = 3

// Main runs a script: run gets its record, a temporary folder and whether the disruption is to
// happen, and returns the exit status. The first argument names the file of the record.
func Main(run func(record *Record, dir string, trouble bool) int) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: COMMAND RECORD")
		return ExitNotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer os.RemoveAll(dir)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		_ = os.RemoveAll(dir) // the processes end with this one
		os.Exit(ExitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("disruption: %v", trouble)
	status := run(record, dir, trouble)
	for range maxTries - 1 {
		if status != ExitNotRun {
			break
		}
		record.Printf("another try, with other ports")
		status = run(record, dir, trouble)
	}
	record.Printf("exit status %d", status)
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	return status
}
