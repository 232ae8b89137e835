package bwschedule_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

func TestEvictionRespectsDisruptionBudget(t *testing.T) {
	h := newHarness(t, 3)
	longRunning := newStep(1000, 4)
	longRunning.LongRunning = true
	longRunning.DisruptionBudget = 1
	h.submit("long-running", longRunning)
	started := h.scheduleStarts()
	assert.Equal(t, len(started), 4)
	for _, id := range h.s.ExecutorIDs() {
		h.report(id, bwexecutor.Report{Incarnation: 1, Running: h.statuses(id, bwjob.TaskID{})})
	}
	cordoned := started[0].Executor
	assert.Assert(t, len(h.s.Executor(cordoned).Runs()) > 1)
	h.s.Cordon(cordoned, h.now.Add(time.Minute))
	var stops []bwschedule.Order
	for _, o := range h.s.Schedule(h.now) {
		if o.Kind == bwschedule.Stop {
			stops = append(stops, o)
		}
	}
	assert.Equal(t, len(stops), 1)
}

// Guards against a stop that is repeated although its reason has gone: the cordon has ended, or
// another task of the step has become unavailable.
func TestLostStopIsNotRepeatedWithoutReason(t *testing.T) {
	for name, result := range map[string]bwschedule.Result{"unanswered": bwschedule.Unanswered, "notSent": bwschedule.NotSent, "unhealthy": bwschedule.Unhealthy} {
		for _, isCordoned := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/cordoned=%t", name, isCordoned), func(t *testing.T) {
				h := newHarness(t, 4)
				lasting := newStep(3000, 2)
				lasting.LongRunning, lasting.DisruptionBudget = true, 1
				h.submit("lasting", lasting)
				started := h.scheduleStarts()
				assert.Equal(t, len(started), 2)
				h.reportAll()
				h.s.Cordon(started[0].Executor, h.now.Add(500*time.Millisecond))
				stops := h.s.Schedule(h.now)
				assert.Equal(t, len(stops), 1)
				assert.Equal(t, stops[0].Kind, bwschedule.Stop)
				h.s.HandleResult(stops[0], result, h.now)
				if isCordoned {
					h.s.Cordon(started[0].Executor, h.now.Add(time.Minute))
					h.crash(started[1].Executor)
				}
				for range 5 {
					h.advance(time.Second)
					h.reportAll()
					for _, o := range h.s.Schedule(h.now) {
						assert.Equal(t, o.Kind, bwschedule.Start, "%+v", o)
					}
				}
			})
		}
	}
}

// A stop that was lost is repeated while there is a reason for it.
func TestLostStopIsRepeatedWhileExecutorIsCordoned(t *testing.T) {
	h := newHarness(t, 4)
	lasting := newStep(3000, 2)
	lasting.LongRunning, lasting.DisruptionBudget = true, 1
	h.submit("lasting", lasting)
	started := h.scheduleStarts()
	h.s.Cordon(started[0].Executor, h.now.Add(time.Minute))
	stops := 0
	for range 5 {
		h.reportAll()
		for _, o := range h.s.Schedule(h.now) {
			assert.Equal(t, o.Task, started[0].Task)
			h.s.HandleResult(o, bwschedule.Unanswered, h.now)
			stops++
		}
		h.advance(time.Second)
	}
	assert.Assert(t, stops >= 3, "%d stops", stops)
}

// Guards against hosts that are not moved or maintained after a change of owner, because another
// executor has not reported yet.
func TestEmptyExecutorIsKnownWhileOthersAreAwaited(t *testing.T) {
	h := newHarness(t, 2)
	h.s.AwaitExecutor("e1", h.now.Add(time.Minute))
	assert.Equal(t, h.s.Cordon("e0", h.now.Add(time.Minute)), true)
	assert.Equal(t, h.s.Cordon("e1", h.now.Add(time.Minute)), false)
	h.report("e1", bwexecutor.Report{Incarnation: 1})
	h.s.Expire(h.now, h.now)
	assert.Equal(t, h.s.Cordon("e1", h.now.Add(time.Minute)), true)
}

func TestSurveyOmitsUncertainState(t *testing.T) {
	h := newHarness(t, 2)
	h.s.Executor("e1").RecordMissedReport()
	h.s.Cordon("e0", h.now.Add(500*time.Millisecond))
	survey := h.s.Survey(h.now)
	assert.Equal(t, len(survey.Executors), 1)
	// A cordon that is about to expire does not count.
	assert.Equal(t, survey.Executors["e0"].IsCordoned, false)
	h.s.Cordon("e0", h.now.Add(5*time.Second))
	assert.Equal(t, h.s.Survey(h.now).Executors["e0"].IsCordoned, true)
}

func TestSurveyTellsOverdueDemand(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(4000, 4))
	assert.Equal(t, len(h.scheduleStarts()), 2)
	survey := h.s.Survey(h.now)
	assert.Equal(t, survey.Demand, 4.0)
	assert.Equal(t, survey.OverdueDemand, 0.0)
	h.advance(10 * time.Second)
	survey = h.s.Survey(h.now)
	assert.Equal(t, survey.Demand, 4.0)
	assert.Equal(t, survey.OverdueDemand, 4.0)
}

// Reports do not show stops that a previous owner ordered. Evicting a task while such a stop
// is in flight could exceed the disruption budget.
func TestNoEvictionWhilePreviousOwnersStopsMayBeInFlight(t *testing.T) {
	h := newHarness(t, 2)
	longRunning := newStep(1000, 1)
	longRunning.LongRunning, longRunning.DisruptionBudget = true, 1
	h.submit("long-running", longRunning)
	started := h.scheduleStarts()
	h.report(started[0].Executor, bwexecutor.Report{Incarnation: 1, Running: h.statuses(started[0].Executor, bwjob.TaskID{})})
	h.s.DeferEvictions(h.now.Add(time.Second))
	h.s.Cordon(started[0].Executor, h.now.Add(time.Minute))
	assert.Equal(t, len(h.s.Schedule(h.now)), 0)
	h.advance(time.Second)
	for _, id := range h.s.ExecutorIDs() {
		h.report(id, bwexecutor.Report{Incarnation: 1, Running: h.statuses(id, bwjob.TaskID{})})
	}
	assert.Equal(t, len(h.s.Schedule(h.now)), 1)
}

// Guards against a long-running task that a new owner starts on a host that is about to be moved.
func TestNewOwnerStartsNoLastingTaskWhileHostsMayBeOrdered(t *testing.T) {
	h := newHarness(t, 2)
	h.s.DeferLongRunningStarts(h.now.Add(time.Second))
	lasting := newStep(1000, 1)
	lasting.LongRunning = true
	h.submit("lasting", lasting)
	h.submit("short", newStep(1000, 1))
	started := h.scheduleStarts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Task.Job, "short")
	h.advance(time.Second)
	started = h.scheduleStarts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Task.Job, "lasting")
}

// Guards against a stop within the disruption budget that arrives after the stops of a draining
// executor, which are not limited by the budget.
func TestDrainingExecutorDoesNotOvertakeEvictionsWithinBudget(t *testing.T) {
	for _, isCordonedBefore := range []bool{false, true} {
		h := newHarness(t, 6)
		lasting := newStep(3000, 4)
		lasting.LongRunning, lasting.DisruptionBudget = true, 1
		h.submit("lasting", lasting)
		assert.Equal(t, len(h.scheduleStarts()), 4)
		h.reportAll()
		evict := func() []string {
			var list []string
			for _, o := range h.s.Schedule(h.now) {
				assert.Equal(t, o.Kind, bwschedule.Stop)
				list = append(list, o.Executor)
			}
			return list
		}
		h.s.Cordon("e0", h.now.Add(time.Minute))
		if isCordonedBefore {
			assert.DeepEqual(t, evict(), []string{"e0"})
		}
		r := h.s.Executor("e1").Registration()
		r.IsDraining = true
		h.s.Register(r)
		if !isCordonedBefore {
			assert.DeepEqual(t, evict(), []string{"e1"})
			continue
		}
		assert.Equal(t, len(evict()), 0)
		stopped := h.s.Executor("e0").Runs()
		for task, run := range stopped {
			h.s.HandleResult(bwschedule.Order{Kind: bwschedule.Stop, Executor: "e0", Task: task, Run: run.Number}, bwschedule.Accepted, h.now)
		}
		assert.DeepEqual(t, evict(), []string{"e1"})
	}
}
