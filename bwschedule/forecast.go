package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// rateWindow is the window over which the arrival rate is measured when enough jobs
	// arrived. It holds a few dozen jobs during a pool's busy phase. 0.4 s was no better
	// (design note 007).
	rateWindow = 600 * time.Millisecond
	// quietWindow is the window over which the rate is measured when few jobs arrived, so
	// that a single large job is not taken for a rising rate.
	quietWindow = 2 * time.Second
	// minArrivals is the number of jobs within the short window that is needed to
	// extrapolate a trend. A pool receives one or two in its quiet phase.
	minArrivals = 4
	// maxRise limits the forecast to this multiple of the current rate. 5 was no better
	// (design note 007).
	maxRise = 3
)

// work is an amount of CPU and memory: either resources in use, or resource-seconds.
// Resource-seconds divided by a duration give the average resources in use.
type work struct {
	cpu    float64
	memory float64
}

func (w work) plus(o work) work          { return work{w.cpu + o.cpu, w.memory + o.memory} }
func (w work) times(f float64) work      { return work{w.cpu * f, w.memory * f} }
func (w work) atLeast(o work) work       { return work{max(w.cpu, o.cpu), max(w.memory, o.memory)} }
func (w work) atMost(o work) work        { return work{min(w.cpu, o.cpu), min(w.memory, o.memory)} }
func (w work) less(o work) work          { return work{w.cpu - o.cpu, w.memory - o.memory} }
func (w work) over(d time.Duration) work { return w.times(1 / d.Seconds()) }

// workOf returns the estimated resource-seconds of one occurrence of a job. Long-running
// tasks are left out; they count with the resources that they hold.
func workOf(spec *bwjob.Spec) work {
	var w work
	for _, step := range spec.Steps {
		if step.LongRunning {
			continue
		}
		seconds := float64(step.Count) * step.Estimate.Seconds()
		r := step.Reserved()
		w = w.plus(work{cpu: seconds * float64(r.CPU), memory: seconds * float64(r.MemoryMB)})
	}
	return w
}

// arrival records the submission of one job.
type arrival struct {
	at   bwclock.Time
	work work
}

// arrivals holds the recent submissions. The zero value is ready to use.
type arrivals struct {
	list []arrival
}

func (a *arrivals) add(spec *bwjob.Spec, now bwclock.Time) {
	a.forget(now)
	a.list = append(a.list, arrival{at: now, work: workOf(spec)})
}

// forget removes the submissions that are too old for any forecast.
func (a *arrivals) forget(now bwclock.Time) {
	for len(a.list) > 0 && now.Sub(a.list[0].at) > quietWindow {
		a.list = a.list[1:]
	}
}

// forecast returns the resources that newly arriving jobs will use at the given time from
// now. It extrapolates the trend of the recent arrival rate, because adding a host to the
// pool takes a while.
func (a *arrivals) forecast(now bwclock.Time, ahead time.Duration) work {
	a.forget(now)
	recent, count := a.between(now.Add(-rateWindow), now)
	if count < minArrivals {
		all, _ := a.between(now.Add(-quietWindow), now)
		return all.over(quietWindow)
	}
	before, _ := a.between(now.Add(-2*rateWindow), now.Add(-rateWindow))
	rate := recent.over(rateWindow)
	trend := recent.less(before).over(rateWindow).over(rateWindow)
	// The measured rate applies to the middle of its window.
	rise := trend.times((ahead + rateWindow/2).Seconds())
	return rate.plus(rise).atLeast(rate).atMost(rate.times(maxRise))
}

// between returns the resource-seconds and the number of the jobs that arrived after one
// time and no later than another.
func (a *arrivals) between(after, until bwclock.Time) (work, int) {
	var sum work
	n := 0
	for _, x := range a.list {
		if after.Before(x.at) && !until.Before(x.at) {
			sum = sum.plus(x.work)
			n++
		}
	}
	return sum, n
}
