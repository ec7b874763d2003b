package ledger

import (
	_ "embed" // embeds the state charts

	"github.com/eelgrassbay/eelgrassbay/internal/statechart"
)

//go:embed order.hujson
var orderSource []byte

//go:embed upstream.hujson
var upstreamSource []byte

var (
	orderChart    = statechart.MustLoad(orderSource)
	upstreamChart = statechart.MustLoad(upstreamSource)
)

// States of an order, as defined in order.hujson.
const (
	OrderPlanned  = "planned"
	OrderRecorded = "recorded"
	OrderSent     = "sent"
	OrderUnknown  = "unknown"
	OrderApplied  = "applied"
	OrderDead     = "dead"
)

// States of an upstream, as defined in upstream.hujson.
const (
	UpstreamUnknown = "unknown"
	UpstreamLive    = "live"
	UpstreamLeaving = "leaving"
	UpstreamGone    = "gone"
)

// Events of the state charts.
const (
	eventWritten       = "written"
	eventNotWritten    = "not_written"
	eventSend          = "send"
	eventWithhold      = "withhold"
	eventAccepted      = "accepted"
	eventRefused       = "refused"
	eventNoAnswer      = "no_answer"
	eventSettled       = "settled"
	eventDied          = "died"
	eventReport        = "report"
	eventReportLeaving = "report_leaving"
	eventSilent        = "silent"
	eventListedLive    = "listed_live"
	eventListedLeaving = "listed_leaving"
	eventUnlisted      = "unlisted"
)

// fire applies an event to a state machine of an embedded chart. It panics on
// failure: statechart.Load has checked that every state handles every event, so
// a failure is a bug in this package.
func fire(m *statechart.Machine, event string) {
	if _, err := m.Fire(event); err != nil {
		panic(err)
	}
}
