package bwnode_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// submitTwoStepJob submits a job of two steps of one second each.
func (f *fleet) submitTwoSteps() {
	step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second}
	second := step
	second.After = []int{0}
	spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{step, second}}
	f.workers.Expect(spec)
	assert.Equal(f.t, f.submit(f.queues[0], spec), bwowner.OK)
}

// A new owner must not wait for an executor that left the registry long ago.
func TestTakeoverDoesNotWaitForExecutorsThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.kv.Delete(prefixRegistry + "desk-0")
		f.workers.SetDark("desk-0", true)
		time.Sleep(10 * time.Second)
		f.submitTwoSteps()
		f.kill(0)
		f.kill(0)
		killed := time.Now()
		for f.state(f.queues[0], "job").State != bwowner.Done {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(killed) < 5*time.Second, "the job is not done %s after the loss of all nodes", time.Since(killed))
		}
	})
}

// A call to another node that starts to fail must leave a log line.
func TestUnansweredQuestionsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.kill(0)
		time.Sleep(2 * time.Second)
		f.logMu.Lock()
		defer f.logMu.Unlock()
		assert.Assert(t, strings.Contains(f.logs.String(), "node does not answer: node=10.0.0.2 call=ping address=10.0.0.1:70"), f.logs.String())
	})
}

// ownsPool reports whether the node runs the owner of a pool.
func (m *member) runs(pool string) bool {
	for _, p := range m.node.Dump().Pools {
		if p.Pool == pool {
			return true
		}
	}
	return false
}

// Guards against two active owners of a pool: an owner that still renews its lease but cannot
// read the key of its successor must stop extending the executors' leases before the
// successor relies on their expiry.
func TestReplacedOwnerWithoutNewsStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 2)
		defer f.close()
		time.Sleep(3 * time.Second)
		old, next := f.nodes[0], f.nodes[1]
		if next.runs("desk") {
			old, next = next, old
		}
		// The old owner reaches only the first executor, the new one only the second.
		old.workers.cut.Store("desk-1", true)
		next.workers.cut.Store("desk-0", true)
		time.Sleep(5 * time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		f.workers.Expect(spec)
		reply := old.node.Submit(t.Context(), f.queues[0], spec)
		assert.Equal(t, reply.Verdict, bwowner.OK)
		time.Sleep(time.Second)
		assert.Equal(t, f.workers.Running(), 1)
		old.store.isBlind.Store(true)
		f.network.Isolate(old.host)
		time.Sleep(20 * time.Second)
		assert.Assert(t, next.runs("desk"))
		assert.Equal(t, f.workers.Running(), 1)
		assert.Equal(t, len(f.workers.Violations()), 0, "%v", f.workers.Violations())
	})
}

// A job must not be reported as done before its end is stored.
func TestEndShowsOnceItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		// Runs that end on several executors a few milliseconds apart end between two
		// passes of the owner.
		var ids []string
		for i := range 3 {
			spec := &bwjob.Spec{ID: fmt.Sprintf("job%d", i), Queue: "q-desk", Steps: []bwjob.Step{
				{Count: 1, Need: bwjob.Resources{CPU: 8000}, Estimate: time.Second + time.Duration(3*i)*time.Millisecond},
			}}
			f.workers.Expect(spec)
			assert.Equal(t, f.submit(f.queues[0], spec), bwowner.OK)
			ids = append(ids, spec.ID)
		}
		time.Sleep(500 * time.Millisecond)
		f.kv.SetAway(true)
		for range 3000 {
			for _, id := range ids {
				reply := f.nodes[0].node.State(t.Context(), f.queues[0], id)
				assert.Assert(t, reply.State != bwowner.Done, "%s is shown as done without the store", id)
			}
			time.Sleep(time.Millisecond)
		}
		f.kv.SetAway(false)
		assert.Equal(t, f.workers.Running(), 0)
	})
}

// The successor of an owner that had a planned stop must not wait for executors that ran
// nothing, even if they became unreachable just before.
func TestPlannedStopLeavesNoIdleExecutorToWaitFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.workers.SetDark("desk-0", true)
		// By then the owner has noticed that the executor does not answer, and the
		// executor's lease has not expired.
		time.Sleep(2200 * time.Millisecond)
		f.submitTwoSteps()
		stopped := time.Now()
		if f.nodes[0].runs("desk") {
			f.stop(0)
		} else {
			f.stop(1)
		}
		for f.state(f.queues[0], "job").State != bwowner.Done {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, time.Since(stopped) < 3500*time.Millisecond, "the job is not done %s after the planned stop", time.Since(stopped))
		}
	})
}
