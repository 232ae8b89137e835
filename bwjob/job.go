package bwjob

import (
	"slices"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
)

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	index int
	steps []stepState
	// unfinishedSteps counts the steps that are not done yet.
	unfinishedSteps int
}

type stepState struct {
	tasks           []Task
	unfinishedTasks int
	waitingTasks    int
	// givenUpTasks counts the tasks of a long-running step that are not started again.
	givenUpTasks int
}

// Index returns the index of the occurrence, from 0.
func (o *Occurrence) Index() int { return o.index }

// Tasks returns the tasks of a step.
func (o *Occurrence) Tasks(step int) []Task { return o.steps[step].tasks }

// CountWaiting returns how many tasks of a step are to be assigned to an executor.
func (o *Occurrence) CountWaiting(step int) int { return o.steps[step].waitingTasks }

// CountUnfinished returns how many tasks of a step are neither done nor given up.
func (o *Occurrence) CountUnfinished(step int) int {
	return o.steps[step].unfinishedTasks - o.steps[step].givenUpTasks
}

// Job is the state of an accepted job. Its methods read no clock and send no orders.
type Job struct {
	spec                *Spec
	phase               Phase
	acceptedAt          bwclock.Time
	occurrences         map[int]*Occurrence
	finishedOccurrences map[int]bool
	nextOccurrence      int
	// hasStarted is set once a run of a task is known to have begun.
	hasStarted bool
}

// New returns a job that was accepted at the given time.
func New(spec *Spec, acceptedAt bwclock.Time) *Job {
	return &Job{
		spec:                spec,
		acceptedAt:          acceptedAt,
		occurrences:         make(map[int]*Occurrence),
		finishedOccurrences: make(map[int]bool),
	}
}

// Spec returns the job as it was submitted. A job that has ended keeps only its ID and queue.
func (j *Job) Spec() *Spec { return j.spec }

// ID returns the job's ID.
func (j *Job) ID() string { return j.spec.ID }

// IsOf reports whether callers find the job under a queue: the queue has the name that accepted the
// job, or the host and the prefix that it had then.
func (j *Job) IsOf(q bwfleet.Queue) bool {
	accepted := bwfleet.Placement{Queue: j.spec.Queue, Host: j.spec.AcceptedBy.Host, Prefix: j.spec.AcceptedBy.Prefix}
	return accepted.IsOf(q)
}

// Phase returns the lifecycle phase of the job.
func (j *Job) Phase() Phase { return j.phase }

// IsActive reports whether the job has not ended.
func (j *Job) IsActive() bool { return j.phase == Phase_active }

// AcceptedAt returns when the job was accepted.
func (j *Job) AcceptedAt() bwclock.Time { return j.acceptedAt }

// HasStarted reports whether a run of a task is known to have begun.
func (j *Job) HasStarted() bool { return j.hasStarted }

// OpenDue opens the occurrences that are due at now, so that their tasks can be placed.
func (j *Job) OpenDue(now bwclock.Time) {
	for j.mayOpenNext() && !now.Before(j.spec.DueAt(j.nextOccurrence)) {
		j.open(j.nextOccurrence)
		j.nextOccurrence++
	}
}

// mayOpenNext reports whether there is another occurrence, and the tasks of it and of the open ones are
// at most MaxTasks.
func (j *Job) mayOpenNext() bool {
	if !j.IsActive() || j.nextOccurrence >= j.spec.OccurrenceCount() {
		return false
	}
	isOpen := j.occurrences[j.nextOccurrence] != nil
	return isOpen || len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.spec.taskCount() <= MaxTasks
}

// OpenReported opens an occurrence of which an executor reports a task, which shows that a previous
// owner has started it. Its other tasks become due with OpenDue.
func (j *Job) OpenReported(occurrence int) {
	if j.IsActive() && occurrence >= 0 && occurrence < j.spec.OccurrenceCount() {
		j.open(occurrence)
	}
}

// open opens an occurrence unless it is open or finished.
func (j *Job) open(occurrence int) {
	if !j.finishedOccurrences[occurrence] && j.occurrences[occurrence] == nil {
		j.occurrences[occurrence] = newOccurrence(j.spec, occurrence)
	}
}

func newOccurrence(spec *Spec, index int) *Occurrence {
	o := &Occurrence{index: index, steps: make([]stepState, len(spec.Steps)), unfinishedSteps: len(spec.Steps)}
	for i, step := range spec.Steps {
		o.steps[i] = stepState{tasks: make([]Task, step.Count), unfinishedTasks: step.Count, waitingTasks: step.Count}
	}
	return o
}

// EachDueStep calls visit for each step of an open occurrence that has waiting tasks and whose
// dependencies are done.
func (j *Job) EachDueStep(visit func(o *Occurrence, step int)) {
	if !j.IsActive() {
		return
	}
	for k := 0; k < j.nextOccurrence; k++ {
		o := j.occurrences[k]
		if o == nil {
			continue
		}
		for i := range o.steps {
			if o.steps[i].waitingTasks > 0 && o.IsUnblocked(j.spec, i) {
				visit(o, i)
			}
		}
	}
}

// HasDueStep reports whether EachDueStep would visit a step.
func (j *Job) HasDueStep() bool {
	if !j.IsActive() {
		return false
	}
	for k := 0; k < j.nextOccurrence; k++ {
		if o := j.occurrences[k]; o != nil && o.hasDueStep(j.spec) {
			return true
		}
	}
	return false
}

func (o *Occurrence) hasDueStep(spec *Spec) bool {
	for i := range o.steps {
		if o.steps[i].waitingTasks > 0 && o.IsUnblocked(spec, i) {
			return true
		}
	}
	return false
}

// IsUnblocked reports whether all steps that a step depends on are done.
func (o *Occurrence) IsUnblocked(spec *Spec, step int) bool {
	for _, dependency := range spec.Steps[step].DependsOn {
		if o.steps[dependency].unfinishedTasks > 0 {
			return false
		}
	}
	return true
}

// EachOpenOccurrence calls visit for each open occurrence that is not finished, in order.
func (j *Job) EachOpenOccurrence(visit func(o *Occurrence)) {
	for k := 0; k < j.nextOccurrence; k++ {
		if o := j.occurrences[k]; o != nil {
			visit(o)
		}
	}
}

// Occurrence returns an open occurrence, or nil.
func (j *Job) Occurrence(index int) *Occurrence { return j.occurrences[index] }

// Task returns the state of a task, or nil if it does not exist or its occurrence is not open.
func (j *Job) Task(id TaskID) *Task {
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return &o.steps[id.Step].tasks[id.Index]
}

// Step returns the step of a task. It returns false if the job has no such step or has ended.
func (j *Job) Step(id TaskID) (Step, bool) {
	if !j.IsActive() || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return Step{}, false
	}
	return j.spec.Steps[id.Step], true
}

// Assign assigns a task to an executor under the given run number.
func (j *Job) Assign(id TaskID, executor string, run int) {
	t := j.Task(id)
	if t.IsWaiting() {
		j.occurrences[id.Occurrence].steps[id.Step].waitingTasks--
	}
	t.executor = executor
	t.run = max(t.run, run)
}

// MarkStarted records that a run of a task has begun: an executor has confirmed the start, or has
// listed the run or its end.
func (j *Job) MarkStarted() { j.hasStarted = true }

// Release removes the assignment of a task to the executor, which no longer runs it.
func (j *Job) Release(id TaskID, executor string) {
	t := j.Task(id)
	if t == nil || t.executor != executor || executor == "" {
		return
	}
	t.executor = ""
	if t.IsWaiting() {
		j.occurrences[id.Occurrence].steps[id.Step].waitingTasks++
	}
}

// SaveCheckpoint records the checkpoint that a run of the task has saved. Checkpoints of
// earlier runs are ignored, and all tasks of a gang share the latest one.
func (j *Job) SaveCheckpoint(id TaskID, run int, checkpoint string) {
	t := j.Task(id)
	if t == nil || checkpoint == "" || run < t.run {
		return
	}
	if !j.spec.Steps[id.Step].Gang {
		t.checkpoint = checkpoint
		return
	}
	tasks := j.occurrences[id.Occurrence].steps[id.Step].tasks
	for i := range tasks {
		tasks[i].checkpoint = checkpoint
	}
}

// RecordFailedExecutor records the executor on which a run of the task failed.
func (j *Job) RecordFailedExecutor(id TaskID, executor string) {
	if t := j.Task(id); t != nil {
		t.failedExecutors = append(t.failedExecutors, executor)
	}
}

// SkipRunsThrough ensures that the next run number of the task is higher than run.
func (j *Job) SkipRunsThrough(id TaskID, run int) {
	if t := j.Task(id); t != nil {
		t.run = max(t.run, run)
	}
}

// RecordEnd applies the end of a run and reports whether the job's record has to be stored
// again. The caller releases the task from its executor, since only the caller knows whether
// the run was the current one.
func (j *Job) RecordEnd(e End, maxAttempts int) bool {
	t := j.Task(e.Task)
	if t == nil || t.isDone {
		return false
	}
	j.SaveCheckpoint(e.Task, e.Run, e.Checkpoint)
	t.highestEndedRun = max(t.highestEndedRun, e.Run)
	t.run = max(t.run, e.Run)
	hasProbationEnded := t.probation.Run > 0 && t.probation.Run <= e.Run
	if hasProbationEnded {
		t.probation = Probation{}
	}
	switch {
	case j.spec.Steps[e.Task.Step].LongRunning:
		return hasProbationEnded
	case e.Kind == EndDone:
		j.finishTask(e.Task)
		j.failIfNothingIsLeft()
	case e.Kind == EndFailed:
		return j.countFailedRun(e, maxAttempts) || hasProbationEnded
	default:
		return hasProbationEnded
	}
	return true
}

func (j *Job) finishTask(id TaskID) {
	o := j.occurrences[id.Occurrence]
	s := &o.steps[id.Step]
	first, last := id.Index, id.Index
	if j.spec.Steps[id.Step].Gang {
		first, last = 0, len(s.tasks)-1
	}
	for i := first; i <= last; i++ {
		if s.tasks[i].isDone {
			continue
		}
		if s.tasks[i].IsWaiting() {
			s.waitingTasks--
		}
		s.tasks[i].isDone = true
		s.unfinishedTasks--
	}
	if s.unfinishedTasks > 0 {
		return
	}
	o.unfinishedSteps--
	if o.unfinishedSteps > 0 {
		return
	}
	delete(j.occurrences, id.Occurrence)
	j.finishedOccurrences[id.Occurrence] = true
	if len(j.finishedOccurrences) == j.spec.OccurrenceCount() {
		j.end(Phase_done)
	}
}

// countFailedRun counts a failed run and reports whether it was not counted before. The runs
// of a gang's members with the same number count as one.
func (j *Job) countFailedRun(e End, maxAttempts int) bool {
	if j.HasFailed(e.Task, e.Run) {
		return false
	}
	t := j.taskWithFailures(e.Task)
	t.failedRuns = append(t.failedRuns, int64(e.Run))
	if len(t.failedRuns) >= maxAttempts {
		j.end(Phase_failed)
	}
	return true
}

// FailIfExhausted fails an active job if a task of it has failed maxAttempts times, and reports whether
// it did.
func (j *Job) FailIfExhausted(maxAttempts int) bool {
	for _, o := range j.occurrences {
		for step := range o.steps {
			for i := range o.steps[step].tasks {
				if t := &o.steps[step].tasks[i]; !t.isDone && len(t.failedRuns) >= maxAttempts {
					j.end(Phase_failed)
					return true
				}
			}
		}
	}
	return false
}

// taskWithFailures returns the task that holds the failed runs of the given task, which is the first
// one of a gang.
func (j *Job) taskWithFailures(id TaskID) *Task {
	tasks := j.occurrences[id.Occurrence].steps[id.Step].tasks
	if j.spec.Steps[id.Step].Gang {
		return &tasks[0]
	}
	return &tasks[id.Index]
}

// HasFailed reports whether a run of the task with this number was counted as failed.
func (j *Job) HasFailed(id TaskID, run int) bool {
	return j.Task(id) != nil && slices.Contains(j.taskWithFailures(id).failedRuns, int64(run))
}

// Cancel ends the job unless it has already ended.
func (j *Job) Cancel() {
	if j.IsActive() {
		j.end(Phase_cancelled)
	}
}

// end ends the job and drops the state that an ended job does not need.
func (j *Job) end(p Phase) {
	j.phase = p
	j.occurrences = nil
	j.finishedOccurrences = nil
	j.spec = &Spec{ID: j.spec.ID, Queue: j.spec.Queue, AcceptedBy: j.spec.AcceptedBy}
}
