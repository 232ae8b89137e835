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
	// silentFor is how long an executor may be silent and still get new tasks: the wait of
	// a report and the time until its loss is noticed.
	silentFor = 1900 * time.Millisecond
	// refusalPause keeps new tasks from an executor that refused one; about the time that
	// a short task needs to end and free room.
	refusalPause = 300 * time.Millisecond
	// stopRepeat is the time after which a stop without effect is ordered again.
	stopRepeat = 1500 * time.Millisecond
	// takeoverRunGap is added to the run numbers of tasks whose latest start the previous
	// owner may not have recorded.
	takeoverRunGap = 32
	// maxListedEnds is the most ends in one report; a longer list hides some.
	maxListedEnds = 500
)

// Scheduler holds the jobs and executors of one pool.
type Scheduler struct {
	log       hclog.Logger
	queues    map[string]bwfleet.Queue
	jobs      map[string]*bwjob.Job
	active    map[string]*bwjob.Job
	executors map[string]*bwexecutor.Executor
	// ids are the executors' ids in order; nil after a change.
	ids      []string
	dirty    map[string]bool
	orders   []Order
	advice   *adviceBook
	arrivals arrivals
	// calmAt is when the stops of a previous owner have ended.
	calmAt bwclock.Time
	// isCrowded is set while a due task finds no room.
	isCrowded bool
	// kept holds the executors whose room waits for a large task in this pass.
	kept map[string]bool
	// largest is the most of each resource that was free at any executor when this pass began.
	largest bwjob.Resources

	// unresolved holds the executors that a previous owner used and that may still run
	// tasks of loaded jobs, with the time at which all its leases have ended.
	unresolved map[string]bwclock.Time
	// loaded holds the jobs that a previous owner accepted.
	loaded map[string]bool
}

// New returns a Scheduler without jobs and executors.
func New(log hclog.Logger) *Scheduler {
	return &Scheduler{
		log:        log,
		queues:     make(map[string]bwfleet.Queue),
		jobs:       make(map[string]*bwjob.Job),
		active:     make(map[string]*bwjob.Job),
		executors:  make(map[string]*bwexecutor.Executor),
		dirty:      make(map[string]bool),
		unresolved: make(map[string]bwclock.Time),
		loaded:     make(map[string]bool),
		advice:     newAdviceBook(),
	}
}

// SetQueues takes in the queues of the configuration.
func (s *Scheduler) SetQueues(queues []bwfleet.Queue) {
	for _, q := range queues {
		s.queues[q.Name] = q
	}
}

// Load takes in a job that a previous owner accepted.
func (s *Scheduler) Load(j *bwjob.Job) {
	s.jobs[j.ID()] = j
	s.loaded[j.ID()] = true
	if j.IsActive() {
		s.active[j.ID()] = j
	}
}

// AwaitExecutor holds back the loaded jobs' tasks that are seen nowhere until the executor
// has reported or the time is over.
func (s *Scheduler) AwaitExecutor(id string, until bwclock.Time) {
	s.unresolved[id] = until
}

// Unresolved returns the executors that are still awaited.
func (s *Scheduler) Unresolved() int { return len(s.unresolved) }

// Submit takes in a job that is stored. It returns false if the job is known already.
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

// Jobs returns the number of jobs and how many of them are active.
func (s *Scheduler) Jobs() (all, active int) { return len(s.jobs), len(s.active) }

// Forget drops a job that has ended.
func (s *Scheduler) Forget(id string) { delete(s.jobs, id) }

// Cancel ends a job and stops what it runs.
func (s *Scheduler) Cancel(j *bwjob.Job, now bwclock.Time) {
	j.Cancel()
	s.settle(j, now)
}

// Pending counts the accepted jobs of a queue that have not started.
func (s *Scheduler) Pending(queue string) int {
	n := 0
	for _, j := range s.active {
		if j.Spec().Queue == queue && j.Spec().Times == 0 && !j.HasStarted() {
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
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ID() < jobs[b].ID() })
	return jobs
}

// HasEndedDirty reports whether a job has ended whose record is not stored yet.
func (s *Scheduler) HasEndedDirty() bool {
	for id := range s.dirty {
		if j := s.jobs[id]; j != nil && !j.IsActive() {
			return true
		}
	}
	return false
}

// IsDirty reports whether a job's record has changed since the last TakeDirty.
func (s *Scheduler) IsDirty(id string) bool { return s.dirty[id] }

// MarkDirty notes that a job's record has to be stored again.
func (s *Scheduler) MarkDirty(id string) { s.dirty[id] = true }

// IsCrowded reports whether a due task found no room in the latest pass, so that each end is
// worth knowing at once.
func (s *Scheduler) IsCrowded() bool { return s.isCrowded }

// Executor returns the ledger of an executor, or nil.
func (s *Scheduler) Executor(id string) *bwexecutor.Executor { return s.executors[id] }

// Executors returns the ids of all executors in order. The caller must not change the list.
func (s *Scheduler) Executors() []string {
	if s.ids != nil {
		return s.ids
	}
	s.ids = make([]string, 0, len(s.executors))
	for id := range s.executors {
		s.ids = append(s.ids, id)
	}
	sort.Strings(s.ids)
	return s.ids
}

// Register takes in what the registry says of an executor.
func (s *Scheduler) Register(r bwexecutor.Registration) {
	if e := s.executors[r.ID]; e != nil {
		if e.Registration().IsDraining != r.IsDraining {
			s.log.Info("executor draining", "executor", r.ID, "draining", r.IsDraining)
		}
		e.Register(r)
		return
	}
	s.executors[r.ID] = bwexecutor.New(r)
	s.ids = nil
	s.log.Info("executor joined", "executor", r.ID, "address", r.Address, "incarnation", r.Incarnation, "rack", r.Rack)
}

// Unregister notes that the registry does not list an executor any more.
func (s *Scheduler) Unregister(id string) {
	if e := s.executors[id]; e != nil && e.IsRegistered() {
		e.Unregister()
		s.log.Info("executor left the registry", "executor", id, "runs", len(e.Runs()))
	}
}

// Expire gives up executors whose leases have ended without a report, and returns those
// that the registry does not list either and that can be forgotten.
func (s *Scheduler) Expire(now bwclock.Time) []string {
	for id, until := range s.unresolved {
		if now.Before(until) {
			continue
		}
		delete(s.unresolved, id)
		s.log.Warn("executor of the previous owner did not report until its lease ended", "executor", id)
	}
	var gone []string
	for _, id := range s.Executors() {
		e := s.executors[id]
		if e.HasLapsed(now) && len(e.Runs()) > 0 {
			s.log.Warn("executor's lease has ended", "executor", id, "runs", len(e.Runs()), "silentFor", now.Sub(e.ReportedAt()).String())
			s.releaseAll(id, e, now)
		}
		if !e.IsRegistered() && len(e.Runs()) == 0 && s.unresolved[id] == bwclock.Never {
			delete(s.executors, id)
			s.ids = nil
			gone = append(gone, id)
		}
	}
	return gone
}

// releaseAll lets every task of the executor wait again.
func (s *Scheduler) releaseAll(id string, e *bwexecutor.Executor, now bwclock.Time) {
	runs := make([]*bwexecutor.Run, 0, len(e.Runs()))
	for _, r := range e.Runs() {
		runs = append(runs, r)
	}
	for _, r := range runs {
		s.release(e, r)
	}
	if len(runs) > 0 {
		e.CountFailure(now)
	}
}

// release forgets a run that is certain not to run at the executor.
func (s *Scheduler) release(e *bwexecutor.Executor, r *bwexecutor.Run) {
	e.Remove(r.Task)
	if j := s.jobs[r.Task.Job]; j != nil && !r.IsAbandoned {
		j.Release(r.Task, e.ID())
	}
}

// settle notes that a job's record changed, and stops its runs once it has ended.
func (s *Scheduler) settle(j *bwjob.Job, now bwclock.Time) {
	s.dirty[j.ID()] = true
	if j.IsActive() {
		return
	}
	delete(s.active, j.ID())
	s.advice.forget(j.ID())
	s.log.Info("job ended", "job", j.ID(), "queue", j.Spec().Queue, "phase", j.Phase().String(),
		"sinceAccepted", now.Sub(j.AcceptedAt()).String())
	for _, id := range s.Executors() {
		e := s.executors[id]
		for _, r := range e.Runs() {
			if r.Task.Job == j.ID() {
				r.IsAbandoned = true
				s.stop(e, r, now, "job has ended")
			}
		}
	}
}

// stop orders the end of a run.
func (s *Scheduler) stop(e *bwexecutor.Executor, r *bwexecutor.Run, now bwclock.Time, why string) {
	if r.Phase == bwexecutor.Starting {
		// The start is under way; its answer decides what to do.
		return
	}
	if r.StopOrderedAt != bwclock.Never && now.Sub(r.StopOrderedAt) < stopRepeat {
		return
	}
	if r.Phase == bwexecutor.Running {
		r.Phase = bwexecutor.Stopping
	}
	r.StopOrderedAt = now
	s.orders = append(s.orders, Order{Kind: Stop, Executor: e.ID(), Task: r.Task, Run: r.Number})
	s.log.Info("stop ordered", "job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID(), "why", why)
}
