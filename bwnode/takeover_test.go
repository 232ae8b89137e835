package bwnode_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// recoveryTime is how long service may take to return after the loss of all nodes.
const recoveryTime = 12 * time.Second

// hostOrderTime is how long an order to a host may take after its executor was confirmed to be empty.
const hostOrderTime = 1500 * time.Millisecond

// submitTwoStepJob submits a job of two steps of one second each.
func (c *cluster) submitTwoStepJob() {
	step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second}
	second := step
	second.DependsOn = []int{0}
	spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{step, second}}
	c.executors.RegisterJob(spec)
	assert.Equal(c.t, c.submit(c.queues[0], spec), bwowner.OK)
}

// A new owner must not wait for an executor that left the registry long ago.
func TestTakeoverDoesNotWaitForExecutorsThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		c.kv.Delete(prefixRegistry + "desk-0")
		c.executors.SetUnreachable("desk-0", true)
		time.Sleep(10 * time.Second)
		c.submitTwoStepJob()
		c.kill(0)
		c.kill(0)
		killed := time.Now()
		for c.state(c.queues[0], "job").State != bwowner.Done {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(killed) < 5*time.Second, "the job is not done %s after the loss of all nodes", time.Since(killed))
		}
	})
}

// A call to another node that starts to fail must leave a log line.
func TestUnansweredCallsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		c.kill(0)
		time.Sleep(2 * time.Second)
		c.logMu.Lock()
		defer c.logMu.Unlock()
		assert.Assert(t, strings.Contains(c.logs.String(), "node does not answer: node=10.0.0.2 call=ping address=10.0.0.1:70"), c.logs.String())
	})
}

// ownsPool reports whether the node runs the owner of a pool.
func (n *testNode) ownsPool(pool string) bool {
	for _, p := range n.node.Dump().Pools {
		if p.Pool == pool {
			return true
		}
	}
	return false
}

// Guards against two active owners of a pool: an owner that still renews its lease but cannot
// read the key of its successor must stop extending the executors' leases before the
// successor relies on their expiry.
func TestReplacedOwnerStopsWithoutUpdatesFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		previous, successor := c.nodes[0], c.nodes[1]
		if successor.ownsPool("desk") {
			previous, successor = successor, previous
		}
		// The previous owner reaches only the first executor, its successor only the second.
		previous.executors.unreachable.Store("desk-1", true)
		successor.executors.unreachable.Store("desk-0", true)
		time.Sleep(5 * time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		c.executors.RegisterJob(spec)
		reply := previous.node.Submit(t.Context(), c.queues[0], spec)
		assert.Equal(t, reply.Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Equal(t, c.executors.Running(), 1)
		previous.store.isWatchBlocked.Store(true)
		c.network.Isolate(previous.host)
		time.Sleep(20 * time.Second)
		assert.Assert(t, successor.ownsPool("desk"))
		assert.Equal(t, c.executors.Running(), 1)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}

// A job must not be reported as done before its end is stored.
func TestJobIsNotDoneBeforeItsEndIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		// Runs that end on several executors a few milliseconds apart end between two
		// passes of the owner.
		var ids []string
		for i := range 3 {
			spec := &bwjob.Spec{ID: fmt.Sprintf("job%d", i), Queue: "q-desk", Steps: []bwjob.Step{
				{Count: 1, Need: bwjob.Resources{CPU: 8000}, Estimate: time.Second + time.Duration(3*i)*time.Millisecond},
			}}
			c.executors.RegisterJob(spec)
			assert.Equal(t, c.submit(c.queues[0], spec), bwowner.OK)
			ids = append(ids, spec.ID)
		}
		time.Sleep(500 * time.Millisecond)
		c.kv.SetUnavailable(true)
		for range 3000 {
			for _, id := range ids {
				reply := c.nodes[0].node.State(t.Context(), c.queues[0], id)
				assert.Assert(t, reply.State != bwowner.Done, "%s is shown as done without the store", id)
			}
			time.Sleep(time.Millisecond)
		}
		c.kv.SetUnavailable(false)
		assert.Equal(t, c.executors.Running(), 0)
	})
}

// The successor of an owner that had a planned stop must not wait for executors that ran
// nothing, even if they became unreachable just before.
func TestTakeoverAfterPlannedStopDoesNotWaitForIdleExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		c.executors.SetUnreachable("desk-0", true)
		// By then the owner has noticed that the executor does not answer, and the
		// executor's lease has not expired.
		time.Sleep(2200 * time.Millisecond)
		c.submitTwoStepJob()
		stopped := time.Now()
		if c.nodes[0].ownsPool("desk") {
			c.stop(0)
		} else {
			c.stop(1)
		}
		for c.state(c.queues[0], "job").State != bwowner.Done {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, time.Since(stopped) < 3500*time.Millisecond, "the job is not done %s after the planned stop", time.Since(stopped))
		}
	})
}

// Guards against a node that took every pool while it was alone and keeps them when others return.
func TestPoolsAreSharedAgainAfterOneNodeTookThemAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 3)
		defer c.close()
		time.Sleep(3 * time.Second)
		first := c.nodes[0]
		assert.Assert(t, first.ownsPool("desk") && first.ownsPool("lab"))
		c.start()
		c.start()
		time.Sleep(recoveryTime)
		for _, node := range c.nodes {
			assert.Assert(t, !(node.ownsPool("desk") && node.ownsPool("lab")), "node %s still owns both pools after %s", node.host, recoveryTime)
		}
		accepted := make(map[string]bwfleet.Queue)
		for n := range 10 {
			q, spec := c.randomJob(n)
			assert.Equal(t, c.submit(q, spec), bwowner.OK)
			accepted[spec.ID] = q
		}
		c.checkSettled(accepted)
	})
}

// Guards against a second change of owner that forgets executors for which the first still waits.
func TestSecondTakeoverWaitsForExecutorsOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
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
		assert.Equal(t, first.node.Submit(t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Equal(t, c.executors.Running(), 1)
		// The first owner goes on for a while, because it does not learn of its successor.
		first.store.isWatchBlocked.Store(true)
		c.network.Isolate(first.host)
		time.Sleep(1500 * time.Millisecond)
		second := c.ownerOf("desk")
		assert.Assert(t, second != nil && second != first)
		time.Sleep(500 * time.Millisecond)
		c.network.Isolate(second.host)
		second.cancel()
		time.Sleep(15 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
		assert.Equal(t, c.executors.Running(), 1)
	})
}

// ownerOf returns the node that owns the pool; if several do, the one with the highest fencing token.
func (c *cluster) ownerOf(pool string) *testNode {
	var owner *testNode
	var fence int64
	for _, node := range c.nodes {
		for _, p := range node.node.Dump().Pools {
			if p.Pool == pool && p.Fence > fence {
				owner, fence = node, p.Fence
			}
		}
	}
	return owner
}

// Guards against a long-running task that a new owner starts on a host for which the previous owner
// has just confirmed that it is empty.
func TestNewOwnerStartsNoLastingTaskOnHostThatIsAboutToBeOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 1)
		defer c.close()
		time.Sleep(3 * time.Second)
		reply, err := c.ownerOf("desk").node.Server().Cordon(t.Context(), &bwmesh.CordonRequest{Pool: "desk", Executor: "desk-0", ForMillis: 2500})
		assert.NilError(t, err)
		assert.Assert(t, reply.GetEmpty())
		confirmed := time.Now()
		c.killOwnerOf("desk")
		spec := &bwjob.Spec{ID: "lasting", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, LongRunning: true}}}
		c.executors.RegisterJob(spec)
		for c.submit(c.queues[0], spec) != bwowner.OK {
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, time.Since(confirmed) < hostOrderTime)
		}
		time.Sleep(hostOrderTime - time.Since(confirmed))
		assert.Equal(t, c.executors.Running(), 0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.executors.Running(), 1)
	})
}
