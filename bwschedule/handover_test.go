package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// handOver returns a harness for a new owner, which has loaded the stored jobs and the first reports
// of all executors.
func (h *harness) handOver(jobs ...string) *harness {
	n := newHarness(h.t, 0)
	n.now = h.now
	for _, id := range h.s.ExecutorIDs() {
		n.s.AwaitExecutor(id, n.now.Add(lease))
	}
	for _, id := range jobs {
		data, err := h.s.Job(id).Encode()
		assert.NilError(h.t, err)
		j, err := bwjob.Decode(data)
		assert.NilError(h.t, err)
		n.s.LoadJob(j)
	}
	for _, id := range h.s.ExecutorIDs() {
		e := h.s.Executor(id)
		n.s.Register(e.Registration())
		n.s.Executor(id).SetAdmitted(true)
		n.lastEnd[id] = h.lastEnd[id]
		n.report(id, bwexecutor.Report{Incarnation: e.Incarnation(), Running: h.statuses(id, bwjob.TaskID{})})
	}
	n.s.Expire(n.now, n.now)
	return n
}

// reportEndOf reports the end of a run by the current incarnation of its executor.
func (h *harness) reportEndOf(executor string, end bwjob.End) {
	h.lastEnd[executor]++
	h.advance(10 * time.Millisecond)
	h.report(executor, bwexecutor.Report{
		Incarnation: h.s.Executor(executor).Incarnation(),
		Running:     h.statuses(executor, end.Task),
		Ended:       []bwexecutor.NumberedEnd{{Number: h.lastEnd[executor], End: end}},
	})
}

// endRuns reports the ends of the runs of a started step: the first one ends in the given way, the
// others of a gang with it.
func (h *harness) endRuns(orders []bwschedule.Order, kind, others bwjob.EndKind) {
	for i, o := range orders {
		if i > 0 {
			kind = others
		}
		if h.s.Executor(o.Executor).Run(o.Task) != nil {
			h.reportEndOf(o.Executor, bwjob.End{Task: o.Task, Run: o.Run, Kind: kind})
		}
	}
}

// startSuspect submits a job whose first run fails unless it is long-running, whose second run is
// lost in a crash, and whose third run works. It returns the orders of the third run.
func (h *harness) startSuspect(spec *bwjob.Spec) []bwschedule.Order {
	assert.NilError(h.t, spec.Validate())
	assert.Assert(h.t, h.s.Submit(bwjob.New(spec, h.now)))
	orders := h.scheduleStarts()
	others := bwjob.EndGangMemberEnded
	if !spec.Steps[0].LongRunning {
		h.endRuns(orders, bwjob.EndFailed, others)
		h.advance(time.Second)
		h.reportAll()
		orders = h.scheduleStarts()
	}
	h.advance(time.Second)
	h.reportAll()
	h.crash(orders[0].Executor)
	h.endRuns(orders, others, others)
	h.advance(2 * time.Second)
	h.reportAll()
	orders = h.scheduleStarts()
	assert.Equal(h.t, len(orders), spec.Steps[0].Count)
	return orders
}

// assertAdopted checks that the runs of the orders go on and that nothing is ordered.
func (h *harness) assertAdopted(orders []bwschedule.Order) {
	for range 5 {
		assert.DeepEqual(h.t, h.s.Schedule(h.now), []bwschedule.Order(nil))
		h.advance(time.Second)
		h.reportAll()
	}
	for _, o := range orders {
		r := h.s.Executor(o.Executor).Run(o.Task)
		assert.Assert(h.t, r != nil && !r.IsOrphaned && r.Number == o.Run, "%v", o)
		assert.Equal(h.t, h.s.Job(o.Task.Job).Task(o.Task).Executor(), o.Executor)
	}
}

// Guards against a task that runs twice because a new owner takes the current run of a task that has
// failed and has lost an executor before for an earlier one.
func TestNewOwnerAdoptsCurrentRunOfSuspectTask(t *testing.T) {
	gang, lasting, wide := newStep(1000, 3), newStep(1000, 1), newStep(1000, 1)
	gang.Gang = true
	lasting.LongRunning = true
	wide.Checkpointing = true
	for name, spec := range map[string]*bwjob.Spec{
		"single":        {Steps: []bwjob.Step{newStep(1000, 1)}},
		"checkpointing": {Steps: []bwjob.Step{wide}},
		"gang":          {Steps: []bwjob.Step{gang}},
		"longRunning":   {Steps: []bwjob.Step{lasting}},
		"scheduled":     {Steps: []bwjob.Step{newStep(1000, 1)}, ScheduledOccurrences: 2, FirstAt: start, Interval: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			spec.ID, spec.Queue = "j", "q"
			orders := h.startSuspect(spec)
			first := h.handOver("j")
			first.assertAdopted(orders)
			second := first.handOver("j")
			second.assertAdopted(orders)
			if !spec.Steps[0].LongRunning {
				second.endRuns(orders, bwjob.EndDone, bwjob.EndDone)
				assert.Assert(t, spec.ScheduledOccurrences > 0 || second.s.Job("j").Phase() == bwjob.Phase_done)
				assert.Equal(t, len(second.scheduleStarts()), 0)
			}
		})
	}
}

// Guards against a task that is started beside a run whose number was counted as failed before, which
// a late start order of a previous owner may cause.
func TestTaskWaitsForRunWithCountedNumber(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.scheduleStarts()[0]
	h.reportEnd(o, bwjob.EndFailed)
	n := h.handOver("j")
	other := "e0"
	if o.Executor == other {
		other = "e1"
	}
	late := bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run}}}
	n.report(other, late)
	stops := n.s.Schedule(n.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Kind, bwschedule.Stop)
	n.s.HandleResult(stops[0], bwschedule.Accepted, n.now)
	assert.Equal(t, len(n.scheduleStarts()), 0)
	n.reportEndOf(other, bwjob.End{Task: o.Task, Run: o.Run, Kind: bwjob.EndStopped})
	assert.Equal(t, len(n.scheduleStarts()), 1)
	assert.Equal(t, n.s.Job("j").Task(o.Task).Failures(), 1)
}

// Guards against a task that is started while an orphaned run of it works elsewhere, and against the
// loss of that run's reservation.
func TestTaskWaitsForItsOrphanedRun(t *testing.T) {
	gang := newStep(3000, 2)
	gang.Gang = true
	for name, step := range map[string]bwjob.Step{"single": newStep(3000, 1), "gang": gang} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.submit("j", step)
			orders := h.scheduleStarts()
			used := make(map[string]bool)
			for _, o := range orders {
				used[o.Executor] = true
			}
			orphan := ""
			for _, id := range h.s.ExecutorIDs() {
				if !used[id] {
					orphan = id
				}
			}
			running := bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: orders[0].Task, Run: 1}}}
			h.report(orphan, running)
			h.endRuns(orders, bwjob.EndStopped, bwjob.EndGangMemberEnded)
			for range 3 {
				h.advance(time.Second)
				h.reportAll()
				assert.Equal(t, len(h.scheduleStarts()), 0)
				assert.Equal(t, h.s.Executor(orphan).Free().CPU, int64(1000))
			}
			h.reportEndOf(orphan, bwjob.End{Task: orders[0].Task, Run: 1, Kind: bwjob.EndStopped})
			h.advance(time.Second)
			h.reportAll()
			assert.Equal(t, len(h.scheduleStarts()), step.Count)
		})
	}
}

// Guards against a task that stays assigned for good, and against a run that loses its reservation,
// because its executor reports a higher run than the recorded one and refuses that one's start.
func TestHigherRunOnTheSameExecutorReplacesTheRecordedOne(t *testing.T) {
	for _, result := range []bwschedule.Result{bwschedule.Accepted, bwschedule.RunTooOld, bwschedule.Unanswered} {
		h := newHarness(t, 1)
		j := h.submit("j", newStep(1000, 1))
		o := h.s.Schedule(h.now)[0]
		h.report("e0", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run + 1}}})
		h.s.HandleResult(o, result, h.now)
		assert.Equal(t, len(h.s.Schedule(h.now)), 0)
		assert.Equal(t, h.s.Executor("e0").Free().CPU, int64(3000))
		h.reportEndOf("e0", bwjob.End{Task: o.Task, Run: o.Run + 1, Kind: bwjob.EndDone})
		assert.Equal(t, j.Phase(), bwjob.Phase_done)
	}
}

// Guards against a run that loses its reservation because a new owner starts its task again on the same
// executor, which refuses that.
func TestCurrentRunKeepsItsReservationAfterRefusedStarts(t *testing.T) {
	h := newHarness(t, 1)
	o := h.startSuspect(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}})[0]
	n := h.handOver("j")
	for range 3 {
		for _, order := range n.s.Schedule(n.now) {
			if order.Kind == bwschedule.Start {
				n.s.HandleResult(order, bwschedule.RunTooOld, n.now)
			}
		}
		assert.Equal(t, n.s.Executor(o.Executor).Free().CPU, int64(3000))
		n.advance(10 * time.Millisecond)
	}
}

// Guards against tasks that are started again by a new owner because their ends are beyond those that one report lists.
func TestNewOwnerWaitsForAllEndsOfAnExecutor(t *testing.T) {
	const tasks, reported = 600, 500
	h := newHarness(t, 0)
	h.s.LoadJob(bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{newStep(1, tasks)}}, h.now))
	h.s.AwaitExecutor("e0", h.now.Add(lease))
	h.s.AwaitExecutor("e1", h.now.Add(lease))
	var ends []bwexecutor.NumberedEnd
	for n := range tasks {
		ends = append(ends, bwexecutor.NumberedEnd{Number: int64(n + 1),
			End: bwjob.End{Task: bwjob.TaskID{Job: "old", Index: n}, Run: 1, Kind: bwjob.EndDone}})
	}
	h.register("e1", bwjob.Resources{CPU: 4000, MemoryMB: 800000})
	h.s.Register(bwexecutor.Registration{ID: "e0", Incarnation: 1, Pool: "p", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 800000}})
	h.s.Executor("e0").SetAdmitted(true)
	for range 50 {
		// The ends of the first reports are not acknowledged yet.
		h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: ends[:reported]})
		h.report("e1", bwexecutor.Report{Incarnation: 1})
		h.s.Expire(h.now, h.now)
		assert.Equal(t, len(h.scheduleStarts()), 0)
		h.advance(100 * time.Millisecond)
	}
	h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: ends[reported:]})
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	assert.Equal(t, h.s.Job("old").Phase(), bwjob.Phase_done)
}

// A new owner does not wait for an executor that has not listed all ends and whose lease is over.
func TestNewOwnerGivesUpAnExecutorThatStopsListing(t *testing.T) {
	h := newHarness(t, 0)
	h.s.LoadJob(bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{newStep(1, 600)}}, h.now))
	h.s.AwaitExecutor("e0", h.now.Add(lease))
	var ends []bwexecutor.NumberedEnd
	for n := range 500 {
		ends = append(ends, bwexecutor.NumberedEnd{Number: int64(n + 1),
			End: bwjob.End{Task: bwjob.TaskID{Job: "old", Index: n}, Run: 1, Kind: bwjob.EndDone}})
	}
	h.s.Register(bwexecutor.Registration{ID: "e0", Incarnation: 1, Pool: "p", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 800000}})
	h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: ends})
	h.register("e1", bwjob.Resources{CPU: 4000, MemoryMB: 800000})
	h.advance(12 * time.Second)
	h.report("e1", bwexecutor.Report{Incarnation: 1})
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 100)
}
