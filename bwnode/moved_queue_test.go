package bwnode_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

const (
	// applyTime is the time within which all nodes follow a version of the configuration.
	applyTime = 2 * time.Second
	// visibleTime is the time after which every node knows an accepted job.
	visibleTime = 3 * time.Second
)

// setQueues writes a version of the configuration and waits until all nodes follow it.
func (c *cluster) setQueues(queues ...bwfleet.Queue) {
	value, err := json.Marshal(queues)
	assert.NilError(c.t, err)
	c.kv.Put(keyConfig, value)
	time.Sleep(applyTime)
}

// submitTask submits a job of equal tasks.
func (c *cluster) submitTask(q bwfleet.Queue, id string, step bwjob.Step) {
	spec := &bwjob.Spec{ID: id, Queue: q.Name, Steps: []bwjob.Step{step}}
	c.executors.RegisterJob(spec)
	assert.Equal(c.t, c.submit(q, spec), bwowner.OK)
}

// hasRecord reports whether the store holds a job in a pool.
func (c *cluster) hasRecord(pool, id string) bool {
	_, err := c.kv.Get(c.t.Context(), bwowner.JobPrefix(pool)+id)
	assert.Assert(c.t, err == nil || errors.Is(err, bwkv.ErrNotFound))
	return err == nil
}

// eventually waits until a condition holds, for at most the given time.
func eventually(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// queueChanges are the ways in which the configuration sends a queue elsewhere. Each returns the queue
// as callers find it afterwards. The queues in others stay.
var queueChanges = map[string]func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue{
	"unchanged": func(_ *cluster, q bwfleet.Queue, _ []bwfleet.Queue) bwfleet.Queue { return q },
	"moved": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		q.Pool = "lab"
		c.setQueues(append(others, q)...)
		return q
	},
	"removed and added for another pool": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		c.setQueues(others...)
		q.Pool = "lab"
		c.setQueues(append(others, q)...)
		return q
	},
	"removed and added": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		c.setQueues(others...)
		c.setQueues(append(others, q)...)
		return q
	},
	"moved and sent back": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		moved := q
		moved.Pool = "lab"
		c.setQueues(append(others, moved)...)
		c.submitTask(moved, "between", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second})
		c.setQueues(append(others, q)...)
		return q
	},
	"renamed": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		q.Name = "q-desk-2"
		c.setQueues(append(others, q)...)
		return q
	},
	"renamed and moved": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		q.Name, q.Pool = "q-desk-2", "lab"
		c.setQueues(append(others, q)...)
		return q
	},
	"another prefix and another pool": func(c *cluster, q bwfleet.Queue, others []bwfleet.Queue) bwfleet.Queue {
		q.Prefix, q.Pool = "/desk-2/", "lab"
		c.setQueues(append(others, q)...)
		return q
	},
}

// ownerChanges are the hand-overs that may come beside a change of the configuration.
var ownerChanges = map[string]func(c *cluster){
	"no hand-over": func(*cluster) {},
	"planned stop": func(c *cluster) {
		owner := c.ownerOf("desk")
		for i, node := range c.nodes {
			if node == owner {
				c.stop(i)
				return
			}
		}
	},
	"loss of all nodes": func(c *cluster) {
		for range len(c.nodes) {
			c.kill(0)
		}
	},
}

// Guards against accepted jobs that are absent for callers, cannot be cancelled, are not counted as
// pending or run twice after the configuration has sent their queue to another pool.
func TestJobsAreFoundAfterTheirQueueHasMoved(t *testing.T) {
	for change, apply := range queueChanges {
		for handover, handOver := range ownerChanges {
			for _, keepsPool := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/poolKeepsAQueue=%t", change, handover, keepsPool), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newCluster(t, 1, 3, 4)
						defer c.close()
						others := c.queues[1:2:2]
						if keepsPool {
							others = append(others, bwfleet.Queue{Name: "q-calls", Pool: "desk", Host: "h", Prefix: "/calls/", MaxAttempts: 3})
						}
						c.setQueues(append(others, c.queues[0])...)
						c.testMovedQueue(func(q bwfleet.Queue) bwfleet.Queue {
							q = apply(c, q, others)
							handOver(c)
							return q
						})
					})
				})
			}
		}
	}
}

// testMovedQueue submits jobs, changes their queue and checks what callers see of them.
func (c *cluster) testMovedQueue(change func(bwfleet.Queue) bwfleet.Queue) {
	t := c.t
	time.Sleep(visibleTime)
	q := c.queues[0]
	works := bwjob.Step{Count: 2, Need: bwjob.Resources{CPU: 500}, Estimate: 40 * time.Second}
	c.submitTask(q, "works", works)
	// These need more than an executor has, so that they never start.
	large := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 9000}, Estimate: time.Second}
	c.submitTask(q, "waits", large)
	c.submitTask(q, "unwanted", large)
	scheduled := &bwjob.Spec{
		ID: "scheduled", Queue: q.Name, Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second}},
		ScheduledOccurrences: 4, FirstAt: bwclock.Time(time.Now().UnixMilli()).Add(time.Second), Interval: 10 * time.Second,
	}
	c.executors.RegisterJob(scheduled)
	assert.Equal(t, c.submit(q, scheduled), bwowner.OK)
	time.Sleep(visibleTime)

	q = change(q)
	repeated := &bwjob.Spec{ID: "works", Queue: q.Name, Steps: []bwjob.Step{works}}
	assert.Assert(t, eventually(recoveryTime, func() bool { return c.submit(q, repeated) == bwowner.OK }))
	time.Sleep(visibleTime)
	for range 5 {
		for _, node := range c.nodes {
			for _, id := range []string{"works", "waits", "scheduled"} {
				reply := node.node.State(t.Context(), q, id)
				assert.Assert(t, reply.Verdict != bwowner.Absent, "%s is absent", id)
			}
			assert.Equal(t, node.node.State(t.Context(), q, "never submitted").Verdict != bwowner.OK, true)
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, eventually(visibleTime, func() bool { n, known := c.randomNode().Pending(t.Context(), q); return known && n == 2 }))
	assert.Assert(t, eventually(visibleTime, func() bool {
		return c.randomNode().Cancel(t.Context(), q, "unwanted").Verdict == bwowner.OK
	}))
	assert.Assert(t, eventually(visibleTime, func() bool { n, known := c.randomNode().Pending(t.Context(), q); return known && n == 1 }))
	c.submitTask(q, "new", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second})
	assert.Assert(t, c.hasRecord(q.Pool, "new"))
	time.Sleep(45 * time.Second)
	for id, state := range map[string]bwowner.State{
		"works": bwowner.Done, "scheduled": bwowner.Done, "new": bwowner.Done, "waits": bwowner.Queued, "unwanted": bwowner.Cancelled,
	} {
		assert.Equal(t, c.state(q, id).State, state, id)
	}
	assert.Equal(t, c.state(q, "never submitted").Verdict, bwowner.Absent)
	assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
}

// storeEarlierJob stores a job of q-desk as a version without placements did.
func (c *cluster) storeEarlierJob(id string) *bwjob.Spec {
	spec := &bwjob.Spec{ID: id, Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
	c.executors.RegisterJob(spec)
	record, err := bwjob.New(spec, bwclock.Time(time.Now().UnixMilli())).Encode()
	assert.NilError(c.t, err)
	c.kv.Put(bwowner.JobPrefix("desk")+id, record)
	return spec
}

// Guards against jobs of an earlier version, which stored no placements, that are absent once their
// queue has moved.
func TestJobsOfAnEarlierVersionAreFoundAfterTheirQueueHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 4)
		defer c.close()
		spec := c.storeEarlierJob("old")
		time.Sleep(visibleTime)
		moved := c.queues[0]
		moved.Pool = "lab"
		c.setQueues(c.queues[1], moved)
		for range len(c.nodes) {
			c.kill(0)
		}
		assert.Equal(t, c.state(moved, "old").Verdict, bwowner.OK)
		assert.Assert(t, eventually(recoveryTime, func() bool { return c.submit(moved, spec) == bwowner.OK }))
		assert.Assert(t, !c.hasRecord("lab", "old"))
		time.Sleep(40 * time.Second)
		assert.Equal(t, c.state(moved, "old").State, bwowner.Done)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}

// Guards against jobs of an earlier version whose pool gets no owner, because the configuration sends no
// queue to it when the nodes start.
func TestPoolOfAnEarlierVersionHasAnOwnerWithoutAQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 4)
		defer c.close()
		spec := c.storeEarlierJob("old")
		c.kv.Put("sequences/desk", []byte("1.1"))
		c.setQueues(c.queues[1])
		time.Sleep(visibleTime)
		assert.Equal(t, c.executors.Running(), 1)
		moved := c.queues[0]
		moved.Pool = "lab"
		c.setQueues(c.queues[1], moved)
		assert.Equal(t, c.state(moved, "old").Verdict, bwowner.OK)
		assert.Equal(t, c.submit(moved, spec), bwowner.OK)
		assert.Assert(t, !c.hasRecord("lab", "old"))
		time.Sleep(40 * time.Second)
		assert.Equal(t, c.state(moved, "old").State, bwowner.Done)
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}

// Guards against a job that two pools accept, because nodes follow different versions of the
// configuration or because a submission arrives late.
func TestOnlyOnePoolAcceptsAJob(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 4)
				defer c.close()
				time.Sleep(visibleTime)
				step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 20 * time.Second}
				desk, lab := c.queues[0], c.queues[0]
				lab.Pool = "lab"
				c.submitTask(desk, "first", step)
				c.setQueues(c.queues[1], lab)
				// The first job that the new pool accepts comes again by way of the earlier one.
				c.submitTask(lab, "second", step)
				c.submitTask(desk, "second", step)
				assert.Assert(t, !c.hasRecord("desk", "second"))
				for n := range 5 {
					id := fmt.Sprintf("job%d", n)
					spec := &bwjob.Spec{ID: id, Queue: desk.Name, Steps: []bwjob.Step{step}}
					c.executors.RegisterJob(spec)
					done := make(chan bwowner.Verdict, 2)
					for _, q := range []bwfleet.Queue{desk, lab} {
						copied := *spec
						node, delay := c.randomNode(), time.Duration(c.rng.IntN(12))*time.Millisecond
						go func() {
							time.Sleep(delay)
							done <- node.Submit(t.Context(), q, &copied).Verdict
						}()
					}
					for range 2 {
						<-done
					}
					assert.Equal(t, c.submit(lab, spec), bwowner.OK)
					assert.Assert(t, c.hasRecord("desk", id) != c.hasRecord("lab", id), id)
				}
				time.Sleep(30 * time.Second)
				assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
			})
		})
	}
}

// Guards against placements that stay after the last job of the queue is forgotten, which would make
// every submission ask the pool for ever.
func TestPlacementEndsWithTheLastJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 2, 2)
		defer c.close()
		time.Sleep(visibleTime)
		c.submitTask(c.queues[0], "short", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second})
		moved := c.queues[0]
		moved.Pool = "lab"
		c.setQueues(c.queues[1], moved)
		time.Sleep(time.Minute)
		assert.Equal(t, c.state(moved, "short").State, bwowner.Done)
		const key = "nodes/placements/desk/q-desk"
		_, err := c.kv.Get(t.Context(), key)
		assert.NilError(t, err)
		time.Sleep(6 * time.Minute)
		_, err = c.kv.Get(t.Context(), key)
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
		assert.Equal(t, c.state(moved, "short").Verdict, bwowner.Absent)
	})
}

// Guards against jobs that are lost or run twice while queues move between pools, submissions come
// again and the faults of the other cluster tests occur.
func TestClusterKeepsGuaranteesWhileQueuesMove(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+20; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, seed, 3, 4)
				defer func() {
					c.close()
					if t.Failed() && testing.Verbose() {
						t.Log(c.logs.String())
					}
				}()
				time.Sleep(visibleTime)
				c.runWhileQueuesMove(40, 10)
			})
		})
	}
}

// runWhileQueuesMove submits jobs, and some of them again, while queues move and faults are injected.
func (c *cluster) runWhileQueuesMove(jobs, faults int) {
	pools := []string{"desk", "lab"}
	var submitted []*bwjob.Spec
	current := func(name string) bwfleet.Queue {
		for _, q := range c.queues {
			if q.Name == name {
				return q
			}
		}
		c.t.Fatalf("no queue %q", name)
		return bwfleet.Queue{}
	}
	for n := range jobs {
		if n%4 == 3 {
			c.queues[c.rng.IntN(len(c.queues))].Pool = pools[c.rng.IntN(len(pools))]
			c.setQueues(c.queues...)
		}
		if n%(jobs/faults) == 0 {
			c.injectFault()
		}
		q, spec := c.randomJob(n)
		if c.submit(q, spec) == bwowner.OK {
			submitted = append(submitted, spec)
		}
		if len(submitted) > 0 {
			repeated := *submitted[c.rng.IntN(len(submitted))]
			c.submit(current(repeated.Queue), &repeated)
		}
		time.Sleep(time.Duration(c.rng.IntN(600)) * time.Millisecond)
	}
	accepted := make(map[string]bwfleet.Queue)
	for _, spec := range submitted {
		accepted[spec.ID] = current(spec.Queue)
	}
	c.checkSettled(accepted)
}
