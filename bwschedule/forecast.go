package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// busyRateWindow is the window over which the arrival rate is measured when enough jobs
	// arrived. A few dozen jobs arrive within it while a pool is busy.
	busyRateWindow = 600 * time.Millisecond
	// quietRateWindow is the window over which the rate is measured when few jobs arrived, so
	// that a single large job is not taken for a rising rate.
	quietRateWindow = 2 * time.Second
	// minTrendArrivals is the number of jobs within busyRateWindow that is needed to
	// extrapolate a trend. A quiet pool receives one or two jobs in that time.
	minTrendArrivals = 4
	// maxGrowth limits the forecast to this multiple of the current rate.
	maxGrowth = 3
)

// resourceUse is an amount of CPU and memory: either resources in use, or resource-seconds.
// Resource-seconds divided by a duration give the average resources in use.
type resourceUse struct {
	cpu    float64
	memory float64
}

func (u resourceUse) plus(o resourceUse) resourceUse {
	return resourceUse{u.cpu + o.cpu, u.memory + o.memory}
}
func (u resourceUse) times(f float64) resourceUse { return resourceUse{u.cpu * f, u.memory * f} }
func (u resourceUse) atLeast(o resourceUse) resourceUse {
	return resourceUse{max(u.cpu, o.cpu), max(u.memory, o.memory)}
}
func (u resourceUse) atMost(o resourceUse) resourceUse {
	return resourceUse{min(u.cpu, o.cpu), min(u.memory, o.memory)}
}
func (u resourceUse) minus(o resourceUse) resourceUse {
	return resourceUse{u.cpu - o.cpu, u.memory - o.memory}
}
func (u resourceUse) over(d time.Duration) resourceUse { return u.times(1 / d.Seconds()) }

// estimatedUse returns the estimated resource-seconds of one occurrence of a job. Long-running
// tasks are left out; they count with the resources that they hold.
func estimatedUse(spec *bwjob.Spec) resourceUse {
	var sum resourceUse
	for _, step := range spec.Steps {
		if step.LongRunning {
			continue
		}
		seconds := float64(step.Count) * step.Estimate.Seconds()
		r := step.Reserved()
		sum = sum.plus(resourceUse{cpu: seconds * float64(r.CPU), memory: seconds * float64(r.MemoryMB)})
	}
	return sum
}

// arrival records the submission of one job.
type arrival struct {
	at  bwclock.Time
	use resourceUse
}

// arrivals holds the recent submissions. The zero value is ready to use.
type arrivals struct {
	list []arrival
}

func (a *arrivals) add(spec *bwjob.Spec, now bwclock.Time) {
	a.prune(now)
	a.list = append(a.list, arrival{at: now, use: estimatedUse(spec)})
}

// prune removes the submissions that are too old for any forecast.
func (a *arrivals) prune(now bwclock.Time) {
	for len(a.list) > 0 && now.Sub(a.list[0].at) > quietRateWindow {
		a.list = a.list[1:]
	}
}

// forecast returns the resources that newly arriving jobs will use at the given time from
// now. It extrapolates the trend of the recent arrival rate, because adding a host to the
// pool takes a while.
func (a *arrivals) forecast(now bwclock.Time, ahead time.Duration) resourceUse {
	a.prune(now)
	recent, count := a.between(now.Add(-busyRateWindow), now)
	if count < minTrendArrivals {
		all, _ := a.between(now.Add(-quietRateWindow), now)
		return all.over(quietRateWindow)
	}
	before, _ := a.between(now.Add(-2*busyRateWindow), now.Add(-busyRateWindow))
	rate := recent.over(busyRateWindow)
	trend := recent.minus(before).over(busyRateWindow).over(busyRateWindow)
	// The measured rate applies to the middle of its window.
	increase := trend.times((ahead + busyRateWindow/2).Seconds())
	return rate.plus(increase).atLeast(rate).atMost(rate.times(maxGrowth))
}

// between returns the resource-seconds and the number of the jobs that arrived after one
// time and no later than another.
func (a *arrivals) between(after, until bwclock.Time) (resourceUse, int) {
	var sum resourceUse
	n := 0
	for _, x := range a.list {
		if after.Before(x.at) && !until.Before(x.at) {
			sum = sum.plus(x.use)
			n++
		}
	}
	return sum, n
}
