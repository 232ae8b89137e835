package bwschedule

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

// rankedJob is a job with its sort key.
type rankedJob struct {
	job           *bwjob.Job
	rank          int
	priority      int
	remainingWork float64
}

// compare sorts the most urgent job first. Ties are broken by job ID, so that the order is
// the same in every pass.
func (x rankedJob) compare(y rankedJob) int {
	if c := cmp.Compare(x.rank, y.rank); c != 0 {
		return c
	}
	if c := cmp.Compare(x.priority, y.priority); c != 0 {
		return c
	}
	if c := cmp.Compare(x.remainingWork, y.remainingWork); c != 0 {
		return c
	}
	return strings.Compare(x.job.ID(), y.job.ID())
}

// jobsByRank returns the active jobs with due tasks, the most urgent first: by rank, then by
// the priority of the queue, then by the least remaining work, which lets the most jobs
// end in time. Long-running jobs come first and late jobs after those that can still meet
// their objective, except for late jobs in their last-chance window.
func (s *Scheduler) jobsByRank(now bwclock.Time) []rankedJob {
	list := make([]rankedJob, 0, len(s.active))
	for _, j := range s.active {
		j.OpenDue(now)
		if !j.HasDueStep() {
			continue
		}
		c := rankedJob{job: j, priority: s.priorityOf(j)}
		c.rank, c.remainingWork = s.rank(j, now)
		list = append(list, c)
	}
	slices.SortFunc(list, rankedJob.compare)
	return list
}

// priorityOf returns the priority of a job's queue, which is the lowest if it is not known.
func (s *Scheduler) priorityOf(j *bwjob.Job) int {
	q, isKnown := s.settingsOf(j)
	if !isKnown {
		return math.MaxInt
	}
	return q.Priority
}

// The ranks of jobs.
const (
	rankLongRunning = iota
	// rankLastChance is for late jobs that must start soon to end while a late end counts.
	rankLastChance
	// rankOnTime is for jobs that can still meet their objective.
	rankOnTime
	rankLate
	// rankOverdue is for jobs that can no longer end while a late end counts.
	rankOverdue
)

const (
	// lateFactor is the multiple of its latency objective within which a late job must end
	// for its end to count.
	lateFactor = 3
	// lastChanceWindow is how long before its latest possible start a late job is moved
	// ahead. It covers the wait until running tasks free capacity.
	lastChanceWindow = 700 * time.Millisecond
	// estimateSafetyFactor multiplies estimated durations, which may be too low.
	estimateSafetyFactor = 1.2
)

// rank returns the rank of a job and its remaining work in core-seconds.
func (s *Scheduler) rank(j *bwjob.Job, now bwclock.Time) (int, float64) {
	var remainingWork float64
	var remainingDuration float64
	isLongRunning := false
	j.EachOpenOccurrence(func(o *bwjob.Occurrence) {
		for i, step := range j.Spec().Steps {
			if step.LongRunning {
				isLongRunning = true
				continue
			}
			n := o.CountUnfinished(i)
			remainingWork += float64(n) * step.Estimate.Seconds() * float64(max(1, step.Reserved().CPU)) / 1000
			if n > 0 {
				remainingDuration += step.Estimate.Seconds()
			}
		}
	})
	if isLongRunning {
		return rankLongRunning, remainingWork
	}
	q, isKnown := s.settingsOf(j)
	if j.Spec().ScheduledOccurrences > 0 || !isKnown {
		return rankOnTime, remainingWork
	}
	deadline := latencyDeadline(q, j)
	if remainingDuration <= deadline.Sub(now).Seconds() {
		return rankOnTime, remainingWork
	}
	untilLatestStart := lateFactor*deadline.Sub(j.AcceptedAt()).Seconds() - now.Sub(j.AcceptedAt()).Seconds() - estimateSafetyFactor*remainingDuration
	switch {
	case untilLatestStart < 0:
		return rankOverdue, remainingWork
	case untilLatestStart < lastChanceWindow.Seconds():
		return rankLastChance, remainingWork
	default:
		return rankLate, remainingWork
	}
}
