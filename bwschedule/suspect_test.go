package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// crash makes the executor crash: it misses a report and reports again with another incarnation.
func (h *harness) crash(id string) {
	h.advance(20 * time.Millisecond)
	h.s.Executor(id).RecordMissedReport()
	h.advance(time.Second)
	r := h.s.Executor(id).Registration()
	r.Incarnation++
	h.s.Register(r)
	h.lastEnd[id] = 0
	h.report(id, bwexecutor.Report{Incarnation: r.Incarnation})
}

// reportAll renews the reports of all executors, which list their runs.
func (h *harness) reportAll() {
	for _, id := range h.s.ExecutorIDs() {
		e := h.s.Executor(id)
		h.report(id, bwexecutor.Report{Incarnation: e.Incarnation(), Running: h.statuses(id, bwjob.TaskID{})})
	}
}

// Guards against a job that fails although another task crashes the executors.
func TestTasksBesideTheCauseOfCrashesDoNotFail(t *testing.T) {
	h := newHarness(t, 2)
	beside := newStep(500, 3)
	beside.LongRunning = true
	h.submit("beside", beside)
	h.submit("cause", newStep(500, 1))
	cause := bwjob.TaskID{Job: "cause"}
	for range 30 {
		h.reportAll()
		h.scheduleStarts()
		for _, id := range h.s.ExecutorIDs() {
			if h.s.Executor(id).Run(cause) != nil {
				h.crash(id)
			}
		}
		h.advance(500 * time.Millisecond)
	}
	assert.Equal(t, h.s.Job("cause").Phase(), bwjob.Phase_failed)
	assert.Equal(t, h.s.Job("beside").Phase(), bwjob.Phase_active)
	for i := range 3 {
		assert.Assert(t, h.s.Job("beside").Task(bwjob.TaskID{Job: "beside", Index: i}).Executor() != "")
	}
}

// Guards against a lasting job whose healthy tasks are stopped because executors crash in series.
func TestCrashesOfExecutorsStopNoHealthyTask(t *testing.T) {
	h := newHarness(t, 5)
	lasting := newStep(3000, 3)
	lasting.LongRunning, lasting.DisruptionBudget = true, 1
	j := h.submit("lasting", lasting)
	for range 8 {
		for _, o := range h.s.Schedule(h.now) {
			assert.Equal(t, o.Kind, bwschedule.Start, "%v", o)
			h.s.HandleResult(o, bwschedule.Accepted, h.now)
		}
		for range 20 {
			h.advance(time.Second)
			h.reportAll()
		}
		h.crash(j.Task(bwjob.TaskID{Job: "lasting"}).Executor())
		assert.Equal(t, j.Phase(), bwjob.Phase_active)
	}
}

// An executor whose lease expired may have crashed or may only have been cut off. Its incarnation
// tells when it is back.
func TestCrashIsKnownAfterTheLeaseHasExpired(t *testing.T) {
	for _, hasCrashed := range []bool{true, false} {
		h := newHarness(t, 1)
		j := h.submit("j", newStep(1000, 1))
		assert.Equal(t, len(h.scheduleStarts()), 1)
		h.s.Executor("e0").RecordMissedReport()
		h.advance(5 * time.Second)
		h.s.Unregister("e0")
		assert.Equal(t, len(h.s.Expire(h.now, h.now)), 0)
		r := h.s.Executor("e0").Registration()
		if hasCrashed {
			r.Incarnation++
		}
		h.s.Register(r)
		h.report("e0", bwexecutor.Report{Incarnation: r.Incarnation})
		assert.Equal(t, j.Task(bwjob.TaskID{Job: "j"}).IsSuspect(), hasCrashed)
	}
}

// A draining executor ends by itself, so its end is no crash.
func TestEndOfDrainingExecutorIsNoCrash(t *testing.T) {
	h := newHarness(t, 1)
	j := h.submit("j", newStep(1000, 1))
	assert.Equal(t, len(h.scheduleStarts()), 1)
	r := h.s.Executor("e0").Registration()
	r.IsDraining = true
	h.s.Register(r)
	h.s.HandleRestart("e0", h.now)
	assert.Equal(t, j.Task(bwjob.TaskID{Job: "j"}).IsSuspect(), false)
}
