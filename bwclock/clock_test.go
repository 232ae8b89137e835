package bwclock_test

import (
	"math"
	"math/big"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// limited returns n, or the nearest integer that fits.
func limited(n *big.Int) int64 {
	switch {
	case n.IsInt64():
		return n.Int64()
	case n.Sign() > 0:
		return math.MaxInt64
	default:
		return math.MinInt64
	}
}

// Guards against times and durations of submitted jobs that turn from far in the future into the past.
func TestArithmeticIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Int64().Draw(t, "a"), rapid.Int64().Draw(t, "b")
		bigA, bigB := big.NewInt(a), big.NewInt(b)
		sum, difference := new(big.Int).Add(bigA, bigB), new(big.Int).Sub(bigA, bigB)
		assert.Equal(t, bwclock.Time(a).AddMillis(b), bwclock.Time(limited(sum)))
		assert.Equal(t, bwclock.AddDurations(time.Duration(a), time.Duration(b)), time.Duration(limited(sum)))
		assert.Equal(t, bwclock.Time(a).Sub(bwclock.Time(b)), bwclock.Milliseconds(limited(difference)))
		millis := bwclock.Milliseconds(a)
		assert.Equal(t, millis%time.Millisecond, time.Duration(0))
		const limit = math.MaxInt64 / int64(time.Millisecond)
		assert.Equal(t, millis.Milliseconds(), max(-limit, min(a, limit)))
		assert.Equal(t, bwclock.Time(a).Add(time.Duration(b)), bwclock.Time(a).AddMillis(time.Duration(b).Milliseconds()))
	})
}

func TestScaleIsLimited(t *testing.T) {
	assert.Equal(t, bwclock.Scale(time.Second, 2.5), 2500*time.Millisecond)
	assert.Equal(t, bwclock.Scale(math.MaxInt64, 3), time.Duration(math.MaxInt64))
	assert.Equal(t, bwclock.Scale(math.MaxInt64, -3), time.Duration(math.MinInt64))
	assert.Equal(t, bwclock.Scale(time.Second, math.Inf(1)), time.Duration(math.MaxInt64))
}
