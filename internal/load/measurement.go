package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	lowestLatency      = int64(time.Microsecond)
	highestLatency     = int64(time.Hour)
	significantFigures = 3
)

// Counts are the requests of a run by outcome.
type Counts struct {
	Completed int64 `json:"completed"`
	Refused   int64 `json:"refused"`
	Failed    int64 `json:"failed"`
	Unknown   int64 `json:"unknown"`
}

// Total returns the number of requests.
func (c Counts) Total() int64 { return c.Completed + c.Refused + c.Failed + c.Unknown }

func (c *Counts) add(outcome api.Outcome) {
	switch outcome {
	case api.OutcomeCompleted:
		c.Completed++
	case api.OutcomeRefused:
		c.Refused++
	case api.OutcomeFailed:
		c.Failed++
	default:
		c.Unknown++
	}
}

// Report is what a run measured. Latencies are of completed requests only, in
// milliseconds.
type Report struct {
	Target string `json:"target"`
	Counts
	Seconds float64 `json:"seconds"`
	// PerSecond counts completed requests a second.
	PerSecond float64 `json:"completed_per_second"`
	MeanMS    float64 `json:"mean_ms"`
	P50MS     float64 `json:"p50_ms"`
	P90MS     float64 `json:"p90_ms"`
	P99MS     float64 `json:"p99_ms"`
	MaxMS     float64 `json:"max_ms"`
}

// Measurement gathers outcomes and latencies. It is safe for concurrent use
// while its run lasts.
type Measurement struct {
	mu        sync.Mutex
	counts    Counts
	latencies *hdrhistogram.Histogram
	elapsed   time.Duration
}

func newMeasurement() *Measurement {
	return &Measurement{latencies: hdrhistogram.New(lowestLatency, highestLatency, significantFigures)}
}

func (m *Measurement) record(outcome api.Outcome, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.add(outcome)
	if outcome != api.OutcomeCompleted {
		return
	}
	// Values are clamped to the histogram's range, so recording cannot fail.
	_ = m.latencies.RecordValue(min(max(int64(latency), lowestLatency), highestLatency))
}

// merge adds a measurement of a run that has ended.
func (m *Measurement) merge(other *Measurement) {
	m.counts.Completed += other.counts.Completed
	m.counts.Refused += other.counts.Refused
	m.counts.Failed += other.counts.Failed
	m.counts.Unknown += other.counts.Unknown
	m.latencies.Merge(other.latencies)
	m.elapsed += other.elapsed
}

// Report returns the figures of a run that has ended.
func (m *Measurement) Report(target string) Report {
	quantile := func(percentile float64) float64 {
		return milliseconds(float64(m.latencies.ValueAtPercentile(percentile)))
	}
	report := Report{
		Target:  target,
		Counts:  m.counts,
		Seconds: m.elapsed.Seconds(),
		MeanMS:  milliseconds(m.latencies.Mean()),
		P50MS:   quantile(50),
		P90MS:   quantile(90),
		P99MS:   quantile(99),
		MaxMS:   milliseconds(float64(m.latencies.Max())),
	}
	if report.Seconds > 0 {
		report.PerSecond = float64(m.counts.Completed) / report.Seconds
	}
	return report
}

func milliseconds(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }
