package bwnode_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"gotest.tools/v3/assert"
)

// Guards against an accepted job with a large number that is absent after its owner has stopped, because the next
// one cannot read its record.
func TestJobWithLargeNumbersOutlivesItsOwner(t *testing.T) {
	large := func(change func(*bwjob.Step)) bwjob.Step {
		step := bwjob.Step{Count: 2, Need: bwjob.Resources{CPU: 500}, Estimate: 10 * time.Second}
		change(&step)
		return step
	}
	steps := map[string]bwjob.Step{
		"limit1":    large(func(s *bwjob.Step) { s.MaxPerExecutor = math.MaxInt32 + 1 }),
		"limit2":    large(func(s *bwjob.Step) { s.MaxPerExecutor = 1<<53 - 1 }),
		"limit3":    large(func(s *bwjob.Step) { s.MaxPerExecutor = 1 << 32 }),
		"budget":    large(func(s *bwjob.Step) { s.DisruptionBudget = math.MaxInt64 }),
		"objective": large(func(s *bwjob.Step) { s.LatencyObjective = time.Duration(math.MaxInt64).Truncate(time.Millisecond) }),
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 4)
		defer c.close()
		time.Sleep(visibleTime)
		q := c.queues[0]
		for id, step := range steps {
			c.submitTask(q, id, step)
		}
		time.Sleep(time.Second)
		running := c.executors.Running()
		ownerChanges["planned stop"](c)
		time.Sleep(visibleTime)
		assert.Equal(t, c.executors.Running(), running)
		for id := range steps {
			assert.Equal(t, c.state(q, id).State, bwowner.Running, id)
		}
		time.Sleep(10 * time.Second)
		for id := range steps {
			assert.Equal(t, c.state(q, id).State, bwowner.Done, id)
		}
		assert.Equal(t, len(c.executors.Violations()), 0, "%v", c.executors.Violations())
	})
}

// Guards against a job that is called absent, or is stored anew, because its record cannot be read.
func TestJobWithAnUnreadableRecordIsNotAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, 2)
		defer c.close()
		record := []byte("of a later version")
		c.kv.Put(bwowner.JobPrefix("desk")+"strange", record)
		time.Sleep(visibleTime)
		q := c.queues[0]
		assert.Equal(t, c.state(q, "strange").Verdict, bwowner.Refused)
		assert.Equal(t, c.randomNode().Cancel(t.Context(), q, "strange").Verdict, bwowner.Refused)
		spec := &bwjob.Spec{ID: "strange", Queue: q.Name, Steps: []bwjob.Step{{Count: 1}}}
		assert.Equal(t, c.submit(q, spec), bwowner.Unknown)
		item, err := c.kv.Get(t.Context(), bwowner.JobPrefix("desk")+"strange")
		assert.NilError(t, err)
		assert.DeepEqual(t, item.Value, record)
		assert.Equal(t, c.state(q, "never submitted").Verdict, bwowner.Absent)
	})
}
