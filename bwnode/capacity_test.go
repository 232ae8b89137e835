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

// Guards against starts that exceed the capacity of an executor that has shrunk while it runs tasks.
func TestShrunkCapacityLimitsNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		submit := func(n int) {
			spec := &bwjob.Spec{ID: fmt.Sprintf("job%d", n), Queue: "q-desk", Steps: []bwjob.Step{
				{Count: 4, Need: bwjob.Resources{CPU: 1000, MemoryMB: 1000}, Estimate: 700 * time.Millisecond},
			}}
			c.executors.RegisterJob(spec)
			assert.Equal(t, c.submit(c.queues[0], spec), bwowner.OK)
		}
		full := bwjob.Resources{CPU: 8000, MemoryMB: 32000}
		// The capacity stays reduced for 8 s, in which tasks keep coming and ending.
		for n := range 200 {
			submit(n)
			time.Sleep(200 * time.Millisecond)
			switch n % 50 {
			case 4:
				c.publish(c.executors.SetCapacity("desk-0", bwjob.Resources{CPU: 2000, MemoryMB: 32000}))
			case 5:
				c.publish(c.executors.SetCapacity("desk-1", bwjob.Resources{CPU: 8000, MemoryMB: 1500}))
			case 45:
				c.publish(c.executors.SetCapacity("desk-0", full))
				c.publish(c.executors.SetCapacity("desk-1", full))
			}
		}
		time.Sleep(60 * time.Second)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
		assert.Equal(t, c.executors.Running(), 0)
	})
}

// Guards against starts by a capacity that may have shrunk while the registry could not be read.
func TestNoStartsWhileCapacityIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		defer c.close()
		time.Sleep(3 * time.Second)
		second := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 4000, MemoryMB: 1000}, Estimate: time.Second, DependsOn: []int{0}}
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{
			{Count: 1, Need: bwjob.Resources{CPU: 4000, MemoryMB: 1000}, Estimate: 4700 * time.Millisecond}, second,
		}}
		c.executors.RegisterJob(spec)
		assert.Equal(t, c.submit(c.queues[0], spec), bwowner.OK)
		time.Sleep(100 * time.Millisecond)
		c.nodes[0].store.isRegistryBlocked.Store(true)
		for _, id := range []string{"desk-0", "desk-1"} {
			c.publish(c.executors.SetCapacity(id, bwjob.Resources{CPU: 2000, MemoryMB: 32000}))
		}
		time.Sleep(8 * time.Second)
		assert.Equal(t, c.executors.Running(), 0)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}
