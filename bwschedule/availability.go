package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// availablePercent is the reported share of full speed, in percent, at which a long-running
// task counts as available.
const availablePercent = 100

// lateOrderTime is how long an order without an answer may still take effect. The platform says only that
// it may do so seconds later.
const lateOrderTime = 15 * time.Second

// availability returns log fields that tell how many other tasks of a long-running task's step are
// unavailable and how many of the step may be. It returns nil for other tasks.
func (s *Scheduler) availability(id bwjob.TaskID, now bwclock.Time) []any {
	step, ok := s.stepOf(id)
	if !ok || !step.LongRunning {
		return nil
	}
	return []any{"othersUnavailable", s.countUnavailable(step, id, now), "mayBeUnavailable", step.DisruptionBudget}
}

// countUnavailable counts the other tasks of the step that are not known to be available.
func (s *Scheduler) countUnavailable(step bwjob.Step, id bwjob.TaskID, now bwclock.Time) int {
	o := s.jobs[id.Job].Occurrence(id.Occurrence)
	if o == nil {
		return 0
	}
	n := 0
	for i := range o.Tasks(id.Step) {
		other := bwjob.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}
		if i != id.Index && !s.isAvailable(&o.Tasks(id.Step)[i], other, step, now) {
			n++
		}
	}
	return n
}

func (s *Scheduler) isAvailable(t *bwjob.Task, id bwjob.TaskID, step bwjob.Step, now bwclock.Time) bool {
	e := s.executors[t.Executor()]
	if e == nil || now.Sub(e.ReportedAt()) > maxReportAge {
		return false
	}
	r := e.Run(id)
	if r == nil || r.Phase != bwexecutor.Running || r.StopOrderedAt != bwclock.Never || r.StopAcknowledgedAt != bwclock.Never {
		return false
	}
	if r.StopUnansweredAt != bwclock.Never && now.Sub(r.StopUnansweredAt) < lateOrderTime {
		return false
	}
	return r.Status.Percent >= availablePercent || step.BestEffort
}

// isWithinBudget reports whether the disruption budget of the step allows a task of it to be made
// unavailable now.
func (s *Scheduler) isWithinBudget(step bwjob.Step, id bwjob.TaskID, now bwclock.Time) bool {
	return s.countUnavailable(step, id, now) < max(1, step.DisruptionBudget)
}

// settleStart stops a run whose start had no answer and which a report does not list, or defers that.
func (s *Scheduler) settleStart(e *bwexecutor.Executor, r *bwexecutor.Run, sentAt, now bwclock.Time) {
	isDeferred := !s.maySettle(e, r, sentAt, now)
	if isDeferred && !r.IsStopDeferred {
		s.log.Info("stop of an unanswered start deferred", append([]any{"job", r.Task.Job, "task", r.Task, "run", r.Number,
			"executor", e.ID()}, s.availability(r.Task, now)...)...)
	}
	r.IsStopDeferred = isDeferred
	if !isDeferred {
		s.stopRun(e, r, now, "start had no answer")
	}
}

// maySettle reports whether a run may be stopped whose start had no answer and which a report,
// requested at sentAt, does not list. The start may take effect just before the stop, which then ends a
// task at work. So the disruption budget of its step must allow that, unless the start has expired.
func (s *Scheduler) maySettle(e *bwexecutor.Executor, r *bwexecutor.Run, sentAt, now bwclock.Time) bool {
	step, ok := s.stepOf(r.Task)
	if !ok || !step.LongRunning || step.Gang || step.DisruptionBudget == 0 || r.IsOrphaned || e.HasStartExpired(r, sentAt) {
		return true
	}
	return s.isWithinBudget(step, r.Task, now)
}

// RecordStartLease records until when the executor may execute a start order that is about to be sent.
// The time is on the executor's clock, in milliseconds.
func (s *Scheduler) RecordStartLease(o Order, until int64) {
	if e := s.executors[o.Executor]; e != nil {
		if r := e.Run(o.Task); r != nil && r.Number == o.Run {
			r.StartExpiresAt = until
		}
	}
}

// IsStopWanted reports whether a stop order may still be sent. The task may have turned out to be at
// work since, or others of its step may have become unavailable.
func (s *Scheduler) IsStopWanted(o Order, now bwclock.Time) bool {
	e := s.executors[o.Executor]
	if e == nil {
		return true
	}
	r := e.Run(o.Task)
	step, ok := s.stepOf(o.Task)
	if r == nil || r.Number != o.Run || r.IsOrphaned || !ok || !step.LongRunning || step.Gang {
		return true
	}
	switch r.Phase {
	case bwexecutor.Running:
		return false
	case bwexecutor.Indeterminate:
		return s.maySettle(e, r, now, now)
	default:
		return e.Registration().IsDraining || s.isWithinBudget(step, o.Task, now)
	}
}
