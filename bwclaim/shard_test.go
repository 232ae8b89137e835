package bwclaim_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testWindow = 10 * time.Second

// storeModel is a model of the store: one value and one revision for each slot.
type storeModel struct {
	slots     map[string]bwclaim.StoredBatch
	revisions map[string]int64
	revision  int64
}

func (s *storeModel) compareAndSwap(key string, b *bwclaim.Batch, expected int64) (int64, bool) {
	if s.revisions[key] != expected {
		return 0, false
	}
	s.revision++
	s.revisions[key] = s.revision
	s.slots[key] = bwclaim.NewStoredBatch(proto.CloneOf(b), s.revision)
	return s.revision, true
}

func (s *storeModel) replay() *bwclaim.Shard {
	var stored []bwclaim.StoredBatch
	for _, b := range s.slots {
		stored = append(stored, b)
	}
	return bwclaim.Replay(stored)
}

// pendingWrite is a batch that an owner, for example a paused one, has prepared but not
// sent yet.
type pendingWrite struct {
	owner    int
	batch    *bwclaim.Batch
	expected int64
	grants   []*bwclaim.Record
}

// claimMachine drives several owners of one shard, each with its own, possibly stale,
// state. The expected holder of each key is in holders.
type claimMachine struct {
	store    storeModel
	owners   []*bwclaim.Shard
	pending  []pendingWrite
	now      bwclock.Time
	attempts int
	holders  map[string]*bwclaim.Record
}

func newClaimMachine() *claimMachine {
	return &claimMachine{
		store:   storeModel{slots: make(map[string]bwclaim.StoredBatch), revisions: make(map[string]int64)},
		owners:  []*bwclaim.Shard{{}, {}, {}},
		now:     1_000_000,
		holders: make(map[string]*bwclaim.Record),
	}
}

func (m *claimMachine) drawOwner(t *rapid.T) int {
	return rapid.IntRange(0, len(m.owners)-1).Draw(t, "owner")
}

func (m *claimMachine) drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "key")
}

// Claim prepares a batch with a claim. The batch may be written much later.
func (m *claimMachine) Claim(t *rapid.T) {
	o, key := m.drawOwner(t), m.drawKey(t)
	m.attempts++
	attempt := fmt.Sprintf("a%d", m.attempts)
	if m.owners[o].Decide(key, attempt, m.now) != bwclaim.Grant {
		return
	}
	r := bwclaim.NewRecord(key, attempt, "entry", attempt, m.now, testWindow)
	m.prepareBatch(o, []*bwclaim.Record{r}, []*bwclaim.Record{r})
}

func (m *claimMachine) prepareBatch(o int, records, grants []*bwclaim.Record) {
	m.pending = append(m.pending, pendingWrite{
		owner:    o,
		batch:    m.owners[o].NextBatch(fmt.Sprint(o), records, m.now),
		expected: m.owners[o].ExpectedRevision(),
		grants:   grants,
	})
}

// Write sends one of the prepared batches, in any order.
func (m *claimMachine) Write(t *rapid.T) {
	if len(m.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pending)-1).Draw(t, "write")
	w := m.pending[i]
	m.pending = append(m.pending[:i], m.pending[i+1:]...)
	key := bwclaim.SlotKey(0, w.batch.GetSequence())
	revision, ok := m.store.compareAndSwap(key, w.batch, w.expected)
	if !ok {
		m.owners[w.owner] = m.store.replay()
		return
	}
	for _, g := range w.grants {
		m.recordGrant(t, g)
	}
	if m.owners[w.owner].Sequence()+1 == w.batch.GetSequence() {
		m.owners[w.owner].Apply(w.batch, revision)
	} else {
		m.owners[w.owner] = m.store.replay()
	}
}

// recordGrant checks the invariant that at most one attempt holds a key until its claim
// expires, and records the new holder.
func (m *claimMachine) recordGrant(t *rapid.T, g *bwclaim.Record) {
	old := m.holders[g.GetKey()]
	if old != nil && old.GetExpiresMillis() > g.GetAtMillis() {
		t.Fatalf("key %s granted to %s while %s holds it", g.GetKey(), g.GetAttempt(), old.GetAttempt())
	}
	m.holders[g.GetKey()] = g
}

// Settle commits the outcome of a holder, or the release of its key.
func (m *claimMachine) Settle(t *rapid.T) {
	key := m.drawKey(t)
	holder := m.holders[key]
	if holder == nil {
		return
	}
	o := m.drawOwner(t)
	r := proto.CloneOf(holder)
	r.AtMillis = m.now.Millis()
	r.State = bwclaim.State_settled
	r.Outcome = bwoutcome.Ran(200, "text/plain", []byte("done"))
	isRelease := rapid.Bool().Draw(t, "release")
	if isRelease {
		r.State = bwclaim.State_released
	}
	b := m.owners[o].NextBatch(fmt.Sprint(o), []*bwclaim.Record{r}, m.now)
	revision, ok := m.store.compareAndSwap(bwclaim.SlotKey(0, b.GetSequence()), b, m.owners[o].ExpectedRevision())
	if !ok {
		m.owners[o] = m.store.replay()
		return
	}
	m.owners[o].Apply(b, revision)
	if isRelease && holder.GetState() == bwclaim.State_claimed && m.owners[o].Record(key, m.now) == nil {
		delete(m.holders, key)
	}
}

// Restart replaces an owner by one that loads its state from the log.
func (m *claimMachine) Restart(t *rapid.T) { m.owners[m.drawOwner(t)] = m.store.replay() }

// Wait advances the clock. Several waits together can exceed testWindow.
func (m *claimMachine) Wait(t *rapid.T) {
	m.now += bwclock.Time(rapid.IntRange(1, 6000).Draw(t, "millis"))
}

// Check compares the state replayed from the log with the expected holders.
func (m *claimMachine) Check(t *rapid.T) {
	fresh := m.store.replay()
	for key, holder := range m.holders {
		if holder.GetExpiresMillis() <= m.now.Millis() {
			continue
		}
		r := fresh.Record(key, m.now)
		if r == nil || r.GetAttempt() != holder.GetAttempt() {
			t.Fatalf("the log lost the claim of %s by %s", key, holder.GetAttempt())
		}
	}
}

func TestClaimMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimMachine()
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.Claim, "write": m.Write, "settle": m.Settle, "restart": m.Restart, "wait": m.Wait, "": m.Check,
		})
	})
}

func TestRingKeepsCheckpoint(t *testing.T) {
	m := newClaimMachine()
	s := m.owners[0]
	for i := range 10 * bwclaim.RingSlots {
		key := fmt.Sprintf("key%d", i)
		r := bwclaim.NewRecord(key, "a", "entry", "r", m.now, time.Hour)
		b := s.NextBatch("0", []*bwclaim.Record{r}, m.now)
		revision, ok := m.store.compareAndSwap(bwclaim.SlotKey(0, b.GetSequence()), b, s.ExpectedRevision())
		assert.Assert(t, ok)
		s.Apply(b, revision)
	}
	assert.Equal(t, len(m.store.slots), bwclaim.RingSlots)
	assert.Equal(t, m.store.replay().Len(), 10*bwclaim.RingSlots)
}

func TestFullShardRefuses(t *testing.T) {
	s := &bwclaim.Shard{}
	now := bwclock.Time(1000)
	var records []*bwclaim.Record
	for i := range bwclaim.MaxRecords {
		records = append(records, bwclaim.NewRecord(fmt.Sprintf("key%d", i), "a", "entry", "r", now, time.Minute))
	}
	s.Apply(s.NextBatch("0", records, now), 1)
	assert.Equal(t, s.Decide("another", "b", now), bwclaim.Full)
	assert.Equal(t, s.Decide("key1", "a", now), bwclaim.SameHolder)
}
