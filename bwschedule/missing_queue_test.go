package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// acceptedBy is the queue of the jobs below when it accepted them.
var acceptedBy = bwfleet.Queue{Host: "h", Prefix: "/q/", Priority: 1, MaxAttempts: 3, Stretch: 2, ObjectiveOffset: time.Second}

// newOwnerWithoutQueue returns a harness for a new owner whose configuration lacks the queues of the
// loaded jobs.
func newOwnerWithoutQueue(t *testing.T, executors int, specs ...*bwjob.Spec) *harness {
	h := newHarness(t, 0)
	h.s = bwschedule.New(hclog.NewNullLogger())
	for _, spec := range specs {
		assert.NilError(t, spec.Validate())
		data, err := bwjob.New(spec, h.now).Encode()
		assert.NilError(t, err)
		j, err := bwjob.Decode(data)
		assert.NilError(t, err)
		h.s.LoadJob(j)
	}
	for _, id := range []string{"e0", "e1", "e2", "e3"}[:executors] {
		h.register(id, bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	}
	return h
}

// failRuns lets the due tasks of the first step fail in turn and returns how many runs of the first
// task there were. The other members of a gang end with it.
func (h *harness) failRuns() int {
	runs := 0
	for range 10 {
		h.advance(10 * time.Second)
		h.reportAll()
		orders := h.scheduleStarts()
		if len(orders) == 0 {
			return runs
		}
		runs++
		h.endRuns(orders, bwjob.EndFailed, bwjob.EndGangMemberEnded)
	}
	return runs
}

// Guards against a job that fails after one of several attempts because its queue is missing in the
// configuration of a new owner.
func TestJobOfMissingQueueHasAllAttempts(t *testing.T) {
	gang := newStep(1000, 2)
	gang.Gang = true
	for name, spec := range map[string]*bwjob.Spec{
		"single":    {Steps: []bwjob.Step{newStep(1000, 1)}},
		"gang":      {Steps: []bwjob.Step{gang}},
		"scheduled": {Steps: []bwjob.Step{newStep(1000, 1)}, ScheduledOccurrences: 2, FirstAt: start, Interval: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			spec.ID, spec.Queue, spec.AcceptedBy = "j", "q", acceptedBy
			h := newOwnerWithoutQueue(t, 4, spec)
			assert.Equal(t, h.failRuns(), acceptedBy.MaxAttempts)
			assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_failed)
		})
	}
}

// Guards against a job of an earlier version, whose record lacks the settings of its queue, that fails
// or is started too often while the configuration lacks the queue too.
func TestJobWithoutQueueSettingsWaitsForThem(t *testing.T) {
	for name, c := range map[string]struct {
		maxAttempts, runs int
	}{
		"more attempts": {3, 2},
		"no more":       {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			spec := &bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}
			h := newOwnerWithoutQueue(t, 2, spec)
			assert.Equal(t, h.failRuns(), 1)
			assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_active)
			h.s.SetQueues([]bwfleet.Queue{{Name: "q", MaxAttempts: c.maxAttempts, Stretch: 2}})
			assert.Equal(t, h.failRuns(), c.runs)
			assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_failed)
		})
	}
}

// Guards against starts without tickets of a queue that is missing in the configuration.
func TestMissingQueueStillNeedsAdvice(t *testing.T) {
	spec := &bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}, AcceptedBy: acceptedBy}
	spec.AcceptedBy.NeedsAdvice = true
	h := newOwnerWithoutQueue(t, 2, spec)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	_, isNeeded := h.s.NextAdviceRequest()
	assert.Assert(t, isNeeded)
}

// Guards against jobs of a missing queue that come before those of the highest priority, or after all
// late ones, because the queue's settings are read as zero.
func TestMissingQueueKeepsItsPlaceInTheOrder(t *testing.T) {
	first := &bwjob.Spec{ID: "z", Queue: "urgent", Steps: []bwjob.Step{newStep(3000, 1)}}
	for name, q := range map[string]bwfleet.Queue{"known": acceptedBy, "unknown": {}} {
		t.Run(name, func(t *testing.T) {
			spec := &bwjob.Spec{ID: "a", Queue: "q", Steps: []bwjob.Step{newStep(3000, 1)}, AcceptedBy: q}
			late := &bwjob.Spec{ID: "late", Queue: "urgent", Steps: []bwjob.Step{newStep(2500, 1)}}
			h := newOwnerWithoutQueue(t, 1, first, spec)
			h.s.SetQueues([]bwfleet.Queue{{Name: "urgent", MaxAttempts: 2, Stretch: 2, ObjectiveOffset: time.Second}})
			assert.Assert(t, h.s.Submit(bwjob.New(late, h.now.Add(-time.Hour))))
			var order []string
			for range 3 {
				orders := h.scheduleStarts()
				assert.Equal(t, len(orders), 1)
				order = append(order, orders[0].Task.Job)
				h.reportEnd(orders[0], bwjob.EndDone)
			}
			assert.DeepEqual(t, order, []string{"z", "a", "late"})
		})
	}
}

// Guards against a failed run that ends a job before the first pass of an owner that has the settings
// of the queue from a later configuration.
func TestEndsBeforeTheSettingsAreKnownAreCounted(t *testing.T) {
	spec := &bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}
	h := newOwnerWithoutQueue(t, 2, spec)
	for i, id := range []string{"e0", "e1"} {
		h.report(id, bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
			{Number: 1, End: bwjob.End{Task: bwjob.TaskID{Job: "j"}, Run: i + 1, Kind: bwjob.EndFailed}}}})
	}
	assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_active)
	h.s.SetQueues([]bwfleet.Queue{{Name: "q", MaxAttempts: 2}})
	assert.Equal(t, len(h.s.Schedule(bwclock.Time(h.now))), 0)
	assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_failed)
}
