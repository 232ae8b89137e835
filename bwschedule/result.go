package bwschedule

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
)

// HandleResult applies the result of an order. The fields are added to the log if the order was not accepted.
func (s *Scheduler) HandleResult(o Order, result Result, now bwclock.Time, fields ...any) {
	e := s.executors[o.Executor]
	if e == nil {
		s.logStrayStart(o, result, now)
		return
	}
	r := e.Run(o.Task)
	if r == nil || r.Number != o.Run {
		s.logStrayStart(o, result, now)
		return
	}
	if result != Accepted {
		fields = append(fields, evidence(e, r, now)...)
		s.log.Info("order not accepted", append([]any{"job", o.Task.Job, "task", o.Task, "run", o.Run, "order", o.Kind.String(),
			"executor", o.Executor, "result", result.String()}, fields...)...)
	}
	switch o.Kind {
	case Start:
		s.handleStartResult(e, r, result, now)
	case Stop:
		s.handleStopResult(r, result, now)
	case Pace:
		if result != Accepted {
			r.Pace = unknownPace
		}
	}
}

func (s *Scheduler) handleStartResult(e *bwexecutor.Executor, r *bwexecutor.Run, result Result, now bwclock.Time) {
	switch result {
	case Accepted:
		s.handleStartAccepted(e, r, now)
	case Unanswered:
		if r.Phase == bwexecutor.Starting {
			r.Phase = bwexecutor.Indeterminate
		}
		e.PauseStarts(now.Add(refusalBackoff))
	default:
		s.handleStartRefused(e, r, result, now)
	}
}

func (s *Scheduler) handleStartAccepted(e *bwexecutor.Executor, r *bwexecutor.Run, now bwclock.Time) {
	if r.Phase == bwexecutor.Starting {
		r.Phase = bwexecutor.Running
	}
	r.ConfirmedAt = now
	if j := s.jobs[r.Task.Job]; j != nil {
		j.MarkStarted()
	}
	if r.IsOrphaned {
		s.stopRun(e, r, now, "job ended while the task was started")
	}
}

// handleStartRefused handles results that prove that the start did not take effect.
func (s *Scheduler) handleStartRefused(e *bwexecutor.Executor, r *bwexecutor.Run, result Result, now bwclock.Time) {
	if r.Phase != bwexecutor.Starting {
		return
	}
	if r.ConfirmedAt != bwclock.Never {
		// A report has listed the run in the meantime.
		r.Phase = bwexecutor.Running
		return
	}
	j := s.jobs[r.Task.Job]
	if result == RunTooOld && j != nil && j.IsActive() {
		j.SkipRunsThrough(r.Task, r.Number+takeoverRunGap)
	}
	s.releaseRun(e, r, startRefused, now)
	if j != nil && j.EndProbation(r.Task, r.Number) {
		s.dirty[j.ID()] = true
		s.suspects.hasUnstored = true
	}
	switch result {
	case Unhealthy, NotSent, OtherIncarnation, Invalid:
		e.RecordFailure(now)
		e.PauseStarts(now.Add(2 * refusalBackoff))
	case TicketRefused:
		s.advice.invalidate(stepIDOf(r.Task))
	case InsufficientCapacity, LeaseExpired:
		e.PauseStarts(now.Add(refusalBackoff))
	}
	if step, ok := s.stepOf(r.Task); ok && step.Gang {
		s.stopGang(j, r.Task, now)
	}
}

func (s *Scheduler) handleStopResult(r *bwexecutor.Run, result Result, now bwclock.Time) {
	switch result {
	case Accepted:
		r.StopAcknowledgedAt = now
	case Unhealthy, NotSent, Unanswered:
		if result == Unanswered {
			r.StopUnansweredAt = now
		}
		// Lets another stop be ordered as soon as a report lists the run.
		r.StopOrderedAt = bwclock.Never
	}
}
