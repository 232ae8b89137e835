// Package bwschedule decides where and when the tasks of one pool run.
//
// A Scheduler is a plain value. The pool's owner passes it submissions, cancellations,
// registrations, executor reports and the results of orders, each with a timestamp, and
// asks it for the orders to send. It does no I/O and starts no goroutines, so tests can
// drive every decision with chosen times. Package bwowner sends the orders.
//
// A task is waiting, assigned to one executor, or done. Its assignment is released only
// when the executor reported the end of the run, restarted or refused the start, or when
// its lease is certain to have expired. This keeps two runs of a task from overlapping.
package bwschedule

import (
	"math"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
)

// latencyDeadline returns the time by which a job must be done to meet its latency objective.
func latencyDeadline(q bwfleet.Queue, j *bwjob.Job) bwclock.Time {
	objective := bwclock.AddDurations(bwclock.Scale(j.Spec().CriticalPath(), q.Stretch), q.ObjectiveOffset)
	return j.AcceptedAt().Add(objective)
}

// settingsOf returns the settings of a job's queue: those of the latest configuration that had the
// queue, or else those with which it accepted the job. It returns false if neither is known, as for
// a job that an earlier version accepted and whose queue is not in the configuration.
func (s *Scheduler) settingsOf(j *bwjob.Job) (bwfleet.Queue, bool) {
	if q, ok := s.queues[j.Spec().Queue]; ok {
		return q, true
	}
	q := j.Spec().AcceptedBy
	return q, q.MaxAttempts > 0
}

// maxAttempts returns how many failed runs of a task fail the job, or math.MaxInt if the settings of its
// queue are not known.
func (s *Scheduler) maxAttempts(j *bwjob.Job) int {
	q, isKnown := s.settingsOf(j)
	if !isKnown {
		return math.MaxInt
	}
	return max(1, q.MaxAttempts)
}

// mayRetry reports whether a task may be started as far as its failed runs are concerned. Without the
// settings of the queue it is not known whether another run is allowed.
func (s *Scheduler) mayRetry(j *bwjob.Job, t *bwjob.Task) bool {
	_, isKnown := s.settingsOf(j)
	return isKnown || t.Failures() == 0
}

// failExhaustedJobs fails the jobs of queues that have become known if a task has failed as often as its
// queue allows. Failed runs decide nothing while the settings of the queue are not known.
func (s *Scheduler) failExhaustedJobs(now bwclock.Time) {
	if len(s.newQueues) == 0 {
		return
	}
	isNew := s.newQueues
	s.newQueues = make(map[string]bool)
	for _, j := range s.active {
		wasUnknown := isNew[j.Spec().Queue] && j.Spec().AcceptedBy.MaxAttempts == 0
		if wasUnknown && j.FailIfExhausted(s.maxAttempts(j)) {
			s.handleJobChange(j, now)
		}
	}
}
