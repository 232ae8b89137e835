package bwjob

import "slices"

// A task that crashes its executors is given up, because each of its starts costs an executor and
// everything else that runs there. All tasks of an executor crash with it, so a suspect task has to
// run alone before its job fails.
//
// A job with long-running tasks goes on without the one that is given up, so it fails only if none
// is left. Executors crash for other reasons too while a long-running task works, so only early
// crashes in a row count against it, with no run in between that has worked.
const (
	// isolationEarlyCrashes is the number of early crashes, and isolationCrashes that of all
	// crashes, from which a task must run alone.
	isolationEarlyCrashes = 2
	isolationCrashes      = 3
	// failureCrashes is the least number of crashes that fails a job. The last one must be early
	// and hit the task alone, or else failureAloneCrashes of them must have hit it alone.
	failureCrashes      = 3
	failureAloneCrashes = 2
	// maxEarlyCrashes is the number of early crashes that fails a job in any case, and the only
	// limit for a long-running task. It is the number of all crashes for a gang, whose members
	// cannot run alone.
	maxEarlyCrashes = 4
)

// Probation describes the current run of a suspect task. It is stored, so that a new owner of the
// pool recognizes the crash of the executor.
type Probation struct {
	Run         int
	Executor    string
	Incarnation int64
	// IsAlone is set if no other task runs on the executor.
	IsAlone bool
}

// Crash is the crash of an executor during a run of a task.
type Crash struct {
	Run int
	// IsAlone is set if no other task ran on the executor.
	IsAlone bool
	// IsEarly is set if the executor crashed soon after the start of the run, as it does if the
	// task is the cause.
	IsEarly bool
	// HasWorked is set if the task is long-running and was available during the run.
	HasWorked bool
}

// IsSuspect reports whether an executor has crashed during a run of the task.
func (t *Task) IsSuspect() bool { return len(t.crashedRuns) > 0 }

// NeedsIsolation reports whether the task must run alone on an executor.
func (t *Task) NeedsIsolation() bool {
	return t.earlyCrashes >= isolationEarlyCrashes || len(t.crashedRuns) >= isolationCrashes
}

// Crashes returns the number of runs during which an executor crashed.
func (t *Task) Crashes() int { return len(t.crashedRuns) }

// Probation returns the current run of a suspect task, if there is one.
func (t *Task) Probation() (Probation, bool) {
	return t.probation, t.probation.Run > 0
}

// StartProbation records the start of a run of a suspect task.
func (j *Job) StartProbation(id TaskID, p Probation) {
	if t := j.Task(id); t != nil {
		t.probation = p
	}
}

// EndProbation forgets the start of a run that did not take effect, and reports whether it was
// recorded.
func (j *Job) EndProbation(id TaskID, run int) bool {
	t := j.Task(id)
	if t == nil || t.probation.Run != run {
		return false
	}
	t.probation = Probation{}
	return true
}

// ForgetCrashes clears the suspicion against a task that has worked for a long time. It reports
// whether there was one.
func (j *Job) ForgetCrashes(id TaskID) bool {
	t := j.Task(id)
	if t == nil || !t.IsSuspect() {
		return false
	}
	t.crashedRuns, t.earlyCrashes, t.aloneCrashes, t.probation = nil, 0, 0, Probation{}
	return true
}

// RecordCrash records the crash of an executor during a run of the task, and reports whether it
// was not known before. If the task is the likely cause, its job fails, or only the task is given
// up. Runs of a gang's members with the same number count as one.
func (j *Job) RecordCrash(id TaskID, c Crash) bool {
	t := j.Task(id)
	if t == nil || t.isDone {
		return false
	}
	step := j.spec.Steps[id.Step]
	if step.Gang {
		t = &j.occurrences[id.Occurrence].steps[id.Step].tasks[0]
	}
	if slices.Contains(t.crashedRuns, int64(c.Run)) {
		return false
	}
	t.addCrash(c)
	switch {
	case !t.isLikelyCause(c, step):
	case step.LongRunning && !step.Gang:
		j.giveUp(id)
		j.failIfNothingIsLeft()
	default:
		j.end(Phase_failed)
	}
	return true
}

func (t *Task) addCrash(c Crash) {
	if c.HasWorked {
		t.crashedRuns, t.earlyCrashes, t.aloneCrashes = nil, 0, 0
	}
	t.crashedRuns = append(t.crashedRuns, int64(c.Run))
	if c.IsEarly && !c.HasWorked {
		t.earlyCrashes++
	}
	if c.IsAlone && !c.HasWorked {
		t.aloneCrashes++
	}
	t.run = max(t.run, c.Run)
	if t.probation.Run <= c.Run {
		t.probation = Probation{}
	}
}

// isLikelyCause reports whether a task of the step is the likely cause of its crashes, the latest
// of which is c. The latest one does not matter for a long-running task.
func (t *Task) isLikelyCause(c Crash, step Step) bool {
	switch crashes := len(t.crashedRuns); {
	case t.earlyCrashes >= maxEarlyCrashes:
		return true
	case step.LongRunning:
		return false
	case step.Gang && crashes >= maxEarlyCrashes:
		return true
	default:
		return crashes >= failureCrashes && (c.IsAlone && c.IsEarly || t.aloneCrashes >= failureAloneCrashes)
	}
}

// giveUp ends the attempts to start a long-running task.
func (j *Job) giveUp(id TaskID) {
	t := j.Task(id)
	if t.isGivenUp {
		return
	}
	s := &j.occurrences[id.Occurrence].steps[id.Step]
	if t.IsWaiting() {
		s.waitingTasks--
	}
	t.isGivenUp = true
	s.givenUpTasks++
}

// failIfNothingIsLeft fails the job if all its unfinished tasks are given up.
func (j *Job) failIfNothingIsLeft() {
	if !j.IsActive() || len(j.occurrences)+len(j.finishedOccurrences) < j.spec.OccurrenceCount() {
		return
	}
	for _, o := range j.occurrences {
		for step := range o.steps {
			if o.CountUnfinished(step) > 0 {
				return
			}
		}
	}
	j.end(Phase_failed)
}

// EachSuspect calls visit for each task of an open occurrence during a run of which an executor
// has crashed.
func (j *Job) EachSuspect(visit func(id TaskID, t *Task)) {
	for k, o := range j.occurrences {
		for step := range o.steps {
			for i := range o.steps[step].tasks {
				if t := &o.steps[step].tasks[i]; t.IsSuspect() {
					visit(TaskID{Job: j.ID(), Occurrence: k, Step: step, Index: i}, t)
				}
			}
		}
	}
}
