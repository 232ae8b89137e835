package bwnode_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// laggingStore is a node's access to the store, which does not show the node changes of the keys of nodes
// while isLagging is set. Reads of the registry wait while isRegistrySlow is set.
type laggingStore struct {
	bwnode.Store
	isLagging      atomic.Bool
	isRegistrySlow atomic.Bool
}

func (s *laggingStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bwkv.Item, int64, error) {
	items, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	for s.isHidden(prefix) && ctx.Err() == nil {
		bwclock.Sleep(ctx, 50*time.Millisecond)
	}
	return items, revision, err
}

func (s *laggingStore) isHidden(prefix string) bool {
	return prefix == prefixNodes && s.isLagging.Load() || prefix == prefixRegistry && s.isRegistrySlow.Load()
}

// countRuns returns the number of runs that the node knows on an executor.
func (n *testNode) countRuns(executor string) int {
	for _, p := range n.node.Dump().Pools {
		for _, e := range p.Executors {
			if e.ID == executor {
				return e.Runs
			}
		}
	}
	return 0
}

// Guards against a replaced owner that starts tasks on an executor that has restarted and so knows no fence.
func TestReplacedOwnerStartsNothingOnRestartedExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stores []*laggingStore
		c := newCluster(t, 1, 2, 2, func(d *bwnode.Deps) {
			s := &laggingStore{Store: d.Store}
			d.Store = s
			stores = append(stores, s)
		})
		defer c.close()
		time.Sleep(3 * time.Second)
		previous, successor, store := c.nodes[0], c.nodes[1], stores[0]
		if c.ownerOf("desk") == successor {
			previous, successor, store = successor, previous, stores[1]
		}
		// The owner starts nothing while it cannot read the registry.
		store.isRegistrySlow.Store(true)
		time.Sleep(4 * time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, previous.node.Submit(t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
		store.isLagging.Store(true)
		c.network.Isolate(previous.host)
		previous.executors.unreachable.Store("desk-0", true)
		previous.executors.unreachable.Store("desk-1", true)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, c.ownerOf("desk"), successor)
		assert.Equal(t, c.executors.Running(), 1)
		idle := "desk-1"
		if successor.countRuns(idle) > 0 {
			idle = "desk-0"
		}
		successor.executors.unreachable.Store(idle, true)
		c.register(c.executors.Restart(idle))
		previous.executors.unreachable.Delete(idle)
		time.Sleep(time.Second)
		store.isRegistrySlow.Store(false)
		time.Sleep(15 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}
