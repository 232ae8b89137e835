package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// rateWindow is the time over which the rate of new work is taken when enough jobs came:
	// a few dozen jobs in a pool's turn. 0.4 s was no better (design note 007).
	rateWindow = 600 * time.Millisecond
	// quietWindow is the time over which it is taken otherwise, so that a single large job
	// does not look like a rise.
	quietWindow = 2 * time.Second
	// minArrivals is the number of jobs within rateWindow from which a trend is believed; in
	// its quiet time a pool gets one or two.
	minArrivals = 4
	// maxRise bounds how much higher than now the rate is forecast. 5 was no better (design
	// note 007).
	maxRise = 3
)

// work is an amount of work: resources times seconds. Divided by seconds it is a rate, in
// resources that are in use.
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

// workOf returns the work of one run through a job's steps, by its estimates. Tasks that
// last count by what they hold, not here.
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

// arrival is a job that came.
type arrival struct {
	at   bwclock.Time
	work work
}

// arrivals holds the jobs that came lately. The zero value is ready to use.
type arrivals struct {
	list []arrival
}

func (a *arrivals) add(spec *bwjob.Spec, now bwclock.Time) {
	a.forget(now)
	a.list = append(a.list, arrival{at: now, work: workOf(spec)})
}

// forget drops the jobs that no forecast looks at any more.
func (a *arrivals) forget(now bwclock.Time) {
	for len(a.list) > 0 && now.Sub(a.list[0].at) > quietWindow {
		a.list = a.list[1:]
	}
}

// forecast returns what the work that comes will hold at the given time from now. The rate
// of the last moments is extended by its trend, because hosts need a while to come.
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
	// The rate is that of the middle of its window.
	rise := trend.times((ahead + rateWindow/2).Seconds())
	return rate.plus(rise).atLeast(rate).atMost(rate.times(maxRise))
}

// between returns the work that came after one time and until another, and in how many jobs.
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
