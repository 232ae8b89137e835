package bwschedule

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// placeGang starts either all tasks of a gang or none.
func (p *placement) placeGang() {
	tasks := p.occurrence.Tasks(p.step)
	if p.occurrence.CountWaiting(p.step) < len(tasks) {
		return
	}
	for i := range tasks {
		if !p.scheduler.mayRetry(p.job, &tasks[i]) {
			return
		}
		if p.scheduler.mayStillRun(p.taskID(i)) {
			p.scheduler.hasUnplacedTasks = true
			return
		}
	}
	chosen, ok := p.reserveAll(tasks)
	for i, e := range chosen {
		e.Remove(p.taskID(i))
	}
	if !ok {
		return
	}
	run := 1
	for i := range tasks {
		run = max(run, tasks[i].Run()+1)
	}
	for i, e := range chosen {
		p.scheduler.startTask(p.job, p.taskID(i), e, run, p.now, p.rack.logFields(e)...)
	}
}

// reserveAll chooses an executor for every task and adds a tentative run to each, so that
// the later tasks see the capacity that is left. The caller removes the tentative runs. It
// returns false if a task fits nowhere.
func (p *placement) reserveAll(tasks []bwjob.Task) ([]*bwexecutor.Executor, bool) {
	var chosen []*bwexecutor.Executor
	need := p.job.Spec().Steps[p.step].Reserved()
	for i := range tasks {
		e := p.chooseExecutor(&tasks[i])
		if e == nil {
			return chosen, false
		}
		e.Add(&bwexecutor.Run{Task: p.taskID(i), Reserved: need})
		p.countPlaced(e)
		chosen = append(chosen, e)
	}
	return chosen, true
}

func (p *placement) taskID(index int) bwjob.TaskID {
	return bwjob.TaskID{Job: p.job.ID(), Occurrence: p.occurrence.Index(), Step: p.step, Index: index}
}

// stopGang stops the other members of a gang after one could not be started.
func (s *Scheduler) stopGang(j *bwjob.Job, id bwjob.TaskID, now bwclock.Time) {
	for _, executorID := range s.ExecutorIDs() {
		e := s.executors[executorID]
		for _, r := range e.Runs() {
			if stepIDOf(r.Task) == stepIDOf(id) {
				s.stopRun(e, r, now, "a member of the gang could not be started")
			}
		}
	}
	s.log.Info("gang start aborted", "job", j.ID(), "step", id.Step)
}
