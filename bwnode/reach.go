package bwnode

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// callTracker tracks which repeated calls to other nodes fail and logs each change. The calls
// are made several times a second, so a log line for each failure would add little.
type reach struct {
	log hclog.Logger

	mu     sync.Mutex
	failed map[question]bool
}

// peerCall identifies a kind of call to a node.
type question struct {
	call    string
	address string
	pool    string
}

func newReach(log hclog.Logger) *reach {
	return &reach{log: log, failed: make(map[question]bool)}
}

// record records the result of a call; err is nil if the node answered.
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
