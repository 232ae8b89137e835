package bwowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// slowReadStore answers reads of the owner's key after a delay, with what the key was before. Another owner claims
// the pool during the first read after isReplacing was set.
type slowReadStore struct {
	*bwstandin.KV
	delay       time.Duration
	isReplacing atomic.Bool
}

func (s *slowReadStore) Get(ctx context.Context, key string) (bwkv.Item, error) {
	item, err := s.KV.Get(ctx, key)
	if key == ownerKey && s.isReplacing.CompareAndSwap(true, false) {
		s.Put(ownerKey, []byte(`{"incarnation":"other"}`))
		bwclock.Sleep(ctx, s.delay)
	}
	return item, err
}

// Guards against a lease that expires during a read of the owner's key and counts as expired while the pool was owned.
func TestSlowReadOfTheKeyConfirmsNoLaterTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(ctx context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			orders := x.started()
			hasRun := len(orders) > 0 && orders[0].Executor == executor
			if hasRun && time.Since(started) > 3*time.Second {
				<-ctx.Done()
				return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
			}
			time.Sleep(20 * time.Millisecond)
			if hasRun {
				return reportOf(runStatusOf(orders[0])), true
			}
			reply := reportOf()
			if executor == "e2" && time.Since(started) > 6*time.Second {
				// The first report of a new incarnation needs a read of the key.
				reply.Report.Incarnation = 2
			}
			return reply, true
		}
		store := &slowReadStore{KV: bwstandin.NewKV(1), delay: 3 * time.Second}
		o := newOwnerOf(t, store, x, 4)
		time.Sleep(2 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 60 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(x.started()), 1)
		store.isReplacing.Store(true)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !store.isReplacing.Load())
		assert.Equal(t, len(x.started()), 1, "%v", x.started())
	})
}
