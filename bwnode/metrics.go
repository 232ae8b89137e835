package bwnode

import (
	"basilwood.example/basilwood/bwowner"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a node and of its owners.
type Metrics struct {
	requests *prometheus.CounterVec
	owner    *bwowner.Metrics
}

// NewMetrics returns Metrics whose collectors are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_job_requests_total", Help: "Callers' requests about jobs, by call and verdict."}, []string{"call", "verdict"}),
		owner: bwowner.NewMetrics(r),
	}
	r.MustRegister(m.requests)
	return m
}

// Owner returns the metrics of the owners of pools. It may be called on nil.
func (m *Metrics) Owner() *bwowner.Metrics {
	if m == nil {
		return nil
	}
	return m.owner
}

func (m *Metrics) observeRequest(call string, v bwowner.Verdict) {
	if m != nil {
		m.requests.WithLabelValues(call, v.String()).Inc()
	}
}
