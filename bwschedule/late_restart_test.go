package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// Guards against a start whose lease ends late on the clock of a restarted executor and is presumed ended too soon.
func TestStartInFlightAcrossRestartOutlivesTheLeaseThatWasMeant(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	other := map[string]string{"e0": "e1", "e1": "e0"}[o.Executor]
	h.s.RecordStartLease(o, h.now.Add(lease).Millis())
	h.advance(20 * time.Millisecond)
	r := h.s.Executor(o.Executor).Registration()
	r.Incarnation++
	h.s.Register(r)
	h.s.HandleResult(o, bwschedule.Unanswered, h.now)
	h.report(o.Executor, bwexecutor.Report{Incarnation: r.Incarnation})
	// An executor shortens a lease to hold_max_ms, 10 s at most sites.
	for range 95 {
		h.advance(100 * time.Millisecond)
		h.report(other, bwexecutor.Report{Incarnation: 1})
		h.s.Expire(h.now, h.now)
		assert.Equal(t, len(h.scheduleStarts()), 0)
	}
}
