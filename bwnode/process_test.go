package bwnode_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwjob"
	"gotest.tools/v3/assert"
)

// Guards against a replaced process that takes a lease for expired which its successor has renewed.
func TestReplacedProcessStartsNoTaskThatItsSuccessorKeepsAtWork(t *testing.T) {
	f := newProcessFleet(t, buildNode(t), 1, 2, 2)
	owner := f.awaitOwner(nil)
	time.Sleep(2 * time.Second)
	task := bwjob.TaskID{Job: f.submit(owner, 1, time.Minute)}
	time.Sleep(time.Second)
	first := f.executors.RunsOn(task)
	assert.Equal(t, len(first), 1)
	for _, n := range f.nodes {
		for id, l := range n.executors {
			if (n == owner) == (id == first[0]) {
				l.set(linkStalled)
			}
		}
	}
	time.Sleep(time.Second)
	owner.store.set(linkStalled)
	f.setNodeLinks(owner, linkStalled)
	f.awaitOwner(owner)
	time.Sleep(6 * time.Second)
	f.check()
	assert.DeepEqual(t, f.executors.RunsOn(task), first)
}

// Guards against tasks at work twice because a process acts on what it knew before it was replaced.
func TestProcessesKeepGuaranteesWhileOwnersAreCutOff(t *testing.T) {
	binary := buildNode(t)
	for seed := firstSeed(t); seed < firstSeed(t)+8; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newProcessFleet(t, binary, seed, 3, 6)
			f.awaitOwner(nil)
			time.Sleep(2 * time.Second)
			for range 3 {
				for range 3 {
					f.submit(f.owner(), 4, f.between(8*time.Second, 16*time.Second))
				}
				f.cutOffOwner()
				time.Sleep(9 * time.Second)
			}
			f.check()
		})
	}
}

// cutOffOwner divides the executors at random between those that only the owner reaches and those that only
// the other processes reach. Up to 3 s later the store refuses the owner and its lease ends, or the owner is cut
// off from the store and the other processes.
func (f *processFleet) cutOffOwner() {
	owner := f.awaitOwner(nil)
	d := f.between(4*time.Second, 8*time.Second)
	for i := range f.executors.Registrations() {
		isOwners := f.rng.IntN(2) == 0
		for _, n := range f.nodes {
			if (n == owner) != isOwners {
				n.executors[fmt.Sprintf("desk-%d", i)].setFor(linkStalled, d)
			}
		}
	}
	time.Sleep(f.between(0, 3*time.Second))
	if f.rng.IntN(2) == 0 {
		owner.store.setFor(linkReset, d)
		// The lease may have ended already.
		_ = f.kv.EndLease(context.Background(), owner.lease.Load())
		return
	}
	owner.store.setFor(linkStalled, d)
	f.setNodeLinks(owner, linkStalled)
	time.AfterFunc(d, func() { f.setNodeLinks(owner, linkUp) })
}

// setNodeLinks sets the state of all links between a process and the others.
func (f *processFleet) setNodeLinks(node *processNode, s linkState) {
	for _, n := range f.nodes {
		for other, l := range n.nodes {
			if n == node || other == node {
				l.set(s)
			}
		}
	}
}

func (f *processFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}
