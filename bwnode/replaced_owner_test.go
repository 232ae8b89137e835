package bwnode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// Guards against a replaced owner that takes a lease for expired which its successor has renewed.
func TestReplacedOwnerStartsNoTaskThatItsSuccessorKeepsAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer func() {
			c.close()
			if t.Failed() {
				t.Log(c.logs.String())
			}
		}()
		time.Sleep(3 * time.Second)
		previous, successor := c.nodes[0], c.nodes[1]
		if successor.ownsPool("desk") {
			previous, successor = successor, previous
		}
		task := bwjob.TaskID{Job: "job"}
		spec := &bwjob.Spec{ID: task.Job, Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, previous.node.Submit(t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
		time.Sleep(time.Second)
		first := c.executors.RunsOn(task)
		assert.Equal(t, len(first), 1)
		for _, e := range []string{"desk-0", "desk-1"} {
			if e == first[0] {
				previous.executors.unreachable.Store(e, true)
			} else {
				successor.executors.unreachable.Store(e, true)
			}
		}
		time.Sleep(time.Second)
		previous.store.isNodesBlocked.Store(true)
		c.network.Isolate(previous.host)
		time.Sleep(20 * time.Second)
		assert.Assert(t, successor.ownsPool("desk"))
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
		assert.DeepEqual(t, c.executors.RunsOn(task), first)
	})
}
