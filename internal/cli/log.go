package cli

import (
	"log/slog"
	"os"
)

// LogOptions are the options of a command that writes a log. Commands embed them
// in their own options.
type LogOptions struct {
	LogFormat string `long:"log-format" choice:"json" choice:"text" default:"json" description:"format of the log on standard error"`
}

// Logger returns a logger that writes to standard error in the selected format.
func (o LogOptions) Logger() *slog.Logger {
	if o.LogFormat == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, nil))
}
