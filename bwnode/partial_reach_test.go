package bwnode_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// cutOff separates a node from the others and from what they change in the store, and leaves each executor in reach of one side or both.
func (c *cluster) cutOff(node *testNode) {
	for _, other := range c.nodes {
		if other != node {
			c.network.SetPartitioned(node.host, other.host, true)
		}
	}
	for _, e := range c.executors.Registrations() {
		isLost, isLostToOthers := c.rng.IntN(2) == 0, c.rng.IntN(2) == 0
		if isLost {
			node.executors.unreachable.Store(e.ID, true)
			continue
		}
		for _, other := range c.nodes {
			if other != node && isLostToOthers {
				other.executors.unreachable.Store(e.ID, true)
			}
		}
	}
	time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	node.store.isNodesBlocked.Store(true)
}

// replaceCutOff crashes a node that was cut off, starts another one and lets all nodes reach all executors.
func (c *cluster) replaceCutOff(node *testNode) {
	for i, n := range c.nodes {
		if n == node {
			c.kill(i)
			break
		}
	}
	for _, n := range c.nodes {
		n.executors.unreachable.Clear()
	}
	c.network.HealPartitions()
}

// Guards against tasks that run twice because a replaced owner and its successor reach different executors.
func TestClusterKeepsGuaranteesWhileOwnersReachDifferentExecutors(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+40; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 4)
				defer c.close()
				time.Sleep(3 * time.Second)
				accepted := make(map[string]bwfleet.Queue)
				for round := range 4 {
					for n := range 6 {
						q := c.queues[n%len(c.queues)]
						step := bwjob.Step{Count: 1 + c.rng.IntN(4), Need: bwjob.Resources{CPU: 500, MemoryMB: 1000}, Estimate: time.Duration(2+c.rng.IntN(15)) * time.Second}
						spec := &bwjob.Spec{ID: fmt.Sprintf("job%d-%d", round, n), Queue: q.Name, Steps: []bwjob.Step{step}}
						c.executors.RegisterJob(spec)
						if c.submit(q, spec) == bwowner.OK {
							accepted[spec.ID] = q
						}
					}
					time.Sleep(time.Second)
					node := c.ownerOf(c.queues[c.rng.IntN(len(c.queues))].Pool)
					assert.Assert(t, node != nil)
					c.cutOff(node)
					time.Sleep(time.Duration(4000+c.rng.IntN(6000)) * time.Millisecond)
					c.replaceCutOff(node)
					time.Sleep(12 * time.Second)
				}
				c.checkSettled(accepted)
			})
		})
	}
}
