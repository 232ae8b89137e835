package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"gotest.tools/v3/assert"
)

// Guards against a lease that counts as expired after another owner may have renewed it.
func TestLeaseDoesNotExpireAfterTheOwnershipWasLastKnown(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(4000, 1))
	first := h.scheduleStarts()[0]
	other := map[string]string{"e0": "e1", "e1": "e0"}[first.Executor]
	ownedAt := h.now
	h.advance(time.Minute)
	h.report(other, bwexecutor.Report{Incarnation: 1})
	assert.Assert(t, h.s.HasExpired(h.now))
	assert.Assert(t, !h.s.HasExpired(ownedAt))
	h.s.Expire(ownedAt, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 1)
	assert.Assert(t, !h.s.HasExpired(h.now))
}

// Guards against a wait for a previous owner's executor that ends after another owner may have renewed its lease.
func TestAwaitedExecutorIsNotGivenUpAfterTheOwnershipWasLastKnown(t *testing.T) {
	h := newHarness(t, 1)
	ownedAt := h.now
	h.s.AwaitExecutor("e9", h.now.Add(5*time.Second))
	h.s.LoadJob(bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}, h.now))
	h.advance(time.Minute)
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	assert.Assert(t, h.s.HasExpired(h.now))
	h.s.Expire(ownedAt, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// Guards against a wait that ends with a report which an executor has made after another owner took note of its ends.
func TestAwaitedExecutorIsAwaitedUntilTheOwnershipIsKnownAfterItsReport(t *testing.T) {
	h := newHarness(t, 1)
	h.s.LoadJob(bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}, h.now))
	h.s.Register(bwexecutor.Registration{ID: "e1", Incarnation: 1, Pool: "p"})
	h.s.AwaitExecutor("e1", h.now.Add(5*time.Second))
	ownedAt := h.now
	h.advance(100 * time.Millisecond)
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	h.s.HandleReport("e1", bwexecutor.Report{Incarnation: 1}, h.now, h.now)
	h.s.Expire(ownedAt, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 1)
}
