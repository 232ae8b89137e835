package bwnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// changeQueues writes a version of the configuration without waiting for it.
func (c *cluster) changeQueues(queues ...bwfleet.Queue) {
	value, err := json.Marshal(queues)
	assert.NilError(c.t, err)
	c.kv.Put(keyConfig, value)
}

// Guards against a job that two pools accept because the owner of one decides by a stale copy of the placements.
func TestOnlyOnePoolAcceptsAJobWhileItsPlacementsAreStale(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second} {
		for _, change := range []string{"moved", "renamed and moved", "another prefix and another pool"} {
			t.Run(fmt.Sprintf("%s after %s", change, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStalePlacements(t, change, delay) })
			})
		}
	}
}

func testStalePlacements(t *testing.T, change string, delay time.Duration) {
	c := newCluster(t, 1, 3, 2)
	defer c.close()
	time.Sleep(visibleTime)
	accepting := c.ownerOf("lab")
	assert.Assert(t, accepting != c.ownerOf("desk"))
	accepting.store.isNodesBlocked.Store(true)
	q := c.queues[0]
	step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second}
	c.submitTask(q, "first", step)
	moved := q
	moved.Pool = "lab"
	switch change {
	case "renamed and moved":
		moved.Name = "q-desk-2"
	case "another prefix and another pool":
		moved.Prefix = "/desk-2/"
	}
	c.changeQueues(c.queues[1], moved)
	time.Sleep(delay)
	repeated := &bwjob.Spec{ID: "first", Queue: moved.Name, Steps: []bwjob.Step{step}}
	verdict := c.submit(moved, repeated)
	assert.Assert(t, verdict == bwowner.OK || verdict == bwowner.Refused)
	accepting.store.isNodesBlocked.Store(false)
	assert.Assert(t, eventually(recoveryTime, func() bool { return c.submit(moved, repeated) == bwowner.OK }))
	assert.Assert(t, c.hasRecord("desk", "first"))
	assert.Assert(t, !c.hasRecord("lab", "first"))
	assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
}

// slowStore delays the transactions that set a key, while it is told to.
type slowStore struct {
	bwnode.Store
	key   string
	delay *time.Duration
}

func (s slowStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	for _, w := range t.Set {
		if w.Key == s.key {
			time.Sleep(*s.delay)
		}
	}
	return s.Store.Transact(ctx, t)
}

// Guards against a job that two pools accept because one of them changes its owner after it has left the job to the
// other, which has not stored it yet.
func TestOnlyOnePoolAcceptsAJobWhenTheAskedOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var delay time.Duration
		c := newCluster(t, 1, 3, 2, func(d *bwnode.Deps) {
			d.Store = slowStore{Store: d.Store, key: bwowner.JobPrefix("lab") + "second", delay: &delay}
		})
		defer c.close()
		time.Sleep(visibleTime)
		q := c.queues[0]
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 40 * time.Second}
		c.submitTask(q, "first", step)
		moved := q
		moved.Pool = "lab"
		c.setQueues(c.queues[1], moved)
		asked, accepting := c.ownerOf("desk"), c.ownerOf("lab")
		assert.Assert(t, asked != accepting)

		delay = 12 * time.Second
		second := func() *bwjob.Spec { return &bwjob.Spec{ID: "second", Queue: q.Name, Steps: []bwjob.Step{step}} }
		c.executors.RegisterJob(second())
		submitted := make(chan bwowner.Reply)
		go func() { submitted <- accepting.node.Submit(t.Context(), moved, second()) }()
		time.Sleep(time.Second)
		for i, node := range c.nodes {
			if node == asked {
				c.stop(i)
				break
			}
		}
		// A node with an earlier configuration still sends the job to its first pool.
		assert.Assert(t, eventually(8*time.Second, func() bool { return c.submit(q, second()) == bwowner.OK }))
		assert.Assert(t, c.hasRecord("desk", "second"))
		assert.Equal(t, (<-submitted).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Assert(t, !c.hasRecord("lab", "second"))
		time.Sleep(50 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}

// nodeWithoutPool returns a node that owns neither pool.
func (c *cluster) nodeWithoutPool() *testNode {
	for _, node := range c.nodes {
		if node != c.ownerOf("desk") && node != c.ownerOf("lab") {
			return node
		}
	}
	c.t.Fatal("each node owns a pool")
	return nil
}

// Guards against a cancellation that is answered as if there were no such job while the job works on, because the
// node that is asked does not know the job's pool yet.
func TestCancelIsNotAnsweredByStalePlacements(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 700 * time.Millisecond, 1900 * time.Millisecond, 4 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 3, 2)
				defer c.close()
				time.Sleep(visibleTime)
				asked := c.nodeWithoutPool()
				asked.store.isNodesBlocked.Store(true)
				q := c.queues[0]
				c.submitTask(q, "lasting", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second, LongRunning: true})
				moved := q
				moved.Pool = "lab"
				c.changeQueues(c.queues[1], moved)
				time.Sleep(delay)
				assert.Equal(t, asked.node.Cancel(t.Context(), moved, "lasting").Verdict, bwowner.OK)
				time.Sleep(2 * time.Second)
				assert.Equal(t, c.executors.Running(), 0)
			})
		})
	}
}

// Guards against a cancellation that is answered as if there were no such job by a replaced owner, which does not
// know it.
func TestCancelIsNotAnsweredByAReplacedOwner(t *testing.T) {
	for delay := time.Duration(0); delay < time.Second; delay += 100 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCancelAtReplacedOwner(t, delay) })
		})
	}
}

func testCancelAtReplacedOwner(t *testing.T, delay time.Duration) {
	c := newCluster(t, 1, 3, 2)
	defer c.close()
	time.Sleep(visibleTime + delay)
	q := c.queues[0]
	replaced := c.ownerOf("desk")
	replaced.store.isNodesBlocked.Store(true)
	c.network.Isolate(replaced.host)
	for _, e := range c.executors.Registrations() {
		replaced.executors.unreachable.Store(e.ID, true)
	}
	other := c.nodeWithoutPool()
	lasting := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, LongRunning: true}
	assert.Assert(t, eventually(2*time.Second, func() bool {
		return other.node.Submit(t.Context(), q, &bwjob.Spec{ID: "lasting", Queue: q.Name, Steps: []bwjob.Step{lasting}}).Verdict == bwowner.OK
	}))
	assert.Assert(t, replaced.node.Cancel(t.Context(), q, "lasting").Verdict != bwowner.Absent)
	assert.Equal(t, other.node.Cancel(t.Context(), q, "never submitted").Verdict, bwowner.Absent)
}
