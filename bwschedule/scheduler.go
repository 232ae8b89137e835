package bwschedule

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"github.com/hashicorp/go-hclog"
)

const (
	// maxReportAge is the maximum age of an executor's latest report at which it gets new
	// tasks. It covers the time that an executor may delay a report and the time until a
	// lost report is detected.
	maxReportAge = 1900 * time.Millisecond
	// refusalBackoff is the backoff before the next start on an executor that refused one. It
	// is about the time in which a short task ends and frees capacity.
	refusalBackoff = 300 * time.Millisecond
	// stopRetryInterval is the time after which a stop order is sent again if the run has not
	// ended.
	stopRetryInterval = 1500 * time.Millisecond
	// takeoverRunGap is added to the run number of a task after the executor has refused a
	// start because of a higher run number: a previous owner may have started runs that it
	// did not record.
	takeoverRunGap = 32
	// maxReportedEnds is the maximum number of ends in one report. A report with this many
	// may not contain all of them.
	maxReportedEnds = 500
)

// Scheduler holds the jobs and executors of one pool.
type Scheduler struct {
	log    hclog.Logger
	queues map[string]bwfleet.Queue
	// newQueues holds the queues that have become known since the latest pass.
	newQueues map[string]bool
	jobs      map[string]*bwjob.Job
	active    map[string]*bwjob.Job
	executors map[string]*bwexecutor.Executor
	// runs counts the runs of each task on all executors.
	runs bwexecutor.RunCounter
	// sortedIDs caches the sorted executor IDs; nil after a change.
	sortedIDs []string
	dirty     map[string]bool
	orders    []Order
	advice    *adviceCache
	arrivals  arrivals
	// evictAfter is the time before which no task is evicted, because a previous owner's stops
	// may still be in flight.
	evictAfter bwclock.Time
	// startLongRunningAfter is the time before which no long-running task is started, because a
	// host that a previous owner has found to be empty may be about to be moved or maintained.
	startLongRunningAfter bwclock.Time
	// isCapacityKnown is set while the registrations are recent enough to rely on the capacity of
	// the executors.
	isCapacityKnown bool
	// hasUnplacedTasks is set if a due task could not be placed in the latest pass.
	hasUnplacedTasks bool
	// setAside holds the executors that are set aside for a large task in this pass.
	setAside map[string]bool
	// maxFree is the maximum of each resource that was free on any executor when this pass
	// began.
	maxFree bwjob.Resources

	// awaited holds the executors that a previous owner used and that may still run
	// tasks of loaded jobs, with the time by which their leases have expired.
	awaited map[string]bwclock.Time
	// loaded holds the jobs that a previous owner accepted.
	loaded map[string]bool
	// suspects holds what is known of tasks under which executors have crashed.
	suspects suspects
	// crossRackFactor is how many times longer tasks take that should run in one rack and don't.
	crossRackFactor float64
	// rackWaits holds, by job, the steps that wait for capacity in one rack and since when.
	rackWaits map[string]map[StepID]bwclock.Time
	// onRelease is called with the reason whenever a task is released without a reported end.
	onRelease func(reason string)
	// maxLease is the longest lease that an executor grants.
	maxLease time.Duration
	// heldLeases holds the times before which the leases of awaited executors do not count as expired.
	heldLeases map[string]bwclock.Time
	// releasedStarts holds, by executor, the recently released runs whose starts had no answer.
	releasedStarts map[string][]releasedStart
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithCrossRackFactor sets how many times longer the tasks of a step that should run in one rack take
// when they run in several. The default is 2. Factors below 1 are ignored.
func WithCrossRackFactor(factor float64) Option {
	return func(s *Scheduler) {
		if factor >= 1 {
			s.crossRackFactor = factor
		}
	}
}

// WithOnRelease sets a function that is called with the reason whenever a task may be started again although no
// end of its run was reported.
func WithOnRelease(f func(reason string)) Option {
	return func(s *Scheduler) { s.onRelease = f }
}

// WithMaxLease sets the longest lease that an executor grants. The default is 10 s. Lengths that are not positive are
// ignored.
func WithMaxLease(d time.Duration) Option {
	return func(s *Scheduler) {
		if d > 0 {
			s.maxLease = d
		}
	}
}

// New returns a Scheduler without jobs or executors.
func New(log hclog.Logger, options ...Option) *Scheduler {
	s := &Scheduler{
		log:       log,
		queues:    make(map[string]bwfleet.Queue),
		newQueues: make(map[string]bool),
		jobs:      make(map[string]*bwjob.Job),
		active:    make(map[string]*bwjob.Job),
		executors: make(map[string]*bwexecutor.Executor),
		runs:      make(bwexecutor.RunCounter),
		dirty:     make(map[string]bool),
		awaited:   make(map[string]bwclock.Time),
		loaded:    make(map[string]bool),
		advice:    newAdviceCache(),
		suspects:  newSuspects(),
		rackWaits: make(map[string]map[StepID]bwclock.Time),

		heldLeases:     make(map[string]bwclock.Time),
		releasedStarts: make(map[string][]releasedStart),

		isCapacityKnown: true,
		crossRackFactor: defaultCrossRackFactor,
		onRelease:       func(string) {},
		maxLease:        defaultMaxLease,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// SetQueues adds or replaces queues. Queues that are not in the list keep their settings.
func (s *Scheduler) SetQueues(queues []bwfleet.Queue) {
	for _, q := range queues {
		if _, isKnown := s.queues[q.Name]; !isKnown {
			s.newQueues[q.Name] = true
		}
		s.queues[q.Name] = q
	}
}

// LoadJob adds a stored job that a previous owner accepted.
func (s *Scheduler) LoadJob(j *bwjob.Job) {
	s.jobs[j.ID()] = j
	s.loaded[j.ID()] = true
	if j.IsActive() {
		s.active[j.ID()] = j
		s.loadSuspects(j)
	}
}

// AwaitExecutor keeps the tasks of loaded jobs from being placed until the executor has
// reported or the given time has passed, and the pool is known to have been owned after that.
func (s *Scheduler) AwaitExecutor(id string, until bwclock.Time) {
	s.awaited[id] = until
}

// IsAwaited reports whether the executor is still awaited.
func (s *Scheduler) IsAwaited(id string) bool { return s.awaited[id] != bwclock.Never }

// CountAwaitedExecutors returns the number of executors that are still awaited.
func (s *Scheduler) CountAwaitedExecutors() int { return len(s.awaited) }

// Submit adds a new job that has been stored. It returns false if the job is already known.
func (s *Scheduler) Submit(j *bwjob.Job) bool {
	if s.jobs[j.ID()] != nil {
		return false
	}
	s.jobs[j.ID()] = j
	s.active[j.ID()] = j
	s.arrivals.add(j.Spec(), j.AcceptedAt())
	return true
}

// Job returns a job, or nil.
func (s *Scheduler) Job(id string) *bwjob.Job { return s.jobs[id] }

// stepOf returns the step of a task. It returns false if the task's job is unknown, has ended or
// has no such step, which an executor may report nevertheless.
func (s *Scheduler) stepOf(id bwjob.TaskID) (bwjob.Step, bool) {
	j := s.jobs[id.Job]
	if j == nil {
		return bwjob.Step{}, false
	}
	return j.Step(id)
}

// CountJobs returns the number of all jobs and of the active ones.
func (s *Scheduler) CountJobs() (all, active int) { return len(s.jobs), len(s.active) }

// HasJobsOf reports whether a job of a queue is known, ended or not.
func (s *Scheduler) HasJobsOf(queue string) bool {
	for _, j := range s.jobs {
		if j.Spec().Queue == queue {
			return true
		}
	}
	return false
}

// RemoveJob removes a job that has ended.
func (s *Scheduler) RemoveJob(id string) { delete(s.jobs, id) }

// Cancel cancels a job and stops its runs.
func (s *Scheduler) Cancel(j *bwjob.Job, now bwclock.Time) {
	j.Cancel()
	s.handleJobChange(j, now)
}

// CountPendingJobs returns the number of active jobs of a queue that have not started. Jobs
// with scheduled occurrences are not counted.
func (s *Scheduler) CountPendingJobs(q bwfleet.Queue) int {
	n := 0
	for _, j := range s.active {
		if j.IsOf(q) && j.Spec().ScheduledOccurrences == 0 && !j.HasStarted() {
			n++
		}
	}
	return n
}

// TakeDirty returns the jobs whose records have changed since the last call.
func (s *Scheduler) TakeDirty() []*bwjob.Job {
	jobs := make([]*bwjob.Job, 0, len(s.dirty))
	for id := range s.dirty {
		if j := s.jobs[id]; j != nil {
			jobs = append(jobs, j)
		}
	}
	s.dirty = make(map[string]bool)
	s.suspects.hasUnstored = false
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ID() < jobs[b].ID() })
	return jobs
}

// NeedsFlush reports whether a change since the last TakeDirty should be stored at once: the end
// of a job, a crash or the start of a suspect task.
func (s *Scheduler) NeedsFlush() bool {
	if s.suspects.hasUnstored {
		return true
	}
	for id := range s.dirty {
		if j := s.jobs[id]; j != nil && !j.IsActive() {
			return true
		}
	}
	return false
}

// IsDirty reports whether a job's record has changed since the last TakeDirty.
func (s *Scheduler) IsDirty(id string) bool { return s.dirty[id] }

// MarkDirty marks a job whose record has to be stored again.
func (s *Scheduler) MarkDirty(id string) { s.dirty[id] = true }

// HasUnplacedTasks reports whether a due task could not be placed in the latest pass. Ends of
// runs should then be reported sooner, since each frees capacity.
func (s *Scheduler) HasUnplacedTasks() bool { return s.hasUnplacedTasks }

// Executor returns the state of an executor, or nil.
func (s *Scheduler) Executor(id string) *bwexecutor.Executor { return s.executors[id] }

// ExecutorIDs returns the sorted IDs of all executors. The caller must not modify the slice.
func (s *Scheduler) ExecutorIDs() []string {
	if s.sortedIDs != nil {
		return s.sortedIDs
	}
	s.sortedIDs = make([]string, 0, len(s.executors))
	for id := range s.executors {
		s.sortedIDs = append(s.sortedIDs, id)
	}
	sort.Strings(s.sortedIDs)
	return s.sortedIDs
}

// Register adds an executor or updates its registration.
func (s *Scheduler) Register(r bwexecutor.Registration) {
	if e := s.executors[r.ID]; e != nil {
		if e.Registration().IsDraining != r.IsDraining {
			s.log.Info("executor draining", "executor", r.ID, "draining", r.IsDraining)
		}
		e.Register(r)
		return
	}
	s.executors[r.ID] = bwexecutor.New(r, bwexecutor.WithRunCounter(s.runs))
	s.sortedIDs = nil
	s.log.Info("executor joined", "executor", r.ID, "address", r.Address, "incarnation", r.Incarnation, "rack", r.Rack,
		"draining", r.IsDraining)
}

// SetCapacityKnown sets whether the registrations are recent enough to rely on the capacity of the
// executors, which may shrink. While they are not, no tasks are placed.
func (s *Scheduler) SetCapacityKnown(isKnown bool) {
	if s.isCapacityKnown != isKnown {
		s.log.Warn("knowledge of the executors' capacity has changed", "isKnown", isKnown)
	}
	s.isCapacityKnown = isKnown
}

// Unregister marks an executor that the registry no longer lists.
func (s *Scheduler) Unregister(id string) {
	if e := s.executors[id]; e != nil && e.IsRegistered() {
		e.Unregister()
		s.log.Info("executor left the registry", "executor", id, "runs", len(e.Runs()))
	}
}

// HasExpired reports whether the lease of an executor with runs, or the wait for an awaited executor, has
// ended by the given time, so that Expire has something to release once the pool was owned then.
func (s *Scheduler) HasExpired(at bwclock.Time) bool {
	for id := range s.awaited {
		if !at.Before(s.awaitedUntil(id)) {
			return true
		}
	}
	for _, e := range s.executors {
		if len(e.Runs()) > 0 && e.HasLeaseExpired(at) {
			return true
		}
	}
	return false
}

// awaitedUntil returns the time by which the lease of an awaited executor has expired.
func (s *Scheduler) awaitedUntil(id string) bwclock.Time { return max(s.awaited[id], s.heldLeases[id]) }

// hasListedAllBy reports whether the current incarnation of an executor had reported all of its runs and ends by the
// given time. A report lists a limited number of ends.
func (s *Scheduler) hasListedAllBy(id string, at bwclock.Time) bool {
	e := s.executors[id]
	return e != nil && e.HasReported() && e.ListedAllAt() != bwclock.Never && !at.Before(e.ListedAllAt())
}

// isListing reports whether an executor has reported, but not all of its ends yet, while its lease lasts.
func (s *Scheduler) isListing(id string, at bwclock.Time) bool {
	e := s.executors[id]
	return e != nil && e.HasReported() && e.ListedAllAt() == bwclock.Never && !e.HasLeaseExpired(at)
}

// Expire releases the tasks of executors whose leases had expired at ownedAt and stops awaiting executors that had
// reported, or whose leases had expired, at ownedAt. That is the latest time at which this process is known to have
// owned the pool: afterwards another owner may have extended leases or taken note of ends. Expire removes executors
// that are unregistered and run nothing, and returns their IDs.
func (s *Scheduler) Expire(ownedAt, now bwclock.Time) []string {
	for id := range s.awaited {
		switch {
		case s.hasListedAllBy(id, ownedAt):
			delete(s.awaited, id)
		case !ownedAt.Before(s.awaitedUntil(id)) && !s.isListing(id, ownedAt):
			delete(s.awaited, id)
			s.log.Warn("executor of the previous owner did not report until its lease ended", "executor", id,
				"ownedAge", age(ownedAt, now))
		}
	}
	var removed []string
	for _, id := range s.ExecutorIDs() {
		e := s.executors[id]
		if len(e.Runs()) > 0 && e.HasLeaseExpired(ownedAt) {
			s.log.Warn("executor's lease has ended", "executor", id, "runs", len(e.Runs()), "silentFor", now.Sub(e.ReportedAt()).String(),
				"ownedAge", age(ownedAt, now))
			s.releaseAll(id, e, now)
		}
		if !e.IsRegistered() && len(e.Runs()) == 0 && s.awaited[id] == bwclock.Never && !e.IsCrashUnclear(now) {
			delete(s.executors, id)
			s.sortedIDs = nil
			removed = append(removed, id)
		}
	}
	return removed
}

// releaseAll returns every task of the executor to the waiting state.
func (s *Scheduler) releaseAll(id string, e *bwexecutor.Executor, now bwclock.Time) {
	runs := make([]*bwexecutor.Run, 0, len(e.Runs()))
	for _, r := range e.Runs() {
		runs = append(runs, r)
	}
	for _, r := range runs {
		s.releaseRun(e, r, leaseEnded, now)
	}
	s.logLostTasks(e, runs, "lease has ended", now)
	e.RecordLostRuns(runs, now)
	if len(runs) > 0 {
		e.RecordFailure(now)
	}
}

// logLostTasks logs the long-running tasks among runs that an executor has lost.
func (s *Scheduler) logLostTasks(e *bwexecutor.Executor, runs []*bwexecutor.Run, reason string, now bwclock.Time) {
	for _, r := range runs {
		if fields := s.availability(r.Task, now); fields != nil && !r.IsOrphaned {
			s.log.Warn("long-running task lost", append([]any{"job", r.Task.Job, "task", r.Task, "run", r.Number,
				"executor", e.ID(), "why", reason, "percent", r.Status.Percent}, fields...)...)
		}
	}
}

// releaseRun removes a run that is certain not to run on the executor, now or later.
func (s *Scheduler) releaseRun(e *bwexecutor.Executor, r *bwexecutor.Run, reason releaseReason, now bwclock.Time) {
	s.recordRelease(e, r, reason, now)
	if reason != startRefused {
		s.recordReleasedStart(e, r, now)
	}
	e.Remove(r.Task)
	if j := s.jobs[r.Task.Job]; j != nil && !r.IsOrphaned {
		j.Release(r.Task, e.ID())
	}
}

// handleJobChange marks the job's record as changed and, if the job has ended, stops its runs.
func (s *Scheduler) handleJobChange(j *bwjob.Job, now bwclock.Time) {
	s.dirty[j.ID()] = true
	if j.IsActive() {
		return
	}
	delete(s.active, j.ID())
	s.advice.removeJob(j.ID())
	delete(s.rackWaits, j.ID())
	s.log.Info("job ended", "job", j.ID(), "queue", j.Spec().Queue, "phase", j.Phase().String(),
		"sinceAccepted", now.Sub(j.AcceptedAt()).String())
	for _, id := range s.ExecutorIDs() {
		e := s.executors[id]
		if !e.HasRunsOf(j.ID()) {
			continue
		}
		for _, r := range e.Runs() {
			if r.Task.Job == j.ID() {
				r.IsOrphaned = true
				s.stopRun(e, r, now, "job has ended")
			}
		}
	}
}

// stopRun queues a stop order for a run, unless its start order is still in flight or a
// stop was ordered recently.
func (s *Scheduler) stopRun(e *bwexecutor.Executor, r *bwexecutor.Run, now bwclock.Time, reason string) {
	if r.Phase == bwexecutor.Starting {
		// The start order is in flight; its result decides what to do.
		return
	}
	if r.StopOrderedAt != bwclock.Never && now.Sub(r.StopOrderedAt) < stopRetryInterval {
		return
	}
	s.log.Info("stop ordered", append([]any{"job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID(), "why", reason,
		"draining", e.Registration().IsDraining, "percent", r.Status.Percent}, s.availability(r.Task, now)...)...)
	if r.Phase == bwexecutor.Running {
		r.Phase = bwexecutor.Stopping
	}
	r.StopOrderedAt = now
	s.orders = append(s.orders, Order{Kind: Stop, Executor: e.ID(), Task: r.Task, Run: r.Number})
}
