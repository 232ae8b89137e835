package bwnode_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

const (
	lastingJobs  = 3
	lastingTasks = 4
)

// submitLastingJobs submits jobs of long-running tasks of which one of each may be unavailable.
func (c *cluster) submitLastingJobs() {
	for n := range lastingJobs {
		spec := &bwjob.Spec{ID: fmt.Sprintf("lasting%d", n), Queue: "q-desk", Steps: []bwjob.Step{
			{Count: lastingTasks, Need: bwjob.Resources{CPU: 1000, MemoryMB: 1000}, LongRunning: true, DisruptionBudget: 1},
		}}
		c.executors.RegisterJob(spec)
		assert.Equal(c.t, c.submit(c.queues[0], spec), bwowner.OK)
	}
}

// drain asks the owner of the pool to empty an executor, as the host coordinator does, for the given
// time or until it is empty. The host of an empty executor is then restarted.
func (c *cluster) drain(executor string, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
		owner := c.ownerOf("desk")
		if owner == nil {
			continue
		}
		request := &bwmesh.CordonRequest{Pool: "desk", Executor: executor, ForMillis: 2500}
		if reply, err := owner.node.Server().Cordon(c.t.Context(), request); err == nil && reply.GetEmpty() {
			c.register(c.executors.Maintain(executor))
			return
		}
	}
}

// Guards against orders that make more tasks of a lasting job unavailable than may be. Executors are
// drained and crash while the faults of the other cluster tests occur.
func TestClusterKeepsLastingJobsAvailable(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+20; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 6)
				defer c.close()
				time.Sleep(3 * time.Second)
				c.submitLastingJobs()
				time.Sleep(3 * time.Second)
				for range 30 {
					switch c.rng.IntN(4) {
					case 0:
						c.injectFault()
					case 1:
						c.register(c.executors.Restart(fmt.Sprintf("desk-%d", c.rng.IntN(6))))
					default:
						c.drain(fmt.Sprintf("desk-%d", c.rng.IntN(6)), time.Duration(500+c.rng.IntN(4000))*time.Millisecond)
					}
					time.Sleep(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
				}
				c.settle()
				assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
				assert.Equal(t, c.executors.Running(), lastingJobs*lastingTasks)
			})
		})
	}
}

// Guards against a stop that ends a task at work although others of its step are unavailable: a start had
// no answer, takes effect late, and is stopped because a report did not list it yet. Executors crash while
// most orders are late, and owners are replaced meanwhile.
func TestClusterKeepsLastingJobsAvailableWhileOrdersAreLate(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+20; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 6)
				defer c.close()
				time.Sleep(3 * time.Second)
				c.submitLastingJobs()
				time.Sleep(3 * time.Second)
				for range 8 {
					c.executors.SetLateOrderRatio(0.6)
					for range 1 + c.rng.IntN(3) {
						c.register(c.executors.Restart(fmt.Sprintf("desk-%d", c.rng.IntN(6))))
						time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
					}
					if c.rng.IntN(3) == 0 {
						c.kill(c.rng.IntN(len(c.nodes)))
					}
					time.Sleep(time.Duration(4000+c.rng.IntN(6000)) * time.Millisecond)
					c.executors.SetLateOrderRatio(0)
					time.Sleep(time.Duration(c.rng.IntN(6000)) * time.Millisecond)
				}
				c.settle()
				assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
				assert.Equal(t, c.executors.Running(), lastingJobs*lastingTasks)
			})
		})
	}
}
