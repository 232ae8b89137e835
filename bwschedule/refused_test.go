package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice because its start counts as refused although a report has listed the run.
func TestStartThatIsListedKeepsItsTaskWhateverItsResult(t *testing.T) {
	for _, result := range []bwschedule.Result{
		bwschedule.NotSent, bwschedule.Unhealthy, bwschedule.Fenced, bwschedule.RunTooOld, bwschedule.LeaseExpired,
		bwschedule.InsufficientCapacity, bwschedule.OtherIncarnation, bwschedule.Invalid,
	} {
		t.Run(result.String(), func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("j", newStep(1000, 1))
			o := h.s.Schedule(h.now)[0]
			h.advance(10 * time.Millisecond)
			h.report(o.Executor, bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run, Percent: 100}}})
			h.s.HandleResult(o, result, h.now)
			assert.Assert(t, h.s.Executor(o.Executor).Run(o.Task) != nil)
			h.advance(time.Second)
			h.reportAll()
			assert.Equal(t, len(h.scheduleStarts()), 0)
		})
	}
}
