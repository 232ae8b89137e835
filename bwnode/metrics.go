package bwnode

import (
	"sync"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwmirror"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwrelay"
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the counters of a node and of its owners.
type Metrics struct {
	requests *prometheus.CounterVec
	owner    *bwowner.Metrics
	relay    *bwrelay.Metrics
	beliefs  *beliefCollector
}

// NewMetrics returns Metrics whose collectors are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_job_requests_total", Help: "Callers' requests about jobs, by call and verdict."}, []string{"call", "verdict"}),
		owner:   bwowner.NewMetrics(r),
		relay:   bwrelay.NewMetrics(r),
		beliefs: newBeliefCollector(),
	}
	r.MustRegister(m.requests, m.beliefs)
	return m
}

// Owner returns the metrics of the owners of pools. It may be called on nil.
func (m *Metrics) Owner() *bwowner.Metrics {
	if m == nil {
		return nil
	}
	return m.owner
}

// Relay returns the metrics of the calls through relays. It may be called on nil.
func (m *Metrics) Relay() *bwrelay.Metrics {
	if m == nil {
		return nil
	}
	return m.relay
}

func (m *Metrics) observeRequest(call string, v bwowner.Verdict) {
	if m != nil {
		m.requests.WithLabelValues(call, v.String()).Inc()
	}
}

// setNode selects the node whose beliefs are exported.
func (m *Metrics) setNode(n *Node) {
	if m != nil {
		m.beliefs.setNode(n)
	}
}

// beliefCollector exports the version and the age of what a node knows from the store. It
// reads them when it is scraped.
type beliefCollector struct {
	version  *prometheus.Desc
	age      *prometheus.Desc
	failures *prometheus.Desc

	mu   sync.Mutex
	node *Node
}

func newBeliefCollector() *beliefCollector {
	return &beliefCollector{
		version: prometheus.NewDesc("basilwood_configuration_version", "Version of the configuration in force; 0 before the first.", nil, nil),
		age: prometheus.NewDesc("basilwood_mirror_age_seconds",
			"Time since the copy of a prefix of the store was known to be up to date.", []string{"prefix"}, nil),
		failures: prometheus.NewDesc("basilwood_mirror_failures_total", "Failed reads of a prefix of the store.", []string{"prefix"}, nil),
	}
}

func (b *beliefCollector) setNode(n *Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = n
}

// Describe implements prometheus.Collector.
func (b *beliefCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- b.version
	descriptions <- b.age
	descriptions <- b.failures
}

// Collect implements prometheus.Collector.
func (b *beliefCollector) Collect(metrics chan<- prometheus.Metric) {
	b.mu.Lock()
	n := b.node
	b.mu.Unlock()
	if n == nil {
		return
	}
	var version int64
	if c := n.Configuration(); c != nil {
		version = c.Version()
	}
	metrics <- prometheus.MustNewConstMetric(b.version, prometheus.GaugeValue, float64(version))
	now := n.deps.Clock.Now()
	for _, m := range n.loadedMirrors() {
		metrics <- prometheus.MustNewConstMetric(b.age, prometheus.GaugeValue, now.Sub(m.FreshAt()).Seconds(), m.Prefix())
	}
	for _, m := range n.mirrors() {
		metrics <- prometheus.MustNewConstMetric(b.failures, prometheus.CounterValue, float64(m.Failures()), m.Prefix())
	}
}

func (n *Node) mirrors() []*bwmirror.Mirror {
	return []*bwmirror.Mirror{n.nodeKeys, n.operatorKeys, n.executorKeys}
}

// loadedMirrors returns the mirrors that have been loaded at least once.
func (n *Node) loadedMirrors() []*bwmirror.Mirror {
	var loaded []*bwmirror.Mirror
	for _, m := range n.mirrors() {
		if m.FreshAt() != bwclock.Never {
			loaded = append(loaded, m)
		}
	}
	return loaded
}
