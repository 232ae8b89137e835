package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// cordonMargin is how much longer a cordon must last for a survey to report the executor as
// cordoned. It covers the time from the survey until an order to the host takes effect.
const cordonMargin = 900 * time.Millisecond

// Cordon stops the placement of new tasks on an executor until the given time and evicts
// its long-running tasks. It reports whether the executor is certain to run nothing: its report to
// this owner is complete, and it refuses orders of previous owners since then.
func (s *Scheduler) Cordon(id string, until bwclock.Time) bool {
	e := s.executors[id]
	if e == nil {
		return false
	}
	e.Cordon(until)
	return e.HasCurrentReport() && len(e.Runs()) == 0 && !s.IsAwaited(id)
}

// DeferEvictions defers all evictions until the given time. Stops that a previous owner ordered
// may still be in flight, and reports do not show that a task is being stopped.
func (s *Scheduler) DeferEvictions(t bwclock.Time) { s.evictAfter = t }

// evict stops the long-running tasks of draining and of cordoned executors, the latter as far as the
// disruption budgets of their steps allow. The tasks are then placed on other executors. Draining
// executors come first, so that their tasks count against the budgets of the others.
func (s *Scheduler) evict(now bwclock.Time) {
	if now.Before(s.evictAfter) {
		return
	}
	for _, id := range s.ExecutorIDs() {
		if e := s.executors[id]; e.Registration().IsDraining && e.IsRegistered() {
			s.evictFrom(e, true, now)
		}
	}
	for _, id := range s.ExecutorIDs() {
		if e := s.executors[id]; e.IsCordoned(now) && !(e.Registration().IsDraining && e.IsRegistered()) {
			s.evictFrom(e, false, now)
		}
	}
}

func (s *Scheduler) evictFrom(e *bwexecutor.Executor, isDraining bool, now bwclock.Time) {
	for _, r := range e.Runs() {
		if r.Phase == bwexecutor.Running && !r.IsOrphaned && s.isLongRunning(r) && s.mayEvict(r, isDraining, now) {
			s.stopRun(e, r, now, "executor is to be emptied")
		}
	}
}

func (s *Scheduler) isLongRunning(r *bwexecutor.Run) bool {
	step, ok := s.stepOf(r.Task)
	return ok && step.LongRunning
}

// mayEvict reports whether the run may be evicted: another executor has capacity for it, and the
// disruption budget of its step allows it. The budget is ignored on a draining executor, which ends
// its tasks in any case, but stops that the budget has allowed must arrive first.
func (s *Scheduler) mayEvict(r *bwexecutor.Run, isDraining bool, now bwclock.Time) bool {
	step, ok := s.stepOf(r.Task)
	if !ok || !s.hasCapacityElsewhere(step, now) {
		return false
	}
	if isDraining {
		return !s.isEvictionInFlight(stepIDOf(r.Task), now)
	}
	return s.isWithinBudget(step, r.Task, now)
}

// isEvictionInFlight reports whether a stop of a task of the step on an executor that is not draining
// has been ordered recently and has not been answered.
func (s *Scheduler) isEvictionInFlight(id StepID, now bwclock.Time) bool {
	for _, e := range s.executors {
		if e.Registration().IsDraining || !e.HasRunsOf(id.Job) {
			continue
		}
		for _, r := range e.Runs() {
			isUnanswered := r.Phase == bwexecutor.Stopping && r.StopAcknowledgedAt == bwclock.Never && now.Sub(r.StopOrderedAt) < stopRetryInterval
			if stepIDOf(r.Task) == id && !r.IsOrphaned && isUnanswered {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) hasCapacityElsewhere(step bwjob.Step, now bwclock.Time) bool {
	for _, e := range s.candidates(now) {
		if e.Free().Fits(step.Reserved()) && e.Registration().HasLabel(step.Label) {
			return true
		}
	}
	return false
}
