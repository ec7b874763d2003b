package storesync

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
	"github.com/eelgrassbay/eelgrassbay/internal/objectstore"
	"github.com/shoenig/test/must"
)

// An entry that cannot be decoded any more names no upstream to use, and is logged once; the
// store counts as reachable (odd entries).
func TestMalformedEventRemovesItsUpstreamOnly(t *testing.T) {
	var log strings.Builder
	counted := 0
	c := New(Options{
		Now: func() time.Duration { return time.Hour }, Log: slog.New(slog.NewTextHandler(&log, nil)), OnChange: func() {}, OnMalformed: func() { counted++ },
		Decoder: Decoder{ConfigName: "main", Config: decodeConfig, Upstream: decodeUpstream},
	})
	c.recordAnswer()
	c.replaceRoster(3, []fleet.Upstream{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}, nil, sourceStore)
	odd := objectstore.List{Revision: 4, Malformed: []objectstore.Malformed{{Name: "a", Err: errors.New("deep")}, {Err: errors.New("no name")}}}
	c.applyRosterEvents(odd)
	c.applyRosterEvents(odd)
	usable := c.Usable()
	must.Len(t, 1, usable)
	must.Eq(t, "b", usable[0].ID)
	must.Eq(t, 2, counted)
	must.Eq(t, 2, strings.Count(log.String(), "malformed upstream entry skipped"))
}

// A configuration that the store's answer does not let read is told once, and the one in force
// stays.
func TestMalformedConfigurationEntryIsCounted(t *testing.T) {
	counted := 0
	c := New(Options{
		Now: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler), OnChange: func() {},
		OnMalformedConfig: func(items int) { counted += items }, Decoder: Decoder{ConfigName: "main", Config: decodeConfig},
	})
	c.applyConfig(objectstore.Object{Version: 3, Value: []byte(`{"Version":1}`)}, sourceStore)
	for range 2 {
		c.applyConfigEvents(objectstore.List{Revision: 4, Malformed: []objectstore.Malformed{{Name: "main", Err: errors.New("deep")}, {Name: "other", Err: errors.New("deep")}}})
		c.applyConfig(objectstore.Object{Version: 5, Value: []byte(`[]`)}, sourceStore)
	}
	must.Eq(t, 2, counted)
	must.Eq(t, ConfigStatus{Version: 1, Stored: 3, Source: sourceStore, Refused: 5, Newest: 5, StoreAge: time.Hour}, c.ConfigStatus())
}

// Figures that cannot be meant do not travel from a peer of another build.
func TestPeersEntryOutOfBoundsIsSkipped(t *testing.T) {
	c := New(Options{Now: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler), OnChange: func() {}})
	must.NoError(t, c.Apply(Update{RosterRevision: 5, Roster: []byte(
		`[{"ID":"a","Slots":4},{"ID":"b","Slots":9223372036854775807},{"ID":"c","Slots":1,"RemainingTime":-5}]`)}, "peer"))
	usable := c.Usable()
	must.Len(t, 1, usable)
	must.Eq(t, "a", usable[0].ID)
}
