package load

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the settings of a run that are not part of the experiment.
type Options struct {
	// RunID is the prefix of all request ids, so that two runs never share one;
	// empty for a random one.
	RunID string
	// Transport sends the requests; nil for one of NewTransport.
	Transport http.RoundTripper
}

const runIDLength = 8

// NewRunID returns a random run id.
func NewRunID() string {
	return strings.ToLower(rand.Text()[:runIDLength])
}

const (
	dialTimeout     = 5 * time.Second
	idleConnTimeout = time.Minute
	readBufferBytes = 16 << 10
)

// NewTransport returns a transport that keeps up to maxIdle idle connections to
// each target and uses no proxy.
func NewTransport(maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
	}
}

// generator sends the requests of one experiment.
type generator struct {
	exp        *Experiment
	runID      string
	client     *http.Client
	nextTarget atomic.Int64 // round robin over base URLs
}

func newGenerator(exp *Experiment, opts Options) *generator {
	g := &generator{exp: exp, runID: opts.RunID}
	if g.runID == "" {
		g.runID = NewRunID()
	}
	transport := opts.Transport
	if transport == nil {
		transport = NewTransport(exp.MaxInFlight)
	}
	g.client = &http.Client{
		Transport: transport,
		// Following a redirect could send a key to a host that the settings do
		// not name.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return g
}

// Run sends the experiment's schedule to its targets and returns a report. Once
// ctx is done nothing more is sent, and the remaining requests count as unsent.
func Run(ctx context.Context, exp *Experiment, opts Options) (*Report, error) {
	g := newGenerator(exp, opts)
	defer g.client.CloseIdleConnections()
	tallies := newTallies(exp)
	start := time.Now()
	g.sendPart(ctx, exp.Targets, exp.schedules(), 0, sinksOf(tallies))
	report := newReport(exp, g.runID, time.Since(start), tallies)
	runs, err := g.countCheckInRuns(ctx)
	report.CheckInCounts = runs
	return report, err
}

func newTallies(exp *Experiment) []*Tally {
	list := make([]*Tally, len(exp.Flows))
	for i := range list {
		list[i] = NewTally(exp.Deadlines)
	}
	return list
}

// schedules returns the arrivals of each flow.
func (e *Experiment) schedules() [][]Arrival {
	list := make([][]Arrival, len(e.Flows))
	for i := range list {
		list[i] = e.Schedule(i)
	}
	return list
}

// sink receives the results of one flow.
type sink interface{ Add(Result) }

func sinksOf[S sink](list []S) []sink {
	sinks := make([]sink, len(list))
	for i, s := range list {
		sinks[i] = s
	}
	return sinks
}

// sendPart sends one part of the schedule, which begins at offset, and waits for
// the responses. A flow that has reached its limit of requests in flight sends
// late, without delaying the other flows.
func (g *generator) sendPart(ctx context.Context, set TargetSet, parts [][]Arrival, offset time.Duration, sinks []sink) {
	start := time.Now()
	last := offset
	for _, part := range parts {
		if n := len(part); n > 0 {
			last = max(last, part[n-1].At)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, last-offset+g.exp.Drain.Std())
	defer cancel()
	var flows sync.WaitGroup
	for i, part := range parts {
		f := &flowRun{
			generator: g,
			flow:      &g.exp.Flows[i],
			set:       set,
			start:     start.Add(-offset),
			slots:     make(chan struct{}, g.exp.inFlight(i)),
			results:   make(chan Result, resultBuffer),
		}
		flows.Go(func() { f.send(ctx, part) })
		flows.Go(func() { f.collect(sinks[i]) })
	}
	flows.Wait()
}

// resultBuffer is the capacity of the channel of results that are not counted
// yet; a full channel blocks the goroutines of requests that have ended.
const resultBuffer = 256

// inFlight returns the limit of requests in flight of flow i: its share of
// MaxInFlight by peak rate.
func (e *Experiment) inFlight(i int) int {
	total := 0.0
	for _, f := range e.Flows {
		total += f.Rate.peak()
	}
	return max(int(float64(e.MaxInFlight)*e.Flows[i].Rate.peak()/total), 1)
}

// flowRun sends one part of the schedule of one flow.
type flowRun struct {
	*generator
	flow    *Flow
	set     TargetSet
	start   time.Time // of the schedule
	slots   chan struct{}
	results chan Result
}

// send starts each request at its intended send time.
func (f *flowRun) send(ctx context.Context, part []Arrival) {
	defer close(f.results)
	var calls sync.WaitGroup
	defer calls.Wait()
	for _, a := range part {
		intended := f.start.Add(a.At)
		if !sleepUntil(ctx, intended) || !f.acquireSlot(ctx) {
			f.results <- Result{Seq: a.Seq, Outcome: OutcomeUnsent}
			continue
		}
		t := f.set.pick(int(f.nextTarget.Add(1)))
		calls.Go(func() {
			r := f.call(ctx, t, a, intended)
			<-f.slots
			f.results <- r
		})
	}
}

func (f *flowRun) acquireSlot(ctx context.Context) bool {
	select {
	case f.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *flowRun) call(ctx context.Context, t target, a Arrival, intended time.Time) Result {
	ctx, cancel := context.WithDeadline(ctx, intended.Add(f.exp.RequestTimeout.Std()))
	defer cancel()
	c := call{
		flow:     f.flow,
		arrival:  a,
		id:       requestID(f.runID, f.flow, a),
		verify:   f.exp.Verify,
		intended: intended,
	}
	return c.run(ctx, f.client, t)
}

// collect adds the results to a sink, one at a time.
func (f *flowRun) collect(s sink) {
	for r := range f.results {
		s.Add(r)
	}
}

// sleepUntil waits until the moment and reports whether it came before ctx was
// done.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
