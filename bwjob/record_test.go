package bwjob_test

import (
	"math"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawNumber returns a small number, or any that is not negative.
func drawNumber(t *rapid.T, name string) int {
	return rapid.OneOf(rapid.IntRange(0, 3), rapid.IntMin(0)).Draw(t, name)
}

// drawDuration returns whole milliseconds, or rarely any duration.
func drawDuration(t *rapid.T, name string) time.Duration {
	if rapid.IntRange(0, 30).Draw(t, name+"IsExact") == 0 {
		return time.Duration(rapid.Int64().Draw(t, name))
	}
	return bwclock.Milliseconds(rapid.Int64Min(0).Draw(t, name))
}

func drawText(t *rapid.T, name string) string {
	if rapid.IntRange(0, 30).Draw(t, name+"IsBytes") == 0 {
		return string(rapid.SliceOfN(rapid.Byte(), 1, 4).Draw(t, name))
	}
	return rapid.StringN(0, 4, -1).Draw(t, name)
}

// drawAnySpec draws all fields of a submission, most of them valid.
func drawAnySpec(t *rapid.T) *bwjob.Spec {
	spec := &bwjob.Spec{
		ID: "j" + drawText(t, "id"), Queue: drawText(t, "queue"), Payload: drawText(t, "payload"),
		ScheduledOccurrences: rapid.IntRange(0, bwjob.MaxOccurrences).Draw(t, "times"),
		FirstAt:              bwclock.Time(rapid.Int64().Draw(t, "first")),
		Interval:             drawDuration(t, "interval"),
		AcceptedBy: bwfleet.Queue{
			Host: "h", Prefix: "/p/", Priority: rapid.Int().Draw(t, "priority"), MaxAttempts: rapid.Int().Draw(t, "attempts"),
			Stretch: rapid.Float64().Draw(t, "stretch"), ObjectiveOffset: bwclock.Milliseconds(rapid.Int64().Draw(t, "offset")),
			NeedsAdvice: rapid.Bool().Draw(t, "advice"),
			Advice: bwfleet.AdviceTimes{Decision: bwclock.Milliseconds(rapid.Int64().Draw(t, "decision")),
				PerExecutor: bwclock.Milliseconds(rapid.Int64().Draw(t, "perExecutor")), TicketLifetime: bwclock.Milliseconds(rapid.Int64().Draw(t, "lifetime"))},
		},
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := bwjob.Step{
			Count: rapid.IntRange(1, 1000).Draw(t, "count"),
			Need: bwjob.Resources{CPU: int64(drawNumber(t, "cpu")), MemoryMB: int64(drawNumber(t, "memory")),
				Accelerators: int64(drawNumber(t, "accelerators"))},
			Estimate: drawDuration(t, "estimate"), LatencyObjective: drawDuration(t, "objective"),
			Label: drawText(t, "label"), DataRack: drawText(t, "rack"), Image: drawText(t, "image"),
			MaxPerExecutor: drawNumber(t, "maxPerExecutor"), DisruptionBudget: rapid.Int().Draw(t, "budget"),
			Checkpointing: rapid.Bool().Draw(t, "checkpointing"), Gang: rapid.Bool().Draw(t, "gang"), SameRack: rapid.Bool().Draw(t, "sameRack"),
			Speculative: rapid.Bool().Draw(t, "speculative"), LongRunning: rapid.Bool().Draw(t, "longRunning"), BestEffort: rapid.Bool().Draw(t, "fills"),
		}
		for dependency := range i {
			if rapid.Bool().Draw(t, "after") {
				step.DependsOn = append(step.DependsOn, dependency)
			}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// Guards against an accepted job that is another one, or none, once a node reads it from the store.
func TestValidJobIsDecodedAsItWasEncoded(t *testing.T) {
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		spec := drawAnySpec(t)
		if spec.Validate() != nil {
			return
		}
		valid++
		reload(t, bwjob.New(spec, bwclock.Time(rapid.Int64().Draw(t, "accepted"))))
	})
	assert.Assert(t, valid > 0)
}

// Guards against numbers of runs that differ after a reload.
func TestRunNumbersAreDecodedAsTheyWereEncoded(t *testing.T) {
	for _, run := range []int{1, math.MaxInt32, math.MaxInt32 + 1, math.MaxInt64 - 1} {
		spec := &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: 3}}}
		j := bwjob.New(spec, now)
		j.OpenDue(now)
		failed, done := bwjob.TaskID{Job: "job"}, bwjob.TaskID{Job: "job", Index: 1}
		j.RecordEnd(bwjob.End{Task: failed, Run: run, Kind: bwjob.EndFailed}, attempts)
		j.RecordEnd(bwjob.End{Task: done, Run: run, Kind: bwjob.EndDone}, attempts)
		data, err := j.Encode()
		assert.NilError(t, err)
		decoded, err := bwjob.Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, decoded.Task(failed).Run(), run)
		assert.Equal(t, decoded.Task(done).Run(), run)
		decoded.RecordEnd(bwjob.End{Task: failed, Run: run, Kind: bwjob.EndFailed}, attempts)
		assert.Equal(t, decoded.Task(failed).Failures(), 1)
	}
}

// Guards against times far in the future that are taken for the past, so that an occurrence starts at once.
func TestDueTimesDoNotOverflow(t *testing.T) {
	for _, spec := range []*bwjob.Spec{
		{FirstAt: now, Interval: bwclock.Milliseconds(math.MaxInt64), ScheduledOccurrences: bwjob.MaxOccurrences},
		{FirstAt: math.MaxInt64 - 10, Interval: time.Hour, ScheduledOccurrences: bwjob.MaxOccurrences},
	} {
		for _, k := range []int{1, 2, bwjob.MaxOccurrences - 1} {
			assert.Assert(t, !spec.DueAt(k).Before(now.Add(time.Hour)), "occurrence %d is due at %d", k, spec.DueAt(k).Millis())
		}
	}
}

// Guards against an estimate that becomes negative when the steps of a job are added.
func TestCriticalPathDoesNotOverflow(t *testing.T) {
	long := bwjob.Step{Count: 1, Estimate: bwclock.Milliseconds(math.MaxInt64)}
	next := long
	next.DependsOn = []int{0}
	spec := &bwjob.Spec{Steps: []bwjob.Step{long, next}}
	assert.Assert(t, spec.CriticalPath() >= long.Estimate)
}
