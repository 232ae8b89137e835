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
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
)

// latencyDeadline returns the time by which a job must be done to meet its latency objective.
func latencyDeadline(q bwfleet.Queue, j *bwjob.Job) bwclock.Time {
	criticalPath := float64(j.Spec().CriticalPath()) * q.Stretch
	return j.AcceptedAt().Add(time.Duration(criticalPath) + q.ObjectiveOffset)
}

// maxAttempts returns how many failed runs of a task fail its job. It returns at least 1,
// because the configuration may no longer list the queue.
func maxAttempts(q bwfleet.Queue) int { return max(1, q.MaxAttempts) }
