// Package bwclaim guarantees at-most-once execution of non-idempotent requests.
//
// Each idempotency key maps to a shard, and each shard has a log in the store. An
// attempt may dispatch its request only after its claim on the key is committed to the
// log. The log is a ring buffer of store keys: batch n is written to slot n modulo
// RingSlots by compare-and-swap against the revision of the slot's previous batch. A
// writer of batch n has therefore read every earlier batch, and an owner that was
// paused or replaced cannot write. Safety needs no lease. Store keys are never deleted,
// because a paused owner could recreate a deleted key.
//
// Shard holds the state of one shard and decides on claims. Owner executes the
// decisions: it collects claims and outcomes for a short time and commits them as one
// batch.
package bwclaim

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
)

const (
	claimBatchDelay      = 5 * time.Millisecond
	outcomeBatchDelay    = 500 * time.Millisecond
	commitTimeout        = 1500 * time.Millisecond
	commitFailureBackoff = 300 * time.Millisecond
	// probeTimeout replaces commitTimeout after a failed commit until a commit succeeds.
	probeTimeout       = 400 * time.Millisecond
	maxBatchOperations = 500
	commitTries        = 3
	shardQueueLength   = 1024
)

// store is the part of the key-value client that an Owner uses.
type store interface {
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
	Put(ctx context.Context, class bwstore.WriteClass, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
}

// Result is the verdict on a claim or a settlement, with the key's existing record if
// there is one.
type Result struct {
	verdict Verdict
	record  *Record
}

// NewResult returns a result that was reported by another process.
func NewResult(v Verdict, r *Record) Result { return Result{verdict: v, record: r} }

// Verdict returns the status of the claim or settlement.
func (r Result) Verdict() Verdict { return r.verdict }

// Record returns the existing record of the key, or nil if there is none.
func (r Result) Record() *Record { return r.record }

// Verdict is the status of a claim or a settlement. Its values are those of
// bwpeer.Verdict.
type Verdict int

// The values of Verdict.
const (
	// Unavailable means that the log could not be read or written and that the record was
	// not committed.
	Unavailable Verdict = iota
	// Uncertain means that the record may or may not be committed.
	Uncertain
	// Granted means that the attempt's claim is committed.
	Granted
	// HeldByOther means that another attempt holds the key.
	HeldByOther
	// Recorded means that an outcome of the key is committed.
	Recorded
	// ShardFull means that the shard has reached MaxRecords or MaxShardBytes.
	ShardFull
	// Committed means that the settlement is committed.
	Committed
)

// String returns the verdict in lower camel case.
func (v Verdict) String() string {
	names := [...]string{"unavailable", "doubted", "granted", "heldByOther", "recorded", "noRoom", "noted"}
	return names[v]
}

// Owner commits claims and settlements to the log of the shard of each key. It is safe
// for concurrent use.
type Owner struct {
	store store
	name  string
	clock bwclock.Clock
	log   hclog.Logger

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu     sync.Mutex
	queues map[int]chan operation
}

// operation is a claim or settlement that waits to be committed.
type operation struct {
	record   *Record
	window   time.Duration
	resultCh chan Result
}

// NewOwner returns an owner that records name as the owner of its batches.
func NewOwner(s store, name string, c bwclock.Clock, log hclog.Logger) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		store:  s,
		name:   name,
		clock:  c,
		log:    log,
		ctx:    ctx,
		cancel: cancel,
		queues: make(map[int]chan operation),
	}
}

// Claim claims the record's key for its attempt. The claim expires after window.
func (o *Owner) Claim(ctx context.Context, r *Record, window time.Duration) Result {
	return o.submit(ctx, operation{record: r, window: window, resultCh: make(chan Result, 1)})
}

// Settle commits the outcome of an attempt or the release of its key.
func (o *Owner) Settle(ctx context.Context, r *Record) Result {
	return o.submit(ctx, operation{record: r, resultCh: make(chan Result, 1)})
}

// Close stops the owner and waits for its goroutines.
func (o *Owner) Close() {
	o.cancel()
	o.workers.Wait()
}

func (o *Owner) submit(ctx context.Context, op operation) Result {
	select {
	case o.shardQueue(ShardOf(op.record.GetKey())) <- op:
	case <-ctx.Done():
		return Result{}
	case <-o.ctx.Done():
		return Result{}
	}
	select {
	case r := <-op.resultCh:
		return r
	case <-ctx.Done():
		return Result{verdict: Uncertain}
	case <-o.ctx.Done():
		return Result{verdict: Uncertain}
	}
}

// shardQueue returns the queue of a shard and starts its goroutine on first use.
func (o *Owner) shardQueue(shard int) chan<- operation {
	o.mu.Lock()
	defer o.mu.Unlock()
	ops, ok := o.queues[shard]
	if !ok {
		ops = make(chan operation, shardQueueLength)
		o.queues[shard] = ops
		w := &shardWorker{owner: o, shard: shard, queue: ops}
		o.workers.Go(func() { w.run(o.ctx) })
	}
	return ops
}

// shardWorker commits the operations of one shard, one batch at a time. After a failed
// commit it fails operations without calling the store until retryAt.
type shardWorker struct {
	owner   *Owner
	shard   int
	queue   <-chan operation
	state   *Shard
	retryAt bwclock.Time
}

func (w *shardWorker) run(ctx context.Context) {
	for {
		batch, ok := w.collectBatch(ctx)
		if !ok {
			return
		}
		w.commit(ctx, batch)
	}
}

// collectBatch waits for the first operation and collects those that follow within
// claimBatchDelay. A batch of outcomes only is collected for outcomeBatchDelay, because
// no caller is blocked on an outcome.
func (w *shardWorker) collectBatch(ctx context.Context) ([]operation, bool) {
	var batch []operation
	select {
	case <-ctx.Done():
		return nil, false
	case op := <-w.queue:
		batch = append(batch, op)
	}
	timer := time.NewTimer(batchDelay(batch[0]))
	defer timer.Stop()
	for len(batch) < maxBatchOperations {
		select {
		case <-ctx.Done():
			return nil, false
		case op := <-w.queue:
			if isBlockingAttempt(op) && !isBlockingAttempt(batch[0]) {
				timer.Reset(claimBatchDelay)
			}
			batch = append(batch, op)
		case <-timer.C:
			return batch, true
		}
	}
	return batch, true
}

func isClaim(op operation) bool { return op.record.GetState() == State_claimed }

// isBlockingAttempt reports whether an attempt is blocked on the operation: on its claim,
// or on the release of a key that the next attempt needs.
func isBlockingAttempt(op operation) bool { return op.record.GetState() != State_settled }

func batchDelay(op operation) time.Duration {
	if isBlockingAttempt(op) {
		return claimBatchDelay
	}
	return outcomeBatchDelay
}

// commit decides on the operations and writes their records. If another owner has
// written to the log in the meantime, it reloads the log and decides again.
func (w *shardWorker) commit(ctx context.Context, batch []operation) {
	if w.owner.clock.Now() < w.retryAt {
		sendResult(batch, Result{})
		return
	}
	timeout := commitTimeout
	if w.retryAt != bwclock.Never {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failureResult := Result{}
	for range commitTries {
		if !w.load(ctx) {
			break
		}
		results, records := w.decideBatch(batch)
		status := w.write(ctx, records)
		if status == bwstore.Written {
			w.retryAt = bwclock.Never
			for i, op := range batch {
				op.resultCh <- results[i]
			}
			return
		}
		w.state = nil
		if status == bwstore.Uncertain {
			failureResult.verdict = Uncertain
		}
		if status != bwstore.Conflict {
			break
		}
	}
	w.retryAt = w.owner.clock.Now().Add(commitFailureBackoff)
	sendResult(batch, failureResult)
}

func sendResult(batch []operation, r Result) {
	for _, op := range batch {
		op.resultCh <- r
	}
}

// load reads the shard's log unless its state is cached.
func (w *shardWorker) load(ctx context.Context) bool {
	if w.state != nil {
		return true
	}
	listing, err := w.owner.store.List(ctx, LogPrefix(w.shard))
	if err != nil {
		w.owner.log.Warn("failed to read claim log", "shard", w.shard, "error", err)
		return false
	}
	stored := make([]StoredBatch, 0, len(listing.Entries()))
	for _, e := range listing.Entries() {
		b := new(Batch)
		if err := bwcodec.UnmarshalBinary(e.Value(), b); err != nil {
			w.owner.log.Error("claim log contains an invalid batch", "key", e.Key(), "error", err)
			return false
		}
		stored = append(stored, NewStoredBatch(b, e.Revision()))
	}
	w.state = Replay(stored)
	return true
}

// decideBatch decides on each operation as if the preceding ones were committed. It
// returns the results and the records to commit.
func (w *shardWorker) decideBatch(batch []operation) ([]Result, []*Record) {
	now := w.owner.clock.Now()
	results := make([]Result, len(batch))
	var records []*Record
	claimedInBatch := make(map[string]*Record)
	for i, op := range batch {
		if !isClaim(op) {
			// A release is written even if the key has no record: its batch occupies the slot
			// that any earlier in-flight batch would be written to.
			records = append(records, w.dropLargeBody(op.record))
			results[i] = Result{verdict: Committed}
			continue
		}
		if existing := claimedInBatch[op.record.GetKey()]; existing != nil {
			results[i] = resultForHeldKey(existing, op.record)
			continue
		}
		results[i] = w.decideClaim(op, now)
		if results[i].verdict == Granted && results[i].record == nil {
			op.record.AtMillis = now.Millis()
			op.record.ExpiresMillis = now.Add(op.window).Millis()
			claimedInBatch[op.record.GetKey()] = op.record
			records = append(records, op.record)
		}
	}
	return results, records
}

func resultForHeldKey(existing, claim *Record) Result {
	if existing.GetAttempt() == claim.GetAttempt() {
		return Result{verdict: Granted, record: existing}
	}
	return Result{verdict: HeldByOther, record: existing}
}

func (w *shardWorker) decideClaim(op operation, now bwclock.Time) Result {
	key := op.record.GetKey()
	switch w.state.Decide(key, op.record.GetAttempt(), now) {
	case Grant:
		return Result{verdict: Granted}
	case SameHolder:
		return Result{verdict: Granted, record: w.state.Record(key, now)}
	case Settled:
		return Result{verdict: Recorded, record: w.state.Record(key, now)}
	case Full:
		return Result{verdict: ShardFull}
	}
	return Result{verdict: HeldByOther, record: w.state.Record(key, now)}
}

// dropLargeBody drops the body of an outcome if the body exceeds MaxStoredBodyBytes or
// the shard's state exceeds BodyStorageThresholdBytes.
func (w *shardWorker) dropLargeBody(r *Record) *Record {
	keepBody := len(r.GetOutcome().GetBody()) <= MaxStoredBodyBytes && w.state.encodedBytes <= BodyStorageThresholdBytes
	r.BodyKept = r.GetOutcome().GetKind() == bwoutcome.Kind_ran && keepBody
	if r.GetOutcome() != nil && !keepBody {
		r.Outcome.Body = nil
	}
	return r
}

// write commits the records as the next batch.
func (w *shardWorker) write(ctx context.Context, records []*Record) bwstore.WriteStatus {
	if len(records) == 0 {
		return bwstore.Written
	}
	b := w.state.NextBatch(w.owner.name, records, w.owner.clock.Now())
	value, err := bwcodec.MarshalBinary(b)
	if err != nil {
		return bwstore.NotWritten
	}
	key := SlotKey(w.shard, b.GetSequence())
	r := w.owner.store.Put(ctx, bwstore.ClassClaims, key, value, w.state.ExpectedRevision(), bwstore.NoLease)
	if r.Status() == bwstore.Written {
		w.state.Apply(b, r.Revision())
	}
	return r.Status()
}
