// Package metrics holds the metrics of an entry instance. It counts requests and
// measures latencies per organisation and class with tally, and serves them in
// the Prometheus text format. Label values come from documents, so their number
// is bounded.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the interval of tally's reports, and so the longest
	// delay until a change is visible at the handler.
	reportInterval = time.Second
	// maxOrganisations bounds the number of values of the label "organisation";
	// further organisations are counted together as OtherOrganisations.
	maxOrganisations = 256
)

// OtherOrganisations is the label value of organisations beyond the bound.
const OtherOrganisations = "other"

// Names of the instance's counters.
const (
	ForeignResponses  = "foreign_answers"    // responses of another attempt, dropped
	Resumes           = "stream_resumes"     // streams resumed at an offset
	SilentConnections = "silent_connections" // connections closed for lack of progress
)

// Buckets of the latency histograms, in milliseconds, with bounds around the
// deadlines that the latencies are compared with.
var (
	firstTokenBuckets = milliseconds(5, 10, 20, 50, 100, 150, 200, 300, 400, 480, 600, 1000, 2000, 5000, 10000)
	interTokenBuckets = milliseconds(1, 2, 5, 10, 20, 30, 45, 66, 100, 200, 500, 1000, 5000)
	requestBuckets    = milliseconds(5, 20, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000, 120000)
	queueBuckets      = milliseconds(1, 5, 10, 25, 50, 100, 200, 480, 1000, 5000)
)

func milliseconds(bounds ...int) tally.DurationBuckets {
	buckets := make(tally.DurationBuckets, len(bounds))
	for i, ms := range bounds {
		buckets[i] = time.Duration(ms) * time.Millisecond
	}
	return buckets
}

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	root     tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer

	mu    sync.Mutex
	flows map[flowKey]*Flow
	orgs  map[string]bool
}

type flowKey struct {
	organisation, class string
}

// Flow holds the metrics of the requests of one organisation and class.
type Flow struct {
	scope      tally.Scope
	firstToken tally.Histogram
	gap        tally.Histogram
	total      tally.Histogram
	queue      tally.Histogram
	tokens     tally.Counter
}

// New returns Metrics with all values at zero.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "eelgrass", Separator: tallyprom.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: sanitizeOptions(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{root: root, reporter: reporter, closer: closer, flows: map[flowKey]*Flow{}, orgs: map[string]bool{}}
}

// sanitizeOptions returns options that keep all characters that names in
// documents may contain: two organisations must not share one label value.
func sanitizeOptions() *tally.SanitizeOptions {
	opts := tallyprom.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune("_-./")}
	return &opts
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the metrics a last time and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Count increments a counter of the instance. The name must be a constant.
func (m *Metrics) Count(name string) { m.CountBy(name, 1) }

// CountBy adds n to a counter of the instance. The name must be a constant.
func (m *Metrics) CountBy(name string, n int) { m.root.Counter(name).Inc(int64(n)) }

// StreamFault counts an attempt of a service whose events were out of order, by the fault. The
// fault must be a constant.
func (m *Metrics) StreamFault(service, fault string) {
	m.root.Tagged(map[string]string{"service": service, "fault": fault}).Counter("stream_faults").Inc(1)
}

// SetGauge sets a gauge of the instance. The name must be a constant.
func (m *Metrics) SetGauge(name string, value float64) { m.root.Gauge(name).Update(value) }

// Flow returns the metrics of an organisation and class.
func (m *Metrics) Flow(organisation, class string) *Flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.orgs[organisation] {
		if len(m.orgs) >= maxOrganisations {
			organisation = OtherOrganisations
		}
		m.orgs[organisation] = true
	}
	key := flowKey{organisation, class}
	f, ok := m.flows[key]
	if !ok {
		f = newFlow(m.root.Tagged(map[string]string{"organisation": organisation, "class": class}))
		m.flows[key] = f
	}
	return f
}

func newFlow(scope tally.Scope) *Flow {
	return &Flow{
		scope:      scope,
		firstToken: scope.Histogram("first_token_seconds", firstTokenBuckets),
		gap:        scope.Histogram("between_tokens_seconds", interTokenBuckets),
		total:      scope.Histogram("request_seconds", requestBuckets),
		queue:      scope.Histogram("queue_seconds", queueBuckets),
		tokens:     scope.Counter("output_tokens"),
	}
}

// TimeToFirstToken records the time from the arrival of a request to its first
// token.
func (f *Flow) TimeToFirstToken(d time.Duration) { f.firstToken.RecordDuration(d) }

// InterTokenLatency records the time between two consecutive tokens of one
// response.
func (f *Flow) InterTokenLatency(d time.Duration) { f.gap.RecordDuration(d) }

// QueueTime records the time that a request was queued for a slot.
func (f *Flow) QueueTime(d time.Duration) { f.queue.RecordDuration(d) }

// Attempt counts an attempt under its outcome.
func (f *Flow) Attempt(outcome string) {
	f.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts").Inc(1)
}

// RetryDenied counts a request that was not sent again, by the reason.
func (f *Flow) RetryDenied(reason string) {
	f.scope.Tagged(map[string]string{"reason": reason}).Counter("retries_denied").Inc(1)
}

// RequestEnded records a request that ended: its code, which is "ok" or that of its
// error, its total time and its number of output tokens.
func (f *Flow) RequestEnded(code string, total time.Duration, tokens int) {
	f.scope.Tagged(map[string]string{"code": code}).Counter("requests").Inc(1)
	f.total.RecordDuration(total)
	f.tokens.Inc(int64(tokens))
}
