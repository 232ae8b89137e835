package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmaintenance"
)

// Survey summarizes the pool for the coordinator of host maintenance and host moves (package
// bwmaintenance). It omits executors whose latest report is missing, since their runs are
// not certain.
func (s *Scheduler) Survey(now bwclock.Time) bwmaintenance.Survey {
	survey := bwmaintenance.Survey{Executors: make(map[string]bwmaintenance.ExecutorSurvey), At: now}
	var capacity bwjob.Resources
	for id, e := range s.executors {
		if !e.HasCurrentReport() {
			continue
		}
		es := bwmaintenance.ExecutorSurvey{Runs: len(e.Runs()), IsCordoned: e.IsCordoned(now.Add(cordonMargin))}
		for _, r := range e.Runs() {
			if s.isLongRunning(r) {
				es.LongRunning++
			}
		}
		survey.Executors[id] = es
		capacity.CPU = max(capacity.CPU, e.Registration().Capacity.CPU)
		capacity.MemoryMB = max(capacity.MemoryMB, e.Registration().Capacity.MemoryMB)
	}
	survey.Demand = s.demand(capacity, now)
	return survey
}

// hostLeadTime is the time from an increase in demand until a host that is moved into the pool
// because of it accepts tasks: the survey, the order, the move and the first report.
const hostLeadTime = 2 * time.Second

// demand returns how many executors of the given capacity are needed for the due tasks and
// for those that are forecast.
func (s *Scheduler) demand(capacity bwjob.Resources, now bwclock.Time) float64 {
	if capacity.CPU == 0 || capacity.MemoryMB == 0 {
		return 0
	}
	longRunning, due := s.dueUse()
	need := longRunning.plus(due.atLeast(s.arrivals.forecast(now, hostLeadTime)))
	return max(need.cpu/float64(capacity.CPU), need.memory/float64(capacity.MemoryMB))
}

// dueUse returns the resources that the unfinished tasks of unblocked steps use or would use,
// separately for long-running and other tasks.
func (s *Scheduler) dueUse() (longRunning, others resourceUse) {
	for _, j := range s.active {
		j.EachOpenOccurrence(func(o *bwjob.Occurrence) {
			for i, step := range j.Spec().Steps {
				if !o.IsUnblocked(j.Spec(), i) {
					continue
				}
				r := step.Reserved()
				need := resourceUse{cpu: float64(r.CPU), memory: float64(r.MemoryMB)}.times(float64(o.CountUnfinished(i)))
				if step.LongRunning {
					longRunning = longRunning.plus(need)
				} else {
					others = others.plus(need)
				}
			}
		})
	}
	return longRunning, others
}
