package bwowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice because a new owner takes the lease of a silent executor for over, which a call
// of the previous owner has made longer after the executor had restarted.
func TestNewOwnerWaitsForTheLongestLeaseOfARestartedExecutor(t *testing.T) {
	for name, delay := range map[string]time.Duration{"registry read before": 0, "registry read later": 500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLeaseOfRestartedExecutor(t, delay) })
		})
	}
}

// testLeaseOfRestartedExecutor delays the list of registrations.
func testLeaseOfRestartedExecutor(t *testing.T, delay time.Duration) {
	kv := bwstandin.NewKV(1)
	spec := &bwjob.Spec{ID: "job", Queue: "q", AcceptedBy: queue, Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Minute}}}
	record, err := bwjob.New(spec, bwclock.Time(time.Now().UnixMilli())).Encode()
	assert.NilError(t, err)
	stored := kv.Transact(t.Context(), bwkv.Transaction{Set: []bwkv.Write{
		{Key: bwowner.JobPrefix("pool") + "job", Value: record},
		{Key: "executors/pool", Value: []byte(`[{"id":"e0","address":"10.9.0.0:80"}]`)},
	}})
	assert.Equal(t, stored.Outcome, bwkv.Committed)
	x := &scriptedExecutors{
		onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted },
		onRenewal: func(ctx context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			if executor != "e0" {
				return bwowner.ExecutorReply{}, false
			}
			bwclock.Sleep(ctx, time.Second)
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
		},
	}
	born := time.Now().Add(-1400 * time.Millisecond)
	o := newOwnerOf(t, kv, x, 2)
	list := registrations(2)
	list[0].Incarnation = born.UnixMilli()
	if delay > 0 {
		o.SetExecutors(nil)
		time.Sleep(delay)
	}
	o.SetExecutors([]bwexecutor.Registration{list[0], list[1]})
	// A renewal that the restarted executor took up to a second after its start gave it a lease of 10 s.
	time.Sleep(time.Until(born.Add(11 * time.Second)))
	assert.Equal(t, len(x.started()), 0, "%v", x.started())
	time.Sleep(4 * time.Second)
	assert.Assert(t, len(x.started()) > 0)
}
