package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice because its start reaches the restarted executor after the report that shows the restart.
func TestStartInFlightAcrossRestartKeepsItsTask(t *testing.T) {
	for name, results := range map[string][]bwschedule.Result{
		"accepted later":   {bwschedule.Accepted},
		"unanswered later": {bwschedule.Unanswered},
		"not answered yet": nil,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.submit("j", newStep(1000, 1))
			o := h.s.Schedule(h.now)[0]
			h.s.RecordStartLease(o, h.now.Add(lease).Millis())
			h.advance(20 * time.Millisecond)
			r := h.s.Executor(o.Executor).Registration()
			r.Incarnation++
			h.s.Register(r)
			h.report(o.Executor, bwexecutor.Report{Incarnation: r.Incarnation})
			for _, result := range results {
				h.s.HandleResult(o, result, h.now)
			}
			for _, order := range h.s.Schedule(h.now) {
				assert.Check(t, order.Kind != bwschedule.Start, "%+v", order)
			}
			h.advance(20 * time.Millisecond)
			h.report(o.Executor, bwexecutor.Report{Incarnation: r.Incarnation, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run, Percent: 100}}})
			run := h.s.Executor(o.Executor).Run(o.Task)
			assert.Assert(t, run != nil && !run.IsOrphaned, "%+v", run)
		})
	}
}

// A start that had no answer before a restart is settled by a stop that the new incarnation acknowledges.
func TestUnansweredStartIsSettledAfterRestart(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	h.s.RecordStartLease(o, h.now.Add(lease).Millis())
	h.s.HandleResult(o, bwschedule.Unanswered, h.now)
	h.advance(500 * time.Millisecond)
	h.crash(o.Executor)
	for range 10 {
		h.advance(100 * time.Millisecond)
		h.report("e0", bwexecutor.Report{Incarnation: h.s.Executor("e0").Incarnation()})
		h.report("e1", bwexecutor.Report{Incarnation: h.s.Executor("e1").Incarnation()})
		for _, order := range h.s.Schedule(h.now) {
			h.s.HandleResult(order, bwschedule.Accepted, h.now)
			if order.Kind == bwschedule.Start {
				assert.Equal(t, order.Run, o.Run+1)
				return
			}
		}
	}
	t.Fatal("the task is not started again")
}

// Guards against a task that runs twice because the restarted executor has accepted its start before a report showed
// the restart.
func TestStartAcceptedByTheRestartedExecutorKeepsItsTask(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	h.s.RecordStartLease(o, h.now.Add(lease).Millis())
	requestedAt := h.now
	h.advance(5 * time.Millisecond)
	h.s.HandleResult(o, bwschedule.Accepted, h.now)
	h.advance(5 * time.Millisecond)
	// The report was requested before the start.
	r := h.s.Executor(o.Executor).Registration()
	r.Incarnation++
	h.s.Register(r)
	h.s.HandleReport(o.Executor, bwexecutor.Report{Incarnation: r.Incarnation}, requestedAt, h.now)
	for _, order := range h.s.Schedule(h.now) {
		assert.Check(t, order.Kind != bwschedule.Start, "%+v", order)
	}
	h.advance(20 * time.Millisecond)
	h.report(o.Executor, bwexecutor.Report{Incarnation: r.Incarnation, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run, Percent: 100}}})
	run := h.s.Executor(o.Executor).Run(o.Task)
	assert.Assert(t, run != nil && !run.IsOrphaned, "%+v", run)
	assert.Equal(t, run.Phase, bwexecutor.Running)
}

// A start that was accepted before a restart is settled if the new incarnation does not list it.
func TestStartAcceptedBeforeARestartIsRepeated(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	h.s.RecordStartLease(o, h.now.Add(lease).Millis())
	h.s.HandleResult(o, bwschedule.Accepted, h.now)
	h.crash(o.Executor)
	assert.Equal(t, h.nextStart(500*time.Millisecond).Run, o.Run+1)
}

// nextStart plays reports of empty executors and passes until a task is started, and returns the order. All orders
// are accepted.
func (h *harness) nextStart(d time.Duration) bwschedule.Order {
	for end := h.now.Add(d); h.now.Before(end); h.advance(50 * time.Millisecond) {
		for _, id := range h.s.ExecutorIDs() {
			h.report(id, bwexecutor.Report{Incarnation: h.s.Executor(id).Incarnation()})
		}
		for _, order := range h.s.Schedule(h.now) {
			h.s.HandleResult(order, bwschedule.Accepted, h.now)
			if order.Kind == bwschedule.Start {
				return order
			}
		}
	}
	h.t.Fatalf("no task is started within %s", d)
	return bwschedule.Order{}
}

// Guards against a task that runs twice because a lease renewal that was meant for the earlier incarnation of an
// executor has given the next one a longer lease.
func TestLeaseOfARestartedExecutorMayBeTheLongest(t *testing.T) {
	h := newHarness(t, 2)
	h.crash("e0")
	h.submit("j", newStep(1000, 1))
	o := h.nextStart(500 * time.Millisecond)
	assert.Equal(t, o.Executor, "e0")
	h.report("e0", bwexecutor.Report{Incarnation: 2, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run, Percent: 100}}})
	silentFrom := h.now
	h.s.Executor("e0").RecordMissedReport()
	for h.now.Sub(silentFrom) < 9500*time.Millisecond {
		h.advance(500 * time.Millisecond)
		h.report("e1", bwexecutor.Report{Incarnation: 1})
		h.s.Expire(h.now, h.now)
		assert.Equal(t, len(h.scheduleStarts()), 0, "started %s after the last report", h.now.Sub(silentFrom))
	}
	h.advance(time.Second)
	h.report("e1", bwexecutor.Report{Incarnation: 1})
	h.s.Expire(h.now, h.now)
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// The same for a new owner, which knows from the previous one that the executor has restarted.
func TestHeldLeaseOfAnExecutorOutlivesItsOwner(t *testing.T) {
	for held, isHeld := range map[time.Duration]bool{0: false, 2 * time.Second: false, 8 * time.Second: true} {
		h := newHarness(t, 1)
		h.s.Register(bwexecutor.Registration{ID: "young", Incarnation: 1, Pool: "p", Capacity: bwjob.Resources{CPU: 1000, MemoryMB: 8000}})
		h.s.AwaitExecutor("young", h.now)
		h.s.HoldLease("young", h.now.Add(held))
		h.submit("j", newStep(1000, 1))
		h.report("young", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: bwjob.TaskID{Job: "j"}, Run: 1, Percent: 100}}})
		h.s.Executor("young").RecordMissedReport()
		h.advance(5 * time.Second)
		h.report("e0", bwexecutor.Report{Incarnation: 1})
		h.s.Expire(h.now, h.now)
		assert.Equal(t, len(h.scheduleStarts()) == 0, isHeld, "held for %s", held)
	}
}

// Guards against a task that runs twice because a late start, whose stop an executor has acknowledged, reaches the
// executor after it has restarted.
func TestStoppedStartIsStoppedAgainAfterARestart(t *testing.T) {
	for name, release := range map[string]func(h *harness, o bwschedule.Order){
		"stop acknowledged": func(h *harness, o bwschedule.Order) {
			h.advance(500 * time.Millisecond)
			h.report("e0", bwexecutor.Report{Incarnation: 1})
			for _, order := range h.s.Schedule(h.now) {
				assert.Equal(h.t, order.Kind, bwschedule.Stop)
				h.s.HandleResult(order, bwschedule.Accepted, h.now)
			}
			h.advance(20 * time.Millisecond)
			h.report("e0", bwexecutor.Report{Incarnation: 1})
		},
		"lease ended": func(h *harness, o bwschedule.Order) {
			h.advance(6 * time.Second)
			h.s.Expire(h.now, h.now)
		},
		"another executor at the address": func(h *harness, o bwschedule.Order) { h.s.HandleRestart("e0", h.now) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("j", newStep(1000, 1))
			o := h.s.Schedule(h.now)[0]
			h.s.RecordStartLease(o, h.now.Add(lease).Millis())
			h.s.HandleResult(o, bwschedule.Unanswered, h.now)
			release(h, o)
			h.register("e1", bwjob.Resources{CPU: 8000, MemoryMB: 8000})
			h.s.Executor("e0").Cordon(h.now.Add(time.Minute))
			again := h.scheduleStarts()
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Executor, "e1")

			h.crash("e0")
			orders := h.s.Schedule(h.now)
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, orders[0].Kind, bwschedule.Stop)
			assert.Equal(t, orders[0].Executor, "e0")
			assert.Equal(t, orders[0].Run, o.Run)
			h.s.HandleResult(orders[0], bwschedule.Accepted, h.now)
			h.advance(20 * time.Millisecond)
			h.report("e0", bwexecutor.Report{Incarnation: 2})
			assert.Assert(t, h.s.Executor("e0").Run(o.Task) == nil)
			assert.Assert(t, h.s.Executor("e1").Run(o.Task) != nil)
			// The next restart is the same.
			h.crash("e0")
			orders = h.s.Schedule(h.now)
			assert.Equal(t, len(orders), 1)
			h.s.HandleResult(orders[0], bwschedule.Accepted, h.now)
			// An order is not executed any more after such a time.
			h.advance(15 * time.Second)
			h.report("e0", bwexecutor.Report{Incarnation: 3})
			h.crash("e0")
			for _, order := range h.s.Schedule(h.now) {
				assert.Assert(t, order.Executor != "e0", "%+v", order)
			}
		})
	}
}
