package bwnode_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwschedule"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// panickingExecutors panic in calls for executors of the desk pool, a number of times.
type panickingExecutors struct {
	bwowner.Executors
	remaining *atomic.Int64
}

func (e panickingExecutors) panicFor(target bwowner.Target) {
	if target.ID[:4] == "desk" && e.remaining.Add(-1) >= 0 {
		panic("unexpected")
	}
}

func (e panickingExecutors) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	e.panicFor(target)
	return e.Executors.RenewLease(ctx, target, renewal)
}

func (e panickingExecutors) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, until int64) bwowner.ExecutorReply {
	e.panicFor(target)
	return e.Executors.Order(ctx, target, o, fence, until)
}

// Guards against an unexpected error in one pool that ends the process, and with it the other pools. The
// pool is given up and loaded again; its accepted jobs run once.
func TestUnexpectedErrorEndsOwnerOfOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var remaining atomic.Int64
		registry := prometheus.NewRegistry()
		c := newCluster(t, 1, 1, 4, func(d *bwnode.Deps) {
			d.Executors = panickingExecutors{Executors: d.Executors, remaining: &remaining}
			d.Guard = bwpanic.NewGuard(d.Log, registry)
		})
		defer c.close()
		time.Sleep(3 * time.Second)
		lab := c.ownerOf("lab")
		assert.Assert(t, lab != nil)
		submit := func(queue, n int) {
			q := c.queues[queue]
			spec := &bwjob.Spec{ID: fmt.Sprintf("%s%d", q.Pool, n), Queue: q.Name, Steps: []bwjob.Step{
				{Count: 3, Need: bwjob.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 500 * time.Millisecond}}}
			c.executors.RegisterJob(spec)
			assert.Equal(t, c.submit(q, spec), bwowner.OK)
		}
		for n := range 3 {
			submit(0, n)
			submit(1, n)
			remaining.Store(3)
			time.Sleep(4 * time.Second)
		}
		c.settle()
		for n := range 3 {
			for _, q := range c.queues {
				assert.Equal(t, c.state(q, fmt.Sprintf("%s%d", q.Pool, n)).State, bwowner.Done)
			}
		}
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
		families, err := registry.Gather()
		assert.NilError(t, err)
		assert.Assert(t, len(families) == 1 && families[0].GetName() == "basilwood_panics_total")
	})
}
