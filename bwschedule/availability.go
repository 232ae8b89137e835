package bwschedule

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// availablePercent is the reported share of full speed, in percent, at which a long-running
// task counts as available.
const availablePercent = 100

// availability returns log fields that tell how many other tasks of a long-running task's step are
// unavailable and how many of the step may be. It returns nil for other tasks.
func (s *Scheduler) availability(id bwjob.TaskID, now bwclock.Time) []any {
	step, ok := s.stepOf(id)
	if !ok || !step.LongRunning {
		return nil
	}
	return []any{"othersUnavailable", s.countUnavailable(step, id, now), "mayBeUnavailable", step.DisruptionBudget}
}

// countUnavailable counts the other tasks of the step that are not known to be available.
func (s *Scheduler) countUnavailable(step bwjob.Step, id bwjob.TaskID, now bwclock.Time) int {
	n := 0
	s.jobs[id.Job].EachOpenOccurrence(func(o *bwjob.Occurrence) {
		if o.Index() != id.Occurrence {
			return
		}
		for i := range o.Tasks(id.Step) {
			other := bwjob.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}
			if i != id.Index && !s.isAvailable(&o.Tasks(id.Step)[i], other, step, now) {
				n++
			}
		}
	})
	return n
}

func (s *Scheduler) isAvailable(t *bwjob.Task, id bwjob.TaskID, step bwjob.Step, now bwclock.Time) bool {
	e := s.executors[t.Executor()]
	if e == nil || now.Sub(e.ReportedAt()) > maxReportAge {
		return false
	}
	r := e.Run(id)
	return r != nil && r.Phase == bwexecutor.Running && (r.Status.Percent >= availablePercent || step.BestEffort)
}
