package bwschedule_test

import (
	"fmt"
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

const (
	start = bwclock.Time(1_000_000)
	lease = 3500 * time.Millisecond
)

// harness drives a scheduler with a manual clock.
type harness struct {
	t       *testing.T
	s       *bwschedule.Scheduler
	now     bwclock.Time
	lastEnd map[string]int64
}

func newHarness(t *testing.T, executors int) *harness {
	h := &harness{t: t, s: bwschedule.New(hclog.NewNullLogger()), now: start, lastEnd: make(map[string]int64)}
	h.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 2, ObjectiveOffset: time.Second}})
	for i := range executors {
		h.register(fmt.Sprintf("e%d", i), bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	}
	return h
}

func (h *harness) register(id string, capacity bwjob.Resources) {
	h.s.Register(bwexecutor.Registration{ID: id, Incarnation: 1, Pool: "p", Rack: "r" + id, Labels: []string{"kind", "r" + id}, Capacity: capacity})
	h.s.Executor(id).SetAdmitted(true)
	h.report(id, bwexecutor.Report{Incarnation: 1})
}

func (h *harness) report(id string, r bwexecutor.Report) {
	h.s.HandleReport(id, r, h.now, h.now)
	h.s.Executor(id).SyncClock(h.now.Millis(), h.now)
	h.s.Executor(id).ExtendLease(h.now, lease)
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

func (h *harness) submit(id string, steps ...bwjob.Step) *bwjob.Job {
	spec := &bwjob.Spec{ID: id, Queue: "q", Payload: "payload", Steps: steps}
	assert.NilError(h.t, spec.Validate())
	j := bwjob.New(spec, h.now)
	assert.Assert(h.t, h.s.Submit(j))
	return j
}

// scheduleStarts runs one scheduling pass, accepts all start orders and returns them.
func (h *harness) scheduleStarts() []bwschedule.Order {
	var list []bwschedule.Order
	for _, o := range h.s.Schedule(h.now) {
		if o.Kind == bwschedule.Start {
			list = append(list, o)
			h.s.HandleResult(o, bwschedule.Accepted, h.now)
		}
	}
	return list
}

// reportEnd reports the end of a run.
func (h *harness) reportEnd(o bwschedule.Order, kind bwjob.EndKind) {
	h.lastEnd[o.Executor]++
	h.advance(10 * time.Millisecond)
	e := bwexecutor.NumberedEnd{Number: h.lastEnd[o.Executor], End: bwjob.End{Task: o.Task, Run: o.Run, Kind: kind}}
	h.report(o.Executor, bwexecutor.Report{Incarnation: 1, Running: h.statuses(o.Executor, o.Task), Ended: []bwexecutor.NumberedEnd{e}})
}

// statuses returns the status of all runs of an executor except those of one task.
func (h *harness) statuses(id string, except bwjob.TaskID) []bwexecutor.RunStatus {
	var list []bwexecutor.RunStatus
	for task, r := range h.s.Executor(id).Runs() {
		if task != except {
			list = append(list, bwexecutor.RunStatus{Task: task, Run: r.Number, Percent: 100})
		}
	}
	return list
}

func newStep(cpu int64, count int) bwjob.Step {
	return bwjob.Step{Count: count, Need: bwjob.Resources{CPU: cpu, MemoryMB: 100}, Estimate: 500 * time.Millisecond}
}

func dependsOn(s bwjob.Step, steps ...int) bwjob.Step {
	s.DependsOn = steps
	return s
}

func TestStepsWaitForTheirDependencies(t *testing.T) {
	h := newHarness(t, 1)
	j := h.submit("j", newStep(1000, 2), dependsOn(newStep(1000, 1), 0))
	first := h.scheduleStarts()
	assert.Equal(t, len(first), 2)
	h.reportEnd(first[0], bwjob.EndDone)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.reportEnd(first[1], bwjob.EndDone)
	second := h.scheduleStarts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Task.Step, 1)
	h.reportEnd(second[0], bwjob.EndDone)
	assert.Equal(t, j.Phase(), bwjob.Phase_done)
}

func TestCapacityCountsUnansweredStartsAndStops(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", newStep(3000, 1))
	orders := h.s.Schedule(h.now)
	assert.Equal(t, len(orders), 1)
	h.s.HandleResult(orders[0], bwschedule.Unanswered, h.now)
	h.submit("k", newStep(3000, 1))
	h.advance(time.Second)
	// The report does not list the run, but its start may still take effect: it is stopped.
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	orders = h.s.Schedule(h.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, bwschedule.Stop)
	h.s.HandleResult(orders[0], bwschedule.Accepted, h.now)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	// A report after the acknowledged stop proves that the run does not exist and cannot start.
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// After a takeover, executors report ends before the first scheduling pass has opened the
// occurrences of the loaded jobs. These ends must not be lost.
func TestEndsOfLoadedJobsCountBeforeTheFirstPass(t *testing.T) {
	h := newHarness(t, 1)
	j := bwjob.New(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}, h.now)
	h.s.LoadJob(j)
	h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
		{Number: 1, End: bwjob.End{Task: bwjob.TaskID{Job: "j"}, Run: 1, Kind: bwjob.EndDone}}}})
	assert.Equal(t, j.Phase(), bwjob.Phase_done)
	assert.Equal(t, len(h.scheduleStarts()), 0)
}

// After a takeover, several executors report failed runs of the same task in any order. Each
// must count against the maximum number of attempts.
func TestFailuresCountInAnyOrder(t *testing.T) {
	h := newHarness(t, 2)
	j := bwjob.New(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}, h.now)
	h.s.LoadJob(j)
	for i, run := range []int{2, 1} {
		h.report(fmt.Sprintf("e%d", i), bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
			{Number: 1, End: bwjob.End{Task: bwjob.TaskID{Job: "j"}, Run: run, Kind: bwjob.EndFailed}}}})
	}
	assert.Equal(t, j.Phase(), bwjob.Phase_failed)
	assert.Equal(t, len(h.scheduleStarts()), 0)
}

func TestLoadedTasksWaitForThePreviousOwnersExecutors(t *testing.T) {
	h := newHarness(t, 2)
	h.s.AwaitExecutor("e9", h.now.Add(5*time.Second))
	j := bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{newStep(1000, 1)}}, h.now)
	h.s.LoadJob(j)
	// Acceptance times must not be used to tell loaded jobs from new ones: the clock of the
	// host that accepted the loaded job may be ahead.
	h.submit("new", newStep(1000, 1))
	started := h.scheduleStarts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Task.Job, "new")
	for range 5 {
		assert.Equal(t, len(h.scheduleStarts()), 0)
		h.advance(time.Second)
		for _, id := range h.s.ExecutorIDs() {
			h.report(id, bwexecutor.Report{Incarnation: 1, Running: h.statuses(id, bwjob.TaskID{})})
		}
		h.s.Expire(h.now, h.now)
	}
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// The resources of a run whose job is no longer known are unknown. No task may be placed on
// its executor until it has ended.
func TestRunOfUnknownSizeBlocksPlacement(t *testing.T) {
	h := newHarness(t, 1)
	orphan := bwjob.TaskID{Job: "gone"}
	h.report("e0", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: orphan, Run: 1, Percent: 100}}})
	h.submit("j", newStep(1000, 1))
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.advance(300 * time.Millisecond)
	h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
		{Number: 1, End: bwjob.End{Task: orphan, Run: 1, Kind: bwjob.EndStopped}}}})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

func TestMissedReportBlocksPlacementUntilTheNext(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", newStep(1000, 1))
	h.s.Executor("e0").RecordMissedReport()
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

func TestTasksRestartOnlyAfterTheLeaseHasExpired(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(4000, 1))
	first := h.scheduleStarts()
	assert.Equal(t, len(first), 1)
	other := map[string]string{"e0": "e1", "e1": "e0"}[first[0].Executor]
	for range 34 {
		h.advance(100 * time.Millisecond)
		h.report(other, bwexecutor.Report{Incarnation: 1})
		h.s.Expire(h.now, h.now)
		assert.Equal(t, len(h.scheduleStarts()), 0, "restarted %s after the last report", h.now.Sub(start))
	}
	h.advance(500 * time.Millisecond)
	h.report(other, bwexecutor.Report{Incarnation: 1})
	h.s.Expire(h.now, h.now)
	again := h.scheduleStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run, 2)
}

func TestRestartedExecutorHasLostItsTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", newStep(1000, 1))
	assert.Equal(t, len(h.scheduleStarts()), 1)
	h.s.Register(bwexecutor.Registration{ID: "e0", Incarnation: 2, Pool: "p", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 8000}})
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.report("e0", bwexecutor.Report{Incarnation: 2})
	assert.Equal(t, len(h.scheduleStarts()), 1)
}

// Small tasks must not starve a large long-running task by taking all of the capacity
// that becomes free.
func TestExecutorIsSetAsideForLongRunningTask(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("small", newStep(1000, 12))
	running := h.scheduleStarts()
	assert.Equal(t, len(running), 4)
	longRunning := newStep(3000, 1)
	longRunning.LongRunning = true
	h.submit("long-running", longRunning)
	for i := range 3 {
		h.reportEnd(running[i], bwjob.EndDone)
		started := h.scheduleStarts()
		if i < 2 {
			assert.Equal(t, len(started), 0)
			continue
		}
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Task.Job, "long-running")
	}
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("small", newStep(3000, 1))
	assert.Equal(t, len(h.scheduleStarts()), 1)
	gang := newStep(3000, 2)
	gang.Gang = true
	h.submit("gang", gang)
	assert.Equal(t, len(h.scheduleStarts()), 0)
	h.register("e2", bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	started := h.scheduleStarts()
	assert.Equal(t, len(started), 2)
	assert.Equal(t, started[0].Run, started[1].Run)
	h.reportEnd(started[0], bwjob.EndDone)
	assert.Equal(t, h.s.Job("gang").Phase(), bwjob.Phase_done)
}

func TestPlacementFollowsLabelRackAndLimit(t *testing.T) {
	h := newHarness(t, 3)
	labelled := newStep(500, 1)
	labelled.Label = "re1"
	near := newStep(500, 1)
	near.DataRack = "re2"
	apart := newStep(500, 4)
	apart.MaxPerExecutor = 1
	h.submit("labelled", labelled)
	h.submit("near", near)
	h.submit("apart", apart)
	count := make(map[string]int)
	for _, o := range h.scheduleStarts() {
		count[o.Task.Job]++
		switch o.Task.Job {
		case "labelled":
			assert.Equal(t, o.Executor, "e1")
		case "near":
			assert.Equal(t, o.Executor, "e2")
		}
	}
	assert.DeepEqual(t, count, map[string]int{"labelled": 1, "near": 1, "apart": 3})
}

func TestOccurrencesStartAtTheirScheduledTimes(t *testing.T) {
	h := newHarness(t, 1)
	spec := &bwjob.Spec{ID: "timed", Queue: "q", Steps: []bwjob.Step{newStep(100, 1)}, ScheduledOccurrences: 2,
		FirstAt: h.now.Add(time.Second), Interval: time.Second}
	assert.Assert(t, h.s.Submit(bwjob.New(spec, h.now)))
	assert.Equal(t, len(h.scheduleStarts()), 0)
	for k := range 2 {
		h.advance(time.Second)
		h.report("e0", bwexecutor.Report{Incarnation: 1, Running: h.statuses("e0", bwjob.TaskID{})})
		started := h.scheduleStarts()
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Task.Occurrence, k)
	}
}

func TestAdviceLimitsWhereAStepRuns(t *testing.T) {
	h := newHarness(t, 2)
	h.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, NeedsAdvice: true}})
	h.submit("j", newStep(100, 2))
	assert.Equal(t, len(h.scheduleStarts()), 0)
	request, ok := h.s.NextAdviceRequest()
	assert.Assert(t, ok)
	assert.DeepEqual(t, request.Executors, []string{"e0", "e1"})
	h.s.HandleAdvice(request, bwschedule.Advice{Tickets: map[string]string{"e1": "ticket"}, ValidFor: 3 * time.Second}, true, h.now, h.now)
	for _, o := range h.scheduleStarts() {
		assert.Equal(t, o.Executor, "e1")
		assert.Equal(t, o.Ticket, "ticket")
	}
}

func TestBestEffortTasksSlowDownBesideLatencySensitiveTasks(t *testing.T) {
	h := newHarness(t, 1)
	latencySensitive := newStep(1000, 1)
	latencySensitive.LongRunning, latencySensitive.LatencyObjective = true, 100*time.Millisecond
	bestEffort := newStep(1000, 1)
	bestEffort.BestEffort = true
	h.submit("latency-sensitive", latencySensitive)
	h.submit("best-effort", bestEffort)
	started := h.scheduleStarts()
	assert.Equal(t, len(started), 2)
	h.advance(time.Second)
	statuses := h.statuses("e0", bwjob.TaskID{})
	for i := range statuses {
		if statuses[i].Task.Job == "latency-sensitive" {
			statuses[i].Load = 95
		}
	}
	h.report("e0", bwexecutor.Report{Incarnation: 1, Running: statuses})
	h.s.AdjustPace(h.now)
	orders := h.s.Schedule(h.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, bwschedule.Pace)
	assert.Equal(t, orders[0].Percent, 50)
}

// A failed task must be retried on another executor, even if other tasks have succeeded on
// the first one since.
func TestRetryUsesAnotherExecutor(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	first := h.scheduleStarts()
	assert.Equal(t, len(first), 1)
	h.submit("other", newStep(1000, 1))
	others := h.scheduleStarts()
	assert.Equal(t, others[0].Executor, first[0].Executor)
	h.reportEnd(first[0], bwjob.EndFailed)
	h.reportEnd(others[0], bwjob.EndDone)
	again := h.scheduleStarts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Executor != first[0].Executor)
}

// Guards against a job that is shown as started although no executor has confirmed a start.
func TestJobIsPendingUntilAStartIsConfirmed(t *testing.T) {
	for name, result := range map[string]bwschedule.Result{"refused": bwschedule.Unhealthy, "unsent": bwschedule.NotSent, "unanswered": bwschedule.Unanswered} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("j", newStep(1000, 1))
			orders := h.s.Schedule(h.now)
			assert.Equal(t, len(orders), 1)
			assert.Equal(t, h.s.CountPendingJobs(bwfleet.Queue{Name: "q"}), 1)
			h.s.HandleResult(orders[0], result, h.now)
			assert.Equal(t, h.s.CountPendingJobs(bwfleet.Queue{Name: "q"}), 1)
			h.advance(2 * time.Second)
			h.report("e0", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: orders[0].Task, Run: orders[0].Run}}})
			assert.Equal(t, h.s.CountPendingJobs(bwfleet.Queue{Name: "q"}), 0)
			h.crash("e0")
			assert.Equal(t, h.s.CountPendingJobs(bwfleet.Queue{Name: "q"}), 0)
		})
	}
}

// Guards against an owner that ends because an executor reports a task that its job does not have.
func TestReportOfUnknownTaskIsHarmless(t *testing.T) {
	for _, id := range []bwjob.TaskID{{Job: "j", Step: 7}, {Job: "j", Step: -1}, {Job: "j", Index: 9}, {Job: "j", Index: -1}, {Job: "j", Occurrence: 3}, {Job: "j", Occurrence: -1}} {
		h := newHarness(t, 2)
		h.submit("j", bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 1000}, Estimate: time.Second})
		h.report("e0", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: id, Run: 1, Percent: 100}}})
		starts := h.scheduleStarts()
		assert.Equal(t, len(starts), 1, "%+v", id)
		h.s.Survey(h.now)
		end := bwexecutor.NumberedEnd{Number: 1, End: bwjob.End{Task: id, Run: 1, Kind: bwjob.EndFailed}}
		h.report("e0", bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{end}})
		h.scheduleStarts()
		h.reportEnd(starts[0], bwjob.EndDone)
		assert.Equal(t, h.s.Job("j").Phase(), bwjob.Phase_done, "%+v", id)
	}
}
