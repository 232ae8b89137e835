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
	// RingSlots is the number of store keys that a shard's log cycles through.
	RingSlots = 32
	// CheckpointEvery is the number of batches between checkpoints. It leaves at least
	// one whole checkpoint in the ring at any time.
	CheckpointEvery = 12
	// MaxRecords bounds the keys of a shard, so that a checkpoint fits into one value.
	MaxRecords = 3000
	// MaxShardBytes bounds the encoded state of a shard for the same reason.
	MaxShardBytes = 600 << 10
	// MaxKeptBody is the largest answer that is kept for a repeated request.
	MaxKeptBody = 4 << 10
	// MaxBytesForBodies is the state size above which answers are no longer kept.
	MaxBytesForBodies = MaxShardBytes / 2
)

// ShardOf returns the shard of an idempotency key.
func ShardOf(key string) int {
	return int(xxhash.Sum64String(key) % ShardCount)
}

// Prefix returns the store prefix of a shard's log.
func Prefix(shard int) string {
	return fmt.Sprintf("claims/%02d/", shard)
}

// SlotKey returns the store key that the batch with the sequence number goes to.
func SlotKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%02d", Prefix(shard), sequence%RingSlots)
}

// Decision is the answer to a claim.
type Decision int

// The decisions about a claim.
const (
	// Grant means that the claim may be written to the log.
	Grant Decision = iota
	// SameHolder means that the attempt holds the key already.
	SameHolder
	// Held means that another attempt holds the key.
	Held
	// Settled means that the key has a recorded outcome.
	Settled
	// Full means that the shard has no room.
	Full
)

// Shard is the state of one shard's log. It is a plain value; Owner executes its
// decisions. The zero value is an empty log.
type Shard struct {
	records         map[string]*Record
	sequence        int64
	slots           map[int64]int64
	bytes           int
	sinceCheckpoint int
}

// Sequence returns the number of the last batch.
func (s *Shard) Sequence() int64 { return s.sequence }

// Len returns the number of keys.
func (s *Shard) Len() int { return len(s.records) }

// Record returns the record of a key that has not expired, or nil.
func (s *Shard) Record(key string, now bwclock.Time) *Record {
	r, ok := s.records[key]
	if !ok || r.GetExpiresMillis() <= now.Millis() {
		return nil
	}
	return r
}

// Decide answers a claim by attempt for key without changing the state.
func (s *Shard) Decide(key, attempt string, now bwclock.Time) Decision {
	r := s.Record(key, now)
	switch {
	case r == nil && (len(s.records) >= MaxRecords || s.bytes >= MaxShardBytes):
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

// NextBatch returns the batch that would append records to the log. Every few batches
// it is a checkpoint, which holds the whole state including records.
func (s *Shard) NextBatch(owner string, records []*Record, now bwclock.Time) *Batch {
	b := &Batch{Sequence: s.sequence + 1, Owner: owner, Records: records}
	if s.sinceCheckpoint+1 < CheckpointEvery && s.sequence > 0 {
		return b
	}
	after := s.copyLive(now)
	for _, r := range records {
		after.applyRecord(r)
	}
	b.Checkpoint = true
	b.Records = after.sorted()
	return b
}

// ExpectedRevision returns the revision that the slot of the next batch must have.
func (s *Shard) ExpectedRevision() int64 {
	return s.slots[(s.sequence+1)%RingSlots]
}

// Apply appends a batch that stands in the store at revision.
func (s *Shard) Apply(b *Batch, revision int64) {
	if s.slots == nil {
		s.slots = make(map[int64]int64)
	}
	s.sequence = b.GetSequence()
	s.slots[b.GetSequence()%RingSlots] = revision
	s.sinceCheckpoint++
	if b.GetCheckpoint() {
		s.records = nil
		s.bytes = 0
		s.sinceCheckpoint = 0
	}
	for _, r := range b.GetRecords() {
		s.applyRecord(r)
	}
}

// applyRecord changes one key. A record of another attempt than the holder's changes
// nothing unless the key is free.
func (s *Shard) applyRecord(r *Record) {
	if s.records == nil {
		s.records = make(map[string]*Record)
	}
	old, ok := s.records[r.GetKey()]
	isHolder := ok && old.GetAttempt() == r.GetAttempt()
	switch {
	case r.GetState() == State_released && isHolder && old.GetState() == State_claimed:
		s.bytes -= proto.Size(old)
		delete(s.records, r.GetKey())
		return
	case r.GetState() == State_released:
		return
	case ok && !isHolder && old.GetExpiresMillis() > r.GetAtMillis():
		return
	case ok:
		s.bytes -= proto.Size(old)
	}
	s.records[r.GetKey()] = r
	s.bytes += proto.Size(r)
}

// copyLive returns a copy without the expired keys.
func (s *Shard) copyLive(now bwclock.Time) *Shard {
	c := &Shard{records: make(map[string]*Record, len(s.records))}
	for key, r := range s.records {
		if r.GetExpiresMillis() > now.Millis() {
			c.records[key] = r
		}
	}
	return c
}

func (s *Shard) sorted() []*Record {
	list := make([]*Record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetKey() < list[j].GetKey() })
	return list
}

// StoredBatch is a batch as the store holds it.
type StoredBatch struct {
	batch    *Batch
	revision int64
}

// NewStoredBatch returns a batch that stands in the store at revision.
func NewStoredBatch(b *Batch, revision int64) StoredBatch {
	return StoredBatch{batch: b, revision: revision}
}

// Replay builds the state of a shard from the content of its ring, in any order.
func Replay(stored []StoredBatch) *Shard {
	s := &Shard{slots: make(map[int64]int64)}
	sort.Slice(stored, func(i, j int) bool {
		return stored[i].batch.GetSequence() < stored[j].batch.GetSequence()
	})
	first := 0
	for i, b := range stored {
		s.slots[b.batch.GetSequence()%RingSlots] = b.revision
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
