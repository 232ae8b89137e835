package bwnode

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

// callTracker tracks which repeated calls to other nodes fail and logs each change. The calls
// are made several times a second, so a log line for each failure would add little.
type callTracker struct {
	log hclog.Logger

	mu     sync.Mutex
	failed map[peerCall]bool
}

// peerCall identifies a kind of call to a node.
type peerCall struct {
	method  string
	address string
	pool    string
}

func newCallTracker(log hclog.Logger) *callTracker {
	return &callTracker{log: log, failed: make(map[peerCall]bool)}
}

// record records the result of a call; err is nil if the node answered.
func (t *callTracker) record(call peerCall, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil && !t.failed[call]:
		t.failed[call] = true
		t.log.Warn("node does not answer", "call", call.method, "address", call.address, "pool", call.pool, "error", err.Error())
	case err == nil && t.failed[call]:
		delete(t.failed, call)
		t.log.Info("node answers again", "call", call.method, "address", call.address, "pool", call.pool)
	}
}
