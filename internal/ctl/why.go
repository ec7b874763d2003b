package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/eelgrassbay/eelgrassbay/internal/logstory"
)

// Why prints from collected logs the cause of a request's outcome.
type Why struct {
	*Globals `no-flag:"true"`
	Args     struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of instances, - for standard input"`
	} `positional-args:"true" required:"true"`
}

// whyReport is the output of Why. RequestLine is the log line of the request;
// Events are the log lines of the events that may have led to its outcome.
type whyReport struct {
	Request     string   `json:"request"`
	Cause       string   `json:"cause"`
	RequestLine string   `json:"line"`
	Events      []string `json:"led"`
}

// Execute implements flags.Commander.
func (c *Why) Execute([]string) error {
	var lines []logstory.Line
	for _, name := range c.Args.Logs {
		logged, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, logged...)
	}
	explanation, err := logstory.Explain(lines, c.Args.Request)
	if errors.Is(err, logstory.ErrNotFound) {
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	if err != nil {
		return err
	}
	report := whyReport{Request: c.Args.Request, Cause: explanation.Cause, RequestLine: explanation.Request.Raw, Events: []string{}}
	for _, l := range explanation.Events {
		report.Events = append(report.Events, l.Raw)
	}
	return c.print(report, report.text())
}

func (r whyReport) text() string {
	text := "cause: " + r.Cause + "\n" + r.RequestLine
	if len(r.Events) > 0 {
		text += "\nbefore it:\n" + strings.Join(r.Events, "\n")
	}
	return text
}

// readLog returns the lines of a log file, or of standard input for "-".
func readLog(name string) ([]logstory.Line, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("ctl: %w", err)
		}
		defer file.Close()
		in = file
	}
	return logstory.Read(in)
}
