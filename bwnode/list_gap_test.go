package bwnode_test

import (
	"context"
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

// mutedStore is a node's access to the store, which carries out transactions but does not answer them while isMuted
// is set.
type mutedStore struct {
	bwnode.Store
	isMuted atomic.Bool
}

func (s *mutedStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	r := s.Store.Transact(ctx, t)
	if s.isMuted.Load() {
		return bwkv.Result{Outcome: bwkv.Unanswered}
	}
	return r
}

// Guards against a task that runs twice because its executor was missing from the list that the next owner read.
func TestTaskOnExecutorThatAPendingListDropsRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stores []*mutedStore
		c := newCluster(t, 1, 2, 4, func(d *bwnode.Deps) {
			stores = append(stores, &mutedStore{Store: d.Store})
			d.Store = stores[len(stores)-1]
		})
		defer func() {
			c.close()
			if t.Failed() && testing.Verbose() {
				t.Log(c.logs.String())
			}
		}()
		previous, other := 0, 1
		for _, n := range c.nodes {
			n.executors.unreachable.Store("desk-3", true)
		}
		time.Sleep(3 * time.Second)
		if c.ownerOf("desk") == c.nodes[1] {
			previous, other = 1, 0
		}
		owner, successor, store := c.nodes[previous], c.nodes[other], stores[previous]
		step := bwjob.Step{Count: 3, Need: bwjob.Resources{CPU: 8000}, Estimate: 60 * time.Second}
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{step}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, owner.node.Submit(t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Equal(t, c.executors.Running(), 3)
		owner.executors.unreachable.Store("desk-0", true)
		time.Sleep(2 * time.Second)
		store.isMuted.Store(true)
		time.Sleep(4 * time.Second)
		owner.executors.unreachable.Delete("desk-0")
		time.Sleep(time.Second)
		c.register(c.executors.Restart("desk-1"))
		time.Sleep(time.Second)
		successor.executors.unreachable.Store("desk-0", true)
		successor.executors.unreachable.Delete("desk-3")
		c.kill(previous)
		for _, n := range c.nodes {
			n.executors.unreachable.Store("desk-0", true)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}
