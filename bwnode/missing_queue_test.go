package bwnode_test

import (
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// Guards against a job that fails after one of its attempts because its queue was removed or sent to
// another pool before its owner changed.
func TestFailedRunOfRemovedQueueDoesNotFailTheJob(t *testing.T) {
	for change, apply := range queueChanges {
		t.Run(change, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 3, 4)
				defer c.close()
				others := []bwfleet.Queue{c.queues[1], {Name: "q-calls", Pool: "desk", Host: "h", Prefix: "/calls/", MaxAttempts: 3}}
				c.setQueues(append(others, c.queues[0])...)
				time.Sleep(visibleTime)
				c.executors.SetFailureRatio(1)
				c.submitTask(c.queues[0], "job", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second})
				time.Sleep(time.Second)
				c.executors.SetFailureRatio(0)
				c.setQueues(others...)
				ownerChanges["planned stop"](c)
				time.Sleep(25 * time.Second)
				q := apply(c, c.queues[0], others)
				time.Sleep(40 * time.Second)
				assert.Equal(t, c.state(q, "job").State, bwowner.Done)
				assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
			})
		})
	}
}
