package bwschedule

import (
	"maps"
	"slices"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

const (
	// crashMemory is how long a task must work until earlier crashes no longer count against it.
	crashMemory = 30 * time.Second
	// earlyCrashTime is the age of a run at the last report before a crash from which the crash
	// is no longer early.
	earlyCrashTime = 300 * time.Millisecond
	// isolationPatience is how long a suspect task waits for an empty executor. Most executors
	// are empty of short tasks at some time within it.
	isolationPatience = 5 * time.Second
	// isolationTime is how long a long-running task stays alone on its executor. Tasks that
	// crash their executor usually do so at their start.
	isolationTime = 3 * time.Second
	// otherSuspectCost is how many other tasks a suspect task counts for.
	otherSuspectCost = 20
	// noIncarnation differs from the incarnation of every executor.
	noIncarnation = 0
)

// suspects holds what is known of tasks under which executors have crashed.
type suspects struct {
	// isolated holds the tasks that must run alone, with the time since which each has waited for
	// an empty executor, if it does. reserved holds the executors that are kept free for one.
	isolated map[bwjob.TaskID]bwclock.Time
	reserved map[string]bwjob.TaskID
	// probations holds the runs of suspect tasks that a previous owner started, by executor.
	probations map[string][]loadedProbation
	// hasUnstored is set if a crash or the start of a suspect task is not stored yet.
	hasUnstored bool
}

type loadedProbation struct {
	task bwjob.TaskID
	bwjob.Probation
}

func newSuspects() suspects {
	return suspects{
		isolated:   make(map[bwjob.TaskID]bwclock.Time),
		reserved:   make(map[string]bwjob.TaskID),
		probations: make(map[string][]loadedProbation),
	}
}

// loadSuspects restores what a previous owner has stored of the job's suspect tasks.
func (s *Scheduler) loadSuspects(j *bwjob.Job) {
	j.EachSuspect(func(id bwjob.TaskID, t *bwjob.Task) {
		if t.NeedsIsolation() {
			s.suspects.isolated[id] = bwclock.Never
		}
		if p, ok := t.Probation(); ok {
			s.suspects.probations[p.Executor] = append(s.suspects.probations[p.Executor], loadedProbation{id, p})
		}
	})
}

// resolveProbations records the crash of an executor on which a previous owner started suspect
// tasks, if it has another incarnation now.
func (s *Scheduler) resolveProbations(executor string, incarnation int64, now bwclock.Time) {
	for _, p := range s.suspects.probations[executor] {
		if p.Incarnation != incarnation {
			// When the executor crashed is not known. Most tasks that crash it do so soon after their start.
			s.recordCrash(p.task, bwjob.Crash{Run: p.Run, IsAlone: p.IsAlone, IsEarly: true}, executor, now)
		}
	}
	delete(s.suspects.probations, executor)
}

// recordCrash records that an executor crashed during a run of a task.
func (s *Scheduler) recordCrash(id bwjob.TaskID, c bwjob.Crash, executor string, now bwclock.Time) {
	j := s.jobs[id.Job]
	if j == nil || !j.IsActive() || !j.RecordCrash(id, c) {
		return
	}
	crashes, isGivenUp := 0, false
	if t := j.Task(id); t != nil {
		crashes, isGivenUp = t.Crashes(), t.IsGivenUp()
		if t.NeedsIsolation() {
			s.suspects.isolated[id] = bwclock.Never
		}
	}
	s.log.Warn("executor crashed during a run", "job", id.Job, "task", id, "run", c.Run, "executor", executor,
		"alone", c.IsAlone, "early", c.IsEarly, "worked", c.HasWorked, "crashes", crashes, "givenUp", isGivenUp, "phase", j.Phase().String())
	s.suspects.hasUnstored = true
	s.handleJobChange(j, now)
}

// startProbation records where a suspect task is started.
func (s *Scheduler) startProbation(j *bwjob.Job, id bwjob.TaskID, run int, e *bwexecutor.Executor) {
	j.StartProbation(id, bwjob.Probation{Run: run, Executor: e.ID(), Incarnation: e.Incarnation(), IsAlone: len(e.Runs()) == 0})
	s.dirty[j.ID()] = true
	s.suspects.hasUnstored = true
}

// forgetCrashes clears the suspicion against a task whose run has worked for crashMemory.
func (s *Scheduler) forgetCrashes(j *bwjob.Job, r *bwexecutor.Run, now bwclock.Time) {
	if now.Sub(r.ConfirmedAt) < crashMemory || !j.ForgetCrashes(r.Task) {
		return
	}
	delete(s.suspects.isolated, r.Task)
	s.dirty[j.ID()] = true
}

// reservedExecutors returns the executors that are kept free for suspect tasks, after releasing
// those that are no longer needed.
func (s *Scheduler) reservedExecutors(now bwclock.Time) map[string]bool {
	reserved := make(map[string]bool)
	for executor, id := range s.suspects.reserved {
		if s.needsReservation(executor, id, now) {
			reserved[executor] = true
		} else {
			delete(s.suspects.reserved, executor)
		}
	}
	return reserved
}

func (s *Scheduler) needsReservation(executor string, id bwjob.TaskID, now bwclock.Time) bool {
	e, t := s.executors[executor], s.activeTask(id)
	if e == nil || t == nil || t.IsDone() {
		return false
	}
	if t.IsWaiting() {
		return e.IsSchedulable(now, maxReportAge)
	}
	r := e.Run(id)
	if r == nil {
		return false
	}
	step, _ := s.stepOf(id)
	return !step.LongRunning || r.ConfirmedAt == bwclock.Never || now.Sub(r.ConfirmedAt) < isolationTime
}

// activeTask returns a task of an active job, or nil.
func (s *Scheduler) activeTask(id bwjob.TaskID) *bwjob.Task {
	j := s.jobs[id.Job]
	if j == nil || !j.IsActive() {
		return nil
	}
	return j.Task(id)
}

// placeSuspects starts the waiting tasks that must run alone on empty executors. If there is none,
// it reserves one, on which nothing else is started until its other tasks have ended.
func (s *Scheduler) placeSuspects(candidates []*bwexecutor.Executor, now bwclock.Time) {
	for _, id := range slices.SortedFunc(maps.Keys(s.suspects.isolated), bwjob.TaskID.Compare) {
		t := s.activeTask(id)
		if t == nil || t.IsDone() || t.IsGivenUp() || !t.NeedsIsolation() {
			delete(s.suspects.isolated, id)
			continue
		}
		j := s.jobs[id.Job]
		o := j.Occurrence(id.Occurrence)
		if !t.IsWaiting() || !s.mayRetry(j, t) || !o.IsUnblocked(j.Spec(), id.Step) || s.mustWaitAfterTakeover(j, id.Step, now) || j.Spec().Steps[id.Step].Gang {
			continue
		}
		p := placement{scheduler: s, job: j, occurrence: o, step: id.Step, now: now}
		p.candidates = p.eligible(candidates)
		e := p.chooseForIsolation(id)
		if e == nil && s.hasWaitedForIsolation(id, now) {
			e = p.chooseExecutor(t)
		}
		if e == nil || s.mayStillRun(id) {
			s.hasUnplacedTasks = true
			continue
		}
		s.suspects.isolated[id] = bwclock.Never
		s.startTask(j, id, e, t.Run()+1, now, p.rack.logFields(e)...)
	}
}

// hasWaitedForIsolation reports whether a task has waited for isolationPatience. It then runs beside
// others, because it may not be the cause of the crashes.
func (s *Scheduler) hasWaitedForIsolation(id bwjob.TaskID, now bwclock.Time) bool {
	if s.suspects.isolated[id] == bwclock.Never {
		s.suspects.isolated[id] = now
	}
	return now.Sub(s.suspects.isolated[id]) >= isolationPatience
}

// chooseForIsolation returns the executor that is reserved for a suspect task, if it is empty. If
// none is reserved yet, it reserves the one with the fewest runs that has no long-running task,
// unless too many are reserved.
func (p *placement) chooseForIsolation(id bwjob.TaskID) *bwexecutor.Executor {
	s := p.scheduler
	need := p.job.Spec().Steps[p.step].Reserved()
	var best *bwexecutor.Executor
	for _, e := range p.candidates {
		owner, isReserved := s.suspects.reserved[e.ID()]
		if isReserved && owner == id {
			return emptyOrNil(e, need)
		}
		if isReserved || !e.Registration().Capacity.Fits(need) || s.hasLongRunning(e) {
			continue
		}
		if best == nil || p.isolationCost(e) < p.isolationCost(best) {
			best = e
		}
	}
	if best == nil || len(s.suspects.reserved) >= maxSetAside(len(p.candidates)) {
		return nil
	}
	s.suspects.reserved[best.ID()] = id
	s.setAside[best.ID()] = true
	return emptyOrNil(best, need)
}

// isolationCost prefers executors with few runs, and of these one that has worked for a while.
func (p *placement) isolationCost(e *bwexecutor.Executor) int {
	cost := 2 * len(e.Runs())
	if e.IsNew(p.now) {
		cost++
	}
	return cost
}

// emptyOrNil returns the executor if nothing runs on it and it has room for the task.
func emptyOrNil(e *bwexecutor.Executor, need bwjob.Resources) *bwexecutor.Executor {
	if len(e.Runs()) > 0 || !e.Free().Fits(need) {
		return nil
	}
	return e
}

// suspectCost ranks executors for a suspect task: the fewest other tasks should be lost if the
// executor crashes again, and other suspects above all, because the crash would not tell them
// apart.
func (s *Scheduler) suspectCost(e *bwexecutor.Executor) int {
	cost := 0
	for id := range e.Runs() {
		cost++
		if t := s.activeTask(id); t != nil && t.IsSuspect() {
			cost += otherSuspectCost
		}
	}
	return cost
}

func (s *Scheduler) hasLongRunning(e *bwexecutor.Executor) bool {
	for _, r := range e.Runs() {
		if s.isLongRunning(r) {
			return true
		}
	}
	return false
}
