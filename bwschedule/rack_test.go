package bwschedule_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// registerRack adds two executors in a rack, named after it, with the label of the rack.
func (h *harness) registerRack(rack string, capacity bwjob.Resources, labels ...string) {
	for i := range 2 {
		id := fmt.Sprintf("%s-%d", rack, i)
		h.s.Register(bwexecutor.Registration{ID: id, Incarnation: 1, Pool: "p", Rack: rack, Labels: append(labels, rack), Capacity: capacity})
		h.s.Executor(id).SetAdmitted(true)
		h.report(id, bwexecutor.Report{Incarnation: 1})
	}
}

func sameRackStep(cpu int64, count int) bwjob.Step {
	step := newStep(cpu, count)
	step.SameRack = true
	return step
}

// racksOf returns the number of orders by the rack of their executor.
func (h *harness) racksOf(orders []bwschedule.Order) map[string]int {
	racks := make(map[string]int)
	for _, o := range orders {
		racks[h.s.Executor(o.Executor).Registration().Rack]++
	}
	return racks
}

// startsWithin runs passes for the given time, with reports, and returns the starts.
func (h *harness) startsWithin(d time.Duration) []bwschedule.Order {
	var starts []bwschedule.Order
	for end := h.now.Add(d); h.now.Before(end); h.advance(50 * time.Millisecond) {
		for _, id := range h.s.ExecutorIDs() {
			if !h.s.Executor(id).Registration().IsDraining {
				h.report(id, bwexecutor.Report{Incarnation: 1, Running: h.statuses(id, bwjob.TaskID{})})
			}
		}
		starts = append(starts, h.scheduleStarts()...)
	}
	return starts
}

// Guards against a job that is never started because the rack with the most free CPU lacks another
// resource, although another rack has capacity for all of its tasks.
func TestSameRackStepGoesToRackThatHoldsIt(t *testing.T) {
	wide := bwjob.Resources{CPU: 64000, MemoryMB: 8000}
	for name, c := range map[string]struct {
		other  bwjob.Resources
		labels []string
		step   func(*bwjob.Step)
	}{
		"memory":       {other: bwjob.Resources{CPU: 16000, MemoryMB: 64000}, step: func(s *bwjob.Step) { s.Need.MemoryMB = 16000 }},
		"accelerators": {other: bwjob.Resources{CPU: 16000, MemoryMB: 8000, Accelerators: 2}, step: func(s *bwjob.Step) { s.Need.Accelerators = 1 }},
		"label":        {other: bwjob.Resources{CPU: 16000, MemoryMB: 8000}, labels: []string{"special"}, step: func(s *bwjob.Step) { s.Label = "special" }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.registerRack("wide", wide)
			h.registerRack("other", c.other, c.labels...)
			step := sameRackStep(1000, 4)
			c.step(&step)
			h.submit("j", step)
			assert.DeepEqual(t, h.racksOf(h.scheduleStarts()), map[string]int{"other": 4})
		})
	}
}

// The places that max_per_server leaves count too.
func TestSameRackStepGoesToRackWithPlacesForAllTasks(t *testing.T) {
	h := newHarness(t, 0)
	h.registerRack("wide", bwjob.Resources{CPU: 64000, MemoryMB: 64000})
	h.registerRack("a", bwjob.Resources{CPU: 8000, MemoryMB: 64000})
	h.s.Register(bwexecutor.Registration{ID: "a-2", Incarnation: 1, Pool: "p", Rack: "a", Capacity: bwjob.Resources{CPU: 8000, MemoryMB: 64000}})
	h.s.Executor("a-2").SetAdmitted(true)
	h.report("a-2", bwexecutor.Report{Incarnation: 1})
	step := sameRackStep(1000, 3)
	step.MaxPerExecutor = 1
	h.submit("j", step)
	assert.DeepEqual(t, h.racksOf(h.scheduleStarts()), map[string]int{"a": 3})
}

// A step that no rack can hold now fills one rack, and takes the others once waiting has cost as much
// as running in several racks: with the factor 2, the estimated duration of its tasks.
func TestSameRackStepWiderThanAnyRackStartsInSeveral(t *testing.T) {
	h := newHarness(t, 0)
	h.registerRack("a", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
	h.registerRack("b", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
	step := sameRackStep(1000, 6)
	step.Estimate = 5 * time.Second
	h.submit("j", step)
	// The job is late in any case.
	h.advance(5 * time.Second)
	assert.Equal(t, len(h.racksOf(h.startsWithin(4900*time.Millisecond))), 1)
	assert.DeepEqual(t, h.racksOf(h.startsWithin(400*time.Millisecond)), map[string]int{"b": 2})
}

// A step stops waiting for one rack at the last moment at which it still ends in time in several racks.
func TestSameRackStepCrossesRacksWhileThatIsInTime(t *testing.T) {
	h := newHarness(t, 0)
	h.registerRack("a", bwjob.Resources{CPU: 1000, MemoryMB: 8000})
	h.registerRack("b", bwjob.Resources{CPU: 1000, MemoryMB: 8000})
	step := sameRackStep(1000, 4)
	step.Estimate = 5 * time.Second
	// The objective is twice the estimate and 1 s more, so that a start in several racks is in time for 1 s.
	h.submit("j", step)
	assert.Equal(t, len(h.racksOf(h.startsWithin(750*time.Millisecond))), 1)
	assert.DeepEqual(t, h.racksOf(h.startsWithin(300*time.Millisecond)), map[string]int{"b": 2})
}

// Tasks that wait for the rack of the others don't wait for ever if it is full, draining or lost.
func TestSameRackTasksLeaveRackWithoutCapacity(t *testing.T) {
	for _, trouble := range []string{"full", "draining", "lost"} {
		t.Run(trouble, func(t *testing.T) {
			h := newHarness(t, 0)
			h.registerRack("a", bwjob.Resources{CPU: 4000, MemoryMB: 8000})
			h.registerRack("b", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
			step := sameRackStep(1000, 4)
			step.Estimate = 3 * time.Second
			step.MaxPerExecutor = 2
			h.submit("j", step)
			started := h.scheduleStarts()
			assert.DeepEqual(t, h.racksOf(started), map[string]int{"a": 4})
			failed := started[0]
			h.reportEnd(failed, bwjob.EndFailed)
			for _, id := range []string{"a-0", "a-1"} {
				e := h.s.Executor(id)
				r := e.Registration()
				switch trouble {
				case "full":
					r.Capacity = bwjob.Resources{CPU: 2000, MemoryMB: 8000}
				case "draining":
					r.IsDraining = true
				}
				h.s.Register(r)
				if trouble == "lost" {
					h.s.Unregister(id)
				}
			}
			if trouble == "full" {
				blocker := newStep(1000, 1)
				blocker.LongRunning = true
				blocker.Label = "a"
				h.submit("blocker", blocker)
				assert.Equal(t, len(h.scheduleStarts()), 1)
			}
			var places []string
			for _, o := range h.startsWithin(4 * time.Second) {
				if o.Task == failed.Task {
					places = append(places, h.s.Executor(o.Executor).Registration().Rack)
				}
			}
			assert.DeepEqual(t, places, []string{"b"})
		})
	}
}

// A gang that no rack can hold, not even an empty one, starts in several racks at once; one that fits in
// an empty rack waits for it, but not for ever.
func TestSameRackGangCrossesRacks(t *testing.T) {
	for name, c := range map[string]struct{ count, startsAtOnce, inOneRack int }{
		"wider than any rack": {count: 6, startsAtOnce: 6},
		"fits in a full rack": {count: 4, startsAtOnce: 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.registerRack("a", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
			h.registerRack("b", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
			if c.startsAtOnce == 0 {
				for _, rack := range []string{"a", "b"} {
					blocker := newStep(1000, 1)
					blocker.LongRunning, blocker.Label = true, rack
					h.submit("blocker-"+rack, blocker)
				}
				assert.Equal(t, len(h.scheduleStarts()), 2)
			}
			gang := sameRackStep(1000, c.count)
			gang.Gang = true
			gang.Estimate = 5 * time.Second
			h.submit("gang", gang)
			assert.Equal(t, len(h.scheduleStarts()), c.startsAtOnce)
			assert.Equal(t, c.startsAtOnce+len(h.startsWithin(6*time.Second)), c.count)
		})
	}
}

// Long-running tasks start at once in several racks if none holds them all.
func TestSameRackLongRunningStepDoesNotWait(t *testing.T) {
	h := newHarness(t, 0)
	h.registerRack("a", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
	h.registerRack("b", bwjob.Resources{CPU: 2000, MemoryMB: 8000})
	step := sameRackStep(1000, 6)
	step.LongRunning = true
	h.submit("j", step)
	assert.Equal(t, len(h.scheduleStarts()), 6)
}
