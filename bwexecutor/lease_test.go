package bwexecutor_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"gotest.tools/v3/assert"
)

// Guards against tasks that are started again while an executor with a slow clock still runs them.
func TestLeaseLastsByTheSlowestClockAndItsTimers(t *testing.T) {
	const lease = 3500 * time.Millisecond
	const timerDelay = 150 * time.Millisecond
	start := bwclock.Time(1_000_000)
	e := bwexecutor.New(bwexecutor.Registration{ID: "e0", Incarnation: 1})
	e.SyncClock(500, start)
	_, ok := e.ExtendLease(start, lease)
	assert.Assert(t, ok)
	assert.Equal(t, e.HasLeaseExpired(start.Add(lease*100/98+timerDelay)), false)
	assert.Equal(t, e.HasLeaseExpired(start.Add(2*lease)), true)
}

// Guards against an earlier, longer lease that is forgotten when a later reply shows an earlier clock.
func TestLeaseIsNeverShortened(t *testing.T) {
	const lease = 3500 * time.Millisecond
	start := bwclock.Time(1_000_000)
	e := bwexecutor.New(bwexecutor.Registration{ID: "e0", Incarnation: 1})
	e.SyncClock(5000, start)
	first, _ := e.ExtendLease(start, lease)
	e.SyncClock(2000, start)
	second, _ := e.ExtendLease(start, lease)
	assert.Equal(t, second, first)
	assert.Equal(t, e.HasLeaseExpired(start.Add(lease*3/2)), false)
}
