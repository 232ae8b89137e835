package bwnode_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
)

// lagCluster is a cluster whose nodes may lose sight of each other, of executors and of the nodes' keys.
type lagCluster struct {
	*cluster
	stores map[string]*laggingStore
}

// cutOff parts a node and some executors from the other nodes and executors for d. Most times the node does not see
// changes of the nodes' keys meanwhile either. Its side is parted from the other executors up to 1.5 s sooner.
func (c *lagCluster) cutOff(node *testNode, d time.Duration) {
	store, isLagging := c.stores[node.host], c.rng.IntN(4) > 0
	var others []*testNode
	for _, other := range c.nodes {
		if other != node {
			others = append(others, other)
		}
	}
	sooner := time.Duration(c.rng.IntN(1500)) * time.Millisecond
	for _, e := range c.executors.Registrations() {
		if c.rng.IntN(3) > 0 {
			c.hide(node, e.ID, sooner+d)
			continue
		}
		for _, other := range others {
			c.hide(other, e.ID, sooner+d)
		}
	}
	time.Sleep(sooner)
	store.isLagging.Store(isLagging)
	for _, other := range others {
		c.network.SetPartitioned(node.host, other.host, true)
	}
	time.AfterFunc(d, func() {
		store.isLagging.Store(false)
		for _, other := range others {
			c.network.SetPartitioned(node.host, other.host, false)
		}
	})
}

// hide makes an executor unreachable for a node for d.
func (c *lagCluster) hide(node *testNode, executor string, d time.Duration) {
	node.executors.unreachable.Store(executor, true)
	time.AfterFunc(d, func() { node.executors.unreachable.Delete(executor) })
}

func (c *lagCluster) injectLag() {
	node := c.nodes[c.rng.IntN(len(c.nodes))]
	d := time.Duration(1000+c.rng.IntN(7000)) * time.Millisecond
	executors := c.executors.Registrations()
	e := executors[c.rng.IntN(len(executors))]
	switch c.rng.IntN(8) {
	case 0, 1, 2:
		c.cutOff(node, d)
	case 3:
		c.hide(node, e.ID, d)
	case 4:
		c.kv.RemoveLeasedKeys()
	case 5:
		c.stop(c.rng.IntN(len(c.nodes)))
	case 6:
		c.kv.SetReplyLoss(0.2, 0.2)
		time.AfterFunc(d, func() { c.kv.SetReplyLoss(0, 0) })
	case 7:
		c.register(c.executors.Restart(e.ID))
	}
}

// TestClusterKeepsGuaranteesWhileViewsLag runs whole clusters in which nodes do not learn of their successors for
// some seconds while some executors hear only from them, and keys are taken away.
func TestClusterKeepsGuaranteesWhileViewsLag(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+30; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLagCluster(t, seed) })
		})
	}
}

func runLagCluster(t *testing.T, seed uint64) {
	c := &lagCluster{stores: make(map[string]*laggingStore)}
	hosts := 0
	c.cluster = newCluster(t, seed, 4, 4, func(d *bwnode.Deps) {
		hosts++
		s := &laggingStore{Store: d.Store}
		d.Store = s
		c.stores[fmt.Sprintf("10.0.0.%d", hosts)] = s
	})
	defer func() {
		c.close()
		if t.Failed() && testing.Verbose() {
			t.Log(c.logs.String())
		}
	}()
	time.Sleep(3 * time.Second)
	accepted := make(map[string]bwfleet.Queue)
	for n := range 40 {
		q := c.queues[c.rng.IntN(len(c.queues))]
		spec := &bwjob.Spec{ID: fmt.Sprintf("job%04d", n), Queue: q.Name, Payload: "p", Steps: []bwjob.Step{
			{Count: 1 + c.rng.IntN(4), Need: bwjob.Resources{CPU: 500}, Estimate: time.Duration(1000+c.rng.IntN(12000)) * time.Millisecond}}}
		c.executors.RegisterJob(spec)
		if c.submit(q, spec) == bwowner.OK {
			accepted[spec.ID] = q
		}
		if n%2 == 0 {
			c.injectLag()
		}
		time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
	}
	c.checkSettled(accepted)
}
