package bwschedule

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// HandleReport applies an executor's list of running and ended runs. The request was sent at
// sentAt; the list may not reflect orders that were sent later.
func (s *Scheduler) HandleReport(id string, r bwexecutor.Report, sentAt, now bwclock.Time) {
	e := s.executors[id]
	if e == nil {
		return
	}
	if e.HasReported() && e.Incarnation() != r.Incarnation {
		s.log.Warn("executor has restarted", "executor", id, "incarnation", r.Incarnation, "previous", e.Incarnation(),
			"lostRuns", len(e.Runs()), "evidenceAge", age(sentAt, now))
		s.resetExecutor(e, s.startsInFlight(e, sentAt), now)
	}
	if !e.HasReported() {
		s.log.Info("executor has reported for the first time", "executor", id, "incarnation", r.Incarnation, "runs", len(r.Running),
			"ends", len(r.Ended), "awaited", s.IsAwaited(id), "awaitedExecutors", len(s.awaited), "evidenceAge", age(sentAt, now))
	}
	if !e.HasReported() {
		e.HoldLease(s.heldLeases[id])
	}
	s.resolveProbations(id, r.Incarnation, now)
	e.TakeLostRuns()
	e.RecordReport(r.Incarnation, now)
	s.recallReleasedStarts(e, now)
	for _, end := range r.Ended {
		if e.MarkEndSeen(end.Number) {
			s.handleEnd(e, end.End, now)
		}
	}
	listed := make(map[bwjob.TaskID]bool, len(r.Running))
	for _, status := range r.Running {
		listed[status.Task] = true
		s.handleStatus(e, status, now)
	}
	if len(r.Ended) < maxReportedEnds {
		e.RecordCompleteReport(now)
		s.reconcileUnlisted(e, listed, sentAt, now)
	}
}

// hasWorked reports whether a long-running task was available during the run. The reported share of
// full speed does not tell it of a best-effort task, which may be slowed down.
func (s *Scheduler) hasWorked(r *bwexecutor.Run, isEarly bool) bool {
	step, ok := s.stepOf(r.Task)
	return ok && step.LongRunning && (r.Status.Percent >= availablePercent || step.BestEffort && !isEarly)
}

// startOf returns when a run is first known to exist, or else when it was ordered.
func startOf(r *bwexecutor.Run) bwclock.Time {
	if r.ConfirmedAt == bwclock.Never {
		return r.OrderedAt
	}
	return r.ConfirmedAt
}

// handleEnd applies the end of one run.
func (s *Scheduler) handleEnd(e *bwexecutor.Executor, end bwjob.End, now bwclock.Time) {
	r := e.Run(end.Task)
	isCurrent := r != nil && r.Number <= end.Run
	isOrphaned := isCurrent && r.IsOrphaned
	if isCurrent {
		e.Remove(end.Task)
	}
	j := s.jobs[end.Task.Job]
	if j == nil {
		return
	}
	_, isQueueKnown := s.settingsOf(j)
	j.OpenReported(end.Task.Occurrence)
	j.MarkStarted()
	s.recordOutcome(e, j, end, now)
	s.log.Info("run ended", append([]any{"job", end.Task.Job, "task", end.Task, "run", end.Run, "executor", e.ID(),
		"how", end.Kind.String(), "queue", j.Spec().Queue, "isQueueKnown", isQueueKnown, "maxAttempts", s.maxAttempts(j)}, s.availability(end.Task, now)...)...)
	hasChanged := j.IsActive() && j.RecordEnd(end, s.maxAttempts(j))
	if isCurrent && !isOrphaned && j.IsActive() {
		j.Release(end.Task, e.ID())
	}
	if !hasChanged {
		return
	}
	s.handleJobChange(j, now)
	if j.IsActive() {
		s.stopDuplicateRun(j, end.Task, now)
	}
}

// recordOutcome updates the failure history of the executor and of the task.
func (s *Scheduler) recordOutcome(e *bwexecutor.Executor, j *bwjob.Job, end bwjob.End, now bwclock.Time) {
	step, _ := s.stepOf(end.Task)
	switch {
	case end.Kind == bwjob.EndDone:
		e.RecordSuccess()
	case end.Kind == bwjob.EndFailed && !step.LongRunning:
		e.RecordFailure(now)
		j.RecordFailedExecutor(end.Task, e.ID())
	}
}

// stopDuplicateRun stops a run of a task that is already done. Such runs come from start
// orders that took effect late.
func (s *Scheduler) stopDuplicateRun(j *bwjob.Job, id bwjob.TaskID, now bwclock.Time) {
	t := j.Task(id)
	if t == nil || !t.IsDone() || t.Executor() == "" {
		return
	}
	if e := s.executors[t.Executor()]; e != nil {
		if r := e.Run(id); r != nil {
			r.IsOrphaned = true
			s.stopRun(e, r, now, "task is done elsewhere")
		}
	}
}

// handleStatus applies the reported status of one run.
func (s *Scheduler) handleStatus(e *bwexecutor.Executor, status bwexecutor.RunStatus, now bwclock.Time) {
	r := e.Run(status.Task)
	if r == nil || r.Number < status.Run {
		r = s.adoptRun(e, status, now)
	}
	r.Status = status
	r.IsListed = true
	if r.ConfirmedAt == bwclock.Never {
		r.ConfirmedAt = now
	}
	if r.Phase == bwexecutor.Indeterminate {
		r.Phase = bwexecutor.Running
		s.log.Info("indeterminate run is listed as running", "job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID())
	}
	j := s.jobs[status.Task.Job]
	if j != nil {
		j.MarkStarted()
	}
	if j != nil && j.IsActive() && !r.IsOrphaned {
		j.SaveCheckpoint(status.Task, status.Run, status.Checkpoint)
		s.forgetCrashes(j, r, now)
	}
	if s.isEvictionLost(r) {
		// Whether to evict the task is decided again.
		r.Phase = bwexecutor.Running
		s.log.Info("evicted task runs on", "job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID())
	}
	if r.IsOrphaned || r.Phase == bwexecutor.Stopping {
		s.stopRun(e, r, now, "run is not wanted")
	}
}

// isEvictionLost reports whether the run is that of a long-running task whose eviction was refused
// or got no answer.
func (s *Scheduler) isEvictionLost(r *bwexecutor.Run) bool {
	if r.IsOrphaned || r.Phase != bwexecutor.Stopping || r.StopOrderedAt != bwclock.Never || r.StopAcknowledgedAt != bwclock.Never {
		return false
	}
	step, ok := s.stepOf(r.Task)
	return ok && step.LongRunning && !step.Gang
}

// adoptRun records a run that this owner did not expect: a previous owner started it, or a
// start order took effect after it had been given up. If the task is done or assigned to another
// executor, the run is marked as orphaned so that it gets stopped. Otherwise the task is assigned
// to the executor whatever the number of the run, because the restored numbers include that of
// the current run of a suspect task. A run whose failure would not count, because a run with the
// same number has failed before, is stopped; the task waits for its end.
func (s *Scheduler) adoptRun(e *bwexecutor.Executor, status bwexecutor.RunStatus, now bwclock.Time) *bwexecutor.Run {
	r := &bwexecutor.Run{Task: status.Task, Number: status.Run, Phase: bwexecutor.Running, ConfirmedAt: now, OrderedAt: now, Pace: status.Percent}
	j := s.jobs[status.Task.Job]
	var t *bwjob.Task
	if j != nil && j.IsActive() {
		j.OpenReported(status.Task.Occurrence)
		t = j.Task(status.Task)
	}
	if t == nil {
		r.HasUnknownSize = true
	} else {
		r.Reserved = j.Spec().Steps[status.Task.Step].Reserved()
	}
	isElsewhere := t != nil && t.Executor() != "" && t.Executor() != e.ID()
	if t == nil || t.IsDone() || isElsewhere {
		r.IsOrphaned = true
		s.logOrphanedRun(e, status, t)
		e.Add(r)
		return r
	}
	j.Assign(status.Task, e.ID(), status.Run)
	s.log.Info("run adopted", "job", status.Task.Job, "task", status.Task, "run", status.Run, "executor", e.ID())
	e.Add(r)
	if j.HasFailed(status.Task, status.Run) {
		s.stopRun(e, r, now, "another run with this number has failed")
	}
	return r
}

// logOrphanedRun logs a run that is not adopted, with the state of its task, which is nil if the
// job has ended or has no such task.
func (s *Scheduler) logOrphanedRun(e *bwexecutor.Executor, status bwexecutor.RunStatus, t *bwjob.Task) {
	fields := []any{"job", status.Task.Job, "task", status.Task, "run", status.Run, "executor", e.ID(), "known", t != nil}
	if t != nil {
		p, _ := t.Probation()
		fields = append(fields, "done", t.IsDone(), "assignedTo", t.Executor(), "highestRun", t.Run(), "failures", t.Failures(),
			"crashes", t.Crashes(), "probation", p.Run, "probationExecutor", p.Executor)
	}
	s.log.Warn("executor reported an orphaned run", fields...)
}

// reconcileUnlisted handles runs that the report does not list. It releases those that are
// certain not to run, and stops those whose state is indeterminate.
func (s *Scheduler) reconcileUnlisted(e *bwexecutor.Executor, listed map[bwjob.TaskID]bool, sentAt, now bwclock.Time) {
	for id, r := range e.Runs() {
		if listed[id] {
			continue
		}
		switch {
		case r.StopAcknowledgedAt != bwclock.Never && r.StopAcknowledgedAt.Before(sentAt):
			// An executor that has acknowledged a stop refuses any later start of this run.
			s.releaseRun(e, r, stopAcknowledged, now)
		case r.Phase == bwexecutor.Indeterminate && r.OrderedAt.Before(sentAt):
			s.settleStart(e, r, sentAt, now)
		case r.Phase == bwexecutor.Running && r.ConfirmedAt != bwclock.Never && r.ConfirmedAt.Before(sentAt):
			s.log.Warn("confirmed run is no longer listed; stopping it", "job", id.Job, "task", id, "run", r.Number, "executor", e.ID())
			r.Phase = bwexecutor.Indeterminate
			s.stopRun(e, r, now, "run is not listed")
		}
	}
}

// NeedsReport reports whether the executor has an indeterminate run, which an early report
// could resolve.
func (s *Scheduler) NeedsReport(id string) bool {
	e := s.executors[id]
	if e == nil {
		return false
	}
	for _, r := range e.Runs() {
		if r.Phase == bwexecutor.Indeterminate {
			return true
		}
	}
	return false
}
