package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// earliestStartExpiry is an end of a start's lease that the clock of every incarnation has passed. The end that
// was sent is a time on the clock of the earlier incarnation.
const earliestStartExpiry = 1

const (
	// defaultMaxLease is the longest lease that an executor grants, unless an option sets another.
	defaultMaxLease = 10 * time.Second
	// maxLeaseDriftPercent is how much slower an executor's clock may run.
	maxLeaseDriftPercent = 2
)

// longestLease returns how long the longest lease that an executor grants may last.
func (s *Scheduler) longestLease() time.Duration {
	return s.maxLease + s.maxLease*maxLeaseDriftPercent/100
}

// HoldLease keeps the lease of an awaited executor, whose restart a previous owner has noticed, from counting as
// expired before the given time.
func (s *Scheduler) HoldLease(id string, until bwclock.Time) { s.heldLeases[id] = until }

// resetExecutor releases the tasks of an executor that has restarted, and records the crash. The runs in
// inFlight keep their tasks, because their starts may still take effect.
func (s *Scheduler) resetExecutor(e *bwexecutor.Executor, inFlight map[bwjob.TaskID]*bwexecutor.Run, now bwclock.Time) {
	lastReportAt := e.ReportedAt()
	for _, run := range e.Runs() {
		if inFlight[run.Task] == nil {
			s.recordRelease(e, run, restarted, now)
			s.recordReleasedStart(e, run, now)
		}
	}
	lost := append(e.TakeLostRuns(), e.Reset()...)
	for _, run := range lost {
		if j := s.jobs[run.Task.Job]; j != nil && !run.IsOrphaned && inFlight[run.Task] != run {
			j.Release(run.Task, e.ID())
		}
	}
	for _, run := range inFlight {
		s.keepStart(e, run)
	}
	// Calls that were meant for the earlier incarnation name the end of a lease on its clock.
	e.HoldLease(now.Add(s.longestLease()))
	s.logLostTasks(e, lost, "executor has restarted", now)
	if e.Registration().IsDraining {
		// A draining executor ends by itself.
		return
	}
	for _, run := range lost {
		if run.Phase != bwexecutor.Starting && !run.IsOrphaned {
			isEarly := lastReportAt.Sub(startOf(run)) < earlyCrashTime
			c := bwjob.Crash{Run: run.Number, IsAlone: len(lost) == 1, IsEarly: isEarly, HasWorked: s.hasWorked(run, isEarly)}
			s.recordCrash(run.Task, c, e.ID(), now)
		}
	}
}

// startsInFlight returns the runs of an executor that may be runs of its next incarnation, whose first report was
// requested at sentAt: their start orders were sent, and have no answer, or one that came after the request while
// no report of the earlier incarnation had listed them. The next incarnation accepts such orders, because they name
// the executor by its ID, which it keeps.
func (s *Scheduler) startsInFlight(e *bwexecutor.Executor, sentAt bwclock.Time) map[bwjob.TaskID]*bwexecutor.Run {
	list := make(map[bwjob.TaskID]*bwexecutor.Run)
	for id, r := range e.Runs() {
		isSent := r.Phase != bwexecutor.Starting || r.StartExpiresAt > 0
		if isSent && (r.ConfirmedAt == bwclock.Never || !r.IsListed && sentAt.Before(r.ConfirmedAt)) {
			list[id] = r
		}
	}
	return list
}

// keepStart records a start order that the new incarnation of an executor may still execute. It is settled like
// any start without an answer.
func (s *Scheduler) keepStart(e *bwexecutor.Executor, r *bwexecutor.Run) {
	e.Add(&bwexecutor.Run{Task: r.Task, Number: r.Number, Reserved: r.Reserved, Phase: bwexecutor.Indeterminate, OrderedAt: r.OrderedAt,
		IsOrphaned: r.IsOrphaned, HasUnknownSize: r.HasUnknownSize, Pace: r.Pace, StartExpiresAt: earliestStartExpiry})
	s.log.Info("start may reach the restarted executor; the task waits", "job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID())
}

// HandleRestart handles a reply that shows that the executor has restarted under another
// incarnation.
func (s *Scheduler) HandleRestart(id string, now bwclock.Time) {
	if e := s.executors[id]; e != nil && e.HasReported() {
		s.log.Warn("executor replied with another incarnation; its runs are lost", "executor", id, "previous", e.Incarnation(),
			"lostRuns", len(e.Runs()))
		// An executor under another ID at the address refuses the orders in flight.
		s.resetExecutor(e, nil, now)
	}
	s.resolveProbations(id, noIncarnation, now)
}
