package bwclaim

import (
	"fmt"
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

const (
	// ShardCount is the number of claim shards.
	ShardCount = 16
	// RingSlots is the number of store keys in the ring buffer of a shard's log.
	RingSlots = 32
	// CheckpointInterval is the number of batches from one checkpoint to the next. It is
	// small enough that the ring always contains at least one complete checkpoint.
	CheckpointInterval = 12
	// MaxRecords bounds the keys of a shard so that a checkpoint fits into one store value.
	MaxRecords = 3000
	// MaxShardBytes bounds the encoded state of a shard for the same reason.
	MaxShardBytes = 600 << 10
	// MaxStoredBodyBytes is the size of the largest response body that is stored for replay
	// to a repeated request.
	MaxStoredBodyBytes = 4 << 10
	// BodyStorageThresholdBytes is the encoded state size above which no further response
	// bodies are stored.
	BodyStorageThresholdBytes = MaxShardBytes / 2
)

// ShardOf returns the shard of an idempotency key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// LogPrefix returns the key prefix of a shard's log in the store.
func LogPrefix(shard int) string {
	return fmt.Sprintf("claims/%02d/", shard)
}

// SlotKey returns the store key of the slot for the batch with the given sequence number.
func SlotKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%02d", LogPrefix(shard), sequence%RingSlots)
}

// Decision is a shard's decision on a claim.
type Decision int

// The values of Decision.
const (
	// Grant means that the claim may be written to the log.
	Grant Decision = iota
	// SameHolder means that the attempt already holds the key.
	SameHolder
	// Held means that another attempt holds the key.
	Held
	// Settled means that the key has a recorded outcome.
	Settled
	// Full means that the shard has reached MaxRecords or MaxShardBytes.
	Full
)

// Shard is the state of one shard's log. It does no I/O; Owner executes its decisions.
// The zero value is an empty log.
type Shard struct {
	records                map[string]*Record
	sequence               int64
	slotRevisions          map[int64]int64
	encodedBytes           int
	batchesSinceCheckpoint int
}

// Sequence returns the sequence number of the last applied batch.
func (s *Shard) Sequence() int64 { return s.sequence }

// Len returns the number of keys, expired ones included.
func (s *Shard) Len() int { return len(s.records) }

// Record returns the record of key, or nil if there is none or it has expired.
func (s *Shard) Record(key string, now bwclock.Time) *Record {
	r, ok := s.records[key]
	if !ok || r.GetExpiresMillis() <= now.Millis() {
		return nil
	}
	return r
}

// Decide decides on the claim of attempt on key. It does not change the state.
func (s *Shard) Decide(key, attempt string, now bwclock.Time) Decision {
	r := s.Record(key, now)
	switch {
	case r == nil && (len(s.records) >= MaxRecords || s.encodedBytes >= MaxShardBytes):
		return Full
	case r == nil:
		return Grant
	case r.GetState() == State_settled:
		return Settled
	case r.GetAttempt() == attempt:
		return SameHolder
	}
	return Held
}

// NextBatch returns the batch that appends records to the log. The first batch, and one
// in every CheckpointInterval, is a checkpoint that contains the whole state including
// records.
func (s *Shard) NextBatch(owner string, records []*Record, now bwclock.Time) *Batch {
	b := &Batch{Sequence: s.sequence + 1, Owner: owner, Records: records}
	if s.batchesSinceCheckpoint+1 < CheckpointInterval && s.sequence > 0 {
		return b
	}
	next := s.copyUnexpired(now)
	for _, r := range records {
		next.applyRecord(r)
	}
	b.Checkpoint = true
	b.Records = next.sortedRecords()
	return b
}

// ExpectedRevision returns the revision to expect when the next batch is written to its
// slot by compare-and-swap.
func (s *Shard) ExpectedRevision() int64 {
	return s.slotRevisions[(s.sequence+1)%RingSlots]
}

// Apply applies a batch that is stored at revision.
func (s *Shard) Apply(b *Batch, revision int64) {
	if s.slotRevisions == nil {
		s.slotRevisions = make(map[int64]int64)
	}
	s.sequence = b.GetSequence()
	s.slotRevisions[b.GetSequence()%RingSlots] = revision
	s.batchesSinceCheckpoint++
	if b.GetCheckpoint() {
		s.records = nil
		s.encodedBytes = 0
		s.batchesSinceCheckpoint = 0
	}
	for _, r := range b.GetRecords() {
		s.applyRecord(r)
	}
}

// applyRecord applies the record of one key. While an attempt holds the key, records of
// other attempts are ignored.
func (s *Shard) applyRecord(r *Record) {
	if s.records == nil {
		s.records = make(map[string]*Record)
	}
	old, ok := s.records[r.GetKey()]
	isHolder := ok && old.GetAttempt() == r.GetAttempt()
	switch {
	case r.GetState() == State_released && isHolder && old.GetState() == State_claimed:
		s.encodedBytes -= proto.Size(old)
		delete(s.records, r.GetKey())
		return
	case r.GetState() == State_released:
		return
	case ok && !isHolder && old.GetExpiresMillis() > r.GetAtMillis():
		return
	case ok:
		s.encodedBytes -= proto.Size(old)
	}
	s.records[r.GetKey()] = r
	s.encodedBytes += proto.Size(r)
}

// copyUnexpired returns a copy of the records without expired keys.
func (s *Shard) copyUnexpired(now bwclock.Time) *Shard {
	c := &Shard{records: make(map[string]*Record, len(s.records))}
	for key, r := range s.records {
		if r.GetExpiresMillis() > now.Millis() {
			c.records[key] = r
		}
	}
	return c
}

func (s *Shard) sortedRecords() []*Record {
	list := make([]*Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetKey() < list[j].GetKey() })
	return list
}

// StoredBatch is a batch with its revision in the store.
type StoredBatch struct {
	batch    *Batch
	revision int64
}

// NewStoredBatch returns a batch that is stored at revision.
func NewStoredBatch(b *Batch, revision int64) StoredBatch {
	return StoredBatch{batch: b, revision: revision}
}

// Replay rebuilds the state of a shard from the batches in its ring, given in any order.
func Replay(stored []StoredBatch) *Shard {
	s := &Shard{slotRevisions: make(map[int64]int64)}
	sort.Slice(stored, func(i, j int) bool {
		return stored[i].batch.GetSequence() < stored[j].batch.GetSequence()
	})
	first := 0
	for i, b := range stored {
		s.slotRevisions[b.batch.GetSequence()%RingSlots] = b.revision
		if b.batch.GetCheckpoint() {
			first = i
		}
	}
	for _, b := range stored[first:] {
		s.Apply(b.batch, b.revision)
	}
	return s
}

// NewRecord returns the record of a claim.
func NewRecord(key, attempt, claimant, requestID string, now bwclock.Time, window time.Duration) *Record {
	return &Record{
		Key:           key,
		State:         State_claimed,
		Attempt:       attempt,
		Claimant:      claimant,
		RequestId:     requestID,
		AtMillis:      now.Millis(),
		ExpiresMillis: now.Add(window).Millis(),
	}
}
