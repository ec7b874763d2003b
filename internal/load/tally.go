package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision in significant
// digits. The time to first token is recorded with one digit more, since small
// differences of it are compared.
const (
	histogramMin     = 1
	histogramMax     = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	firstTokenDigits = 4
)

// maxCodes bounds the number of error codes that are counted separately.
const maxCodes = 32

// otherCodes is the key under which the refusals of all further codes are
// counted.
const otherCodes = "other"

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, digits)
}

// record adds a duration to a histogram, clamped to its range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(v) // cannot fail within the range
}

// Tally aggregates results. It is not safe for concurrent use.
type Tally struct {
	deadlines Deadlines
	Counts    Counts
	// Histograms of durations in microseconds.
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	meanGap    *hdrhistogram.Histogram
	worstGap   *hdrhistogram.Histogram
	sendDelay  *hdrhistogram.Histogram
}

// Counts holds the number of requests of a group by outcome.
type Counts struct {
	Intended   int            `json:"intended"` // all requests of the schedule
	OK         int            `json:"ok"`
	Refused    map[string]int `json:"refused"` // by code
	Failed     int            `json:"failed"`
	Timeout    int            `json:"timeout"`
	Truncated  int            `json:"cut"`
	Incomplete int            `json:"incomplete"`
	Mismatch   int            `json:"wrong"`
	Unsent     int            `json:"unsent"`
	Tokens     int            `json:"tokens"` // received, in all responses
	// Attained counts the requests whose first token and worst gap met the
	// deadlines; AttainedMean uses the mean gap instead of the worst one. A
	// response that is not streamed has the same deadline as a streamed one of
	// its length.
	Attained     int `json:"attained"`
	AttainedMean int `json:"attained_mean_gap"`
}

// NewTally returns an empty tally.
func NewTally(d Deadlines) *Tally {
	return &Tally{
		deadlines:  d,
		Counts:     Counts{Refused: map[string]int{}},
		firstToken: newHistogram(firstTokenDigits),
		total:      newHistogram(histogramDigits),
		meanGap:    newHistogram(histogramDigits),
		worstGap:   newHistogram(histogramDigits),
		sendDelay:  newHistogram(histogramDigits),
	}
}

// Add counts one result.
func (t *Tally) Add(r Result) {
	t.Counts.add(r, t.deadlines)
	if r.Outcome != OutcomeUnsent {
		record(t.sendDelay, r.SendDelay)
	}
	if r.Outcome != OutcomeOK {
		return
	}
	record(t.total, r.Total)
	if r.Streamed {
		record(t.firstToken, r.FirstToken)
	}
	if r.Streamed && r.Tokens > 1 {
		record(t.meanGap, r.MeanGap)
		record(t.worstGap, r.WorstGap)
	}
}

func (c *Counts) add(r Result, d Deadlines) {
	c.Intended++
	c.Tokens += r.Tokens
	switch r.Outcome {
	case OutcomeOK:
		c.OK++
		c.addAttained(r, d)
	case OutcomeRefused:
		c.addRefused(r.Code, 1)
	case OutcomeFailed:
		c.Failed++
	case OutcomeTimeout:
		c.Timeout++
	case OutcomeTruncated:
		c.Truncated++
	case OutcomeIncomplete:
		c.Incomplete++
	case OutcomeMismatch:
		c.Mismatch++
	case OutcomeUnsent:
		c.Unsent++
	}
}

func (c *Counts) addAttained(r Result, d Deadlines) {
	if r.FirstToken > d.FirstToken.Std() {
		return
	}
	if !r.Streamed && r.Total > d.wholeResponse(r.Tokens) {
		return
	}
	if r.WorstGap <= d.TokenGap.Std() {
		c.Attained++
	}
	if r.MeanGap <= d.TokenGap.Std() {
		c.AttainedMean++
	}
}

func (c *Counts) addRefused(code string, n int) {
	if _, known := c.Refused[code]; !known && len(c.Refused) >= maxCodes {
		code = otherCodes
	}
	c.Refused[code] += n
}

// RefusedTotal returns the number of refusals of all codes.
func (c *Counts) RefusedTotal() int {
	n := 0
	for _, v := range c.Refused {
		n += v
	}
	return n
}

// Attainment returns the share of all intended requests that met their
// deadlines.
func (c *Counts) Attainment() float64 { return share(c.Attained, c.Intended) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Merge adds the results of another tally.
func (t *Tally) Merge(o *Tally) {
	t.Counts.merge(o.Counts)
	t.firstToken.Merge(o.firstToken)
	t.total.Merge(o.total)
	t.meanGap.Merge(o.meanGap)
	t.worstGap.Merge(o.worstGap)
	t.sendDelay.Merge(o.sendDelay)
}

func (c *Counts) merge(o Counts) {
	c.Intended += o.Intended
	c.OK += o.OK
	for _, code := range sortedKeys(o.Refused) {
		c.addRefused(code, o.Refused[code])
	}
	c.Failed += o.Failed
	c.Timeout += o.Timeout
	c.Truncated += o.Truncated
	c.Incomplete += o.Incomplete
	c.Mismatch += o.Mismatch
	c.Unsent += o.Unsent
	c.Tokens += o.Tokens
	c.Attained += o.Attained
	c.AttainedMean += o.AttainedMean
}
