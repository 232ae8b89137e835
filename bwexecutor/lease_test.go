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
