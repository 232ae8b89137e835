package bwrelay

import "github.com/prometheus/client_golang/prometheus"

const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Metrics holds the counters of all clients in a process.
type Metrics struct {
	calls    *prometheus.CounterVec
	messages *prometheus.CounterVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_executor_calls_total", Help: "Calls to executors of the pools of this node, by way."}, []string{"way"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_relay_messages_total", Help: "Messages that carry such calls and their replies, by direction."}, []string{"direction"}),
	}
	r.MustRegister(m.calls, m.messages)
	return m
}

func (m *Metrics) countCall(isRelayed bool) {
	if m == nil {
		return
	}
	way := "direct"
	if isRelayed {
		way = "relay"
	}
	m.calls.WithLabelValues(way).Inc()
}

func (m *Metrics) countMessage(direction string) {
	if m != nil {
		m.messages.WithLabelValues(direction).Inc()
	}
}
