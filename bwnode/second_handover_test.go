package bwnode_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// isolateOwnerWithRun submits a job whose task runs on an executor that only the owner of the pool reaches. It
// then cuts the owner off from the other nodes and returns it. The owner does not learn that it is replaced.
func (c *cluster) isolateOwnerWithRun() *testNode {
	first := c.ownerOf("desk")
	for _, node := range c.nodes {
		if node == first {
			node.executors.unreachable.Store("desk-1", true)
		} else {
			node.executors.unreachable.Store("desk-0", true)
		}
	}
	time.Sleep(5 * time.Second)
	spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
	c.executors.RegisterJob(spec)
	assert.Equal(c.t, first.node.Submit(c.t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
	time.Sleep(time.Second)
	assert.Equal(c.t, c.executors.Running(), 1)
	first.store.isWatchBlocked.Store(true)
	c.network.Isolate(first.host)
	return first
}

// checkRunsOnce lets all grace and leases end, and checks that the task of isolateOwnerWithRun ran once at a time.
func (c *cluster) checkRunsOnce() {
	time.Sleep(15 * time.Second)
	assert.Equal(c.t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	assert.Equal(c.t, c.executors.Running(), 1)
}

// Guards against a planned hand-over that drops the grace of an earlier owner, which may still act.
func TestReleaseKeepsGraceOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		first := c.isolateOwnerWithRun()
		time.Sleep(1500 * time.Millisecond)
		second := c.ownerOf("desk")
		assert.Assert(t, second != first)
		second.node.Stop(context.Background())
		c.checkRunsOnce()
	})
}

// lossyClaimStore is a node's access to the store. The answer to its next claim of the pool is lost while isLossy
// is set.
type lossyClaimStore struct {
	bwnode.Store
	isLossy atomic.Bool
}

func (s *lossyClaimStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	r := s.Store.Transact(ctx, t)
	isClaim := len(t.Set) == 1 && strings.HasSuffix(t.Set[0].Key, "owners/desk")
	if isClaim && r.Outcome == bwkv.Committed && s.isLossy.CompareAndSwap(true, false) {
		return bwkv.Result{Outcome: bwkv.Unanswered}
	}
	return r
}

// Guards against a claim without an answer, after which the node claims its own key without the grace.
func TestClaimWithoutAnswerKeepsGraceOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stores []*lossyClaimStore
		c := newCluster(t, 1, 2, 2, func(d *bwnode.Deps) {
			stores = append(stores, &lossyClaimStore{Store: d.Store})
			d.Store = stores[len(stores)-1]
		})
		defer c.close()
		time.Sleep(3 * time.Second)
		first := c.isolateOwnerWithRun()
		for _, s := range stores {
			s.isLossy.Store(true)
		}
		c.checkRunsOnce()
		assert.Assert(t, c.ownerOf("desk") != first)
	})
}

// Guards against a node that loses its key soon after a claim and claims again without the grace of the owner before.
func TestLostKeyKeepsGraceOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		first := c.isolateOwnerWithRun()
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, c.ownerOf("desk") != first)
		c.kv.Delete("nodes/owners/desk")
		c.checkRunsOnce()
		assert.Assert(t, c.ownerOf("desk") != first)
	})
}
