package bwschedule_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// demandAfter returns the demand, in executors of 10 cores, after jobs have arrived for the
// given duration. rate returns the jobs per second. Each job is one task of 2 core-seconds
// that lasts 1 s. It is cancelled at once, so that the demand consists of the forecast only.
func demandAfter(d time.Duration, rate func(at time.Duration) float64) float64 {
	s := bwschedule.New(hclog.NewNullLogger())
	s.Register(bwexecutor.Registration{ID: "e", Incarnation: 1, Capacity: bwjob.Resources{CPU: 10_000, MemoryMB: 100_000}})
	s.HandleReport("e", bwexecutor.Report{Incarnation: 1}, start, start)
	due, n := 0.0, 0
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		due += rate(at) * 0.01
		for ; due >= 1; due-- {
			n++
			now := start.Add(at)
			j := bwjob.New(&bwjob.Spec{ID: fmt.Sprint(n), Queue: "q", Steps: []bwjob.Step{
				{Count: 1, Need: bwjob.Resources{CPU: 2000, MemoryMB: 100}, Estimate: time.Second},
			}}, now)
			s.Submit(j)
			s.Cancel(j, now)
		}
	}
	return s.Survey(start.Add(d)).Demand
}

func TestForecastOfASteadyRateIsTheRate(t *testing.T) {
	got := demandAfter(5*time.Second, func(time.Duration) float64 { return 50 })
	assert.Assert(t, got > 9 && got < 11.5, "%.1f executors, want about 10", got)
}

func TestForecastExtrapolatesRisingRate(t *testing.T) {
	rise := func(at time.Duration) float64 { return 50 * at.Seconds() }
	got := demandAfter(time.Second, rise)
	// 50 jobs a second need 10 executors, 150 need 30.
	assert.Assert(t, got > 15, "%.1f executors one second into the rise", got)
	assert.Assert(t, got < 35, "%.1f executors one second into the rise", got)
}

func TestForecastDropsToZeroWithoutArrivals(t *testing.T) {
	got := demandAfter(8*time.Second, func(at time.Duration) float64 {
		if at < 5*time.Second {
			return 50
		}
		return 0
	})
	assert.Equal(t, got, 0.0)
}

// A single large job must not be extrapolated as a rising arrival rate.
func TestForecastOfASingleJobIsSmall(t *testing.T) {
	s := bwschedule.New(hclog.NewNullLogger())
	s.Register(bwexecutor.Registration{ID: "e", Incarnation: 1, Capacity: bwjob.Resources{CPU: 10_000, MemoryMB: 100_000}})
	s.HandleReport("e", bwexecutor.Report{Incarnation: 1}, start, start)
	j := bwjob.New(&bwjob.Spec{ID: "large", Queue: "q", Steps: []bwjob.Step{
		{Count: 10, Need: bwjob.Resources{CPU: 2000, MemoryMB: 100}, Estimate: 2 * time.Second},
	}}, start)
	s.Submit(j)
	got := s.Survey(bwclock.Time(start)).Demand
	assert.Assert(t, got <= 2, "%.1f executors for a job that fills two", got)
}

// Old arrivals must be dropped on submission, not only when a survey asks for a forecast.
// Otherwise they accumulate in a pool that is never surveyed.
func TestArrivalsArePrunedWithoutSurveys(t *testing.T) {
	s := bwschedule.New(hclog.NewNullLogger())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 300_000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		j := bwjob.New(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{{Count: 1, Estimate: time.Second}}}, now)
		s.Submit(j)
		s.Cancel(j, now)
		s.RemoveJob("j")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, grown < 1<<20, "the heap has grown by %d bytes", grown)
	runtime.KeepAlive(s)
}
