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
	// rejectAfter is how long a failing transaction is retried before the writes in it that
	// can be rejected are. It is about the time after which a caller retries.
	rejectAfter = 400 * time.Millisecond
)

// Store is the subset of the key-value service that a Log uses.
type Store interface {
	Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result
}

// Fate is the outcome of a write.
type Fate int

// The outcomes of writes.
const (
	// Unknown means that the write may have been stored or may be stored later.
	Unknown Fate = iota
	Stored
	// NotStored means that the write is certain never to be stored.
	NotStored
)

// Write sets or removes one key.
type Write struct {
	Key   string
	Value []byte
	// IsRemoval removes the key; Value is ignored.
	IsRemoval bool
	// CanRefuse allows the write to be rejected with NotStored while the store is failing.
	CanRefuse bool
	// Done is called once with the outcome of the write, unless it is nil.
	Done func(Fate)
}

// Chain holds the keys that guard a pool's writes, and the revisions expected of them.
type Chain struct {
	OwnerKey      string
	OwnerRevision int64
	SequenceKey   string
	// SequenceRevision is 0 when the key does not exist yet.
	SequenceRevision int64
}

// Log commits the writes of one owner in order. It is safe for concurrent use.
type Log struct {
	store  Store
	chain  Chain
	clock  bwclock.Clock
	log    hclog.Logger
	onLost func(reason string)

	mu           sync.Mutex
	queue        []Write
	wake         chan struct{}
	sequence     int64
	isClosed     bool
	failingSince bwclock.Time
	isCommitting bool
}

// New returns a Log for the pool whose keys chain holds. If another owner has replaced this
// one, lost is called once and no more writes are sent.
func New(store Store, chain Chain, clock bwclock.Clock, log hclog.Logger, onLost func(reason string)) *Log {
	return &Log{store: store, chain: chain, clock: clock, log: log, onLost: onLost, wake: make(chan struct{}, 1)}
}

// Add queues writes for the next transaction, in order.
func (l *Log) Add(writes ...Write) {
	l.mu.Lock()
	isClosed := l.isClosed
	if !isClosed {
		l.queue = append(l.queue, writes...)
	}
	l.mu.Unlock()
	if isClosed {
		// Done runs in another goroutine because the caller may hold a lock that it needs.
		go complete(writes, NotStored)
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// IsFailing reports whether the current transaction has been failing for at least
// rejectAfter.
func (l *Log) IsFailing(now bwclock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failingSince != bwclock.Never && now.Sub(l.failingSince) >= rejectAfter
}

// IsIdle reports whether no writes are queued or in flight.
func (l *Log) IsIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && !l.isCommitting
}

// Run commits queued writes until ctx is done or another owner has taken over the pool.
func (l *Log) Run(ctx context.Context) {
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				l.close()
				return
			case <-l.wake:
			}
			continue
		}
		if !l.commit(ctx, batch) {
			l.close()
			return
		}
	}
}

// nextBatch removes the writes of the next transaction from the queue and returns them.
func (l *Log) nextBatch() []Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for n < len(l.queue) && n < maxBatchEntries && (n == 0 || size < maxBatchBytes) {
		size += len(l.queue[n].Value)
		n++
	}
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.isCommitting = n > 0
	return batch
}

// close rejects the queued writes, which were never sent, and all later ones.
func (l *Log) close() {
	l.mu.Lock()
	unsent := l.queue
	l.queue = nil
	l.isClosed = true
	l.isCommitting = false
	l.mu.Unlock()
	complete(unsent, NotStored)
}

func complete(writes []Write, outcome Fate) {
	for _, w := range writes {
		if w.Done != nil {
			w.Done(outcome)
		}
	}
}

// commit retries one transaction until its outcome is certain. It returns false if another
// owner has taken over the pool or ctx is done.
func (l *Log) commit(ctx context.Context, batch []Write) bool {
	l.sequence++
	token := fmt.Sprintf("%d.%d", l.chain.OwnerRevision, l.sequence)
	backoff := minBackoff
	mayBeStored := false
	for {
		sent := l.clock.Now()
		r := l.store.Transact(ctx, l.transaction(batch, token))
		switch r.Outcome {
		case bwkv.Committed:
			l.finishCommit(batch, r.Revision)
			return true
		case bwkv.Conflict:
			if s := r.ItemOf(l.chain.SequenceKey); string(s.Value) == token {
				l.finishCommit(batch, s.Revision)
				return true
			}
			l.handleConflict(r, batch, mayBeStored)
			return false
		case bwkv.Unanswered:
			mayBeStored = true
		}
		if ctx.Err() == nil {
			l.markFailing(sent, r.Outcome)
		}
		if !mayBeStored && l.IsFailing(l.clock.Now()) {
			batch = rejectWrites(batch)
		}
		if !bwclock.Sleep(ctx, backoff) {
			complete(batch, failureOutcome(mayBeStored))
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Log) transaction(batch []Write, token string) bwkv.Transaction {
	t := bwkv.Transaction{
		Expected: []bwkv.Expectation{
			{Key: l.chain.OwnerKey, Revision: l.chain.OwnerRevision},
			{Key: l.chain.SequenceKey, Revision: l.chain.SequenceRevision},
		},
		Set: []bwkv.Write{{Key: l.chain.SequenceKey, Value: []byte(token)}},
	}
	for _, w := range batch {
		if w.IsRemoval {
			t.Remove = append(t.Remove, w.Key)
		} else {
			t.Set = append(t.Set, bwkv.Write{Key: w.Key, Value: w.Value})
		}
	}
	return t
}

// rejectWrites rejects the writes that allow it and returns the others.
func rejectWrites(batch []Write) []Write {
	var remaining []Write
	for _, w := range batch {
		if w.CanRefuse {
			complete([]Write{w}, NotStored)
		} else {
			remaining = append(remaining, w)
		}
	}
	return remaining
}

func (l *Log) finishCommit(batch []Write, revision int64) {
	l.mu.Lock()
	failingSince := l.failingSince
	l.chain.SequenceRevision = revision
	l.failingSince = bwclock.Never
	l.isCommitting = false
	l.mu.Unlock()
	if failingSince != bwclock.Never {
		l.log.Info("store takes writes again", "owner", l.chain.OwnerKey, "after", l.clock.Now().Sub(failingSince).String())
	}
	complete(batch, Stored)
}

func (l *Log) markFailing(sent bwclock.Time, outcome bwkv.Outcome) {
	l.mu.Lock()
	isFirst := l.failingSince == bwclock.Never
	if isFirst {
		l.failingSince = sent
	}
	l.mu.Unlock()
	if isFirst {
		l.log.Warn("store does not take writes", "owner", l.chain.OwnerKey, "outcome", outcome.String())
	}
}

// handleConflict completes the batch and reports the loss of the pool after a conflict.
func (l *Log) handleConflict(r bwkv.Result, batch []Write, mayBeStored bool) {
	owner := r.ItemOf(l.chain.OwnerKey)
	l.log.Warn("pool has another owner", "owner", l.chain.OwnerKey, "expectedRevision", l.chain.OwnerRevision, "revision", owner.Revision)
	complete(batch, failureOutcome(mayBeStored))
	l.onLost("conflict")
}

func failureOutcome(mayBeStored bool) Fate {
	if mayBeStored {
		return Unknown
	}
	return NotStored
}
