// Package bwpanic keeps an unexpected error in one request or one role from ending the whole process.
//
// A Guard turns a panic into a log line and a count. What the interrupted code was working on cannot be
// trusted afterwards: the caller answers the request as unknown, or gives up the role and its state.
package bwpanic

import (
	"fmt"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// maxStackBytes bounds the stack in a log line.
const maxStackBytes = 4 << 10

// Guard contains panics. A nil Guard contains them without a trace in logs and metrics.
type Guard struct {
	log    hclog.Logger
	panics *prometheus.CounterVec
}

// NewGuard returns a Guard that logs to log and counts in a metric that is registered with r.
func NewGuard(log hclog.Logger, r prometheus.Registerer) *Guard {
	g := &Guard{
		log: log,
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilwood_panics_total", Help: "Unexpected errors that ended one request or one role, by place."}, []string{"place"}),
	}
	r.MustRegister(g.panics)
	return g
}

// Run calls f and reports whether it returned. A panic in f is logged with the place and the fields.
func (g *Guard) Run(place string, f func(), fields ...any) (ok bool) {
	defer func() {
		if ok {
			return
		}
		g.record(place, recover(), fields)
	}()
	f()
	return true
}

func (g *Guard) record(place string, reason any, fields []any) {
	if g == nil {
		return
	}
	g.panics.WithLabelValues(place).Inc()
	stack := debug.Stack()
	g.log.Error("unexpected error contained", append([]any{"place", place, "error", fmt.Sprint(reason),
		"stack", string(stack[:min(len(stack), maxStackBytes)])}, fields...)...)
}
