// Package bwcommit writes the records of one pool to the key-value service.
//
// Only the owner of a pool writes its records. Each transaction carries two expectations: the
// revision of the owner's key, which fences off the writes of an owner that was replaced, and
// the revision of the pool's sequence key, which every transaction rewrites. The sequence key
// orders the transactions and makes each of them apply at most once: a transaction whose
// reply was lost can be sent again, and a copy that the service applies late fails because
// the sequence key has changed. Writes that are added while a transaction is in flight go
// into the next one.
package bwcommit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxBatchEntries is the maximum number of writes in one transaction. It leaves room for
	// the two expectations and the write of the sequence key.
	maxBatchEntries = bwkv.MaxEntries - 3
	// maxBatchBytes limits the size of a transaction, so that it arrives within its timeout.
	// A batch may exceed it by its last write.
	maxBatchBytes = 256 << 10
	// minBackoff and maxBackoff are the minimum and maximum backoff between attempts of one
	// transaction.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// commitTimeSamples is the number of transactions over which their duration is averaged.
	commitTimeSamples = 4
	// rejectAfter is how long a failing transaction is retried before its writes with
	// CanReject are rejected. It is about the time after which a caller retries.
	rejectAfter = 400 * time.Millisecond
)

// Store is the subset of the key-value service that a Committer uses.
type Store interface {
	Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result
}

// WriteOutcome is the outcome of a write.
type WriteOutcome int

// The outcomes of writes.
const (
	// Unknown means that the write may have been stored or may be stored later.
	Unknown WriteOutcome = iota
	Stored
	// NotStored means that the write is certain never to be stored.
	NotStored
	// Outdated means the same, because an expectation of the write does not hold any more.
	Outdated
)

// Write sets or removes one key.
type Write struct {
	Key   string
	Value []byte
	// IsRemoval removes the key; Value is ignored.
	IsRemoval bool
	// CanReject allows the write to be rejected with NotStored while the store is failing.
	CanReject bool
	// Expected lists keys that must still have the given revisions when the write is stored. Writes of this
	// Committer that expected the same revision of such a key do not count as changes of it. A write with more
	// expectations than a transaction may have is rejected.
	Expected []bwkv.Expectation
	// Done is called once with the outcome of the write, unless it is nil.
	Done func(WriteOutcome)
}

// Guard holds the keys that guard a pool's writes, and the revisions expected of them.
type Guard struct {
	OwnerKey      string
	OwnerRevision int64
	SequenceKey   string
	// SequenceRevision is 0 when the key does not exist yet.
	SequenceRevision int64
}

// queuedWrite is a write with the time at which it was queued.
type queuedWrite struct {
	Write
	queuedAt bwclock.Time
}

// Committer commits the writes of one owner in order. It is safe for concurrent use.
type Committer struct {
	store  Store
	guard  Guard
	clock  bwclock.Clock
	log    hclog.Logger
	onLost func(reason string)

	mu           sync.Mutex
	queue        []queuedWrite
	wake         chan struct{}
	sequence     int64
	isClosed     bool
	failingSince bwclock.Time
	isCommitting bool
	// commitTime is the moving average of the duration of a transaction, retries included.
	commitTime time.Duration

	// advances holds the keys that writes have changed and expected. Only the goroutine of Run uses it.
	advances map[string]advance
}

// advance is a series of changes of a key by one Committer, between which nobody else has changed the key.
type advance struct {
	// from is the revision before the first change, and to the one after the last.
	from, to int64
}

// includes reports whether a revision of the key is one of the series.
func (a advance) includes(revision int64) bool { return a.from <= revision && revision <= a.to }

// New returns a Committer whose transactions are guarded by the keys in guard. If another
// owner has replaced this one, onLost is called once and no more writes are sent.
func New(store Store, guard Guard, clock bwclock.Clock, log hclog.Logger, onLost func(reason string)) *Committer {
	return &Committer{store: store, guard: guard, clock: clock, log: log, onLost: onLost, wake: make(chan struct{}, 1), advances: make(map[string]advance)}
}

// Add queues writes for the next transaction, in order.
func (c *Committer) Add(writes ...Write) {
	now := c.clock.Now()
	var rejected []Write
	c.mu.Lock()
	for _, w := range writes {
		if c.isClosed || len(w.Expected) >= maxBatchEntries {
			rejected = append(rejected, w)
		} else {
			c.queue = append(c.queue, queuedWrite{Write: w, queuedAt: now})
		}
	}
	c.mu.Unlock()
	if len(rejected) > 0 {
		// Done runs in another goroutine because the caller may hold a lock that it needs.
		go complete(rejected, NotStored)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// IsFailing reports whether the current transaction has been failing for at least
// rejectAfter.
func (c *Committer) IsFailing(now bwclock.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failingSince != bwclock.Never && now.Sub(c.failingSince) >= rejectAfter
}

// QueueDelay returns the expected time until a write that is added now is in a transaction. It is
// at least the time for which the first queued write has waited.
func (c *Committer) QueueDelay(now bwclock.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return 0
	}
	transactions := time.Duration(len(c.queue)/maxBatchEntries + 1)
	return max(now.Sub(c.queue[0].queuedAt), transactions*c.commitTime)
}

// IsIdle reports whether no writes are queued or in flight.
func (c *Committer) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) == 0 && !c.isCommitting
}

// Run commits queued writes until ctx is done or another owner has taken over the pool.
func (c *Committer) Run(ctx context.Context) {
	for {
		batch := c.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				c.close()
				return
			case <-c.wake:
			}
			continue
		}
		if !c.commit(ctx, batch) {
			c.close()
			return
		}
	}
}

// nextBatch removes the writes of the next transaction from the queue and returns them.
func (c *Committer) nextBatch() []Write {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, size := 0, 0
	entries := newEntries()
	for n < len(c.queue) && (n == 0 || size < maxBatchBytes) {
		if w := c.withCurrentRevisions(c.queue[n].Write); !entries.add(w) && n > 0 {
			break
		}
		size += len(c.queue[n].Value)
		n++
	}
	batch := writesOf(c.queue[:n])
	c.queue = c.queue[n:]
	c.isCommitting = n > 0
	return batch
}

// close rejects the queued writes, which were never sent, and all later ones.
func (c *Committer) close() {
	c.mu.Lock()
	unsent := writesOf(c.queue)
	c.queue = nil
	c.isClosed = true
	c.isCommitting = false
	c.mu.Unlock()
	complete(unsent, NotStored)
}

func writesOf(queue []queuedWrite) []Write {
	writes := make([]Write, 0, len(queue))
	for _, w := range queue {
		writes = append(writes, w.Write)
	}
	return writes
}

func complete(writes []Write, outcome WriteOutcome) {
	for _, w := range writes {
		if w.Done != nil {
			w.Done(outcome)
		}
	}
}

// commit retries one transaction until its outcome is certain. It returns false if another
// owner has taken over the pool or ctx is done.
func (c *Committer) commit(ctx context.Context, batch []Write) bool {
	c.sequence++
	token := fmt.Sprintf("%d.%d", c.guard.OwnerRevision, c.sequence)
	backoff := minBackoff
	mayBeStored := false
	startedAt := c.clock.Now()
	for {
		sent := c.clock.Now()
		r := c.store.Transact(ctx, c.transaction(batch, token))
		switch r.Outcome {
		case bwkv.Committed:
			c.finishCommit(batch, r.Revision, startedAt)
			return true
		case bwkv.Conflict:
			if s := r.ItemOf(c.guard.SequenceKey); string(s.Value) == token {
				c.finishCommit(batch, s.Revision, startedAt)
				return true
			}
			if !c.isGuardKept(r) {
				c.handleConflict(r, batch, mayBeStored)
				return false
			}
			if remaining := c.completeOutdated(r, batch); len(remaining) < len(batch) {
				// An earlier attempt that the service applies late fails by the same expectations.
				batch, mayBeStored = remaining, false
				if len(batch) == 0 {
					c.finishBatch()
					return true
				}
				continue
			}
		case bwkv.Unanswered:
			mayBeStored = true
		}
		if ctx.Err() == nil {
			c.markFailing(sent, r.Outcome)
		}
		if !mayBeStored && c.IsFailing(c.clock.Now()) {
			batch = rejectWrites(batch)
		}
		if !bwclock.Sleep(ctx, backoff) {
			complete(batch, failureOutcome(mayBeStored))
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Committer) transaction(batch []Write, token string) bwkv.Transaction {
	t := bwkv.Transaction{
		Expected: []bwkv.Expectation{
			{Key: c.guard.OwnerKey, Revision: c.guard.OwnerRevision},
			{Key: c.guard.SequenceKey, Revision: c.guard.SequenceRevision},
		},
		Set: []bwkv.Write{{Key: c.guard.SequenceKey, Value: []byte(token)}},
	}
	entries := newEntries()
	for _, w := range batch {
		entries.add(c.withCurrentRevisions(w))
	}
	return entries.appendTo(t)
}

// withCurrentRevisions returns a write whose expectations take earlier writes of this Committer into account.
func (c *Committer) withCurrentRevisions(w Write) Write {
	expected := make([]bwkv.Expectation, 0, len(w.Expected))
	for _, e := range w.Expected {
		if a, ok := c.advances[e.Key]; ok && a.includes(e.Revision) {
			e.Revision = a.to
		}
		expected = append(expected, e)
	}
	w.Expected = expected
	return w
}

// isGuardKept reports whether the keys that guard all writes have not caused a conflict.
func (c *Committer) isGuardKept(r bwkv.Result) bool {
	return r.ItemOf(c.guard.OwnerKey).Revision == c.guard.OwnerRevision && r.ItemOf(c.guard.SequenceKey).Revision == c.guard.SequenceRevision
}

// completeOutdated completes the writes whose expectations did not hold in a conflict, and returns the others.
func (c *Committer) completeOutdated(r bwkv.Result, batch []Write) []Write {
	var outdated, remaining []Write
	for _, w := range batch {
		holds := true
		for _, e := range c.withCurrentRevisions(w).Expected {
			holds = holds && r.ItemOf(e.Key).Revision == e.Revision
		}
		if holds {
			remaining = append(remaining, w)
		} else {
			outdated = append(outdated, w)
		}
	}
	c.log.Info("writes are outdated", "owner", c.guard.OwnerKey, "outdated", len(outdated), "remaining", len(remaining))
	complete(outdated, Outdated)
	return remaining
}

// recordAdvances records the keys that a stored batch has changed and expected.
func (c *Committer) recordAdvances(batch []Write, revision int64) {
	for _, w := range batch {
		previous, isKnown := c.advances[w.Key]
		if isKnown && previous.to == revision {
			continue
		}
		delete(c.advances, w.Key)
		for _, e := range w.Expected {
			if e.Key != w.Key {
				continue
			}
			from := e.Revision
			if isKnown && previous.includes(from) {
				from = previous.from
			}
			c.advances[w.Key] = advance{from: from, to: revision}
		}
	}
}

// rejectWrites rejects the writes that allow it and returns the others.
func rejectWrites(batch []Write) []Write {
	var remaining []Write
	for _, w := range batch {
		if w.CanReject {
			complete([]Write{w}, NotStored)
		} else {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

func (c *Committer) finishCommit(batch []Write, revision int64, startedAt bwclock.Time) {
	c.mu.Lock()
	c.commitTime += (c.clock.Now().Sub(startedAt) - c.commitTime) / commitTimeSamples
	failingSince := c.failingSince
	c.guard.SequenceRevision = revision
	c.failingSince = bwclock.Never
	c.isCommitting = false
	c.mu.Unlock()
	c.recordAdvances(batch, revision)
	if failingSince != bwclock.Never {
		c.log.Info("store takes writes again", "owner", c.guard.OwnerKey, "after", c.clock.Now().Sub(failingSince).String())
	}
	complete(batch, Stored)
}

// finishBatch ends a batch of which no write is left.
func (c *Committer) finishBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failingSince = bwclock.Never
	c.isCommitting = false
}

func (c *Committer) markFailing(sent bwclock.Time, outcome bwkv.Outcome) {
	c.mu.Lock()
	isFirst := c.failingSince == bwclock.Never
	if isFirst {
		c.failingSince = sent
	}
	c.mu.Unlock()
	if isFirst {
		c.log.Warn("store does not take writes", "owner", c.guard.OwnerKey, "outcome", outcome.String())
	}
}

// handleConflict completes the batch and reports the loss of the pool after a conflict.
func (c *Committer) handleConflict(r bwkv.Result, batch []Write, mayBeStored bool) {
	owner := r.ItemOf(c.guard.OwnerKey)
	c.log.Warn("pool has another owner", "owner", c.guard.OwnerKey, "expectedRevision", c.guard.OwnerRevision, "revision", owner.Revision)
	complete(batch, failureOutcome(mayBeStored))
	c.onLost("conflict")
}

func failureOutcome(mayBeStored bool) WriteOutcome {
	if mayBeStored {
		return Unknown
	}
	return NotStored
}
