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
	survey.Demand, survey.OverdueDemand = s.demand(capacity, now)
	return survey
}

// hostLeadTime is the time from an increase in demand until a host that is moved into the pool
// because of it accepts tasks: the survey, the order, the move and the first report.
const hostLeadTime = 2 * time.Second

// demand returns how many executors of the given capacity are needed for the due tasks and
// for those that are forecast, and how many of them only for the tasks of overdue jobs.
func (s *Scheduler) demand(capacity bwjob.Resources, now bwclock.Time) (total, overdue float64) {
	if capacity.CPU == 0 || capacity.MemoryMB == 0 {
		return 0, 0
	}
	hosts := func(use resourceUse) float64 {
		return max(use.cpu/float64(capacity.CPU), use.memory/float64(capacity.MemoryMB))
	}
	use := s.dueUse(now)
	forecast := s.arrivals.forecast(now, hostLeadTime)
	total = hosts(use.longRunning.plus(use.inTime.plus(use.overdue).atLeast(forecast)))
	return total, total - hosts(use.longRunning.plus(use.inTime.atLeast(forecast)))
}

// dueUse is the resources that the unfinished tasks of unblocked steps use or would use.
type dueUse struct {
	longRunning resourceUse
	// inTime is for the jobs that can still end while their end counts, overdue for the others.
	inTime  resourceUse
	overdue resourceUse
}

func (s *Scheduler) dueUse(now bwclock.Time) dueUse {
	var sum dueUse
	for _, j := range s.active {
		rank, _ := s.rank(j, now)
		j.EachOpenOccurrence(func(o *bwjob.Occurrence) {
			for i, step := range j.Spec().Steps {
				if !o.IsUnblocked(j.Spec(), i) {
					continue
				}
				r := step.Reserved()
				need := resourceUse{cpu: float64(r.CPU), memory: float64(r.MemoryMB)}.times(float64(o.CountUnfinished(i)))
				switch {
				case step.LongRunning:
					sum.longRunning = sum.longRunning.plus(need)
				case rank == rankOverdue:
					sum.overdue = sum.overdue.plus(need)
				default:
					sum.inTime = sum.inTime.plus(need)
				}
			}
		})
	}
	return sum
}
