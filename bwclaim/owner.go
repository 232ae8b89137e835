// Package bwclaim guarantees at-most-once execution of non-idempotent requests.
//
// Each idempotency key maps to a shard, and each shard has a log in the store. An
// attempt may dispatch its request only after its claim on the key is committed to the
// log. The log is a ring buffer of store keys: batch n is written to slot n modulo
// RingSlots by compare-and-swap against the revision of the slot's previous batch. A
// writer of batch n has therefore read every earlier batch, and an owner that was
// paused or replaced cannot write. Safety needs no lease. Keys are never deleted,
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
	gatherTime     = 5 * time.Millisecond
	settleDelay    = 500 * time.Millisecond
	commitTimeout  = 1500 * time.Millisecond
	storeDownPause = 300 * time.Millisecond
	// probeTimeout replaces commitTimeout for the first commits after a failed one, until a
	// commit succeeds.
	probeTimeout = 400 * time.Millisecond
	maxBatchOps  = 500
	commitTries  = 3
	queueLength  = 1024
)

// store is the part of the key-value client that an Owner uses.
type store interface {
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
	Put(ctx context.Context, class bwstore.Class, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
}

// Answer is the result of a claim or a settlement.
type Answer struct {
	verdict Verdict
	record  *Record
}

// NewAnswer returns a result that was reported by another process.
func NewAnswer(v Verdict, r *Record) Answer { return Answer{verdict: v, record: r} }

func (a Answer) Verdict() Verdict { return a.verdict }

// Record returns the existing record of the key, or nil if there is none.
func (a Answer) Record() *Record { return a.record }

// Verdict is the status of a claim or a settlement.
type Verdict int

// The values of Verdict.
const (
	// Unavailable means that the log could not be read or written and that the record was
	// not committed.
	Unavailable Verdict = iota
	// Doubted means that the record may or may not be committed.
	Doubted
	// Granted means that the attempt's claim is committed.
	Granted
	// HeldByOther means that another attempt holds the key.
	HeldByOther
	// Recorded means that an outcome of the key is committed.
	Recorded
	// NoRoom means that the shard is full.
	NoRoom
	// Noted means that the settlement is committed.
	Noted
)

// String returns the verdict in lower camel case.
func (v Verdict) String() string {
	names := [...]string{"unavailable", "doubted", "granted", "heldByOther", "recorded", "noRoom", "noted"}
	return names[v]
}

// Owner commits claims and settlements to the logs of any shards. It is safe for
// concurrent use.
type Owner struct {
	store store
	name  string
	clock bwclock.Clock
	log   hclog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu     sync.Mutex
	shards map[int]chan operation
}

// operation is a claim or settlement that waits to be committed.
type operation struct {
	record *Record
	window time.Duration
	answer chan Answer
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
		shards: make(map[int]chan operation),
	}
}

// Claim claims the record's key for its attempt. The claim expires after window.
func (o *Owner) Claim(ctx context.Context, r *Record, window time.Duration) Answer {
	return o.submit(ctx, operation{record: r, window: window, answer: make(chan Answer, 1)})
}

// Settle commits the outcome of an attempt or the release of its key.
func (o *Owner) Settle(ctx context.Context, r *Record) Answer {
	return o.submit(ctx, operation{record: r, answer: make(chan Answer, 1)})
}

// Close stops the owner and waits for its goroutines.
func (o *Owner) Close() {
	o.cancel()
	o.group.Wait()
}

func (o *Owner) submit(ctx context.Context, op operation) Answer {
	select {
	case o.lane(ShardOf(op.record.GetKey())) <- op:
	case <-ctx.Done():
		return Answer{}
	case <-o.ctx.Done():
		return Answer{}
	}
	select {
	case a := <-op.answer:
		return a
	case <-ctx.Done():
		return Answer{verdict: Doubted}
	case <-o.ctx.Done():
		return Answer{verdict: Doubted}
	}
}

// lane returns the queue of a shard and starts its goroutine on first use.
func (o *Owner) lane(shard int) chan<- operation {
	o.mu.Lock()
	defer o.mu.Unlock()
	ops, ok := o.shards[shard]
	if !ok {
		ops = make(chan operation, queueLength)
		o.shards[shard] = ops
		l := &lane{owner: o, shard: shard, ops: ops}
		o.group.Go(func() { l.run(o.ctx) })
	}
	return ops
}

// lane commits the operations of one shard, one batch at a time. After a failed commit
// it fails operations without calling the store until downUntil.
type lane struct {
	owner     *Owner
	shard     int
	ops       <-chan operation
	state     *Shard
	downUntil bwclock.Time
}

func (l *lane) run(ctx context.Context) {
	for {
		batch, ok := l.gather(ctx)
		if !ok {
			return
		}
		l.commit(ctx, batch)
	}
}

// gather waits for the first operation and collects those that follow within
// gatherTime. A batch of outcomes only is collected for settleDelay, because no caller
// is blocked on an outcome.
func (l *lane) gather(ctx context.Context) ([]operation, bool) {
	var batch []operation
	select {
	case <-ctx.Done():
		return nil, false
	case op := <-l.ops:
		batch = append(batch, op)
	}
	timer := time.NewTimer(delayFor(batch[0]))
	defer timer.Stop()
	for len(batch) < maxBatchOps {
		select {
		case <-ctx.Done():
			return nil, false
		case op := <-l.ops:
			if isUrgent(op) && !isUrgent(batch[0]) {
				timer.Reset(gatherTime)
			}
			batch = append(batch, op)
		case <-timer.C:
			return batch, true
		}
	}
	return batch, true
}

func isClaim(op operation) bool { return op.record.GetState() == State_claimed }

// isUrgent reports whether an attempt is blocked on the operation: on its claim, or on
// the release of a key that the next attempt needs.
func isUrgent(op operation) bool { return op.record.GetState() != State_settled }

func delayFor(op operation) time.Duration {
	if isUrgent(op) {
		return gatherTime
	}
	return settleDelay
}

// commit decides on the operations and writes their records. If another owner has
// written to the log in the meantime, it reloads the log and decides again.
func (l *lane) commit(ctx context.Context, batch []operation) {
	if l.owner.clock.Now() < l.downUntil {
		reply(batch, Answer{})
		return
	}
	timeout := commitTimeout
	if l.downUntil != bwclock.Never {
		timeout = probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failure := Answer{}
	for range commitTries {
		if !l.load(ctx) {
			break
		}
		answers, records := l.decide(batch)
		status := l.write(ctx, records)
		if status == bwstore.Written {
			l.downUntil = bwclock.Never
			for i, op := range batch {
				op.answer <- answers[i]
			}
			return
		}
		l.state = nil
		if status == bwstore.Doubtful {
			failure.verdict = Doubted
		}
		if status != bwstore.Conflict {
			break
		}
	}
	l.downUntil = l.owner.clock.Now().Add(storeDownPause)
	reply(batch, failure)
}

func reply(batch []operation, a Answer) {
	for _, op := range batch {
		op.answer <- a
	}
}

// load reads the shard's log unless its state is cached.
func (l *lane) load(ctx context.Context) bool {
	if l.state != nil {
		return true
	}
	listing, err := l.owner.store.List(ctx, Prefix(l.shard))
	if err != nil {
		l.owner.log.Warn("failed to read claim log", "shard", l.shard, "error", err)
		return false
	}
	stored := make([]StoredBatch, 0, len(listing.Entries()))
	for _, e := range listing.Entries() {
		b := new(Batch)
		if err := bwcodec.Unpack(e.Value(), b); err != nil {
			l.owner.log.Error("claim log contains an invalid batch", "key", e.Key(), "error", err)
			return false
		}
		stored = append(stored, NewStoredBatch(b, e.Revision()))
	}
	l.state = Replay(stored)
	return true
}

// decide decides on each operation as if the preceding ones were committed. It returns
// the results and the records to commit.
func (l *lane) decide(batch []operation) ([]Answer, []*Record) {
	now := l.owner.clock.Now()
	answers := make([]Answer, len(batch))
	var records []*Record
	inBatch := make(map[string]*Record)
	for i, op := range batch {
		if !isClaim(op) {
			// A release is written even if the key has no record: its batch occupies the slot
			// that any earlier in-flight batch would be written to.
			records = append(records, l.trim(op.record))
			answers[i] = Answer{verdict: Noted}
			continue
		}
		if held := inBatch[op.record.GetKey()]; held != nil {
			answers[i] = answerHeld(held, op.record)
			continue
		}
		answers[i] = l.decideClaim(op, now)
		if answers[i].verdict == Granted && answers[i].record == nil {
			op.record.AtMillis = now.Millis()
			op.record.ExpiresMillis = now.Add(op.window).Millis()
			inBatch[op.record.GetKey()] = op.record
			records = append(records, op.record)
		}
	}
	return answers, records
}

func answerHeld(held, wanted *Record) Answer {
	if held.GetAttempt() == wanted.GetAttempt() {
		return Answer{verdict: Granted, record: held}
	}
	return Answer{verdict: HeldByOther, record: held}
}

func (l *lane) decideClaim(op operation, now bwclock.Time) Answer {
	key := op.record.GetKey()
	switch l.state.Decide(key, op.record.GetAttempt(), now) {
	case Grant:
		return Answer{verdict: Granted}
	case SameHolder:
		return Answer{verdict: Granted, record: l.state.Record(key, now)}
	case Settled:
		return Answer{verdict: Recorded, record: l.state.Record(key, now)}
	case Full:
		return Answer{verdict: NoRoom}
	}
	return Answer{verdict: HeldByOther, record: l.state.Record(key, now)}
}

// trim drops the body of an outcome if it, or the shard's state, is too large to store it.
func (l *lane) trim(r *Record) *Record {
	isSmall := len(r.GetOutcome().GetBody()) <= MaxKeptBody && l.state.bytes <= MaxBytesForBodies
	r.BodyKept = r.GetOutcome().GetKind() == bwoutcome.Kind_ran && isSmall
	if r.GetOutcome() != nil && !isSmall {
		r.Outcome.Body = nil
	}
	return r
}

// write commits the records as the next batch.
func (l *lane) write(ctx context.Context, records []*Record) bwstore.WriteStatus {
	if len(records) == 0 {
		return bwstore.Written
	}
	b := l.state.NextBatch(l.owner.name, records, l.owner.clock.Now())
	value, err := bwcodec.Pack(b)
	if err != nil {
		return bwstore.NotWritten
	}
	key := SlotKey(l.shard, b.GetSequence())
	r := l.owner.store.Put(ctx, bwstore.ClassClaims, key, value, l.state.ExpectedRevision(), bwstore.NoLease)
	if r.Status() == bwstore.Written {
		l.state.Apply(b, r.Revision())
	}
	return r.Status()
}
