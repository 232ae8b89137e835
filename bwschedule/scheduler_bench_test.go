package bwschedule_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
)

// fullScheduler returns a scheduler whose executors are all full and whose remaining jobs wait.
func fullScheduler(executors, jobs int) *bwschedule.Scheduler {
	s := bwschedule.New(hclog.NewNullLogger())
	s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 2, ObjectiveOffset: time.Second}})
	for i := range executors {
		id := fmt.Sprintf("e%05d", i)
		s.Register(bwexecutor.Registration{ID: id, Incarnation: 1, Rack: fmt.Sprint(i / 4), Capacity: bwjob.Resources{CPU: 64000, MemoryMB: 256000}})
		s.Executor(id).SetAdmitted(true)
		s.HandleReport(id, bwexecutor.Report{Incarnation: 1}, start, start)
	}
	for i := range executors + jobs {
		spec := &bwjob.Spec{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []bwjob.Step{{Count: 18, Need: bwjob.Resources{CPU: 3500, MemoryMB: 13000}, Estimate: time.Second}}}
		s.Submit(bwjob.New(spec, start))
	}
	for _, o := range s.Schedule(start) {
		s.HandleResult(o, bwschedule.Accepted, start)
	}
	return s
}

// BenchmarkPass measures one scheduling pass over a full pool.
func BenchmarkPass(b *testing.B) {
	for _, executors := range []int{12, 60, 257} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			s := fullScheduler(executors, 100)
			for b.Loop() {
				s.Schedule(start)
			}
		})
	}
}

// BenchmarkReport measures the processing of the report of one full executor.
func BenchmarkReport(b *testing.B) {
	for _, executors := range []int{12, 60, 257} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			s := fullScheduler(executors, 100)
			var r bwexecutor.Report
			r.Incarnation = 1
			for id, run := range s.Executor("e00000").Runs() {
				r.Running = append(r.Running, bwexecutor.RunStatus{Task: id, Run: run.Number, Percent: 100})
			}
			for b.Loop() {
				s.HandleReport("e00000", r, start, bwclock.Time(start))
			}
		})
	}
}

// BenchmarkLatePass measures one scheduling pass over a full pool in which the waiting jobs
// are old enough to have executors set aside.
func BenchmarkLatePass(b *testing.B) {
	for _, executors := range []int{12, 60, 257} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			s := fullScheduler(executors, 500)
			late := start.Add(3 * time.Second)
			for id, e := range executorsOf(s) {
				s.HandleReport(id, bwexecutor.Report{Incarnation: 1, Running: runsOf(e)}, late, late)
			}
			for b.Loop() {
				s.Schedule(late)
			}
		})
	}
}

func executorsOf(s *bwschedule.Scheduler) map[string]*bwexecutor.Executor {
	all := make(map[string]*bwexecutor.Executor)
	for _, id := range s.ExecutorIDs() {
		all[id] = s.Executor(id)
	}
	return all
}

func runsOf(e *bwexecutor.Executor) []bwexecutor.RunStatus {
	var list []bwexecutor.RunStatus
	for id, run := range e.Runs() {
		list = append(list, bwexecutor.RunStatus{Task: id, Run: run.Number, Percent: 100})
	}
	return list
}

// BenchmarkPassAfterEnd measures the end of one run in a full pool and the pass that fills the
// capacity again, while many other jobs wait.
func BenchmarkPassAfterEnd(b *testing.B) {
	for _, executors := range []int{12, 60, 257} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			s := fullScheduler(executors, 500)
			e := s.Executor("e00000")
			number := int64(0)
			for b.Loop() {
				number++
				statuses := runsOf(e)
				ended := statuses[0]
				s.HandleReport(e.ID(), bwexecutor.Report{Incarnation: 1, Running: statuses[1:], Ended: []bwexecutor.NumberedEnd{
					{Number: number, End: bwjob.End{Task: ended.Task, Run: ended.Run, Kind: bwjob.EndStopped}}}}, start, start)
				for _, o := range s.Schedule(start) {
					s.HandleResult(o, bwschedule.Accepted, start)
				}
			}
		})
	}
}

// BenchmarkJobEnd measures the submission and the cancellation of a job beside a full pool.
func BenchmarkJobEnd(b *testing.B) {
	for _, executors := range []int{12, 60, 257} {
		b.Run(fmt.Sprint(executors), func(b *testing.B) {
			s := fullScheduler(executors, 0)
			for i := 0; b.Loop(); i++ {
				spec := &bwjob.Spec{ID: fmt.Sprint("job", i), Queue: "q", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 1000}}}}
				j := bwjob.New(spec, start)
				s.Submit(j)
				s.Cancel(j, start)
				s.RemoveJob(spec.ID)
			}
		})
	}
}
