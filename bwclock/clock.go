// Package bwclock defines the time type and the clocks that the whole program uses.
//
// A Time is a count of milliseconds since the Unix epoch. A Clock returned by New follows the
// monotonic clock of the process, so that steps of the wall clock do not move it backwards. A
// Clock returned by NewBootTime also counts the time for which the host is suspended. The zero
// Clock reads the wall clock. Code that makes decisions does not read a Clock; it takes a Time
// as an argument, which lets tests choose the time.
package bwclock

import (
	"context"
	"math"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant in milliseconds since the Unix epoch.
type Time int64

// Never is the zero Time, which stands for an event that has not occurred. It is before every
// instant that a Clock returns.
const Never Time = 0

// Add returns t+d, with d truncated to milliseconds. The result is limited to what a Time holds.
func (t Time) Add(d time.Duration) Time {
	return t.AddMillis(d.Milliseconds())
}

// AddMillis returns t plus n milliseconds, limited to what a Time holds.
func (t Time) AddMillis(n int64) Time {
	sum := int64(t) + n
	if (sum < int64(t)) != (n < 0) {
		return Time(limitOf(n > 0))
	}
	return Time(sum)
}

// Sub returns the duration t-u, limited to what a Duration holds.
func (t Time) Sub(u Time) time.Duration {
	difference := t - u
	if (difference < t) != (u > 0) {
		return Milliseconds(limitOf(u < 0))
	}
	return Milliseconds(int64(difference))
}

// limitOf returns the largest or the smallest integer.
func limitOf(isLargest bool) int64 {
	if isLargest {
		return math.MaxInt64
	}
	return math.MinInt64
}

// Milliseconds returns n milliseconds, limited to the whole milliseconds that a Duration holds.
func Milliseconds(n int64) time.Duration {
	const limit = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(max(-limit, min(n, limit))) * time.Millisecond
}

// AddDurations returns a+b, limited to what a Duration holds.
func AddDurations(a, b time.Duration) time.Duration {
	sum := a + b
	if (sum < a) != (b < 0) {
		return time.Duration(limitOf(b > 0))
	}
	return sum
}

// Scale returns d multiplied by a factor, limited to what a Duration holds.
func Scale(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	switch {
	case product >= math.MaxInt64:
		return math.MaxInt64
	case product <= math.MinInt64:
		return math.MinInt64
	default:
		return time.Duration(product)
	}
}

// Before reports whether t is before u.
func (t Time) Before(u Time) bool {
	return t < u
}

// Millis returns t as a number of milliseconds since the Unix epoch.
func (t Time) Millis() int64 {
	return int64(t)
}

// String formats t in UTC as RFC 3339 with milliseconds, or as "never" for Never.
func (t Time) String() string {
	if t == Never {
		return "never"
	}
	return time.UnixMilli(int64(t)).UTC().Format("2006-01-02T15:04:05.000Z")
}

// GoString formats t as a decimal number of milliseconds.
func (t Time) GoString() string {
	return strconv.FormatInt(int64(t), 10)
}

// Clock reads the current Time.
type Clock struct {
	start time.Time
	// bootOffset is added to the boot-time clock to get the time since the Unix epoch. It is
	// 0 for clocks that do not follow the boot-time clock.
	bootOffset time.Duration
}

// New returns a Clock that starts at the current wall-clock time and follows the monotonic
// clock.
func New() Clock {
	return Clock{start: time.Now()}
}

// NewBootTime returns a Clock that also counts the time for which the host is suspended. It
// falls back to New if the boot-time clock is not available.
func NewBootTime() Clock {
	c := New()
	if boot, ok := bootTime(); ok {
		c.bootOffset = time.Duration(c.start.UnixNano()) - boot
	}
	return c
}

func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now returns the current time.
func (c Clock) Now() Time {
	if c.bootOffset != 0 {
		if boot, ok := bootTime(); ok {
			return Time((boot + c.bootOffset).Milliseconds())
		}
	}
	if c.start.IsZero() {
		return Time(time.Now().UnixMilli())
	}
	return Time(c.start.Add(time.Since(c.start)).UnixMilli())
}

// Sleep waits for d or until ctx is done, and reports whether ctx is not done. It returns at
// once if d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
