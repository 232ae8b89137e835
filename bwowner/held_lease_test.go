package bwowner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice because a new owner takes the lease of a silent executor for over, which a call
// of the previous owner has made longer after the executor had restarted.
func TestNewOwnerWaitsForTheLongestLeaseOfARestartedExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		incarnation, isSilent := int64(1), false
		x := &scriptedExecutors{}
		x.onOrder = func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }
		x.onRenewal = func(ctx context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			bwclock.Sleep(ctx, 50*time.Millisecond)
			if executor != "e0" {
				return reportOf(), true
			}
			if isSilent {
				return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
			}
			var running []bwexecutor.RunStatus
			for _, o := range x.started() {
				running = append(running, runStatusOf(o))
			}
			reply := reportOf(running...)
			reply.Report.Incarnation = incarnation
			return reply, true
		}
		previous := newOwnerOf(t, kv, x, 1)
		time.Sleep(time.Second)
		incarnation = 2
		list := registrations(1)
		list[0].Incarnation = incarnation
		previous.SetExecutors(list)
		restartedAt := time.Now()
		time.Sleep(time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q", AcceptedBy: queue, Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Minute}}}
		assert.Equal(t, previous.Submit(t.Context(), spec).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		isSilent = true
		started := len(x.started())
		assert.Equal(t, started, 1)
		newOwnerOf(t, kv, x, 2)
		time.Sleep(time.Until(restartedAt.Add(10 * time.Second)))
		assert.Equal(t, len(x.started()), started, "%v", x.started())
		time.Sleep(3 * time.Second)
		assert.Assert(t, len(x.started()) > started)
	})
}
