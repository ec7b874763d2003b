package entry

import (
	"log/slog"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/record"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// RecordMode selects where the entries of the service record are stored.
type RecordMode string

// The modes. With RecordPlatform the platform stores the entries. With
// RecordHeads the entries are lines of the instance's log, and the platform
// stores only the head of each hash chain of entries.
const (
	RecordPlatform RecordMode = "platform"
	RecordHeads    RecordMode = "heads"
)

// RecordSettings configure the service record.
type RecordSettings struct {
	Mode RecordMode `json:"mode"`
	// FlushInterval is the time between two batches in mode platform.
	FlushInterval settings.Duration `json:"flush_every"`
}

var defaultRecord = RecordSettings{Mode: RecordPlatform, FlushInterval: settings.Duration(record.DefaultFlushInterval)}

// Bounds of RecordSettings.FlushInterval. The time between batches is limited
// because entries that neither the platform nor a peer holds are lost in a crash.
const (
	minFlushInterval = 100 * time.Millisecond
	maxFlushInterval = time.Minute
)

func (r RecordSettings) check(c *settings.Checks, log LogSettings) {
	c.Require(r.Mode == RecordPlatform || r.Mode == RecordHeads, "record/mode", "want platform or heads, got %q", string(r.Mode))
	c.Require(r.FlushInterval >= settings.Duration(minFlushInterval) && r.FlushInterval <= settings.Duration(maxFlushInterval),
		"record/flush_every", "want %s to %s", minFlushInterval, maxFlushInterval)
	level, err := parseLevel(log.Level)
	lines := log.Format == "json" && err == nil && level <= slog.LevelInfo
	c.Require(r.Mode != RecordHeads || lines, "record/mode", "heads needs the log in format json at level info or debug, since entries are log lines")
}

// recordLines returns the function that logs an entry in mode heads, and nil in
// mode platform.
func (s *Settings) recordLines(log *slog.Logger) func(record.Placed) {
	if s.Record.Mode != RecordHeads {
		return nil
	}
	return func(p record.Placed) { log.Info("service record", record.LogKey, p) }
}
