package bwexecutor

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// clockDriftPercent is how much slower an executor's clock may run according to the
	// platform's specification of executors.
	clockDriftPercent = 2
	// leaseExpiryMargin is added to the end of a lease before it counts as expired. It covers
	// delays of the executor's timers.
	leaseExpiryMargin = 200 * time.Millisecond
	// failureWindow is how long a failure counts against an executor.
	failureWindow = 6 * time.Second
	// maxRestartTime is how long a crashed executor may take to report again. Later its crash is
	// not noticed.
	maxRestartTime = 15 * time.Second
	// suspectFailureCount is the number of recent failures without a success in between from
	// which an executor gets only one task at a time.
	suspectFailureCount = 3
)

// Phase is the lifecycle phase of a run, as far as the scheduler knows it.
type Phase int

// The phases of a run.
const (
	// Starting means that the start order is in flight.
	Starting Phase = iota
	Running
	// Indeterminate means that the run may exist or may still start: the start order had no
	// reply, or a report no longer lists the run.
	Indeterminate
	// Stopping means that a stop was ordered and the end is not reported yet.
	Stopping
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"starting", "running", "indeterminate", "stopping"}[p]
}

// Run is one run of a task on the executor.
type Run struct {
	Task      bwjob.TaskID
	Number    int
	Reserved  bwjob.Resources
	Phase     Phase
	OrderedAt bwclock.Time
	// ConfirmedAt is when a reply or a report first showed that the run exists.
	ConfirmedAt bwclock.Time
	// IsListed is set once a report has listed the run. A reply does not tell which incarnation accepted the start.
	IsListed bool
	Status   RunStatus
	// IsOrphaned marks a run that its task no longer needs: its end does not release the task.
	IsOrphaned bool
	// HasUnknownSize marks a run whose resources are unknown because its job is gone.
	HasUnknownSize bool
	// Pace is the share of full speed that was last ordered, in percent.
	Pace int
	// PaceChangedAt is when the pace was last changed.
	PaceChangedAt bwclock.Time
	// StopOrderedAt is when the latest stop was ordered. It is Never if the next stop may be
	// ordered at once.
	StopOrderedAt bwclock.Time
	// StopAcknowledgedAt is when the executor last acknowledged a stop of the run.
	StopAcknowledgedAt bwclock.Time
	// StopUnansweredAt is when a stop of the run last had no answer. It may still take effect.
	StopUnansweredAt bwclock.Time
	// StartExpiresAt is the time on the executor's clock, in milliseconds, from which it refuses the
	// start order; 0 if the order was not sent.
	StartExpiresAt int64
	// IsStopDeferred is set while the disruption budget of the step does not allow a stop.
	IsStopDeferred bool
}

// Executor is the scheduler's view of one executor: its runs, lease, reports and failures.
type Executor struct {
	registration Registration
	isRegistered bool
	incarnation  int64
	runs         map[bwjob.TaskID]*Run
	used         bwjob.Resources
	// runsOfJob counts the runs of each job.
	runsOfJob map[string]int
	// counter counts the runs of each task over all executors of a pool. It may be nil.
	counter RunCounter
	// lostRuns are the runs whose lease expired while the executor did not report.
	lostRuns []*Run
	lostAt   bwclock.Time
	// unknownSizeRuns counts the runs whose resources are unknown.
	unknownSizeRuns int

	// clockMillis is the reading of the executor's clock at the local time clockReadAt.
	// leaseEnd is on the executor's clock too, in milliseconds.
	clockMillis int64
	clockReadAt bwclock.Time
	leaseEnd    int64
	// leaseHeldUntil is the local time before which the lease does not count as expired.
	leaseHeldUntil bwclock.Time
	reportedAt     bwclock.Time
	// reportedSince is the time of the first report of the current incarnation.
	reportedSince bwclock.Time
	// listedAllAt is the time of the first report of the current incarnation that listed all ends.
	listedAllAt     bwclock.Time
	hasReported     bool
	isReportMissing bool

	seenEnd  int64
	ackedEnd int64

	failures          int
	lastFailure       bwclock.Time
	cordonedUntil     bwclock.Time
	startsPausedUntil bwclock.Time
	isAdmitted        bool
}

// RunCounter counts the runs of each task over several executors. Tasks without a run have no entry.
type RunCounter map[bwjob.TaskID]int

func (c RunCounter) add(id bwjob.TaskID, n int) {
	if c == nil {
		return
	}
	if c[id] += n; c[id] == 0 {
		delete(c, id)
	}
}

// Option configures an Executor.
type Option func(*Executor)

// WithRunCounter makes the executor count its runs in c.
func WithRunCounter(c RunCounter) Option {
	return func(e *Executor) { e.counter = c }
}

// New returns the state of an executor that has not reported yet.
func New(r Registration, options ...Option) *Executor {
	e := &Executor{registration: r, isRegistered: true, runs: make(map[bwjob.TaskID]*Run), runsOfJob: make(map[string]int)}
	for _, option := range options {
		option(e)
	}
	return e
}

// Registration returns the latest registration.
func (e *Executor) Registration() Registration { return e.registration }

// ID returns the executor's ID.
func (e *Executor) ID() string { return e.registration.ID }

// Register replaces the registration and marks the executor as registered.
func (e *Executor) Register(r Registration) {
	e.registration = r
	e.isRegistered = true
}

// Unregister marks the executor as no longer listed in the registry.
func (e *Executor) Unregister() { e.isRegistered = false }

// IsRegistered reports whether the registry lists the executor.
func (e *Executor) IsRegistered() bool { return e.isRegistered }

// HasReported reports whether the current incarnation has reported.
func (e *Executor) HasReported() bool { return e.hasReported }

// Incarnation returns the incarnation that last reported.
func (e *Executor) Incarnation() int64 { return e.incarnation }

// Cordon blocks new tasks until the given time. It replaces an earlier cordon.
func (e *Executor) Cordon(until bwclock.Time) { e.cordonedUntil = until }

// IsCordoned reports whether a cordon blocks new tasks.
func (e *Executor) IsCordoned(now bwclock.Time) bool { return now.Before(e.cordonedUntil) }

// SetAdmitted sets whether the executor is on the stored list of the pool's executors and its incarnation is known
// to have reported before a successor could. Only admitted executors get tasks.
func (e *Executor) SetAdmitted(isAdmitted bool) { e.isAdmitted = isAdmitted }

// Free returns the capacity that no run uses or may use.
func (e *Executor) Free() bwjob.Resources { return e.registration.Capacity.Minus(e.used) }

// IsOverCapacity reports whether the runs use or may use more than the capacity, which may shrink.
func (e *Executor) IsOverCapacity() bool { return !e.Free().Fits(bwjob.Resources{}) }

// Runs returns the runs by task. The caller must not modify the map.
func (e *Executor) Runs() map[bwjob.TaskID]*Run { return e.runs }

// HasRunsOf reports whether the executor runs or may run a task of the job.
func (e *Executor) HasRunsOf(job string) bool { return e.runsOfJob[job] > 0 }

// Run returns the run of a task, or nil.
func (e *Executor) Run(id bwjob.TaskID) *Run { return e.runs[id] }

// IsSchedulable reports whether a new task may be placed on the executor now.
func (e *Executor) IsSchedulable(now bwclock.Time, maxReportAge time.Duration) bool {
	return e.isAdmitted && e.isRegistered && e.hasReported && !e.isReportMissing && !e.registration.IsDraining && !e.IsCordoned(now) &&
		e.incarnation == e.registration.Incarnation &&
		now.Sub(e.reportedAt) < maxReportAge && !now.Before(e.startsPausedUntil) &&
		!(e.IsSuspect(now) && len(e.runs) > 0) && e.unknownSizeRuns == 0
}

// Add adds a run that was ordered or reported. It replaces an earlier run of the same task.
func (e *Executor) Add(r *Run) {
	e.Remove(r.Task)
	e.runs[r.Task] = r
	e.runsOfJob[r.Task.Job]++
	e.counter.add(r.Task, 1)
	e.used = e.used.Plus(r.Reserved)
	if r.HasUnknownSize {
		e.unknownSizeRuns++
	}
}

// Remove removes the run of a task that is certain not to run here, now or later.
func (e *Executor) Remove(id bwjob.TaskID) {
	if r := e.runs[id]; r != nil {
		e.used = e.used.Minus(r.Reserved)
		delete(e.runs, id)
		e.counter.add(id, -1)
		if e.runsOfJob[id.Job]--; e.runsOfJob[id.Job] == 0 {
			delete(e.runsOfJob, id.Job)
		}
		if r.HasUnknownSize {
			e.unknownSizeRuns--
		}
	}
}

// SyncClock records the executor's clock, in milliseconds, from a reply.
func (e *Executor) SyncClock(clockMillis int64, now bwclock.Time) {
	e.clockMillis = clockMillis
	e.clockReadAt = now
}

// RecordReport records that a report arrived at now.
func (e *Executor) RecordReport(incarnation int64, now bwclock.Time) {
	if !e.hasReported {
		e.reportedSince, e.listedAllAt = now, bwclock.Never
	}
	e.incarnation = incarnation
	e.hasReported = true
	e.reportedAt = now
	e.isReportMissing = false
}

// RecordCompleteReport records that the latest report listed all ends that are not acknowledged.
func (e *Executor) RecordCompleteReport(now bwclock.Time) {
	if e.listedAllAt == bwclock.Never {
		e.listedAllAt = now
	}
}

// ListedAllAt returns the time of the first report of the current incarnation that listed all ends that were not
// acknowledged, or Never.
func (e *Executor) ListedAllAt() bwclock.Time { return e.listedAllAt }

// RecordMissedReport records that a report failed. The executor may have restarted, so it
// gets no new tasks until the next report shows its incarnation.
func (e *Executor) RecordMissedReport() { e.isReportMissing = true }

// HasCurrentReport reports whether the latest report arrived, so that the list of runs is
// complete.
func (e *Executor) HasCurrentReport() bool { return e.hasReported && !e.isReportMissing }

// ReportedAt returns when the latest report arrived.
func (e *Executor) ReportedAt() bwclock.Time { return e.reportedAt }

// ReportedSince returns when the current incarnation reported for the first time.
func (e *Executor) ReportedSince() bwclock.Time { return e.reportedSince }

// IsNew reports whether the current incarnation has reported for the first time recently.
func (e *Executor) IsNew(now bwclock.Time) bool { return now.Sub(e.reportedSince) < failureWindow }

// RecordLostRuns records runs that the executor may have lost in a crash: their lease has expired
// while it did not report.
func (e *Executor) RecordLostRuns(runs []*Run, now bwclock.Time) {
	e.lostRuns, e.lostAt = runs, now
}

// TakeLostRuns returns the recorded lost runs and forgets them.
func (e *Executor) TakeLostRuns() []*Run {
	runs := e.lostRuns
	e.lostRuns = nil
	return runs
}

// IsCrashUnclear reports whether runs were lost recently and it is not known whether the
// executor has crashed.
func (e *Executor) IsCrashUnclear(now bwclock.Time) bool {
	return len(e.lostRuns) > 0 && now.Sub(e.lostAt) < maxRestartTime
}

// Reset discards the state of an earlier incarnation and returns its runs.
func (e *Executor) Reset() []*Run {
	lost := make([]*Run, 0, len(e.runs))
	for _, r := range e.runs {
		lost = append(lost, r)
		e.counter.add(r.Task, -1)
	}
	e.runs = make(map[bwjob.TaskID]*Run)
	e.runsOfJob = make(map[string]int)
	e.used = bwjob.Resources{}
	e.unknownSizeRuns = 0
	e.clockMillis, e.clockReadAt, e.leaseEnd = 0, bwclock.Never, 0
	e.hasReported = false
	e.seenEnd, e.ackedEnd = 0, 0
	e.failures = 0
	return lost
}

// ExtendLease extends the recorded lease to at least the given length from now and returns
// its end on the executor's clock. It returns false as long as that clock is unknown.
func (e *Executor) ExtendLease(now bwclock.Time, length time.Duration) (int64, bool) {
	if e.clockReadAt == bwclock.Never {
		return 0, false
	}
	e.leaseEnd = max(e.leaseEnd, e.clockMillis+now.Sub(e.clockReadAt).Milliseconds()+length.Milliseconds())
	return e.leaseEnd, true
}

// HasLeaseExpired reports whether the lease is certain to have expired. Then nothing runs on
// the executor, and no earlier start order can take effect any more.
func (e *Executor) HasLeaseExpired(now bwclock.Time) bool {
	return !now.Before(e.leaseHeldUntil) && e.hasClockPassed(e.leaseEnd, now)
}

// HoldLease keeps the lease from counting as expired before the given time.
func (e *Executor) HoldLease(until bwclock.Time) { e.leaseHeldUntil = max(e.leaseHeldUntil, until) }

// LeaseHeldUntil returns the time before which the lease does not count as expired, or Never.
func (e *Executor) LeaseHeldUntil() bwclock.Time { return e.leaseHeldUntil }

// LeaseLeft returns how much of the recorded lease is left according to the estimate of the executor's clock,
// without the allowance for drift. It is negative after the end. It returns false as long as that clock is unknown.
func (e *Executor) LeaseLeft(now bwclock.Time) (time.Duration, bool) {
	if e.clockReadAt == bwclock.Never {
		return 0, false
	}
	left := e.leaseEnd - e.clockMillis - now.Sub(e.clockReadAt).Milliseconds()
	return time.Duration(left) * time.Millisecond, true
}

// HasStartExpired reports whether the executor is certain to refuse the start order of the run from
// the given time on, if it has not executed it before.
func (e *Executor) HasStartExpired(r *Run, at bwclock.Time) bool {
	return r.StartExpiresAt > 0 && e.hasClockPassed(r.StartExpiresAt, at)
}

// hasClockPassed reports whether the executor's clock, in milliseconds, is certain to have passed a
// time at the given local time.
func (e *Executor) hasClockPassed(millis int64, at bwclock.Time) bool {
	if e.clockReadAt == bwclock.Never {
		return false
	}
	elapsed := at.Sub(e.clockReadAt).Milliseconds() * (100 - clockDriftPercent) / 100
	return e.clockMillis+elapsed > millis+leaseExpiryMargin.Milliseconds()
}

// MarkEndSeen reports whether the end with this number is new, and records it as seen.
func (e *Executor) MarkEndSeen(number int64) bool {
	if number <= e.seenEnd {
		return false
	}
	e.seenEnd = number
	return true
}

// LastSeenEnd returns the highest end number seen so far.
func (e *Executor) LastSeenEnd() int64 { return e.seenEnd }

// AcknowledgeEnds records that all ends up to number are stored, so that the executor may drop
// them.
func (e *Executor) AcknowledgeEnds(number int64) { e.ackedEnd = max(e.ackedEnd, number) }

// LastAckedEnd returns the highest end number that is stored.
func (e *Executor) LastAckedEnd() int64 { return e.ackedEnd }

// RecordFailure counts a failed run, a refused start or an expired lease.
func (e *Executor) RecordFailure(now bwclock.Time) {
	if now.Sub(e.lastFailure) > failureWindow {
		e.failures = 0
	}
	e.failures++
	e.lastFailure = now
}

// RecordSuccess records a successful run, which resets the failure count.
func (e *Executor) RecordSuccess() {
	e.failures = 0
}

// PauseStarts blocks new tasks until the given time. It never shortens an earlier pause.
func (e *Executor) PauseStarts(until bwclock.Time) {
	e.startsPausedUntil = max(e.startsPausedUntil, until)
}

// IsSuspect reports whether the executor has failed repeatedly in the recent past.
func (e *Executor) IsSuspect(now bwclock.Time) bool {
	return e.failures >= suspectFailureCount && now.Sub(e.lastFailure) < failureWindow
}

// RecentFailures returns the number of failures since the latest success, or 0 if the last
// one is long ago.
func (e *Executor) RecentFailures(now bwclock.Time) int {
	if now.Sub(e.lastFailure) >= failureWindow {
		return 0
	}
	return e.failures
}
