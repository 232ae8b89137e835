package bwmesh

import (
	"sync"
	"time"
)

const (
	// attemptFactor is how many times the slowest recent reply an attempt may take.
	attemptFactor = 3
	// replyTimeDecay is the divisor by which each reply reduces the slowest recent one, so that
	// a few dozen quick replies make up for a slow one.
	replyTimeDecay = 16
	// maxReplyTime is the maximum reply time that is remembered. It is close to the time for
	// which callers wait.
	maxReplyTime = 2 * time.Second
)

// replyTimes tracks the slowest recent reply of each node. An attempt may take a multiple of it,
// because a call that is sent again adds to the load of a node that is slow under load. It is
// safe for concurrent use.
type replyTimes struct {
	mu      sync.Mutex
	slowest map[string]time.Duration
}

func newReplyTimes() *replyTimes { return &replyTimes{slowest: make(map[string]time.Duration)} }

func (t *replyTimes) attemptTimeout(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minAttemptTimeout, attemptFactor*t.slowest[address])
}

func (t *replyTimes) recordReply(address string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowest := t.slowest[address]
	t.slowest[address] = min(max(took, slowest-slowest/replyTimeDecay), maxReplyTime)
}

// recordTimeout records an attempt without a reply: the reply would have taken longer.
func (t *replyTimes) recordTimeout(address string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowest[address] = min(max(took, t.slowest[address]), maxReplyTime)
}
