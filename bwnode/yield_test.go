package bwnode_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// Guards against a job that two pools accept because a replaced owner does not know it.
func TestJobOfAReplacedOwnersPoolIsAcceptedOnce(t *testing.T) {
	for delay := time.Duration(0); delay < time.Second; delay += 100 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testYieldOfReplacedOwner(t, delay) })
		})
	}
}

func testYieldOfReplacedOwner(t *testing.T, delay time.Duration) {
	c := newCluster(t, 1, 3, 2)
	defer func() {
		c.close()
		if t.Failed() && testing.Verbose() {
			t.Log(c.logs.String())
		}
	}()
	time.Sleep(3 * time.Second)
	q := c.queues[0]
	step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second}
	c.submitTask(q, "first", step)
	time.Sleep(visibleTime + delay)
	previous, accepting := c.ownerOf("desk"), c.ownerOf("lab")
	assert.Assert(t, previous != accepting)
	var successor *testNode
	for _, n := range c.nodes {
		if n != previous && n != accepting {
			successor = n
		}
	}
	for _, executor := range []string{"desk-0", "desk-1"} {
		previous.executors.unreachable.Store(executor, true)
	}
	c.network.SetPartitioned(previous.host, successor.host, true)
	time.Sleep(850 * time.Millisecond)
	previous.store.isNodesBlocked.Store(true)
	accepting.store.isNodesBlocked.Store(true)
	assert.Assert(t, eventually(time.Second, func() bool { return successor.ownsPool("desk") }))
	spec := &bwjob.Spec{ID: "job", Queue: q.Name, Steps: []bwjob.Step{step}}
	c.executors.RegisterJob(spec)
	assert.Equal(t, successor.node.Submit(t.Context(), q, spec).Verdict, bwowner.OK)
	moved, repeated := q, *spec
	moved.Pool = "lab"
	verdict := accepting.node.Submit(t.Context(), moved, &repeated).Verdict
	time.Sleep(5 * time.Second)
	assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	assert.Assert(t, !c.hasRecord("lab", "job"), "accepted twice: %s", verdict)
}
