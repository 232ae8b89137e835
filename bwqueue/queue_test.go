package bwqueue_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwqueue"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// queueMachine applies random operations to a queue of eight slots with three profiles and
// compares it with a model that keeps the queued requests in maps and the running ones in a
// list.
type queueMachine struct {
	queue      *bwqueue.Queue
	guarantees map[string]float64
	queued     map[string]string
	deadlines  map[string]bwclock.Time
	running    []string
	slotsInUse map[string]int
	now        bwclock.Time
	lastID     int
}

const (
	slots        = 8
	longDeadline = time.Hour
)

func newQueueMachine() *queueMachine {
	m := &queueMachine{
		queue:      bwqueue.New(bwqueue.PolicyShares),
		guarantees: map[string]float64{"a": 1.5, "b": 4, "c": 0},
		queued:     make(map[string]string),
		deadlines:  make(map[string]bwclock.Time),
		slotsInUse: make(map[string]int),
		now:        1000,
	}
	m.queue.Configure([]bwqueue.ProfileConfig{
		bwqueue.NewProfileConfig("a", 1.5, 0, 20), bwqueue.NewProfileConfig("b", 4, 1, 20), bwqueue.NewProfileConfig("c", 0, 3, 20),
	}, slots)
	return m
}

func (m *queueMachine) Push(t *rapid.T) {
	profile := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "profile")
	caller := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")
	timeLeft := rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, longDeadline}).Draw(t, "deadline")
	m.lastID++
	id := fmt.Sprint(m.lastID)
	deadline := m.now.Add(timeLeft)
	admission := m.queue.Push(bwqueue.NewItem(id, profile, caller, m.now, deadline), m.now)
	switch {
	case admission == bwqueue.Admitted:
		m.queued[id] = profile
		m.deadlines[id] = deadline
	case timeLeft == longDeadline && m.queuedCount(profile) < 20:
		t.Fatalf("rejected as %s with %d queued requests and an hour until the deadline", admission, m.queuedCount(profile))
	}
}

func (m *queueMachine) queuedCount(profile string) int {
	n := 0
	for _, p := range m.queued {
		if p == profile {
			n++
		}
	}
	return n
}

// Start takes the next request. It checks that no profile gets a slot beyond its guarantee
// while a request of a profile below its guarantee is queued.
func (m *queueMachine) Start(t *rapid.T) {
	if len(m.running) >= slots {
		return
	}
	item, ok := m.queue.Next()
	if !ok {
		if len(m.queued) > 0 {
			t.Fatalf("%d requests are queued but none is started", len(m.queued))
		}
		return
	}
	profile, isQueued := m.queued[item.ID()]
	if !isQueued || profile != item.Profile() {
		t.Fatalf("started %s, which is not queued", item.ID())
	}
	if float64(m.slotsInUse[profile]) >= m.guarantees[profile] {
		for other, guarantee := range m.guarantees {
			if m.queuedCount(other) > 0 && float64(m.slotsInUse[other]) < guarantee {
				t.Fatalf("%s got a slot beyond its guarantee while %s is queued below its guarantee", profile, other)
			}
		}
	}
	delete(m.queued, item.ID())
	m.running = append(m.running, profile)
	m.slotsInUse[profile]++
}

func (m *queueMachine) Finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	profile := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.slotsInUse[profile]--
	m.queue.ReleaseSlot(profile)
	m.queue.ObserveServiceTime(profile, time.Duration(rapid.IntRange(1, 100).Draw(t, "took"))*time.Millisecond)
}

func (m *queueMachine) Remove(t *rapid.T) {
	for id, profile := range m.queued {
		if !m.queue.Remove(profile, id) {
			t.Fatalf("%s could not be removed", id)
		}
		delete(m.queued, id)
		return
	}
}

func (m *queueMachine) Expire(t *rapid.T) {
	m.now += bwclock.Time(rapid.IntRange(1, 500).Draw(t, "millis"))
	for _, item := range m.queue.Expire(m.now) {
		deadline := m.deadlines[item.ID()]
		budget := deadline.Sub(item.Arrived())
		if item.LatestStart() > m.now || deadline.Sub(item.LatestStart()) > budget/4+time.Millisecond {
			t.Fatalf("%s expired too early", item.ID())
		}
		delete(m.queued, item.ID())
	}
	for id := range m.queued {
		if m.deadlines[id] <= m.now {
			t.Fatalf("%s is still queued after its deadline", id)
		}
	}
}

func (m *queueMachine) Check(t *rapid.T) {
	if m.queue.Len() != len(m.queued) || m.queue.InUse() != len(m.running) {
		t.Fatalf("queue has %d queued and %d running requests, model has %d and %d",
			m.queue.Len(), m.queue.InUse(), len(m.queued), len(m.running))
	}
}

func TestQueueMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueMachine()
		t.Repeat(map[string]func(*rapid.T){
			"push": m.Push, "start": m.Start, "finish": m.Finish, "remove": m.Remove, "expire": m.Expire, "": m.Check,
		})
	})
}

func TestCallersServedRoundRobin(t *testing.T) {
	q := bwqueue.New(bwqueue.PolicyShares)
	q.Configure([]bwqueue.ProfileConfig{bwqueue.NewProfileConfig("a", 1, 0, 100)}, slots)
	for i := range 30 {
		caller := "flooder"
		if i >= 27 {
			caller = "other"
		}
		q.Push(bwqueue.NewItem(fmt.Sprint(i), "a", caller, 1, 1_000_000_000), 1)
	}
	var order []string
	for range 4 {
		item, ok := q.Next()
		assert.Assert(t, ok)
		order = append(order, item.ID())
	}
	assert.DeepEqual(t, order, []string{"0", "27", "1", "28"})
}

// BenchmarkPushNext measures queueing and dequeueing one request.
func BenchmarkPushNext(b *testing.B) {
	for _, profileCount := range []int{2, 16, 61} {
		b.Run(fmt.Sprintf("profiles=%d", profileCount), func(b *testing.B) {
			q := bwqueue.New(bwqueue.PolicyShares)
			var profiles []bwqueue.ProfileConfig
			for i := range profileCount {
				profiles = append(profiles, bwqueue.NewProfileConfig(fmt.Sprint(i), 1, i%4, 1_000_000))
			}
			q.Configure(profiles, 1000)
			for i := range b.N {
				profile := fmt.Sprint(i % profileCount)
				q.Push(bwqueue.NewItem("id", profile, "caller", 1, 1_000_000_000), 1)
				q.Next()
				q.ReleaseSlot(profile)
			}
		})
	}
}
