package bwowner

import (
	"time"

	"basilwood.example/basilwood/bwschedule"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters and histograms shared by all owners in a process.
type Metrics struct {
	orders        *prometheus.CounterVec
	orderSeconds  *prometheus.HistogramVec
	reportSeconds prometheus.Histogram
	passDelay     prometheus.Histogram
	releases      *prometheus.CounterVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_orders_total", Help: "Orders to executors, by kind and result."}, []string{"kind", "result"}),
		orderSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "basilwood_order_seconds", Help: "Time from sending an order to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12)}, []string{"kind"}),
		reportSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "basilwood_report_seconds", Help: "Time from asking an executor for a report to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		passDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "basilwood_pass_delay_seconds", Help: "Time from an event to the scheduling pass that handles it.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		releases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_releases_total", Help: "Runs presumed ended without a reported end, by reason."}, []string{"reason"}),
	}
	r.MustRegister(m.orders, m.orderSeconds, m.reportSeconds, m.passDelay, m.releases)
	return m
}

func (m *Metrics) observeOrder(k bwschedule.OrderKind, r bwschedule.Result, took time.Duration) {
	if m == nil {
		return
	}
	m.orders.WithLabelValues(k.String(), r.String()).Inc()
	m.orderSeconds.WithLabelValues(k.String()).Observe(took.Seconds())
}

func (m *Metrics) observeReport(took time.Duration) {
	if m != nil {
		m.reportSeconds.Observe(took.Seconds())
	}
}

func (m *Metrics) observePassDelay(delay time.Duration) {
	if m != nil {
		m.passDelay.Observe(delay.Seconds())
	}
}

func (m *Metrics) countRelease(reason string) {
	if m != nil {
		m.releases.WithLabelValues(reason).Inc()
	}
}
