package bwnode_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// slowTransactions is a store whose transactions take longer.
type slowTransactions struct {
	bwnode.Store
	delay time.Duration
}

func (s slowTransactions) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	time.Sleep(s.delay)
	return s.Store.Transact(ctx, t)
}

// Guards against submissions that wait for their record until the caller has left, and then run in vain.
func TestSubmissionsAreRefusedWhileWritesAreDelayed(t *testing.T) {
	const callerTimeout = 2850 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 3, func(d *bwnode.Deps) { d.Store = slowTransactions{d.Store, 250 * time.Millisecond} })
		defer c.close()
		time.Sleep(4 * time.Second)
		var mu sync.Mutex
		verdicts := make(map[bwowner.Verdict]int)
		var wait sync.WaitGroup
		// The store takes 29 records in each transaction, 116 a second.
		for n := range 2000 {
			spec := &bwjob.Spec{ID: fmt.Sprintf("job%04d", n), Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 10 * time.Millisecond}}}
			c.executors.RegisterJob(spec)
			wait.Add(1)
			go func() {
				defer wait.Done()
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				defer cancel()
				startedAt := time.Now()
				reply := c.nodes[0].node.Submit(ctx, c.queues[0], spec)
				mu.Lock()
				defer mu.Unlock()
				verdicts[reply.Verdict]++
				if reply.Verdict == bwowner.Refused {
					assert.Check(t, time.Since(startedAt) < 100*time.Millisecond, "refused after %s", time.Since(startedAt))
					assert.Check(t, reply.RetryAfter > 0)
				}
			}()
			time.Sleep(2 * time.Millisecond)
		}
		wait.Wait()
		assert.Equal(t, verdicts[bwowner.Unknown], 0, "%v", verdicts)
		assert.Assert(t, verdicts[bwowner.OK] >= 200, "%v", verdicts)
		time.Sleep(10 * time.Second)
	})
}
