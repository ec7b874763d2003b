// Package metrics counts what an entry instance does and measures it per
// organisation and class, with tally, and serves it in the text form of
// Prometheus. Label values come from documents, so their number is bounded.
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
	// reportInterval is how late a change shows at the handler.
	reportInterval = time.Second
	// maxOrganisations bounds the label "organisation"; others are counted
	// together under OtherOrganisations.
	maxOrganisations = 256
)

// OtherOrganisations is the label of organisations beyond the bound.
const OtherOrganisations = "other"

// Names of the instance's counters.
const (
	ForeignAnswers    = "foreign_answers"    // answers of another attempt, dropped
	Resumes           = "stream_resumes"     // streams resumed at an offset
	SilentConnections = "silent_connections" // connections abandoned without progress
)

// Buckets of the histograms, around the deadlines that they are held to.
var (
	firstTokenBuckets = milliseconds(5, 10, 20, 50, 100, 150, 200, 300, 400, 480, 600, 1000, 2000, 5000, 10000)
	gapBuckets        = milliseconds(1, 2, 5, 10, 20, 30, 45, 66, 100, 200, 500, 1000, 5000)
	totalBuckets      = milliseconds(5, 20, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000, 120000)
	queueBuckets      = milliseconds(1, 5, 10, 25, 50, 100, 200, 480, 1000, 5000)
)

func milliseconds(bounds ...int) tally.DurationBuckets {
	buckets := make(tally.DurationBuckets, len(bounds))
	for i, ms := range bounds {
		buckets[i] = time.Duration(ms) * time.Millisecond
	}
	return buckets
}

// Metrics holds the counters of one instance. It is safe for concurrent use.
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

// Flow measures the requests of one organisation and class.
type Flow struct {
	scope      tally.Scope
	firstToken tally.Histogram
	gap        tally.Histogram
	total      tally.Histogram
	queue      tally.Histogram
	tokens     tally.Counter
}

// New returns metrics without any count.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "eelgrass", Separator: tallyprom.DefaultSeparator, CachedReporter: reporter,
		SanitizeOptions: sanitizer(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{root: root, reporter: reporter, closer: closer, flows: map[flowKey]*Flow{}, orgs: map[string]bool{}}
}

// sanitizer keeps the characters of names in documents: two organisations must
// not meet in one label.
func sanitizer() *tally.SanitizeOptions {
	opts := tallyprom.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune("_-./")}
	return &opts
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close flushes and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Count adds one to a counter of the instance. Names are constants.
func (m *Metrics) Count(name string) { m.root.Counter(name).Inc(1) }

// Gauge sets a gauge of the instance. Names are constants.
func (m *Metrics) Gauge(name string, value float64) { m.root.Gauge(name).Update(value) }

// Flow returns the measures of an organisation and class.
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
		gap:        scope.Histogram("between_tokens_seconds", gapBuckets),
		total:      scope.Histogram("request_seconds", totalBuckets),
		queue:      scope.Histogram("queue_seconds", queueBuckets),
		tokens:     scope.Counter("output_tokens"),
	}
}

// FirstToken takes the time from the arrival of a request to its first token.
func (f *Flow) FirstToken(d time.Duration) { f.firstToken.RecordDuration(d) }

// Gap takes the time between two tokens of one answer.
func (f *Flow) Gap(d time.Duration) { f.gap.RecordDuration(d) }

// Queue takes the time that a request waited for a slot.
func (f *Flow) Queue(d time.Duration) { f.queue.RecordDuration(d) }

// Attempt counts an attempt by its outcome.
func (f *Flow) Attempt(outcome string) {
	f.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts").Inc(1)
}

// Ended takes a request that ended with a code, "ok" or that of its error.
func (f *Flow) Ended(code string, total time.Duration, tokens int) {
	f.scope.Tagged(map[string]string{"code": code}).Counter("requests").Inc(1)
	f.total.RecordDuration(total)
	f.tokens.Inc(int64(tokens))
}
