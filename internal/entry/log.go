package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/go-kratos/kratos/v2/log"
)

func parseLevel(text string) (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(text))
	return level, err
}

// NewLogger returns a structured logger that writes to w with the level and the
// format of s.
func NewLogger(w io.Writer, s LogSettings) (*slog.Logger, error) {
	level, err := parseLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("entry: log level: %w", err)
	}
	opts := &slog.HandlerOptions{Level: level}
	if s.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opts)), nil
	}
	return slog.New(slog.NewJSONHandler(w, opts)), nil
}

// kratosLogger forwards the log messages of kratos to slog.
type kratosLogger struct{ log *slog.Logger }

// Log implements log.Logger of kratos. Messages below warning are logged at
// debug level.
func (l kratosLogger) Log(level log.Level, keyvals ...any) error {
	slogLevel := slog.LevelDebug
	switch level {
	case log.LevelWarn:
		slogLevel = slog.LevelWarn
	case log.LevelError, log.LevelFatal:
		slogLevel = slog.LevelError
	}
	l.log.Log(context.Background(), slogLevel, "kratos", keyvals...)
	return nil
}
