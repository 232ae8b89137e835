package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// setAsideAfter is the age of a job from which executors may be set aside for tasks of it
// that fit nowhere. It is a few times the duration of a short task.
const setAsideAfter = 2 * time.Second

// taskFailurePenalty is added to the failures of an executor on which the task itself has
// failed, which ranks it behind executors on which other tasks failed.
const taskFailurePenalty = 10

// minStepSpread is the minimum number of executors over which the tasks of a long-running step
// are spread, capacity permitting. It limits the share of them that is lost with one
// executor.
const minStepSpread = 3

// Schedule assigns due tasks to executors. It returns the resulting orders together with
// those that earlier events have queued.
func (s *Scheduler) Schedule(now bwclock.Time) []Order {
	s.failExhaustedJobs(now)
	s.evict(now)
	s.hasUnplacedTasks = false
	candidates := s.candidates(now)
	s.setAside = s.reservedExecutors(now)
	s.placeSuspects(candidates, now)
	s.maxFree = s.maxFreeOf(candidates)
	for _, c := range s.jobsByRank(now) {
		j := c.job
		j.EachDueStep(func(o *bwjob.Occurrence, step int) {
			s.placeStep(j, o, step, candidates, now)
		})
	}
	orders := s.orders
	s.orders = nil
	return orders
}

// candidates returns the executors on which new tasks may be placed now.
func (s *Scheduler) candidates(now bwclock.Time) []*bwexecutor.Executor {
	if !s.isCapacityKnown {
		return nil
	}
	var list []*bwexecutor.Executor
	for _, id := range s.ExecutorIDs() {
		if e := s.executors[id]; e.IsSchedulable(now, maxReportAge) {
			list = append(list, e)
		}
	}
	return list
}

// maxFreeOf returns the maximum of each free resource over all candidates that are not set
// aside. A task that does not fit in it fits on none of them.
func (s *Scheduler) maxFreeOf(candidates []*bwexecutor.Executor) bwjob.Resources {
	var largest bwjob.Resources
	for _, e := range candidates {
		if !s.setAside[e.ID()] {
			largest = largest.Max(e.Free())
		}
	}
	return largest
}

// DeferLongRunningStarts defers all starts of long-running tasks until the given time. Orders to
// hosts that a previous owner has confirmed to be empty may still be in flight.
func (s *Scheduler) DeferLongRunningStarts(t bwclock.Time) { s.startLongRunningAfter = t }

// mustWaitAfterTakeover reports whether no task of the step may be started yet: tasks of the job
// may still be running where a previous owner started them, or the step is long-running and orders
// to empty hosts may be in flight.
func (s *Scheduler) mustWaitAfterTakeover(j *bwjob.Job, step int, now bwclock.Time) bool {
	return len(s.awaited) > 0 && s.loaded[j.ID()] || j.Spec().Steps[step].LongRunning && now.Before(s.startLongRunningAfter)
}

func (s *Scheduler) placeStep(j *bwjob.Job, o *bwjob.Occurrence, step int, candidates []*bwexecutor.Executor, now bwclock.Time) {
	if s.mustWaitAfterTakeover(j, step, now) {
		return
	}
	fits := s.maxFree.Fits(j.Spec().Steps[step].Reserved())
	if !fits && !s.maySetAside(j, step, len(candidates), now) {
		s.hasUnplacedTasks = true
		return
	}
	p := placement{scheduler: s, job: j, occurrence: o, step: step, now: now}
	p.candidates = p.eligible(candidates)
	if j.Spec().Steps[step].Gang {
		p.placeGang()
		return
	}
	if !fits {
		s.hasUnplacedTasks = true
		p.setAsideExecutor()
		return
	}
	tasks := o.Tasks(step)
	for i := range tasks {
		if !tasks[i].IsWaiting() || tasks[i].NeedsIsolation() || !s.mayRetry(j, &tasks[i]) {
			continue
		}
		id := bwjob.TaskID{Job: j.ID(), Occurrence: o.Index(), Step: step, Index: i}
		e := p.chooseExecutor(&tasks[i])
		if e == nil {
			s.hasUnplacedTasks = true
			p.setAsideExecutor()
			s.maxFree = s.maxFreeOf(candidates)
			return
		}
		if s.mayStillRun(id) {
			s.hasUnplacedTasks = true
			continue
		}
		s.startTask(j, id, e, tasks[i].Run()+1, now, p.rack.logFields(e)...)
		p.countPlaced(e)
	}
}

// mayStillRun reports whether an executor has a run of the task, which may be orphaned. A task with
// such a run must not be started, not even on the same executor, whose record of the run would be
// replaced.
func (s *Scheduler) mayStillRun(id bwjob.TaskID) bool { return s.runs[id] > 0 }

// startTask assigns a task to an executor and queues the start order. The fields are added to the log.
func (s *Scheduler) startTask(j *bwjob.Job, id bwjob.TaskID, e *bwexecutor.Executor, run int, now bwclock.Time, fields ...any) {
	t := j.Task(id)
	ticket, _ := s.advice.ticket(stepIDOf(id), e, now)
	o := Order{Kind: Start, Executor: e.ID(), Task: id, Run: run, Payload: j.Spec().Payload, Checkpoint: t.Checkpoint(), Ticket: ticket}
	j.Assign(id, e.ID(), run)
	if t.IsSuspect() {
		s.startProbation(j, id, run, e)
	}
	e.Add(&bwexecutor.Run{Task: id, Number: run, Reserved: j.Spec().Steps[id.Step].Reserved(), OrderedAt: now, Pace: fullPace})
	s.orders = append(s.orders, o)
	s.log.Info("start ordered", append([]any{"job", id.Job, "task", id, "run", run, "executor", e.ID(), "failures", t.Failures(),
		"sinceAccepted", now.Sub(j.AcceptedAt()).String(), "reportAge", now.Sub(e.ReportedAt()).String()}, fields...)...)
}

// placement chooses executors for the tasks of one step.
type placement struct {
	scheduler  *Scheduler
	job        *bwjob.Job
	occurrence *bwjob.Occurrence
	step       int
	now        bwclock.Time
	candidates []*bwexecutor.Executor
	// stepRunsByExecutor and stepRunsByRack count the runs of the step; longRunningByExecutor
	// counts the runs of all long-running tasks. They are nil until first needed.
	stepRunsByExecutor    map[string]int
	stepRunsByRack        map[string]int
	longRunningByExecutor map[string]int
	// rack is set for a step whose tasks should run in one rack.
	rack rackChoice
}

// eligible returns the executors that may run the step, regardless of their free capacity.
func (p *placement) eligible(list []*bwexecutor.Executor) []*bwexecutor.Executor {
	step := p.job.Spec().Steps[p.step]
	if step.Label != "" {
		list = withLabel(list, step.Label)
	}
	if q, _ := p.scheduler.settingsOf(p.job); q.NeedsAdvice {
		list = p.withTickets(list, q.Advice)
	}
	if step.SameRack {
		list = p.withinOneRack(list)
	}
	return list
}

func withLabel(all []*bwexecutor.Executor, label string) []*bwexecutor.Executor {
	var list []*bwexecutor.Executor
	for _, e := range all {
		if e.Registration().HasLabel(label) {
			list = append(list, e)
		}
	}
	return list
}

// chooseExecutor returns the executor with the best score that has capacity for the task, or
// nil.
func (p *placement) chooseExecutor(t *bwjob.Task) *bwexecutor.Executor {
	step := p.job.Spec().Steps[p.step]
	need := step.Reserved()
	var best *bwexecutor.Executor
	var bestScore score
	for _, e := range p.candidates {
		if !e.Free().Fits(need) || p.scheduler.setAside[e.ID()] || !p.isWithinLimit(e, step.MaxPerExecutor) {
			continue
		}
		sc := p.score(e, step, t)
		if best == nil || sc.less(bestScore) {
			best, bestScore = e, sc
		}
	}
	return best
}

// setAsideExecutor sets aside the executor with the most free CPU: jobs that rank lower get
// nothing on it in this pass, so that ending tasks free enough capacity for a large one.
// Long-running tasks get an executor set aside at once, others after a delay.
func (p *placement) setAsideExecutor() {
	step := p.job.Spec().Steps[p.step]
	if !p.scheduler.maySetAside(p.job, p.step, len(p.candidates), p.now) {
		return
	}
	var best *bwexecutor.Executor
	for _, e := range p.candidates {
		if p.scheduler.setAside[e.ID()] || !e.Registration().Capacity.Fits(step.Reserved()) || !p.isWithinLimit(e, step.MaxPerExecutor) {
			continue
		}
		if best == nil || e.Free().CPU > best.Free().CPU {
			best = e
		}
	}
	if best != nil {
		p.scheduler.setAside[best.ID()] = true
	}
}

// maySetAside reports whether an executor may be set aside for a task of the step that fits
// nowhere.
func (s *Scheduler) maySetAside(j *bwjob.Job, step, executors int, now bwclock.Time) bool {
	isEligible := j.Spec().Steps[step].LongRunning || now.Sub(j.AcceptedAt()) >= setAsideAfter
	return isEligible && len(s.setAside) < maxSetAside(executors)
}

// maxSetAside returns how many executors may be set aside at the same time.
func maxSetAside(executors int) int { return max(1, executors/4) }

func (p *placement) isWithinLimit(e *bwexecutor.Executor, limit int) bool {
	return limit == 0 || p.stepRunsOnExecutor(e) < limit
}

// countRuns computes the run counts of all executors, once per placement.
func (p *placement) countRuns() {
	if p.stepRunsByExecutor != nil {
		return
	}
	p.stepRunsByExecutor, p.stepRunsByRack, p.longRunningByExecutor = make(map[string]int), make(map[string]int), make(map[string]int)
	thisStep := p.stepID()
	for id, e := range p.scheduler.executors {
		for task, r := range e.Runs() {
			if stepIDOf(task) == thisStep {
				p.stepRunsByExecutor[id]++
				p.stepRunsByRack[e.Registration().Rack]++
			}
			if p.scheduler.isLongRunning(r) {
				p.longRunningByExecutor[id]++
			}
		}
	}
}

// countPlaced updates the run counts after a task of the step was placed.
func (p *placement) countPlaced(e *bwexecutor.Executor) {
	if p.stepRunsByExecutor == nil {
		return
	}
	p.stepRunsByExecutor[e.ID()]++
	p.stepRunsByRack[e.Registration().Rack]++
	if p.job.Spec().Steps[p.step].LongRunning {
		p.longRunningByExecutor[e.ID()]++
	}
}

// stepRunsOnExecutor returns the number of runs of the step on an executor.
func (p *placement) stepRunsOnExecutor(e *bwexecutor.Executor) int {
	p.countRuns()
	return p.stepRunsByExecutor[e.ID()]
}

// stepRunsInRack returns the number of runs of the step in a rack.
func (p *placement) stepRunsInRack(rack string) int {
	p.countRuns()
	return p.stepRunsByRack[rack]
}

// score ranks executors for a task; the lowest is best.
type score struct {
	failures     int
	rackDistance int
	colocation   int
	freeCPU      int64
}

func (a score) less(b score) bool {
	switch {
	case a.failures != b.failures:
		return a.failures < b.failures
	case a.rackDistance != b.rackDistance:
		return a.rackDistance < b.rackDistance
	case a.colocation != b.colocation:
		return a.colocation < b.colocation
	default:
		return a.freeCPU < b.freeCPU
	}
}

// score prefers executors without recent failures, then the racks that hold the task's
// data and the other tasks of its step, then (for long-running tasks) the preferred colocation, then the tightest fit,
// which leaves whole executors free. A single recent failure of an executor is ignored for
// a task that has not failed yet.
func (p *placement) score(e *bwexecutor.Executor, step bwjob.Step, t *bwjob.Task) score {
	sc := score{failures: e.RecentFailures(p.now), freeCPU: e.Free().CPU}
	if t.Failures() == 0 && sc.failures < 2 {
		sc.failures = 0
	}
	if t.HasFailedOn(e.ID()) {
		sc.failures += taskFailurePenalty
	}
	if step.DataRack != "" && e.Registration().Rack != step.DataRack {
		sc.rackDistance++
	}
	if step.SameRack && e.Registration().Rack != p.rack.preferred {
		sc.rackDistance++
	}
	switch {
	case t.IsSuspect():
		sc.colocation = p.scheduler.suspectCost(e)
		if e.IsNew(p.now) {
			sc.failures++
		}
	case step.LongRunning:
		sc.colocation = p.colocationCost(e, step)
	}
	return sc
}

// colocationCost ranks executors for a long-running task. Latency-sensitive tasks are spread:
// they go where the fewest tasks of their step run. Others are packed on few executors, so
// that the remaining hosts can be moved and maintained without disruption, but an executor
// that already runs its share of the step ranks behind.
func (p *placement) colocationCost(e *bwexecutor.Executor, step bwjob.Step) int {
	stepRuns := p.stepRunsOnExecutor(e)
	if step.LatencyObjective > 0 {
		return p.stepRunsInRack(e.Registration().Rack) + 2*stepRuns
	}
	if stepRuns >= max(1, (step.Count+minStepSpread-1)/minStepSpread) {
		return stepRuns
	}
	return -p.longRunningByExecutor[e.ID()]
}
