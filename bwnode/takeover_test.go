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

// submitTwoSteps hands in a job of two steps of one second each.
func (f *fleet) submitTwoSteps() {
	step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second}
	second := step
	second.After = []int{0}
	spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{step, second}}
	f.workers.RegisterJob(spec)
	assert.Equal(f.t, f.submit(f.queues[0], spec), bwowner.OK)
}

// An executor that left long ago is no reason for a new owner to wait.
func TestTakeoverDoesNotWaitForExecutorsThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.kv.Delete(prefixRegistry + "desk-0")
		f.workers.SetUnreachable("desk-0", true)
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

// A question to a node that has no answer leaves a line, and one more when it has one again.
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

// runs reports whether the node runs a pool.
func (m *member) runs(pool string) bool {
	for _, p := range m.node.Dump().Pools {
		if p.Pool == pool {
			return true
		}
	}
	return false
}

// An owner that renews its lease but gets no news of its replacement stops extending the
// executors' leases before its successor counts on that.
func TestReplacedOwnerWithoutNewsStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 2)
		defer f.close()
		time.Sleep(3 * time.Second)
		old, next := f.nodes[0], f.nodes[1]
		if next.runs("desk") {
			old, next = next, old
		}
		// The old owner reaches the first executor only, the new one the second.
		old.workers.cut.Store("desk-1", true)
		next.workers.cut.Store("desk-0", true)
		time.Sleep(5 * time.Second)
		spec := &bwjob.Spec{ID: "job", Queue: "q-desk", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		f.workers.RegisterJob(spec)
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

// A job shows as done only once the store has its end.
func TestEndShowsOnceItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		// Ends at several executors that follow each other closely fall between two passes.
		var ids []string
		for i := range 3 {
			spec := &bwjob.Spec{ID: fmt.Sprintf("job%d", i), Queue: "q-desk", Steps: []bwjob.Step{
				{Count: 1, Need: bwjob.Resources{CPU: 8000}, Estimate: time.Second + time.Duration(3*i)*time.Millisecond},
			}}
			f.workers.RegisterJob(spec)
			assert.Equal(t, f.submit(f.queues[0], spec), bwowner.OK)
			ids = append(ids, spec.ID)
		}
		time.Sleep(500 * time.Millisecond)
		f.kv.SetUnavailable(true)
		for range 3000 {
			for _, id := range ids {
				reply := f.nodes[0].node.State(t.Context(), f.queues[0], id)
				assert.Assert(t, reply.State != bwowner.Done, "%s is shown as done without the store", id)
			}
			time.Sleep(time.Millisecond)
		}
		f.kv.SetUnavailable(false)
		assert.Equal(t, f.workers.Running(), 0)
	})
}

// The successor of an owner that stopped as planned does not wait for executors that ran
// nothing, also when they have just left.
func TestPlannedStopLeavesNoIdleExecutorToWaitFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2, 3)
		defer f.close()
		time.Sleep(3 * time.Second)
		f.workers.SetUnreachable("desk-0", true)
		// Its silence is known by then, and its lease has not ended.
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
