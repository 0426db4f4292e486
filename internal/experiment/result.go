package experiment

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs/v2"
)

// Result is what one policy did with one seed. Times are in seconds, live
// latencies in milliseconds, staleness in versions.
type Result struct {
	Site   string `json:"site"`
	Policy string `json:"policy"`
	Seed   int64  `json:"seed"`
	// Baseline says that the others are compared with this policy.
	Baseline bool    `json:"baseline,omitempty"`
	Seconds  float64 `json:"seconds"`
	// IdleSeconds is the sum over the trainers, IdleShare its share of their
	// time, LowerBoundSeconds what no schedule could go below.
	IdleSeconds       float64 `json:"idle_seconds"`
	IdleShare         float64 `json:"idle_share"`
	LowerBoundSeconds float64 `json:"lower_bound_seconds"`
	MeanStaleness     float64 `json:"mean_staleness"`
	MaxStaleness      int64   `json:"max_staleness"`
	LiveRequests      int64   `json:"live_requests"`
	LiveP50MS         float64 `json:"live_p50_ms"`
	LiveP99MS         float64 `json:"live_p99_ms"`
	// AloneP50MS and AloneP99MS are the same without training.
	AloneP50MS float64 `json:"alone_p50_ms"`
	AloneP99MS float64 `json:"alone_p99_ms"`
	// ApplicationP99MS is of requests to the applications.
	ApplicationP99MS float64 `json:"application_p99_ms"`
	// Quantiles of live latency, for plots: of QuantileSteps equal steps.
	LiveQuantilesMS []float64 `json:"live_quantiles_ms"`
	Counters
}

// Counters are counts of a run.
type Counters struct {
	Samples       int64 `json:"samples"`
	Tokens        int64 `json:"tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	ExtraAttempts int64 `json:"extra_attempts"`
	Moves         int64 `json:"moves"`
	StaleReruns   int   `json:"stale_reruns"`
	BoundBreaches int64 `json:"bound_breaches"`
	BrokenStreams int64 `json:"broken_streams"`
	Refusals      int64 `json:"refusals"`
	Versions      int64 `json:"versions"`
	Preemptions   int64 `json:"preemptions"`
	CachedTokens  int64 `json:"cached_tokens"`
	PrefillTokens int64 `json:"prefill_tokens"`
}

// QuantileSteps is the number of steps of Result.LiveQuantilesMS.
const QuantileSteps = 200

// Bounds of the histogram of live latencies, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 3
)

type statistics struct {
	Counters
	live           *hdrhistogram.Histogram
	applications   *hdrhistogram.Histogram
	stalenessSum   int64
	stalenessMax   int64
	stalenessCount int64
}

func newStatistics() statistics {
	return statistics{
		live:         hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		applications: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (s *statistics) staleness(behind int64) {
	s.Samples++
	s.stalenessSum += behind
	s.stalenessCount++
	s.stalenessMax = max(s.stalenessMax, behind)
}

func (s *statistics) liveLatency(latency time.Duration) {
	// The bounds hold any latency that a run can have.
	_ = s.live.RecordValue(latency.Microseconds())
}

func (s *statistics) applicationLatency(latency time.Duration) {
	_ = s.applications.RecordValue(latency.Microseconds())
}

func (s *statistics) liveQuantile(percent float64) float64 {
	return milliseconds(s.live.ValueAtQuantile(percent))
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }

// result sums the run up.
func (s *simulation) result() Result {
	result := Result{
		Site: s.scenario.Site, Policy: s.plan.Name, Seed: s.seed, Baseline: s.plan.Name == s.scenario.Baseline,
		Seconds:          s.now.Seconds(),
		MaxStaleness:     s.stats.stalenessMax,
		LiveRequests:     s.stats.live.TotalCount(),
		LiveP50MS:        s.stats.liveQuantile(50),
		LiveP99MS:        s.stats.liveQuantile(99),
		ApplicationP99MS: milliseconds(s.stats.applications.ValueAtQuantile(99)),
		Counters:         s.stats.Counters,
	}
	if s.stats.stalenessCount > 0 {
		result.MeanStaleness = float64(s.stats.stalenessSum) / float64(s.stats.stalenessCount)
	}
	var total time.Duration
	for _, t := range s.trainers {
		result.IdleSeconds += t.idle.Seconds()
		total += t.finishedAt
	}
	if total > 0 {
		result.IdleShare = result.IdleSeconds / total.Seconds()
	}
	for i := range QuantileSteps + 1 {
		result.LiveQuantilesMS = append(result.LiveQuantilesMS, s.stats.liveQuantile(float64(i)*100/QuantileSteps))
	}
	for _, e := range s.engines {
		totals := e.machine.Totals()
		result.Tokens += totals.Tokens
		result.Preemptions += totals.Preemptions
		result.CachedTokens += totals.CachedTokens
		result.PrefillTokens += totals.PrefillTokens
	}
	return result
}

// Write writes a result as one line of JSON.
func Write(w io.Writer, result Result) error { return json.NewEncoder(w).Encode(result) }

func liveLabel(number int) string { return "live " + strconv.Itoa(number) + " " }

// Read reads the results that Write wrote.
func Read(r io.Reader) ([]Result, error) {
	decoder := json.NewDecoder(r)
	var results []Result
	for {
		var result Result
		err := decoder.Decode(&result)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, errs.Wrap(err)
		}
		results = append(results, result)
	}
}
