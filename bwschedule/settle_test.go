package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// submitLasting submits a job of long-running tasks, one to an executor, of which one may be unavailable,
// and returns the start orders.
func (h *harness) submitLasting(tasks int) []bwschedule.Order {
	step := newStep(3000, tasks)
	step.LongRunning, step.DisruptionBudget = true, 1
	h.submit("lasting", step)
	orders := h.s.Schedule(h.now)
	assert.Equal(h.t, len(orders), tasks)
	return orders
}

// leaveUnanswered handles start orders that got no answer.
func (h *harness) leaveUnanswered(orders []bwschedule.Order) {
	for _, o := range orders {
		h.s.RecordStartLease(o, h.now.Add(lease).Millis())
		h.s.HandleResult(o, bwschedule.Unanswered, h.now)
	}
}

// reportRuns reports that the executor of an order has the run of the order, or nothing.
func (h *harness) reportRuns(o bwschedule.Order, isRunning bool) {
	r := bwexecutor.Report{Incarnation: 1}
	if isRunning {
		r.Running = []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run, Percent: 100}}
	}
	h.report(o.Executor, r)
}

// Guards against the stop of a long-running task that is at work by the time the stop arrives: its start
// had no answer and took effect after the report that does not list it.
func TestUnansweredStartIsStoppedWithinDisruptionBudgetOnly(t *testing.T) {
	h := newHarness(t, 3)
	orders := h.submitLasting(2)
	h.leaveUnanswered(orders)
	h.advance(500 * time.Millisecond)
	h.reportRuns(orders[0], false)
	h.reportRuns(orders[1], false)
	assert.Equal(t, len(h.s.Schedule(h.now)), 0)
	h.advance(500 * time.Millisecond)
	h.reportRuns(orders[0], true)
	h.reportRuns(orders[1], false)
	stops := h.s.Schedule(h.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Kind, bwschedule.Stop)
	assert.Equal(t, stops[0].Task, orders[1].Task)
}

// A start that the executor refuses from now on is settled whatever the budget, so that two unanswered
// starts don't wait for each other for ever.
func TestUnansweredStartsAreSettledOnceTheyHaveExpired(t *testing.T) {
	h := newHarness(t, 3)
	orders := h.submitLasting(2)
	h.leaveUnanswered(orders)
	expired := h.now.Add(lease)
	var stops []bwschedule.Order
	for len(stops) == 0 {
		assert.Assert(t, h.now.Sub(expired) < time.Second, "not settled")
		h.advance(100 * time.Millisecond)
		h.reportRuns(orders[0], false)
		h.reportRuns(orders[1], false)
		stops = h.s.Schedule(h.now)
	}
	assert.Assert(t, expired.Before(h.now))
	assert.Equal(t, len(stops), 2)
	for _, o := range stops {
		h.s.HandleResult(o, bwschedule.Accepted, h.now)
	}
	h.advance(100 * time.Millisecond)
	h.reportRuns(orders[0], false)
	h.reportRuns(orders[1], false)
	assert.Equal(t, len(h.scheduleStarts()), 2)
}

// Without a disruption budget an unanswered start is settled at once.
func TestUnansweredStartWithoutBudgetIsStoppedAtOnce(t *testing.T) {
	h := newHarness(t, 3)
	step := newStep(3000, 2)
	step.LongRunning = true
	h.submit("lasting", step)
	orders := h.s.Schedule(h.now)
	h.leaveUnanswered(orders)
	h.advance(500 * time.Millisecond)
	h.reportRuns(orders[0], false)
	h.reportRuns(orders[1], false)
	assert.Equal(t, len(h.s.Schedule(h.now)), 2)
}

// Guards against a stop that waits to be sent while a report shows the task at work, or while another
// task of the step becomes unavailable.
func TestStopIsNotSentOnceItsReasonHasGone(t *testing.T) {
	h := newHarness(t, 4)
	orders := h.submitLasting(3)
	h.leaveUnanswered(orders[:1])
	for _, o := range orders[1:] {
		h.s.HandleResult(o, bwschedule.Accepted, h.now)
	}
	h.advance(500 * time.Millisecond)
	h.reportRuns(orders[1], true)
	h.reportRuns(orders[2], true)
	h.reportRuns(orders[0], false)
	stops := h.s.Schedule(h.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), true)
	h.crash(orders[1].Executor)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), false)
	h.reportRuns(orders[0], true)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), false)
	h.s.HandleResult(stops[0], bwschedule.NotSent, h.now)
	h.s.Cordon(orders[0].Executor, h.now.Add(time.Minute))
	h.reportRuns(orders[0], true)
	for _, o := range h.s.Schedule(h.now) {
		assert.Equal(t, o.Kind, bwschedule.Start, "%+v", o)
	}
}

// An eviction is not sent if another task of the step has become unavailable since it was ordered.
func TestEvictionIsNotSentBeyondBudget(t *testing.T) {
	h := newHarness(t, 4)
	orders := h.submitLasting(2)
	for _, o := range orders {
		h.s.HandleResult(o, bwschedule.Accepted, h.now)
		h.reportRuns(o, true)
	}
	h.s.Cordon(orders[0].Executor, h.now.Add(time.Minute))
	stops := h.s.Schedule(h.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), true)
	h.crash(orders[1].Executor)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), false)
	h.s.Cancel(h.s.Job("lasting"), h.now)
	assert.Equal(t, h.s.IsStopWanted(stops[0], h.now), true)
}

// A run that is being stopped does not count as available, although a report may list it at work.
func TestRunThatIsBeingStoppedIsNotAvailable(t *testing.T) {
	h := newHarness(t, 4)
	orders := h.submitLasting(3)
	h.leaveUnanswered(orders[:1])
	for _, o := range orders[1:] {
		h.s.HandleResult(o, bwschedule.Accepted, h.now)
		h.reportRuns(o, true)
	}
	h.advance(500 * time.Millisecond)
	h.reportRuns(orders[1], true)
	h.reportRuns(orders[2], true)
	h.reportRuns(orders[0], false)
	stops := h.s.Schedule(h.now)
	assert.Equal(t, len(stops), 1)
	h.s.HandleResult(stops[0], bwschedule.Accepted, h.now)
	h.reportRuns(orders[0], true)
	h.s.Cordon(orders[1].Executor, h.now.Add(time.Minute))
	assert.Equal(t, len(h.s.Schedule(h.now)), 0)
}

// Guards against an eviction beside another one that had no answer: the first task is listed at work, but
// its stop may still take effect.
func TestUnansweredEvictionCountsAgainstBudget(t *testing.T) {
	h := newHarness(t, 4)
	orders := h.submitLasting(2)
	for _, o := range orders {
		h.s.HandleResult(o, bwschedule.Accepted, h.now)
	}
	h.reportAll()
	h.s.Cordon(orders[0].Executor, h.now.Add(time.Second))
	stops := h.s.Schedule(h.now)
	assert.Equal(t, len(stops), 1)
	h.s.HandleResult(stops[0], bwschedule.Unanswered, h.now)
	for range 14 {
		h.advance(time.Second)
		h.reportAll()
		h.s.Cordon(orders[1].Executor, h.now.Add(time.Minute))
		assert.Equal(t, len(h.s.Schedule(h.now)), 0)
	}
	h.advance(time.Second)
	h.reportAll()
	assert.Equal(t, len(h.s.Schedule(h.now)), 1)
}
