package bwentry

import (
	"net/http"
	"net/http/pprof"
	"time"

	"basilwood.example/basilwood/bwdispatch"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the Prometheus metrics of an entry, documented in docs/METRICS.md.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(e *Entry) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_requests_total",
			Help: "Requests by profile, outcome and reason.",
		}, []string{"profile", "outcome", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "basilwood_request_duration_seconds",
			Help:    "Time from the arrival of a request to its outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"profile"}),
	}
	m.registry.MustRegister(m.requests, m.duration, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerGauge("basilwood_config_revision", "Store revision of the configuration in force.", func() float64 {
		return float64(e.appliedRevision())
	})
	m.registerGauge("basilwood_config_age_seconds", "Time since the configuration was confirmed.", func() float64 {
		return e.freshness.Age(e.clock.Now()).Seconds()
	})
	m.registerGauge("basilwood_config_invalid_values", "Configuration values that could not be decoded.", func() float64 {
		return float64(e.replica.InvalidCount())
	})
	m.registerGauge("basilwood_entries_live", "Entries that share the work.", func() float64 {
		return float64(len(e.membership.live()))
	})
	m.registerGauge("basilwood_accounts", "Accounts in memory.", func() float64 { return float64(e.recorder.Len()) })
	return m
}

func (m *metrics) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (m *metrics) countRequest(r *bwpeer.SubmitRequest, o *bwoutcome.Outcome, elapsed time.Duration) {
	m.requests.WithLabelValues(r.GetProfile(), o.GetKind().String(), o.GetReason().String()).Inc()
	m.duration.WithLabelValues(r.GetProfile()).Observe(elapsed.Seconds())
}

// countRejection counts a request that was rejected before it was routed to a home. Its
// profile is unchecked input and may be any text, so it is not used as a label.
func (m *metrics) countRejection(o *bwoutcome.Outcome) {
	m.requests.WithLabelValues("", o.GetKind().String(), o.GetReason().String()).Inc()
}

// operationRoutes returns the handler of the operators' HTTP API.
func (e *Entry) operationRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/debug/state", e.serveState)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteJSON(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", e.serveReady)
	return r
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	bwhttp.WriteReadiness(w, e.IsReady())
}

// State is the JSON dump of an entry's state.
type State struct {
	Entry         string                    `json:"entry"`
	DataCentre    string                    `json:"dataCentre"`
	Leaving       bool                      `json:"leaving"`
	Revision      int64                     `json:"revision"`
	ConfigAge     string                    `json:"configAge"`
	Gate          string                    `json:"gate"`
	Members       []MemberState             `json:"members"`
	Services      []bwdispatch.ServiceState `json:"services"`
	Accounts      int                       `json:"accounts"`
	InvalidValues int                       `json:"invalidValues"`
}

// MemberState describes another entry as this entry sees it.
type MemberState struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Reachable   bool   `json:"reachable"`
	Leaving     bool   `json:"leaving"`
	Revision    int64  `json:"revision"`
}

func (e *Entry) serveState(w http.ResponseWriter, _ *http.Request) {
	now := e.clock.Now()
	s := State{
		Entry:         e.incarnation,
		DataCentre:    e.identity.DataCentre,
		Leaving:       e.leaving.Load(),
		Revision:      e.appliedRevision(),
		ConfigAge:     e.freshness.Age(now).String(),
		Gate:          e.freshness.Gate(now).String(),
		Services:      e.dispatcher.State(),
		Accounts:      e.recorder.Len(),
		InvalidValues: e.replica.InvalidCount(),
	}
	reachable := make(map[string]bool)
	for _, m := range e.membership.reachable() {
		reachable[m.ID()] = true
	}
	for _, m := range e.membership.others() {
		s.Members = append(s.Members, MemberState{
			ID:          m.ID(),
			Incarnation: m.Incarnation(),
			Address:     m.Address(),
			DataCentre:  m.DataCentre(),
			Reachable:   reachable[m.ID()],
			Leaving:     m.IsLeaving(),
			Revision:    m.Revision(),
		})
	}
	bwhttp.WriteJSON(w, http.StatusOK, s)
}
