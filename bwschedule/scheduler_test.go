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

// bench drives a scheduler with a manual clock.
type bench struct {
	t   *testing.T
	s   *bwschedule.Scheduler
	now bwclock.Time
	end map[string]int64
}

func newBench(t *testing.T, executors int) *bench {
	b := &bench{t: t, s: bwschedule.New(hclog.NewNullLogger()), now: start, end: make(map[string]int64)}
	b.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", Attempts: 2, Stretch: 2, Objective: time.Second}})
	for i := range executors {
		b.register(fmt.Sprintf("e%d", i), bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	}
	return b
}

func (b *bench) register(id string, capacity bwjob.Resources) {
	b.s.Register(bwexecutor.Registration{ID: id, Incarnation: 1, Pool: "p", Rack: "r" + id, Labels: []string{"kind", "r" + id}, Capacity: capacity})
	b.s.Executor(id).Admit(true)
	b.report(id, bwexecutor.Report{Incarnation: 1})
}

func (b *bench) report(id string, r bwexecutor.Report) {
	b.s.Report(id, r, b.now, b.now)
	b.s.Executor(id).Heard(b.now.Millis(), b.now)
	b.s.Executor(id).ExtendLease(b.now, lease)
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) submit(id string, steps ...bwjob.Step) *bwjob.Job {
	spec := &bwjob.Spec{ID: id, Queue: "q", Payload: "payload", Steps: steps}
	assert.NilError(b.t, spec.Validate())
	j := bwjob.New(spec, b.now)
	assert.Assert(b.t, b.s.Submit(j))
	return j
}

// starts runs one scheduling pass, accepts all start orders and returns them.
func (b *bench) starts() []bwschedule.Order {
	var list []bwschedule.Order
	for _, o := range b.s.Schedule(b.now) {
		if o.Kind == bwschedule.Start {
			list = append(list, o)
			b.s.Finished(o, bwschedule.Accepted, b.now)
		}
	}
	return list
}

// finish reports the end of a run.
func (b *bench) finish(o bwschedule.Order, kind bwjob.EndKind) {
	b.end[o.Executor]++
	b.pass(10 * time.Millisecond)
	e := bwexecutor.NumberedEnd{Number: b.end[o.Executor], End: bwjob.End{Task: o.Task, Run: o.Run, Kind: kind}}
	b.report(o.Executor, bwexecutor.Report{Incarnation: 1, Running: b.rows(o.Executor, o.Task), Ended: []bwexecutor.NumberedEnd{e}})
}

// rows returns the status of all runs of an executor except those of one task.
func (b *bench) rows(id string, except bwjob.TaskID) []bwexecutor.RunStatus {
	var rows []bwexecutor.RunStatus
	for task, r := range b.s.Executor(id).Runs() {
		if task != except {
			rows = append(rows, bwexecutor.RunStatus{Task: task, Run: r.Number, Percent: 100})
		}
	}
	return rows
}

func task(cpu int64, count int) bwjob.Step {
	return bwjob.Step{Count: count, Need: bwjob.Resources{CPU: cpu, MemoryMB: 100}, Estimate: 500 * time.Millisecond}
}

func after(s bwjob.Step, steps ...int) bwjob.Step {
	s.After = steps
	return s
}

func TestStepsWaitForEarlierOnes(t *testing.T) {
	b := newBench(t, 1)
	j := b.submit("j", task(1000, 2), after(task(1000, 1), 0))
	first := b.starts()
	assert.Equal(t, len(first), 2)
	b.finish(first[0], bwjob.EndDone)
	assert.Equal(t, len(b.starts()), 0)
	b.finish(first[1], bwjob.EndDone)
	second := b.starts()
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Task.Step, 1)
	b.finish(second[0], bwjob.EndDone)
	assert.Equal(t, j.Phase(), bwjob.Phase_done)
}

func TestCapacityCountsUnansweredStartsAndStops(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", task(3000, 1))
	orders := b.s.Schedule(b.now)
	assert.Equal(t, len(orders), 1)
	b.s.Finished(orders[0], bwschedule.Unanswered, b.now)
	b.submit("k", task(3000, 1))
	b.pass(time.Second)
	// The report does not list the run, but its start may still take effect: it is stopped.
	b.report("e0", bwexecutor.Report{Incarnation: 1})
	orders = b.s.Schedule(b.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, bwschedule.Stop)
	b.s.Finished(orders[0], bwschedule.Accepted, b.now)
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
	// A report after the acknowledged stop proves that the run does not exist and cannot start.
	b.report("e0", bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(b.starts()), 1)
}

// After a takeover, executors report ends before the first scheduling pass has opened the
// occurrences of the loaded jobs. These ends must not be lost.
func TestEndsOfLoadedJobsCountBeforeTheFirstPass(t *testing.T) {
	b := newBench(t, 1)
	j := bwjob.New(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{task(1000, 1)}}, b.now)
	b.s.Load(j)
	b.report("e0", bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
		{Number: 1, End: bwjob.End{Task: bwjob.TaskID{Job: "j"}, Run: 1, Kind: bwjob.EndDone}}}})
	assert.Equal(t, j.Phase(), bwjob.Phase_done)
	assert.Equal(t, len(b.starts()), 0)
}

// After a takeover, several executors report failed runs of the same task in any order. Each
// must count against the maximum number of attempts.
func TestFailuresCountInAnyOrder(t *testing.T) {
	b := newBench(t, 2)
	j := bwjob.New(&bwjob.Spec{ID: "j", Queue: "q", Steps: []bwjob.Step{task(1000, 1)}}, b.now)
	b.s.Load(j)
	for i, run := range []int{2, 1} {
		b.report(fmt.Sprintf("e%d", i), bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
			{Number: 1, End: bwjob.End{Task: bwjob.TaskID{Job: "j"}, Run: run, Kind: bwjob.EndFailed}}}})
	}
	assert.Equal(t, j.Phase(), bwjob.Phase_failed)
	assert.Equal(t, len(b.starts()), 0)
}

func TestLoadedTasksWaitForThePreviousOwnersExecutors(t *testing.T) {
	b := newBench(t, 2)
	b.s.AwaitExecutor("e9", b.now.Add(5*time.Second))
	j := bwjob.New(&bwjob.Spec{ID: "old", Queue: "q", Steps: []bwjob.Step{task(1000, 1)}}, b.now)
	b.s.Load(j)
	// Acceptance times must not be used to tell loaded jobs from new ones: the clock of the
	// host that accepted the loaded job may be ahead.
	b.submit("new", task(1000, 1))
	started := b.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Task.Job, "new")
	for range 5 {
		assert.Equal(t, len(b.starts()), 0)
		b.pass(time.Second)
		for _, id := range b.s.Executors() {
			b.report(id, bwexecutor.Report{Incarnation: 1, Running: b.rows(id, bwjob.TaskID{})})
		}
		b.s.Expire(b.now)
	}
	assert.Equal(t, len(b.starts()), 1)
}

// The resources of a run whose job is no longer known are unknown. No task may be placed on
// its executor until it has ended.
func TestRunOfUnknownSizeKeepsTasksAway(t *testing.T) {
	b := newBench(t, 1)
	stray := bwjob.TaskID{Job: "gone"}
	b.report("e0", bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: stray, Run: 1, Percent: 100}}})
	b.submit("j", task(1000, 1))
	assert.Equal(t, len(b.starts()), 0)
	b.pass(300 * time.Millisecond)
	b.report("e0", bwexecutor.Report{Incarnation: 1, Ended: []bwexecutor.NumberedEnd{
		{Number: 1, End: bwjob.End{Task: stray, Run: 1, Kind: bwjob.EndStopped}}}})
	assert.Equal(t, len(b.starts()), 1)
}

func TestMissedReportKeepsTasksAwayUntilTheNext(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", task(1000, 1))
	b.s.Executor("e0").MissedReport()
	assert.Equal(t, len(b.starts()), 0)
	b.report("e0", bwexecutor.Report{Incarnation: 1})
	assert.Equal(t, len(b.starts()), 1)
}

func TestTasksRestartOnlyAfterTheLeaseHasEnded(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", task(4000, 1))
	first := b.starts()
	assert.Equal(t, len(first), 1)
	other := map[string]string{"e0": "e1", "e1": "e0"}[first[0].Executor]
	for range 34 {
		b.pass(100 * time.Millisecond)
		b.report(other, bwexecutor.Report{Incarnation: 1})
		b.s.Expire(b.now)
		assert.Equal(t, len(b.starts()), 0, "restarted %s after the last report", b.now.Sub(start))
	}
	b.pass(500 * time.Millisecond)
	b.report(other, bwexecutor.Report{Incarnation: 1})
	b.s.Expire(b.now)
	again := b.starts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Run, 2)
}

func TestRestartedExecutorHasLostItsTasks(t *testing.T) {
	b := newBench(t, 1)
	b.submit("j", task(1000, 1))
	assert.Equal(t, len(b.starts()), 1)
	b.s.Register(bwexecutor.Registration{ID: "e0", Incarnation: 2, Pool: "p", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 8000}})
	assert.Equal(t, len(b.starts()), 0)
	b.report("e0", bwexecutor.Report{Incarnation: 2})
	assert.Equal(t, len(b.starts()), 1)
}

// Small tasks must not starve a large long-running task by taking every bit of capacity
// that becomes free.
func TestRoomGathersForTasksThatLast(t *testing.T) {
	b := newBench(t, 1)
	b.submit("small", task(1000, 12))
	running := b.starts()
	assert.Equal(t, len(running), 4)
	last := task(3000, 1)
	last.LongRunning = true
	b.submit("lasting", last)
	for i := range 3 {
		b.finish(running[i], bwjob.EndDone)
		started := b.starts()
		if i < 2 {
			assert.Equal(t, len(started), 0)
			continue
		}
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Task.Job, "lasting")
	}
}

func TestEvacuationKeepsTheDisruptionBudget(t *testing.T) {
	b := newBench(t, 3)
	last := task(1000, 4)
	last.LongRunning = true
	last.DisruptionBudget = 1
	b.submit("lasting", last)
	started := b.starts()
	assert.Equal(t, len(started), 4)
	for _, id := range b.s.Executors() {
		b.report(id, bwexecutor.Report{Incarnation: 1, Running: b.rows(id, bwjob.TaskID{})})
	}
	crowded := started[0].Executor
	assert.Assert(t, len(b.s.Executor(crowded).Runs()) > 1)
	b.s.Cordon(crowded, b.now.Add(time.Minute))
	var stops []bwschedule.Order
	for _, o := range b.s.Schedule(b.now) {
		if o.Kind == bwschedule.Stop {
			stops = append(stops, o)
		}
	}
	assert.Equal(t, len(stops), 1)
}

func TestSurveyLeavesOutWhatIsNotCertain(t *testing.T) {
	b := newBench(t, 2)
	b.s.Executor("e1").MissedReport()
	b.s.Cordon("e0", b.now.Add(500*time.Millisecond))
	survey := b.s.Survey(b.now)
	assert.Equal(t, len(survey.Executors), 1)
	// A cordon that is about to expire does not count.
	assert.Equal(t, survey.Executors["e0"].IsCordoned, false)
	b.s.Cordon("e0", b.now.Add(5*time.Second))
	assert.Equal(t, b.s.Survey(b.now).Executors["e0"].IsCordoned, true)
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	b := newBench(t, 2)
	b.submit("small", task(3000, 1))
	assert.Equal(t, len(b.starts()), 1)
	gang := task(3000, 2)
	gang.Gang = true
	b.submit("gang", gang)
	assert.Equal(t, len(b.starts()), 0)
	b.register("e2", bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	started := b.starts()
	assert.Equal(t, len(started), 2)
	assert.Equal(t, started[0].Run, started[1].Run)
	b.finish(started[0], bwjob.EndDone)
	assert.Equal(t, b.s.Job("gang").Phase(), bwjob.Phase_done)
}

func TestPlacementFollowsLabelRackAndLimit(t *testing.T) {
	b := newBench(t, 3)
	labelled := task(500, 1)
	labelled.Label = "re1"
	near := task(500, 1)
	near.DataRack = "re2"
	apart := task(500, 4)
	apart.MaxPerExecutor = 1
	b.submit("labelled", labelled)
	b.submit("near", near)
	b.submit("apart", apart)
	count := make(map[string]int)
	for _, o := range b.starts() {
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

func TestOccurrencesStartAtTheirTimes(t *testing.T) {
	b := newBench(t, 1)
	spec := &bwjob.Spec{ID: "timed", Queue: "q", Steps: []bwjob.Step{task(100, 1)}, Times: 2,
		First: b.now.Add(time.Second), Interval: time.Second}
	assert.Assert(t, b.s.Submit(bwjob.New(spec, b.now)))
	assert.Equal(t, len(b.starts()), 0)
	for k := range 2 {
		b.pass(time.Second)
		b.report("e0", bwexecutor.Report{Incarnation: 1, Running: b.rows("e0", bwjob.TaskID{})})
		started := b.starts()
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Task.Occurrence, k)
	}
}

func TestAdviceLimitsWhereAStepRuns(t *testing.T) {
	b := newBench(t, 2)
	b.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", Attempts: 2, NeedsAdvice: true}})
	b.submit("j", task(100, 2))
	assert.Equal(t, len(b.starts()), 0)
	q, ok := b.s.NextQuestion()
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Executors, []string{"e0", "e1"})
	b.s.Advised(q, bwschedule.Advice{Tickets: map[string]string{"e1": "ticket"}, ValidFor: 3 * time.Second}, true, b.now)
	for _, o := range b.starts() {
		assert.Equal(t, o.Executor, "e1")
		assert.Equal(t, o.Ticket, "ticket")
	}
}

func TestFillersSlowDownBesideServingTasks(t *testing.T) {
	b := newBench(t, 1)
	serving := task(1000, 1)
	serving.LongRunning, serving.LatencyObjective = true, 100*time.Millisecond
	filler := task(1000, 1)
	filler.Fills = true
	b.submit("serving", serving)
	b.submit("filler", filler)
	started := b.starts()
	assert.Equal(t, len(started), 2)
	b.pass(time.Second)
	rows := b.rows("e0", bwjob.TaskID{})
	for i := range rows {
		if rows[i].Task.Job == "serving" {
			rows[i].Load = 95
		}
	}
	b.report("e0", bwexecutor.Report{Incarnation: 1, Running: rows})
	b.s.AdjustPace(b.now)
	orders := b.s.Schedule(b.now)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, bwschedule.Pace)
	assert.Equal(t, orders[0].Percent, 50)
}

// A failed task must be retried on another executor, even if other tasks have succeeded on
// the first one since.
func TestSecondAttemptGoesElsewhere(t *testing.T) {
	b := newBench(t, 2)
	b.submit("j", task(1000, 1))
	first := b.starts()
	assert.Equal(t, len(first), 1)
	b.submit("other", task(1000, 1))
	others := b.starts()
	assert.Equal(t, others[0].Executor, first[0].Executor)
	b.finish(first[0], bwjob.EndFailed)
	b.finish(others[0], bwjob.EndDone)
	again := b.starts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Executor != first[0].Executor)
}

// Reports do not show stops that a previous owner ordered. Evicting a task while such a stop
// is in flight could exceed the disruption budget.
func TestNothingIsMovedWhileOldStopsMayBeUnderWay(t *testing.T) {
	b := newBench(t, 2)
	last := task(1000, 1)
	last.LongRunning, last.DisruptionBudget = true, 1
	b.submit("lasting", last)
	started := b.starts()
	b.report(started[0].Executor, bwexecutor.Report{Incarnation: 1, Running: b.rows(started[0].Executor, bwjob.TaskID{})})
	b.s.KeepUntil(b.now.Add(time.Second))
	b.s.Cordon(started[0].Executor, b.now.Add(time.Minute))
	assert.Equal(t, len(b.s.Schedule(b.now)), 0)
	b.pass(time.Second)
	for _, id := range b.s.Executors() {
		b.report(id, bwexecutor.Report{Incarnation: 1, Running: b.rows(id, bwjob.TaskID{})})
	}
	assert.Equal(t, len(b.s.Schedule(b.now)), 1)
}
