// Package evaluate measures the decision packages by a discrete-event simulation
// of a workload in virtual time, and compares them with baselines. Engines,
// instances and the network are simulated in one event loop; the decisions are
// those of the real packages. The input is a workload file and a seed; the output
// is lines of measures and plots.
package evaluate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/eelgrassbay/eelgrassbay/internal/dispatch"
	"github.com/eelgrassbay/eelgrassbay/internal/fair"
	"github.com/eelgrassbay/eelgrassbay/internal/limit"
	"github.com/eelgrassbay/eelgrassbay/internal/settings"
)

// Organisation is a caller's organisation and its share of the requests.
type Organisation struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Flood is a period in which one organisation sends a multiple of its rate.
type Flood struct {
	Organisation string  `json:"organisation"`
	TimesRate    float64 `json:"times_rate"`
	FromS        float64 `json:"from_s"`
	ToS          float64 `json:"to_s"`
}

// Workload describes a site and the requests that it receives.
type Workload struct {
	Name             string         `json:"name"`
	Zones            int            `json:"zones"`
	ZoneRoundTripUS  int            `json:"zone_round_trip_us"`
	Instances        int            `json:"instances"`
	Servers          int            `json:"servers"`
	ModelsPerServer  int            `json:"models_per_server"`
	Models           int            `json:"models"`
	Adapters         int            `json:"adapters"`
	AdapterLoadUS    int            `json:"adapter_load_us"`
	StoreLoadsPerS   float64        `json:"store_loads_per_s"`
	StoreLoadsAtOnce int            `json:"store_loads_at_once"`
	Seconds          float64        `json:"seconds"`
	RequestsPerS     float64        `json:"requests_per_s"`
	DemandPeriodS    float64        `json:"demand_period_s"`
	BurstEveryS      float64        `json:"burst_every_s"`
	BurstSeconds     float64        `json:"burst_seconds"`
	BurstFactor      float64        `json:"burst_factor"`
	BatchPercent     int            `json:"batch_percent"`
	PromptTokens     int            `json:"prompt_tokens"`
	PrefixPercent    int            `json:"prefix_percent"`
	PrefixesPerModel int            `json:"prefixes_per_model"`
	OutputTokens     int            `json:"output_tokens"`
	BatchOutput      int            `json:"batch_output_tokens"`
	RateHeadroom     float64        `json:"rate_headroom"`
	BurstTokensS     float64        `json:"burst_tokens_s"`
	Organisations    []Organisation `json:"organisations"`
	Flood            Flood          `json:"flood"`
}

// ReadWorkload reads a workload from a HuJSON file.
func ReadWorkload(path string) (*Workload, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("evaluate: read workload: %w", err)
	}
	w := &Workload{}
	if err := settings.Decode(path, raw, w); err != nil {
		return nil, fmt.Errorf("evaluate: %w", err)
	}
	return w, nil
}

// meanTokens returns the mean number of prompt and output tokens of a request.
func (w *Workload) meanTokens() float64 {
	batch := float64(w.BatchPercent) / 100
	return float64(w.PromptTokens) + (1-batch)*float64(w.OutputTokens) + batch*float64(w.BatchOutput)
}

// rate returns the rate limit of an organisation in tokens per second.
func (w *Workload) rate(org int) float64 {
	return w.Organisations[org].Share * w.RequestsPerS * w.meanTokens() * w.RateHeadroom
}

// burst returns the burst limit of an organisation in tokens.
func (w *Workload) burst(org int) float64 { return w.rate(org) * w.BurstTokensS }

// job is one request of a trace and its state in one run.
type job struct {
	id           uint64
	arrival      time.Duration
	org, model   int
	adapter      int
	class        fair.Class
	promptTokens int
	outputTokens int
	prefix       uint64
	prefixTokens int
	instance     int
	withinRate   bool // within the organisation's rate and burst

	attempts                         int
	grant                            *dispatch.Grant
	receipt                          limit.Receipt
	prefilledTokens, generatedTokens int
	firstTokenAt, lastTokenAt        time.Duration
	outcome                          outcome
}

// chargedTokens returns the number of tokens charged to the organisation.
func (j *job) chargedTokens() int { return j.promptTokens + j.outputTokens }

// outcome is the state in which a request ended.
type outcome uint8

const (
	pending outcome = iota
	completed
	rateLimited // refused by the organisation's rate limit
	refused     // refused early, or there was no upstream
	interrupted // its last attempt failed and it was not retried
)

// trace generates the requests of a workload in order of arrival.
func (w *Workload) trace(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	oracle := newOracle(w)
	var jobs []job
	floodOrg, floodFactor := -1, 0.0
	for i, o := range w.Organisations {
		if o.Name == w.Flood.Organisation {
			floodOrg, floodFactor = i, w.Flood.TimesRate*w.RateHeadroom
		}
	}
	phase := make([]float64, w.Models)
	for i := range phase {
		phase[i] = random.Float64() * 2 * math.Pi
	}
	burst, burstEnds := -1, 0.0
	nextBurst := w.BurstEveryS
	for t := 0.0; t < w.Seconds; {
		if t >= nextBurst {
			burst, burstEnds = random.IntN(w.Models), t+w.BurstSeconds
			nextBurst += w.BurstEveryS
		}
		weights := make([]float64, w.Models)
		baseTotal, total := 0.0, 0.0
		for i := range weights {
			weights[i] = math.Pow(10, 0.5+0.5*math.Sin(2*math.Pi*t/w.DemandPeriodS+phase[i]))
			baseTotal += weights[i]
			if i == burst && t < burstEnds {
				weights[i] *= w.BurstFactor
			}
			total += weights[i]
		}
		orgs := make([]float64, len(w.Organisations))
		shares := 0.0
		for i, o := range w.Organisations {
			orgs[i] = o.Share
			if i == floodOrg && t >= w.Flood.FromS && t < w.Flood.ToS {
				orgs[i] *= floodFactor
			}
			shares += orgs[i]
		}
		t += random.ExpFloat64() / (w.RequestsPerS * shares * total / baseTotal)
		j := job{id: uint64(len(jobs) + 1), arrival: seconds(t), org: pickWeighted(random, orgs), model: pickWeighted(random, weights)}
		w.fillJob(&j, random)
		j.withinRate = oracle.take(j.arrival, j.org, j.chargedTokens())
		jobs = append(jobs, j)
	}
	return jobs
}

func (w *Workload) fillJob(j *job, random *rand.Rand) {
	j.instance = random.IntN(w.Instances)
	j.adapter = random.IntN(w.Adapters)
	output := w.OutputTokens
	if random.IntN(100) < w.BatchPercent {
		j.class = fair.Batch
		output = w.BatchOutput
	}
	j.promptTokens = w.PromptTokens/2 + random.IntN(w.PromptTokens)
	j.outputTokens = 1 + output/2 + random.IntN(output)
	j.prefixTokens = j.promptTokens * w.PrefixPercent / 100
	j.prefix = uint64(j.model*w.PrefixesPerModel+random.IntN(w.PrefixesPerModel)) + 1
}

// pickWeighted returns a random index with probability proportional to its
// weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, x := range weights {
		total += x
	}
	at := random.Float64() * total
	for i, x := range weights {
		if at -= x; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
