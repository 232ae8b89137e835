package bwnode

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// reach follows which questions to other nodes have answers, and logs each change. Questions
// are asked several times a second, so a line for each failure would say little more.
type reach struct {
	log hclog.Logger

	mu     sync.Mutex
	failed map[question]bool
}

// question names what is asked of which node.
type question struct {
	call    string
	address string
	pool    string
}

func newReach(log hclog.Logger) *reach {
	return &reach{log: log, failed: make(map[question]bool)}
}

// note takes in the outcome of a question; err is nil when it had an answer.
func (r *reach) note(q question, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.failed[q]:
		r.failed[q] = true
		r.log.Warn("node does not answer", "call", q.call, "address", q.address, "pool", q.pool, "error", err.Error())
	case err == nil && r.failed[q]:
		delete(r.failed, q)
		r.log.Info("node answers again", "call", q.call, "address", q.address, "pool", q.pool)
	}
}
