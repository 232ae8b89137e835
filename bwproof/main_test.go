package bwproof_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwseed"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	if err := bwseed.Configure("25"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestRealTimeFleet runs a whole fleet in real time, so that it can run under the race detector:
// the Go 1.26 runtime sometimes crashes in synctest bubbles under the race detector.
func TestRealTimeFleet(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.isRealTime = true
	defer f.close()
	l := startLoad(f, 2*time.Millisecond, 30*time.Second)
	f.runWave("alpha", time.Minute)
	f.stop(f.entries[0])
	assert.Assert(t, f.entries[0].isCleanStop)
	list := l.finish()
	executions := f.executions()
	for _, r := range list {
		if r.outcome == "notRun" && executions[r.id] > 0 {
			t.Fatalf("%s: the reply was notRun, but it was executed", r.id)
		}
		if r.outcome == "ran" && r.body != r.payload && !r.replayed {
			t.Fatalf("%s: the reply body differs from the payload", r.id)
		}
	}
	assert.Assert(t, len(list) > 100)
}

func TestFleetServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		for _, profile := range []string{"reads", "counts"} {
			r := &requestRecord{pool: "alpha", profile: "alpha-" + profile, payload: "hello"}
			f.sendRequest(context.Background(), f.entries[1], r, 2*time.Second)
			assert.Equal(t, r.outcome, "ran", r.reason)
			assert.Equal(t, r.body, "hello")
			assert.Equal(t, f.executions()[r.id], 1)
			a := f.account(f.entries[2], r.id)
			assert.Assert(t, a != nil && a.GetFinal())
		}
	})
}
