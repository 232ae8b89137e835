package bwconfig_test

import (
	"fmt"
	"testing"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwstore"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// replicaMachine updates several replicas from one history of writes by list, watch and
// pull replies, in any order and with delayed delivery. The replicas are checked against
// the history.
type replicaMachine struct {
	history        []bwstore.Entry
	replicas       []*bwconfig.Replica
	delayedReplies []func()
	seenRevisions  []int64
}

func teamValue(key string, n int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"quotaSlots":%d}`, key, n)
}

// stateAt returns the last entry of each key at a revision, deletions included.
func (m *replicaMachine) stateAt(revision int64) map[string]bwstore.Entry {
	state := make(map[string]bwstore.Entry)
	for _, e := range m.history {
		if e.Revision() <= revision {
			state[e.Key()] = e
		}
	}
	return state
}

func (m *replicaMachine) lastRevision() int64 { return int64(len(m.history)) }

func (m *replicaMachine) Write(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	key := bwconfig.TeamKey(name)
	revision := m.lastRevision() + 1
	if rapid.Bool().Draw(t, "delete") {
		m.history = append(m.history, bwstore.NewDeletion(key, revision))
		return
	}
	m.history = append(m.history, bwstore.NewEntry(key, teamValue(name, int(revision)), revision))
}

// deliver applies a reply now or queues it for Deliver.
func (m *replicaMachine) deliver(t *rapid.T, reply func()) {
	if rapid.Bool().Draw(t, "late") {
		m.delayedReplies = append(m.delayedReplies, reply)
		return
	}
	reply()
}

func (m *replicaMachine) drawReplica(t *rapid.T) *bwconfig.Replica {
	return m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")]
}

func (m *replicaMachine) List(t *rapid.T) {
	r, revision := m.drawReplica(t), m.lastRevision()
	var entries []bwstore.Entry
	for _, e := range m.stateAt(revision) {
		if !e.IsDeleted() {
			entries = append(entries, e)
		}
	}
	m.deliver(t, func() { r.ApplyListing(entries, revision) })
}

func (m *replicaMachine) Watch(t *rapid.T) {
	r := m.drawReplica(t)
	if !r.IsLoaded() {
		return
	}
	after, revision := r.Snapshot().Revision(), m.lastRevision()
	entries := append([]bwstore.Entry(nil), m.history[after:revision]...)
	m.deliver(t, func() { r.ApplyChanges(entries, revision) })
}

func (m *replicaMachine) Pull(t *rapid.T) {
	to, from := m.drawReplica(t), m.drawReplica(t)
	after := to.Snapshot().Revision()
	reply := from.BuildPullReply(after)
	m.deliver(t, func() { to.ApplyPullReply(after, reply) })
}

func (m *replicaMachine) Deliver(t *rapid.T) {
	if len(m.delayedReplies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayedReplies)-1).Draw(t, "reply")
	reply := m.delayedReplies[i]
	m.delayedReplies = append(m.delayedReplies[:i], m.delayedReplies[i+1:]...)
	reply()
}

// Replace restarts a process, so that its replica is empty.
func (m *replicaMachine) Replace(t *rapid.T) {
	i := rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replaced")
	m.replicas[i] = new(bwconfig.Replica)
	m.seenRevisions[i] = 0
}

// Check compares each replica with the history at the revision of the replica: unless the
// replica holds a newer change, each key has the revision that it has in the history, and
// a deleted key is absent. The revision of a replica never decreases.
func (m *replicaMachine) Check(t *rapid.T) {
	for i, r := range m.replicas {
		snapshot := r.Snapshot()
		if snapshot.Revision() < m.seenRevisions[i] {
			t.Fatalf("replica %d went from revision %d back to %d", i, m.seenRevisions[i], snapshot.Revision())
		}
		m.seenRevisions[i] = snapshot.Revision()
		for key, want := range m.stateAt(snapshot.Revision()) {
			got := snapshot.KeyRevision(key)
			isNewer := got > snapshot.Revision()
			if !isNewer && !want.IsDeleted() && got != want.Revision() {
				t.Fatalf("replica %d at revision %d has %s at %d, not %d", i, snapshot.Revision(), key, got, want.Revision())
			}
			if !isNewer && want.IsDeleted() && got != 0 {
				t.Fatalf("replica %d at revision %d still has %s", i, snapshot.Revision(), key)
			}
		}
	}
}

func TestReplicaMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &replicaMachine{seenRevisions: make([]int64, 3)}
		for range 3 {
			m.replicas = append(m.replicas, new(bwconfig.Replica))
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": m.Write, "list": m.List, "watch": m.Watch, "pull": m.Pull, "deliver": m.Deliver,
			"replace": m.Replace, "": m.Check,
		})
	})
}

func TestUnknownFieldsOfNewerVersionsAreIgnored(t *testing.T) {
	var r bwconfig.Replica
	value := []byte(`{"name":"a","quotaSlots":1,"addedLater":true}`)
	r.ApplyListing([]bwstore.Entry{bwstore.NewEntry(bwconfig.TeamKey("a"), value, 1)}, 1)
	assert.Equal(t, r.Snapshot().Team("a").GetQuotaSlots(), 1.0)
	r.ApplyChanges([]bwstore.Entry{bwstore.NewEntry(bwconfig.TeamKey("a"), []byte(`{"name":`), 2)}, 2)
	assert.Equal(t, r.Snapshot().Team("a").GetQuotaSlots(), 1.0, "an invalid value keeps the last valid one")
	assert.Equal(t, r.InvalidCount(), 1)
}

func TestFreshnessGate(t *testing.T) {
	ms := func(n int) bwclock.Time { return bwclock.Time(1_000_000 + n) }
	tick := func(f *bwconfig.Freshness, from, to int) {
		for n := from; n <= to; n += 100 {
			f.Tick(ms(n))
		}
	}
	t.Run("zero value", func(t *testing.T) {
		var f bwconfig.Freshness
		assert.Equal(t, f.Gate(ms(0)), bwconfig.GateHold)
	})
	t.Run("confirmation expired", func(t *testing.T) {
		var f bwconfig.Freshness
		f.RecordConfirmation(ms(0))
		tick(&f, 0, 1600)
		assert.Equal(t, f.Gate(ms(1500)), bwconfig.GateOpen)
		assert.Equal(t, f.Gate(ms(1501)), bwconfig.GateHold)
	})
	t.Run("store unreachable, platform reachable", func(t *testing.T) {
		var f bwconfig.Freshness
		f.RecordConfirmation(ms(0))
		f.RecordStoreFailure(ms(500))
		f.RecordConnectivity(ms(1000))
		tick(&f, 0, 2000)
		assert.Equal(t, f.Gate(ms(2000)), bwconfig.GateFailStatic)
	})
	t.Run("nothing reachable", func(t *testing.T) {
		var f bwconfig.Freshness
		f.RecordConfirmation(ms(0))
		f.RecordStoreFailure(ms(500))
		tick(&f, 0, 2000)
		assert.Equal(t, f.Gate(ms(2000)), bwconfig.GateHold)
	})
	t.Run("paused during an outage", func(t *testing.T) {
		var f bwconfig.Freshness
		f.RecordStoreFailure(ms(500))
		tick(&f, 0, 1000)
		f.RecordConnectivity(ms(9000))
		assert.Equal(t, f.Gate(ms(9000)), bwconfig.GateHold, "the failed call was sent before the pause")
		f.RecordStoreFailure(ms(9001))
		assert.Equal(t, f.Gate(ms(9001)), bwconfig.GateFailStatic)
	})
}
