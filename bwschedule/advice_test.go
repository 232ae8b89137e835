package bwschedule_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := bwseed.Configure("60"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// adviser is a model of the policy service and of the executors that check its tickets.
type adviser struct {
	h     *harness
	times bwfleet.AdviceTimes
	// countsFromCall is set if tickets are valid from the call, not from the reply.
	countsFromCall bool
	isAllowed      func(executor string) bool

	request   bwschedule.AdviceRequest
	isCalled  bool
	calledAt  bwclock.Time
	expiries  map[string]bwclock.Time
	calls     int
	refusals  int
	started   map[bwjob.TaskID]bool
	mostNamed int
}

func newAdviser(t *testing.T, executors int, times bwfleet.AdviceTimes) *adviser {
	a := &adviser{h: newHarness(t, executors), times: times, expiries: make(map[string]bwclock.Time), started: make(map[bwjob.TaskID]bool),
		isAllowed: func(string) bool { return true }}
	a.h.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 2, NeedsAdvice: true, Advice: times}})
	return a
}

func (a *adviser) duration() time.Duration {
	return a.times.Decision + time.Duration(len(a.request.Executors))*a.times.PerExecutor
}

// run plays the service, the executors and scheduling passes for at most d, or until tasks have started.
func (a *adviser) run(d time.Duration, tasks int) {
	for end := a.h.now.Add(d); a.h.now.Before(end) && len(a.started) < tasks; a.h.advance(10 * time.Millisecond) {
		a.answer()
		if a.h.now.Millis()%500 == 0 {
			for _, id := range a.h.s.ExecutorIDs() {
				a.h.report(id, bwexecutor.Report{Incarnation: a.h.s.Executor(id).Incarnation(), Running: a.h.statuses(id, bwjob.TaskID{})})
			}
		}
		for _, o := range a.h.s.Schedule(a.h.now) {
			a.order(o)
		}
		if request, ok := a.h.s.NextAdviceRequest(); ok {
			a.request, a.isCalled, a.calledAt = request, true, a.h.now
			a.calls++
			a.mostNamed = max(a.mostNamed, len(request.Executors))
		}
	}
}

func (a *adviser) answer() {
	if !a.isCalled || a.h.now.Before(a.calledAt.Add(a.duration())) {
		return
	}
	a.isCalled = false
	tickets := make(map[string]string)
	issuedAt := a.h.now
	if a.countsFromCall {
		issuedAt = a.calledAt
	}
	for _, id := range a.request.Executors {
		if a.isAllowed(id) {
			tickets[id] = fmt.Sprintf("%s-%d", id, a.calls)
			a.expiries[tickets[id]] = issuedAt.Add(a.times.TicketLifetime)
		}
	}
	a.h.s.HandleAdvice(a.request, bwschedule.Advice{Tickets: tickets, ValidFor: a.times.TicketLifetime}, true, a.calledAt, a.h.now)
}

func (a *adviser) order(o bwschedule.Order) {
	if o.Kind != bwschedule.Start || !a.h.now.Before(a.expiries[o.Ticket]) {
		a.refusals++
		a.h.s.HandleResult(o, bwschedule.TicketRefused, a.h.now)
		return
	}
	a.started[o.Task] = true
	a.h.s.HandleResult(o, bwschedule.Accepted, a.h.now)
}

// Guards against a job that never starts because a reply for all executors takes longer than its tickets are valid.
func TestJobStartsWhateverAdviceTakes(t *testing.T) {
	for executors := 1; executors <= 120; executors += 7 {
		for _, times := range []bwfleet.AdviceTimes{
			{Decision: 250 * time.Millisecond, PerExecutor: 170 * time.Millisecond, TicketLifetime: 3 * time.Second},
			{Decision: 250 * time.Millisecond, PerExecutor: 82 * time.Millisecond, TicketLifetime: 3 * time.Second},
			{Decision: 2 * time.Second, PerExecutor: 5 * time.Millisecond, TicketLifetime: 3 * time.Second},
			{Decision: 20 * time.Millisecond, PerExecutor: 2 * time.Second, TicketLifetime: 3 * time.Second},
		} {
			for _, countsFromCall := range []bool{true, false} {
				a := newAdviser(t, executors, times)
				a.countsFromCall = countsFromCall
				a.h.submit("j", newStep(1000, 2))
				a.run(6*time.Second, 2)
				assert.Equal(t, len(a.started), 2, "%d executors, %+v, countsFromCall=%t, %d calls, %d refused", executors, times, countsFromCall, a.calls, a.refusals)
				assert.Equal(t, a.refusals, 0)
			}
		}
	}
}

// Guards against executors that are never named, whatever the times of the service and the part that it allows.
func TestAllowedExecutorIsFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(rt, name)) * time.Millisecond
		}
		executors := rapid.IntRange(1, 150).Draw(rt, "executors")
		times := bwfleet.AdviceTimes{Decision: millis("decision", 0, 4000), PerExecutor: millis("perExecutor", 0, 1000), TicketLifetime: millis("lifetime", 200, 8000)}
		a := newAdviser(t, executors, times)
		only := fmt.Sprintf("e%d", rapid.IntRange(0, executors-1).Draw(rt, "allowed"))
		a.isAllowed = func(id string) bool { return id == only }
		a.h.submit("j", newStep(1000, 2))
		// Naming each executor in a call of its own takes longest. The scheduler repeats a call for a step after 0.5 s.
		a.run(time.Duration(executors+1)*max(times.Decision+times.PerExecutor+20*time.Millisecond, 520*time.Millisecond), 2)
		assert.Equal(rt, len(a.started), 2, "%d executors, %+v, %d calls", executors, times, a.calls)
		assert.Equal(rt, a.refusals, 0)
		assert.Assert(rt, a.mostNamed <= 100)
	})
}

// Guards against a gang that needs more tickets at the same time than one request is for.
func TestGangGetsAllItsTickets(t *testing.T) {
	times := bwfleet.AdviceTimes{Decision: 250 * time.Millisecond, PerExecutor: 170 * time.Millisecond, TicketLifetime: 3 * time.Second}
	for _, tasks := range []int{2, 7, 8, 12, 30} {
		a := newAdviser(t, 40, times)
		gang := newStep(4000, tasks)
		gang.Gang = true
		a.h.submit("j", gang)
		a.run(10*time.Second, tasks)
		assert.Equal(t, len(a.started), tasks)
	}
}

// Guards against an executor that has restarted and is taken for the one that the policy service spoke of.
func TestAdviceHoldsForOneIncarnation(t *testing.T) {
	times := bwfleet.AdviceTimes{Decision: 10 * time.Millisecond, PerExecutor: time.Millisecond, TicketLifetime: 3 * time.Second}
	a := newAdviser(t, 1, times)
	a.isAllowed = func(string) bool { return false }
	a.h.submit("j", newStep(1000, 1))
	a.run(200*time.Millisecond, 1)
	assert.Equal(t, a.calls, 1)
	a.isAllowed = func(string) bool { return true }
	a.h.s.Register(bwexecutor.Registration{ID: "e0", Incarnation: 2, Pool: "p", Rack: "re0", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 8000}})
	a.h.report("e0", bwexecutor.Report{Incarnation: 2})
	a.run(600*time.Millisecond, 1)
	assert.Equal(t, len(a.started), 1)
}
