package gateway

import "github.com/prometheus/client_golang/prometheus"

// operation names what a request asks for, in metrics and logs.
type operation string

const (
	operationLive    operation = "live"
	operationPost    operation = "post_step"
	operationPull    operation = "pull"
	operationAck     operation = "ack"
	operationPublish operation = "publish"
)

type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	inFlight prometheus.Gauge
	panics   prometheus.Counter
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sliplift_gateway_requests_total",
			Help: "Requests on the caller port by operation, pool and outcome.",
		}, []string{"operation", "pool", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "sliplift_gateway_request_duration_seconds",
			Help:    "Time from receipt to final answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
		}, []string{"operation", "pool"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sliplift_gateway_requests_in_flight",
			Help: "Requests on the caller port that have no final answer yet.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sliplift_gateway_panics_total",
			Help: "Handlers that panicked.",
		}),
	}
	registry.MustRegister(m.requests, m.duration, m.inFlight, m.panics)
	return m
}
