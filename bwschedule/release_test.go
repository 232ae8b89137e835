package bwschedule_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// loggedHarness is a harness that keeps the log lines and the reasons of releases.
type loggedHarness struct {
	*harness
	log      strings.Builder
	released []string
}

func newLoggedHarness(t *testing.T, executors int) *loggedHarness {
	h := &loggedHarness{harness: newHarness(t, 0)}
	h.s = bwschedule.New(hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &h.log}),
		bwschedule.WithOnRelease(func(reason string) { h.released = append(h.released, reason) }))
	h.s.SetQueues([]bwfleet.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 2, ObjectiveOffset: time.Second}})
	for i := range executors {
		h.register(fmt.Sprintf("e%d", i), bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	}
	return h
}

// lines returns the lines with a message.
func (h *loggedHarness) lines(message string) []map[string]any {
	var found []map[string]any
	for _, text := range strings.Split(strings.TrimSpace(h.log.String()), "\n") {
		var fields map[string]any
		assert.NilError(h.t, json.Unmarshal([]byte(text), &fields))
		if fields["@message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// startOne submits a job of one task and returns its start order, which is in flight.
func (h *loggedHarness) startOne() bwschedule.Order {
	h.submit("job", newStep(1000, 1))
	orders := h.s.Schedule(h.now)
	assert.Equal(h.t, len(orders), 1)
	return orders[0]
}

func TestReleaseWithoutReportedEndIsLogged(t *testing.T) {
	for reason, release := range map[string]func(h *loggedHarness, o bwschedule.Order){
		"lease has ended": func(h *loggedHarness, _ bwschedule.Order) {
			h.advance(5 * time.Second)
			h.s.Expire(h.now, h.now)
		},
		"executor has restarted": func(h *loggedHarness, o bwschedule.Order) {
			h.report(o.Executor, bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run}}})
			h.report(o.Executor, bwexecutor.Report{Incarnation: 2})
		},
		"stop acknowledged and run not listed": func(h *loggedHarness, o bwschedule.Order) {
			h.s.HandleResult(bwschedule.Order{Kind: bwschedule.Stop, Executor: o.Executor, Task: o.Task, Run: o.Run}, bwschedule.Accepted, h.now)
			h.advance(10 * time.Millisecond)
			h.report(o.Executor, bwexecutor.Report{Incarnation: 1})
		},
	} {
		h := newLoggedHarness(t, 1)
		o := h.startOne()
		h.s.HandleResult(o, bwschedule.Unanswered, h.now)
		release(h, o)
		lines := h.lines("task released")
		assert.Equal(t, len(lines), 1, reason)
		for field, want := range map[string]any{
			"job": "job", "task": "0.0.0", "run": 1.0, "executor": "e0", "incarnation": 1.0, "reason": reason, "orphaned": false,
			"phase": map[bool]string{true: "running", false: "indeterminate"}[reason == "executor has restarted"],
		} {
			assert.Equal(t, lines[0][field], want, "%s: %s", reason, field)
		}
		for _, field := range []string{"sinceOrdered", "sinceStopAcknowledged", "reportAge", "leaseLeft"} {
			assert.Assert(t, lines[0][field] != nil, "%s: %s", reason, field)
		}
		assert.DeepEqual(t, h.released, []string{reason})
	}
}

func TestRefusedStartIsLoggedOnceWithItsEvidence(t *testing.T) {
	h := newLoggedHarness(t, 1)
	o := h.startOne()
	h.advance(40 * time.Millisecond)
	h.s.HandleResult(o, bwschedule.Fenced, h.now, "why", "status 409 fence")
	lines := h.lines("order not accepted")
	assert.Equal(t, len(lines), 1)
	for field, want := range map[string]any{
		"run": 1.0, "executor": "e0", "result": "fenced", "why": "status 409 fence", "incarnation": 1.0, "phase": "starting",
		"sinceOrdered": "40ms", "reportAge": "40ms", "leaseLeft": "3.46s",
	} {
		assert.Equal(t, lines[0][field], want, field)
	}
	assert.Equal(t, len(h.lines("task released")), 0)
	assert.DeepEqual(t, h.released, []string{"start refused"})
}

func TestAnswerToStartOfReleasedRunIsLogged(t *testing.T) {
	h := newLoggedHarness(t, 1)
	o := h.startOne()
	h.s.HandleReport(o.Executor, bwexecutor.Report{Incarnation: 2}, h.now, h.now)
	h.s.HandleResult(o, bwschedule.Accepted, h.now)
	lines := h.lines("start of a released run answered")
	assert.Equal(t, len(lines), 1)
	for field, want := range map[string]any{"job": "job", "run": 1.0, "executor": "e0", "result": "accepted", "assignedTo": "", "highestRun": 1.0, "incarnation": 2.0} {
		assert.Equal(t, lines[0][field], want, field)
	}
}

func TestAnswerToStartOfEndedRunIsNotLogged(t *testing.T) {
	h := newLoggedHarness(t, 1)
	o := h.startOne()
	h.reportEnd(o, bwjob.EndFailed)
	h.s.HandleResult(o, bwschedule.Accepted, h.now)
	assert.Equal(t, len(h.lines("start of a released run answered")), 0)
}

func TestFirstReportOfEachIncarnationIsLogged(t *testing.T) {
	h := newLoggedHarness(t, 0)
	h.s.AwaitExecutor("e0", h.now.Add(time.Minute))
	h.register("e0", bwjob.Resources{CPU: 4000, MemoryMB: 8000})
	h.report("e0", bwexecutor.Report{Incarnation: 1})
	running := []bwexecutor.RunStatus{{Task: bwjob.TaskID{Job: "other"}, Run: 3}}
	h.report("e0", bwexecutor.Report{Incarnation: 2, Running: running})
	lines := h.lines("executor has reported for the first time")
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[0]["awaited"], true)
	assert.Equal(t, lines[0]["awaitedExecutors"], 1.0)
	assert.Equal(t, lines[1]["executor"], "e0")
	assert.Equal(t, lines[1]["incarnation"], 2.0)
	assert.Equal(t, lines[1]["runs"], 1.0)
	restarts := h.lines("executor has restarted")
	assert.Equal(t, len(restarts), 1)
	assert.Equal(t, restarts[0]["previous"], 1.0)
}
