// Package bwschedule decides where and when the tasks of one pool run.
//
// A Scheduler is a plain value: its owner tells it of submissions, cancellations,
// registrations, reports and answers to orders, each with the time, and asks it for
// orders. It does no I/O and starts no goroutines, so that every decision can be tested
// with chosen times. Package bwowner carries the orders out.
//
// A task is in one of three places: it waits, it is assigned to one executor, or it is
// done. It leaves an executor only when that executor listed its end, restarted, refused
// the start, or when its lease ended for certain. This is what keeps two runs of a task
// from overlapping.
package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
)

// objectiveOf returns when a job has to be done to meet its latency objective.
func objectiveOf(q bwfleet.Queue, j *bwjob.Job) bwclock.Time {
	chain := float64(j.Spec().LongestChain()) * q.Stretch
	return j.AcceptedAt().Add(time.Duration(chain) + q.ObjectiveOffset)
}

// attemptsOf is at least one, for queues that the configuration does not list any more.
func attemptsOf(q bwfleet.Queue) int { return max(1, q.MaxAttempts) }
