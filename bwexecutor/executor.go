package bwexecutor

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// clockDriftPercent is how much slower an executor's clock may run, by the platform's
	// description of executors.
	clockDriftPercent = 2
	// lapseMargin is added before a lease counts as lapsed; it covers the executor's timers.
	lapseMargin = 200 * time.Millisecond
	// evidenceFor is how long a failure counts against an executor.
	evidenceFor = 6 * time.Second
	// suspectFailures is the number of recent failures without a success between them at
	// which an executor gets no more than one task at a time.
	suspectFailures = 3
)

// Phase is how far a run at an executor is.
type Phase int

// The phases of a run.
const (
	// Starting means that the start order has no answer yet.
	Starting Phase = iota
	Running
	// Doubtful means that the start order may be carried out, now or later.
	Doubtful
	// Stopping means that a stop was ordered and the end is not listed yet.
	Stopping
)

// Run is one run of a task at the executor.
type Run struct {
	Task      bwjob.TaskID
	Number    int
	Reserved  bwjob.Resources
	Phase     Phase
	OrderedAt bwclock.Time
	// ConfirmedAt is when an answer or a report first proved the run.
	ConfirmedAt bwclock.Time
	Status      RunStatus
	// IsAbandoned marks a run whose task is not assigned to it any more.
	IsAbandoned bool
	// IsUnsized marks a run of which it is not known what it takes; its job is gone.
	IsUnsized bool
	// Pace is the share of its work that was last ordered, in percent.
	Pace int
	// PacedAt is when the pace was last changed.
	PacedAt bwclock.Time
	// StopOrderedAt is when the latest stop was ordered.
	StopOrderedAt bwclock.Time
	// StopAnsweredAt is when a stop was last answered.
	StopAnsweredAt bwclock.Time
}

// Executor is the ledger of one executor.
type Executor struct {
	registration Registration
	isRegistered bool
	incarnation  int64
	runs         map[bwjob.TaskID]*Run
	used         bwjob.Resources
	// unsized counts the runs of which it is not known what they take.
	unsized int

	clock      int64
	clockAt    bwclock.Time
	until      int64
	reportedAt bwclock.Time
	hasReport  bool
	isMissing  bool

	seenEnd  int64
	ackedEnd int64

	failures      int
	lastFailure   bwclock.Time
	cordonedUntil bwclock.Time
	refusedUntil  bwclock.Time
	isAdmitted    bool
}

// New returns the ledger of an executor that has not reported yet.
func New(r Registration) *Executor {
	return &Executor{registration: r, isRegistered: true, runs: make(map[bwjob.TaskID]*Run)}
}

// Registration returns the latest registration.
func (e *Executor) Registration() Registration { return e.registration }

// ID returns the executor's id.
func (e *Executor) ID() string { return e.registration.ID }

// Register takes in a registration.
func (e *Executor) Register(r Registration) {
	e.registration = r
	e.isRegistered = true
}

// Unregister notes that the registry does not list the executor any more.
func (e *Executor) Unregister() { e.isRegistered = false }

// IsRegistered reports whether the registry lists the executor.
func (e *Executor) IsRegistered() bool { return e.isRegistered }

// HasReported reports whether the current incarnation has reported.
func (e *Executor) HasReported() bool { return e.hasReport }

// Incarnation returns the incarnation that last reported.
func (e *Executor) Incarnation() int64 { return e.incarnation }

// Cordon keeps new tasks away until the given time, which replaces an earlier one.
func (e *Executor) Cordon(until bwclock.Time) { e.cordonedUntil = until }

// IsCordoned reports whether new tasks are kept away.
func (e *Executor) IsCordoned(now bwclock.Time) bool { return now.Before(e.cordonedUntil) }

// Admit notes whether the executor is on the stored list of the pool's executors; only then
// it gets tasks.
func (e *Executor) Admit(isAdmitted bool) { e.isAdmitted = isAdmitted }

// Free returns the capacity that nothing uses or may use.
func (e *Executor) Free() bwjob.Resources { return e.registration.Capacity.Minus(e.used) }

// Runs returns the runs by task. The caller must not change the map.
func (e *Executor) Runs() map[bwjob.TaskID]*Run { return e.runs }

// Run returns the run of a task, or nil.
func (e *Executor) Run(id bwjob.TaskID) *Run { return e.runs[id] }

// CanTake reports whether a new task may be placed here now.
func (e *Executor) CanTake(now bwclock.Time, silentFor time.Duration) bool {
	return e.isAdmitted && e.isRegistered && e.hasReport && !e.isMissing && !e.registration.IsDraining && !e.IsCordoned(now) &&
		e.incarnation == e.registration.Incarnation &&
		now.Sub(e.reportedAt) < silentFor && !now.Before(e.refusedUntil) &&
		!(e.IsSuspect(now) && len(e.runs) > 0) && e.unsized == 0
}

// Add counts a run that was ordered or found.
func (e *Executor) Add(r *Run) {
	e.Remove(r.Task)
	e.runs[r.Task] = r
	e.used = e.used.Plus(r.Reserved)
	if r.IsUnsized {
		e.unsized++
	}
}

// Remove forgets a run that is certain not to run here, now or later.
func (e *Executor) Remove(id bwjob.TaskID) {
	if r := e.runs[id]; r != nil {
		e.used = e.used.Minus(r.Reserved)
		delete(e.runs, id)
		if r.IsUnsized {
			e.unsized--
		}
	}
}

// Heard takes in the executor's clock from an answer.
func (e *Executor) Heard(clock int64, now bwclock.Time) {
	e.clock = clock
	e.clockAt = now
}

// Reported notes that a report has come in at now.
func (e *Executor) Reported(incarnation int64, now bwclock.Time) {
	e.incarnation = incarnation
	e.hasReport = true
	e.reportedAt = now
	e.isMissing = false
}

// MissedReport notes that a report did not come. The executor may have restarted, so it
// gets no new tasks until the next report tells its incarnation.
func (e *Executor) MissedReport() { e.isMissing = true }

// IsHeard reports whether the latest report came, so that the ledger is complete.
func (e *Executor) IsHeard() bool { return e.hasReport && !e.isMissing }

// ReportedAt returns when the latest report came in.
func (e *Executor) ReportedAt() bwclock.Time { return e.reportedAt }

// Restart forgets everything about an earlier incarnation and returns its runs.
func (e *Executor) Restart() []*Run {
	lost := make([]*Run, 0, len(e.runs))
	for _, r := range e.runs {
		lost = append(lost, r)
	}
	e.runs = make(map[bwjob.TaskID]*Run)
	e.used = bwjob.Resources{}
	e.unsized = 0
	e.clock, e.clockAt, e.until = 0, bwclock.Never, 0
	e.hasReport = false
	e.seenEnd, e.ackedEnd = 0, 0
	e.failures = 0
	return lost
}

// ExtendLease returns the end of a lease of the given length from now, on the executor's
// clock, and counts it as granted. It returns false before the clock is known.
func (e *Executor) ExtendLease(now bwclock.Time, length time.Duration) (int64, bool) {
	if e.clockAt == bwclock.Never {
		return 0, false
	}
	e.until = max(e.until, e.clock+now.Sub(e.clockAt).Milliseconds()+length.Milliseconds())
	return e.until, true
}

// HasLapsed reports whether the lease has ended for certain, so that nothing runs here and
// no earlier start order can be carried out any more.
func (e *Executor) HasLapsed(now bwclock.Time) bool {
	if e.clockAt == bwclock.Never {
		return false
	}
	elapsed := now.Sub(e.clockAt).Milliseconds() * (100 - clockDriftPercent) / 100
	return e.clock+elapsed > e.until+lapseMargin.Milliseconds()
}

// SeeEnd reports whether an end with this number is new, and notes it.
func (e *Executor) SeeEnd(number int64) bool {
	if number <= e.seenEnd {
		return false
	}
	e.seenEnd = number
	return true
}

// SeenEnd returns the highest number of an end that was seen.
func (e *Executor) SeenEnd() int64 { return e.seenEnd }

// Acknowledge notes that all ends up to number are stored.
func (e *Executor) Acknowledge(number int64) { e.ackedEnd = max(e.ackedEnd, number) }

// AckedEnd returns the highest number whose end is stored.
func (e *Executor) AckedEnd() int64 { return e.ackedEnd }

// CountFailure notes a failed run or a refused start.
func (e *Executor) CountFailure(now bwclock.Time) {
	if now.Sub(e.lastFailure) > evidenceFor {
		e.failures = 0
	}
	e.failures++
	e.lastFailure = now
}

// CountSuccess notes a run that ended as done.
func (e *Executor) CountSuccess() {
	e.failures = 0
}

// PauseStarts keeps new tasks away until the given time.
func (e *Executor) PauseStarts(until bwclock.Time) { e.refusedUntil = max(e.refusedUntil, until) }

// IsSuspect reports whether the executor has lately failed what it started.
func (e *Executor) IsSuspect(now bwclock.Time) bool {
	return e.failures >= suspectFailures && now.Sub(e.lastFailure) < evidenceFor
}

// RecentFailures returns the failures since the latest success.
func (e *Executor) RecentFailures(now bwclock.Time) int {
	if now.Sub(e.lastFailure) >= evidenceFor {
		return 0
	}
	return e.failures
}
