package bwstandin

import (
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

const (
	// longRunningStartup is the time from the start of a long-running task until it is at work.
	longRunningStartup = 700 * time.Millisecond
	// absenceTime is how long a long-running task may be absent until it counts as unavailable
	// whatever the reason.
	absenceTime = 4500 * time.Millisecond
)

// Maintain ends an executor as an order to its host does, and records a violation if this makes more
// long-running tasks unavailable than may be. It returns the registration of the new incarnation.
func (es *Executors) Maintain(id string) bwexecutor.Registration {
	es.mu.Lock()
	for _, r := range es.executors[id].running {
		es.checkAvailability(id, r)
		r.endKind = bwjob.EndStopped
	}
	es.mu.Unlock()
	return es.Restart(id)
}

// Stops returns how many runs of a job were ended by a stop order.
func (es *Executors) Stops(job string) int {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.stops[job]
}

// recordAbsence records that a run has ended.
func (es *Executors) recordAbsence(id string, r *taskRun, isStopped bool) {
	h := es.history(r.task)
	delete(h.runningOn, id)
	if !time.Now().Before(r.atWorkAt) {
		h.absentSince, h.isStopped = time.Now(), isStopped
	}
	h.isStopped = h.isStopped || isStopped
}

// checkAvailability records a violation if a stop order ends a long-running task that is at work
// while as many others of its step are unavailable as may be.
func (es *Executors) checkAvailability(id string, r *taskRun) {
	spec := es.specs[r.task.Job]
	if spec == nil || time.Now().Before(r.atWorkAt) || !r.endAt.After(time.Now().Add(runStopTime)) {
		return
	}
	step := spec.Steps[r.task.Step]
	if !step.LongRunning {
		return
	}
	unavailable := 0
	for i := range step.Count {
		other := r.task
		other.Index = i
		if i != r.task.Index && es.isUnavailable(other) {
			unavailable++
		}
	}
	if unavailable >= max(1, step.DisruptionBudget) {
		es.recordViolation("task %v run %d on %s is stopped while %d others of its step are unavailable, of which %d may be",
			r.task, r.number, id, unavailable, step.DisruptionBudget)
	}
}

func (es *Executors) isUnavailable(task bwjob.TaskID) bool {
	h := es.history(task)
	for id := range h.runningOn {
		e := es.executors[id]
		es.endDueRuns(id, e)
		if r := e.running[task]; r != nil && !time.Now().Before(r.atWorkAt) {
			return r.endKind == bwjob.EndStopped
		}
	}
	return h.isStopped || time.Since(h.absentSince) >= absenceTime
}
