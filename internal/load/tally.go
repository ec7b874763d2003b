package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision in digits. The
// time to first token is kept finer, since its small differences are compared.
const (
	histogramMin     = 1
	histogramMax     = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	firstTokenDigits = 4
)

// maxCodes bounds the codes of refusals that are counted apart.
const maxCodes = 32

const otherCodes = "other"

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, digits)
}

// record notes a duration; what is out of range counts as its nearest end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), histogramMin), histogramMax)
	_ = h.RecordValue(v) // cannot fail within the range
}

// Tally sums up results. It is not safe for concurrent use.
type Tally struct {
	deadlines Deadlines
	Counts    Counts
	first     *hdrhistogram.Histogram // µs
	total     *hdrhistogram.Histogram
	meanGap   *hdrhistogram.Histogram
	worstGap  *hdrhistogram.Histogram
	late      *hdrhistogram.Histogram
}

// Counts are the outcomes of a group of requests.
type Counts struct {
	Intended   int            `json:"intended"` // all requests of the schedule
	OK         int            `json:"ok"`
	Refused    map[string]int `json:"refused"` // by code
	Failed     int            `json:"failed"`
	Timeout    int            `json:"timeout"`
	Cut        int            `json:"cut"`
	Incomplete int            `json:"incomplete"`
	Wrong      int            `json:"wrong"`
	Unsent     int            `json:"unsent"`
	Tokens     int            `json:"tokens"` // received, over all answers
	// Attained had the first token and the worst gap inside the deadlines;
	// AttainedMean takes the mean gap in place of the worst one. An answer that
	// is not streamed has as long as a streamed one of its length.
	Attained     int `json:"attained"`
	AttainedMean int `json:"attained_mean_gap"`
}

// NewTally returns an empty tally.
func NewTally(d Deadlines) *Tally {
	return &Tally{
		deadlines: d,
		Counts:    Counts{Refused: map[string]int{}},
		first:     newHistogram(firstTokenDigits),
		total:     newHistogram(histogramDigits),
		meanGap:   newHistogram(histogramDigits),
		worstGap:  newHistogram(histogramDigits),
		late:      newHistogram(histogramDigits),
	}
}

// Add notes one result.
func (t *Tally) Add(r Result) {
	t.Counts.add(r, t.deadlines)
	if r.Outcome != OutcomeUnsent {
		record(t.late, r.Late)
	}
	if r.Outcome != OutcomeOK {
		return
	}
	record(t.total, r.Total)
	if r.Streamed {
		record(t.first, r.FirstToken)
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
		c.attain(r, d)
	case OutcomeRefused:
		c.refuse(r.Code, 1)
	case OutcomeFailed:
		c.Failed++
	case OutcomeTimeout:
		c.Timeout++
	case OutcomeCut:
		c.Cut++
	case OutcomeIncomplete:
		c.Incomplete++
	case OutcomeWrong:
		c.Wrong++
	case OutcomeUnsent:
		c.Unsent++
	}
}

func (c *Counts) attain(r Result, d Deadlines) {
	if r.FirstToken > d.FirstToken.Std() {
		return
	}
	if !r.Streamed && r.Total > d.whole(r.Tokens) {
		return
	}
	if r.WorstGap <= d.Between.Std() {
		c.Attained++
	}
	if r.MeanGap <= d.Between.Std() {
		c.AttainedMean++
	}
}

func (c *Counts) refuse(code string, n int) {
	if _, known := c.Refused[code]; !known && len(c.Refused) >= maxCodes {
		code = otherCodes
	}
	c.Refused[code] += n
}

// RefusedTotal is the number of refusals of all codes.
func (c *Counts) RefusedTotal() int {
	n := 0
	for _, v := range c.Refused {
		n += v
	}
	return n
}

// Attainment is the share of all intended requests that were attained.
func (c *Counts) Attainment() float64 { return share(c.Attained, c.Intended) }

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Merge adds all that another tally holds.
func (t *Tally) Merge(o *Tally) {
	t.Counts.merge(o.Counts)
	t.first.Merge(o.first)
	t.total.Merge(o.total)
	t.meanGap.Merge(o.meanGap)
	t.worstGap.Merge(o.worstGap)
	t.late.Merge(o.late)
}

func (c *Counts) merge(o Counts) {
	c.Intended += o.Intended
	c.OK += o.OK
	for _, code := range sortedKeys(o.Refused) {
		c.refuse(code, o.Refused[code])
	}
	c.Failed += o.Failed
	c.Timeout += o.Timeout
	c.Cut += o.Cut
	c.Incomplete += o.Incomplete
	c.Wrong += o.Wrong
	c.Unsent += o.Unsent
	c.Tokens += o.Tokens
	c.Attained += o.Attained
	c.AttainedMean += o.AttainedMean
}
