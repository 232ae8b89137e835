package bwowner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// unreadableStore fails reads of the owner's key while isUnreadable is set.
type unreadableStore struct {
	*bwstandin.KV
	isUnreadable atomic.Bool
}

func (s *unreadableStore) Get(ctx context.Context, key string) (bwkv.Item, error) {
	if key == ownerKey && s.isUnreadable.Load() {
		return bwkv.Item{}, errors.New("no answer")
	}
	return s.KV.Get(ctx, key)
}

// Guards against a start on a restarted executor, which may have forgotten a successor's fence, before the ownership is confirmed.
func TestRestartedExecutorGetsNoTaskUntilTheKeyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hasRestarted atomic.Bool
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(context.Context, string, int) (bwowner.ExecutorReply, bool) {
			time.Sleep(20 * time.Millisecond)
			reply := reportOf()
			if hasRestarted.Load() {
				reply.Report.Incarnation = 2
			}
			return reply, true
		}
		store := &unreadableStore{KV: bwstandin.NewKV(1)}
		o := newOwnerOf(t, store, x, 1)
		time.Sleep(3 * time.Second)
		store.isUnreadable.Store(true)
		hasRestarted.Store(true)
		o.SetExecutors([]bwexecutor.Registration{{ID: "e0", Incarnation: 2, Pool: "pool", Address: "10.9.0.0:80", DataCentre: "a", Rack: "r",
			Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 8000}}})
		time.Sleep(time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(x.started()), 0)
		store.isUnreadable.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, len(x.started()) > 0)
	})
}

// Guards against a replaced owner that starts a task again because its executor has restarted, after the task has ended for its successor.
func TestTaskOfRestartedExecutorWaitsUntilTheKeyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hasRestarted atomic.Bool
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(_ context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			time.Sleep(20 * time.Millisecond)
			reply := reportOf()
			for _, o := range x.started() {
				if o.Executor == executor {
					reply = reportOf(runStatusOf(o))
				}
			}
			if orders := x.started(); hasRestarted.Load() && orders[0].Executor == executor {
				reply = reportOf()
				reply.Report.Incarnation = 2
			}
			return reply, true
		}
		store := &unreadableStore{KV: bwstandin.NewKV(1)}
		o := newOwnerOf(t, store, x, 2)
		time.Sleep(3 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Equal(t, len(x.started()), 1)
		// A successor may have the pool: it may have taken note of the end of the run before the executor restarted.
		store.isUnreadable.Store(true)
		hasRestarted.Store(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(x.started()), 1, "%v", x.started())
		store.isUnreadable.Store(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(x.started()), 2)
	})
}
