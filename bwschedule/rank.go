package bwschedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

// jobInOrder is a job with what decides its place in the order.
type jobInOrder struct {
	job      *bwjob.Job
	rank     int
	priority int
	work     float64
}

// compare orders jobs, the most urgent first; equal ones by their ids, so that the order is
// the same in each pass.
func (x jobInOrder) compare(y jobInOrder) int {
	if c := cmp.Compare(x.rank, y.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(x.priority, y.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(x.work, y.work); c != 0 {
		return c
	}
	return strings.Compare(x.job.ID(), y.job.ID())
}

// inOrder returns the active jobs with waiting tasks, the most urgent first: tasks that
// last, then jobs that can still meet their objective, then late ones; within each by
// priority, and the least work first, which lets the most jobs end in time.
func (s *Scheduler) inOrder(now bwclock.Time) []jobInOrder {
	list := make([]jobInOrder, 0, len(s.active))
	for _, j := range s.active {
		j.Open(now)
		if !j.HasDue() {
			continue
		}
		c := jobInOrder{job: j, priority: s.queues[j.Spec().Queue].Priority}
		c.rank, c.work = s.rank(j, now)
		list = append(list, c)
	}
	slices.SortFunc(list, jobInOrder.compare)
	return list
}

// The ranks of jobs.
const (
	rankLongRunning = iota
	// rankLastChance jobs are late and would soon be too late to count at all.
	rankLastChance
	rankInTime
	rankLate
	// rankOverdue jobs have run out of the time in which a late end counts.
	rankOverdue
)

const (
	// lateFactor is how many times its objective a job may take and still count as late.
	lateFactor = 3
	// lastChanceWindow is how long before its last start a late job gets its chance. It
	// covers the wait for room behind running tasks.
	lastChanceWindow = 700 * time.Millisecond
	// estimateSlack allows for estimates that are too low.
	estimateSlack = 1.2
)

// rank returns the rank of a job and the work that is left, in core-seconds.
func (s *Scheduler) rank(j *bwjob.Job, now bwclock.Time) (int, float64) {
	var work float64
	var chain float64
	isLongRunning := false
	j.EachOpen(func(o *bwjob.Occurrence) {
		for i, step := range j.Spec().Steps {
			if step.LongRunning {
				isLongRunning = true
				continue
			}
			n := o.Undone(i)
			work += float64(n) * step.Estimate.Seconds() * float64(max(1, step.Reserved().CPU)) / 1000
			if n > 0 {
				chain += step.Estimate.Seconds()
			}
		}
	})
	if isLongRunning {
		return rankLongRunning, work
	}
	if j.Spec().Times > 0 {
		return rankInTime, work
	}
	objective := objectiveOf(s.queues[j.Spec().Queue], j)
	if chain <= objective.Sub(now).Seconds() {
		return rankInTime, work
	}
	lastStart := lateFactor*objective.Sub(j.AcceptedAt()).Seconds() - now.Sub(j.AcceptedAt()).Seconds() - estimateSlack*chain
	switch {
	case lastStart < 0:
		return rankOverdue, work
	case lastStart < lastChanceWindow.Seconds():
		return rankLastChance, work
	default:
		return rankLate, work
	}
}
