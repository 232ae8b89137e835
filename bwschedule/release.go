package bwschedule

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
)

// releaseReason is what proves that a run is over of which no end was reported, and that its start cannot take
// effect any more. The task may then be started again.
type releaseReason string

// The reasons.
const (
	startRefused     releaseReason = "start refused"
	stopAcknowledged releaseReason = "stop acknowledged and run not listed"
	leaseEnded       releaseReason = "lease has ended"
	restarted        releaseReason = "executor has restarted"
)

// recordRelease logs and counts that a run is about to be removed although no end was reported. It must be
// called before the executor's state changes.
func (s *Scheduler) recordRelease(e *bwexecutor.Executor, r *bwexecutor.Run, reason releaseReason, now bwclock.Time) {
	s.onRelease(string(reason))
	if reason == startRefused {
		// The line about the order says the same.
		return
	}
	s.log.Info("task released", append([]any{"job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID(),
		"reason", string(reason)}, evidence(e, r, now)...)...)
}

// evidence returns log fields that tell what this owner knew of an executor and of a run when it presumed the run
// ended, and how old that knowledge was.
func evidence(e *bwexecutor.Executor, r *bwexecutor.Run, now bwclock.Time) []any {
	leaseLeft := "unknown"
	if left, ok := e.LeaseLeft(now); ok {
		leaseLeft = left.String()
	}
	return []any{"incarnation", e.Incarnation(), "phase", r.Phase.String(), "orphaned", r.IsOrphaned, "sinceOrdered", age(r.OrderedAt, now),
		"sinceStopAcknowledged", age(r.StopAcknowledgedAt, now), "reportAge", age(e.ReportedAt(), now), "leaseLeft", leaseLeft}
}

// age returns the time since t for the log.
func age(t, now bwclock.Time) string {
	if t == bwclock.Never {
		return "never"
	}
	return now.Sub(t).String()
}

// logStrayStart logs the result of a start whose run this owner does not hold for possible any more, unless an end
// of the run has been reported in the meantime. An accepted one may run beside another run of its task.
func (s *Scheduler) logStrayStart(o Order, result Result, now bwclock.Time) {
	t := s.activeTask(o.Task)
	if o.Kind != Start || result != Accepted && result != Unanswered || t == nil || t.HighestEndedRun() >= o.Run {
		return
	}
	fields := []any{"job", o.Task.Job, "task", o.Task, "run", o.Run, "executor", o.Executor, "result", result.String(),
		"assignedTo", t.Executor(), "highestRun", t.Run()}
	if e := s.executors[o.Executor]; e != nil {
		fields = append(fields, "incarnation", e.Incarnation(), "reportAge", age(e.ReportedAt(), now))
	}
	s.log.Warn("start of a released run answered", fields...)
}

// CountUnsettledStarts returns the number of start orders that have neither been sent nor returned, and of those
// that may still take effect.
func (s *Scheduler) CountUnsettledStarts() (unsent, indeterminate int) {
	for _, e := range s.executors {
		for _, r := range e.Runs() {
			switch r.Phase {
			case bwexecutor.Starting:
				unsent++
			case bwexecutor.Indeterminate:
				indeterminate++
			}
		}
	}
	return unsent, indeterminate
}
