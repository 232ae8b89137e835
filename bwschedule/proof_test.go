package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// Guards against a task that is started again on a report that was requested before its stop was acknowledged.
func TestAcknowledgedStopIsProvenByALaterReportOnly(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	h.s.HandleResult(o, bwschedule.Unanswered, h.now)
	h.advance(time.Second)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
	stop := h.s.Schedule(h.now)[0]
	assert.Equal(t, stop.Kind, bwschedule.Stop)
	requestedAt := h.now
	h.advance(50 * time.Millisecond)
	h.s.HandleResult(stop, bwschedule.Accepted, h.now)
	h.advance(50 * time.Millisecond)
	h.s.HandleReport(o.Executor, bwexecutor.Report{Incarnation: 1}, requestedAt, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.advance(50 * time.Millisecond)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// Guards against a task that is started again because a report does not list its confirmed run, before a stop is acknowledged.
func TestUnlistedConfirmedRunKeepsItsTaskUntilStopped(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.scheduleStarts()[0]
	h.advance(time.Second)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
	orders := h.s.Schedule(h.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, bwschedule.Stop)
	h.s.HandleResult(orders[0], bwschedule.Accepted, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.advance(50 * time.Millisecond)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// Guards against a stop or a start that is sent twice, or a task that is started again, because a report older than its start does not list it.
func TestReportOlderThanAStartSaysNothingAboutIt(t *testing.T) {
	for _, result := range []bwschedule.Result{bwschedule.Accepted, bwschedule.Unanswered} {
		h := newHarness(t, 2)
		requestedAt := h.now
		h.advance(10 * time.Millisecond)
		h.submit("j", newStep(1000, 1))
		o := h.s.Schedule(h.now)[0]
		h.s.HandleResult(o, result, h.now)
		h.advance(10 * time.Millisecond)
		h.s.HandleReport(o.Executor, bwexecutor.Report{Incarnation: 1}, requestedAt, h.now)
		assert.Equal(t, len(h.s.Schedule(h.now)), 0, result.String())
	}
}

// Guards against a task that is started again, or whose end is lost, because a report that may not hold all ends counts as complete.
func TestReportWithTheMostEndsDoesNotProveThatAStoppedRunIsGone(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	h.s.HandleResult(o, bwschedule.Unanswered, h.now)
	h.advance(time.Second)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
	stop := h.s.Schedule(h.now)[0]
	assert.Equal(t, stop.Kind, bwschedule.Stop)
	h.s.HandleResult(stop, bwschedule.Accepted, h.now)
	h.advance(50 * time.Millisecond)
	full := bwexecutor.Report{Incarnation: 1}
	for n := int64(1); n <= 500; n++ {
		full.Ended = append(full.Ended, bwexecutor.NumberedEnd{Number: n, End: bwjob.End{Task: bwjob.TaskID{Job: "other", Index: int(n)}, Run: 1, Kind: bwjob.EndDone}})
	}
	h.report(o.Executor, full)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.advance(50 * time.Millisecond)
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{{Number: 501, End: bwjob.End{Task: o.Task, Run: o.Run, Kind: bwjob.EndDone}}}})
	assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_done)
}

// Guards against a task that is started again because the answer to an earlier start of it comes late.
func TestResultOfAnEarlierRunDoesNotReleaseTheTask(t *testing.T) {
	for _, result := range []bwschedule.Result{bwschedule.NotSent, bwschedule.OtherIncarnation, bwschedule.RunTooOld} {
		h := newHarness(t, 1)
		h.submit("j", newStep(1000, 1))
		first := h.s.Schedule(h.now)[0]
		h.crash("e0")
		second := h.s.Schedule(h.now)[0]
		assert.Equal(t, second.Run, first.Run+1)
		h.s.HandleResult(first, result, h.now)
		assert.Assert(t, h.s.Executor("e0").Run(second.Task) != nil, result.String())
		h.advance(time.Second)
		h.reportAll()
		assert.Equal(t, len(h.scheduleStarts()), 0, result.String())
	}
}

// Guards against a task that is started again because the end of an earlier run of it is listed late.
func TestEndOfAnEarlierRunDoesNotReleaseTheTask(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", newStep(1000, 1))
	first := h.s.Schedule(h.now)[0]
	h.s.HandleResult(first, bwschedule.Unanswered, h.now)
	h.advance(time.Second)
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	h.s.HandleResult(h.s.Schedule(h.now)[0], bwschedule.Accepted, h.now)
	h.advance(50 * time.Millisecond)
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	second := h.scheduleStarts()[0]
	assert.Equal(t, second.Run, first.Run+1)
	h.reportEnd(first, bwjob.EndStopped)
	h.advance(time.Second)
	h.reportAll()
	assert.Assert(t, h.s.Executor("e0").Run(second.Task) != nil)
	assert.Equal(t, len(h.scheduleStarts()), 0)
}
