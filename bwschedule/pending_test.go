package bwschedule_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwschedule"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// pending returns the number of pending jobs of the harness's queue.
func (h *harness) pending() int { return h.s.CountPendingJobs(bwfleet.Queue{Name: "q"}) }

// settleStops accepts the stops of starts that may have reached a restarted executor, and reports that nothing runs.
func (h *harness) settleStops(id string) {
	for _, o := range h.s.Schedule(h.now) {
		if o.Kind == bwschedule.Stop {
			h.s.HandleResult(o, bwschedule.Accepted, h.now)
		}
	}
	h.advance(10 * time.Millisecond)
	h.report(id, bwexecutor.Report{Incarnation: h.s.Executor(id).Incarnation()})
}

// Guards against a job that counts as started, or as not started, because a new owner takes an ordered
// start for a run or forgets a run.
func TestPendingJobsAreKnownAfterHandOver(t *testing.T) {
	for name, c := range map[string]struct {
		result bwschedule.Result
		// hasCrashed is set if the executor of the ordered run crashes.
		hasCrashed bool
		pending    int
	}{
		"refused":                {bwschedule.Unhealthy, false, 1},
		"unsent":                 {bwschedule.NotSent, false, 1},
		"unanswered and crashed": {bwschedule.Unanswered, true, 1},
		"accepted":               {bwschedule.Accepted, false, 0},
		"accepted and crashed":   {bwschedule.Accepted, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.submit("j", newStep(1000, 1))
			orders := h.s.Schedule(h.now)
			assert.Equal(t, len(orders), 1)
			h.s.HandleResult(orders[0], c.result, h.now)
			if c.hasCrashed {
				h.crash("e0")
				h.settleStops("e0")
			}
			assert.Equal(t, h.pending(), c.pending)
			first := h.handOver("j")
			assert.Equal(t, first.pending(), c.pending)
			assert.Equal(t, first.handOver("j").pending(), c.pending)
		})
	}
}

// Guards against a job that stays pending although a run of it has ended whose start got no answer.
func TestLateEndShowsThatAJobHasStarted(t *testing.T) {
	for _, kind := range []bwjob.EndKind{bwjob.EndFailed, bwjob.EndStopped, bwjob.EndLeaseExpired} {
		h := newHarness(t, 1)
		h.submit("j", newStep(1000, 1))
		orders := h.s.Schedule(h.now)
		h.s.HandleResult(orders[0], bwschedule.Unanswered, h.now)
		assert.Equal(t, h.pending(), 1)
		h.reportEndOf("e0", bwjob.End{Task: orders[0].Task, Run: orders[0].Run, Kind: kind})
		assert.Equal(t, h.pending(), 0)
	}
}

// Guards against a gang that counts as started although none of its members was, and against one that
// counts as pending although a member runs.
func TestGangIsPendingUntilAMemberHasStarted(t *testing.T) {
	gang := newStep(3000, 2)
	gang.Gang = true
	h := newHarness(t, 2)
	h.submit("j", gang)
	orders := h.s.Schedule(h.now)
	assert.Equal(t, len(orders), 2)
	h.s.HandleResult(orders[0], bwschedule.Unhealthy, h.now)
	assert.Equal(t, h.pending(), 1)
	h.s.HandleResult(orders[1], bwschedule.Accepted, h.now)
	assert.Equal(t, h.pending(), 0)
}

// Guards against a run that is listed but does not count as begun, because its job has another one.
func TestOrphanedRunShowsThatAJobHasStarted(t *testing.T) {
	h := newHarness(t, 2)
	h.submit("j", newStep(1000, 1))
	o := h.s.Schedule(h.now)[0]
	other := "e0"
	if o.Executor == other {
		other = "e1"
	}
	h.report(other, bwexecutor.Report{Incarnation: 1, Running: []bwexecutor.RunStatus{{Task: o.Task, Run: o.Run}}})
	assert.Equal(t, h.pending(), 0)
}

// Guards against jobs of an earlier version, whose records do not say whether a run has begun, that
// count as pending although a run has ended.
func TestEndedRunOfEarlierVersionShowsThatAJobHasStarted(t *testing.T) {
	h := newHarness(t, 1)
	h.submit("j", newStep(1000, 2))
	orders := h.scheduleStarts()
	h.reportEnd(orders[0], bwjob.EndDone)
	data, err := h.s.Job("j").Encode()
	assert.NilError(t, err)
	var r bwjob.Record
	assert.NilError(t, proto.Unmarshal(data, &r))
	r.Started = nil
	data, err = proto.Marshal(&r)
	assert.NilError(t, err)
	j, err := bwjob.Decode(data)
	assert.NilError(t, err)
	assert.Assert(t, j.HasStarted())
}

// Guards against a refused start that a new owner takes for a run that its executor has lost in a crash.
func TestRefusedStartIsNoCrash(t *testing.T) {
	for name, result := range map[string]bwschedule.Result{
		"unhealthy": bwschedule.Unhealthy, "unsent": bwschedule.NotSent, "too old": bwschedule.RunTooOld, "other incarnation": bwschedule.OtherIncarnation,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			j := h.submit("j", newStep(1000, 1))
			h.crash(h.scheduleStarts()[0].Executor)
			assert.Equal(t, j.Task(bwjob.TaskID{Job: "j"}).Crashes(), 1)
			h.advance(time.Second)
			h.reportAll()
			orders := h.s.Schedule(h.now)
			assert.Equal(t, len(orders), 1)
			h.s.HandleResult(orders[0], result, h.now)
			assert.Assert(t, h.s.NeedsFlush())
			h.crash(orders[0].Executor)
			n := h.handOver("j")
			assert.Equal(t, n.s.Job("j").Task(bwjob.TaskID{Job: "j"}).Crashes(), 1)
		})
	}
}
