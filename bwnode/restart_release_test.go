package bwnode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// Guards against a replaced owner that starts a task again, which its successor has seen end, because the executor has restarted.
func TestReplacedOwnerStartsNoEndedTaskOfRestartedExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer func() {
			c.close()
			if t.Failed() && testing.Verbose() {
				t.Log(c.logs.String())
			}
		}()
		time.Sleep(3 * time.Second)
		previous, successor := c.nodes[0], c.nodes[1]
		if successor.ownsPool("desk") {
			previous, successor = successor, previous
		}
		task := bwjob.TaskID{Job: "job"}
		// The second step keeps the job from ending.
		spec := &bwjob.Spec{ID: task.Job, Queue: "q-desk", Steps: []bwjob.Step{
			{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 1500 * time.Millisecond},
			{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second, DependsOn: []int{0}}}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, previous.node.Submit(t.Context(), c.queues[0], spec).Verdict, bwowner.OK)
		time.Sleep(300 * time.Millisecond)
		first := c.executors.RunsOn(task)
		assert.Equal(t, len(first), 1)
		other := map[string]string{"desk-0": "desk-1", "desk-1": "desk-0"}[first[0]]
		previous.executors.unreachable.Store(first[0], true)
		successor.executors.unreachable.Store(other, true)
		previous.store.isNodesBlocked.Store(true)
		c.network.Isolate(previous.host)
		time.Sleep(2400 * time.Millisecond)
		assert.Assert(t, successor.ownsPool("desk"))
		assert.Equal(t, len(c.executors.RunsOn(task)), 0)
		successor.executors.unreachable.Store(first[0], true)
		c.register(c.executors.Restart(first[0]))
		previous.executors.unreachable.Delete(first[0])
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}
