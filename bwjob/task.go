package bwjob

import (
	"cmp"
	"fmt"
	"slices"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// MarshalText returns the task's occurrence, step and index for log lines, which name the job
// under a key of its own.
func (id TaskID) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d.%d", id.Occurrence, id.Step, id.Index), nil
}

// Compare orders tasks by job, occurrence, step and index.
func (id TaskID) Compare(other TaskID) int {
	return cmp.Or(
		cmp.Compare(id.Job, other.Job),
		cmp.Compare(id.Occurrence, other.Occurrence),
		cmp.Compare(id.Step, other.Step),
		cmp.Compare(id.Index, other.Index),
	)
}

// EndKind is the way in which a run of a task ended.
type EndKind int

// The kinds of ends.
const (
	// EndUnknown is any kind that this version does not know.
	EndUnknown EndKind = iota
	EndDone
	// EndFailed counts against the queue's maximum number of attempts.
	EndFailed
	EndStopped
	// EndLeaseExpired means that the executor's lease expired during the run.
	EndLeaseExpired
	// EndGangMemberEnded means that another member of the gang ended.
	EndGangMemberEnded
	// EndGangIncomplete means that the other members of the gang did not start in time.
	EndGangIncomplete
)

// String returns the kind in lower case.
func (k EndKind) String() string {
	names := [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}
	return names[k]
}

// End is the end of one run.
type End struct {
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Task is the state of one task.
type Task struct {
	isDone          bool
	failedRuns      []int64
	run             int
	highestEndedRun int
	checkpoint      string
	executor        string
	// crashedRuns holds the numbers of the runs during which an executor crashed.
	crashedRuns []int64
	// earlyCrashes is how many of the crashes came soon after the start of the run, and
	// aloneCrashes how many came while no other task ran on the executor.
	earlyCrashes int
	aloneCrashes int
	// isGivenUp marks a long-running task that is not started again, because it crashes the
	// executors that start it.
	isGivenUp bool
	probation Probation
	// failedExecutors holds the executors on which runs failed; it is not stored.
	failedExecutors []string
}

// IsDone reports whether a run of the task succeeded.
func (t *Task) IsDone() bool { return t.isDone }

// Failures returns the number of failed runs.
func (t *Task) Failures() int { return len(t.failedRuns) }

// Run returns the highest run number that was used or skipped.
func (t *Task) Run() int { return t.run }

// HighestEndedRun returns the highest run number of which an end was reported.
func (t *Task) HighestEndedRun() int { return t.highestEndedRun }

// Checkpoint returns the latest checkpoint, or "" if there is none.
func (t *Task) Checkpoint() string { return t.checkpoint }

// Executor returns the executor on which the task runs or may run, or "" if there is none.
func (t *Task) Executor() string { return t.executor }

// HasFailedOn reports whether a run of the task failed on the executor.
func (t *Task) HasFailedOn(executor string) bool { return slices.Contains(t.failedExecutors, executor) }

// IsWaiting reports whether the task is to be assigned to an executor.
func (t *Task) IsWaiting() bool { return !t.isDone && !t.isGivenUp && t.executor == "" }

// IsGivenUp reports whether the task is not started again because it crashes its executors.
func (t *Task) IsGivenUp() bool { return t.isGivenUp }
