package bwjob_test

import (
	"encoding/base64"
	"fmt"
	"math"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	now      = bwclock.Time(1_000_000)
	attempts = 3
)

func drawSpec(t *rapid.T) *bwjob.Spec {
	spec := &bwjob.Spec{ID: "job", Queue: "q", Payload: "p", ScheduledOccurrences: rapid.IntRange(0, 2).Draw(t, "times"), Interval: time.Second}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		step := bwjob.Step{
			Count:    rapid.IntRange(1, 4).Draw(t, "count"),
			Need:     bwjob.Resources{CPU: 100, MemoryMB: 10, Accelerators: 1},
			Estimate: 100 * time.Millisecond,
			Label:    "l", Image: "i", MaxPerExecutor: 2, Checkpointing: true,
		}
		if i > 0 && rapid.Bool().Draw(t, "after") {
			step.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "before")}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// oracle is a simple reference model of a job.
type oracle struct {
	done     map[bwjob.TaskID]bool
	failures map[bwjob.TaskID]map[int]bool
}

func (o *oracle) stepDone(spec *bwjob.Spec, occurrence, step int) bool {
	for i := range spec.Steps[step].Count {
		if !o.done[bwjob.TaskID{Job: "job", Occurrence: occurrence, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// TestJobMachine applies random ends to a job, in any order and with repetitions, encodes and
// decodes it at random points, and compares it with the oracle. It guards against state that
// is lost by a reload and against ends that are counted twice.
func TestJobMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		j := bwjob.New(spec, now)
		o := &oracle{done: make(map[bwjob.TaskID]bool), failures: make(map[bwjob.TaskID]map[int]bool)}
		hasFailed := false
		firstRun := rapid.SampledFrom([]int{1, math.MaxInt32 - 2, 1 << 40}).Draw(t, "firstRun")
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if !j.IsActive() {
				break
			}
			if rapid.IntRange(0, 9).Draw(t, "reload") == 0 {
				j = reload(t, j)
			}
			j.OpenDue(now.Add(time.Hour))
			id := drawTask(t, spec)
			e := bwjob.End{Task: id, Run: firstRun + rapid.IntRange(0, 4).Draw(t, "run"),
				Kind: rapid.SampledFrom([]bwjob.EndKind{bwjob.EndDone, bwjob.EndFailed, bwjob.EndStopped, bwjob.EndLeaseExpired}).Draw(t, "kind")}
			j.RecordEnd(e, attempts)
			if o.done[id] {
				continue
			}
			switch e.Kind {
			case bwjob.EndDone:
				o.done[id] = true
			case bwjob.EndFailed:
				if o.failures[id] == nil {
					o.failures[id] = make(map[int]bool)
				}
				o.failures[id][e.Run] = true
				hasFailed = hasFailed || len(o.failures[id]) >= attempts
			}
			compare(t, j, spec, o, hasFailed)
		}
	})
}

func drawTask(t *rapid.T, spec *bwjob.Spec) bwjob.TaskID {
	step := rapid.IntRange(0, len(spec.Steps)-1).Draw(t, "step")
	return bwjob.TaskID{Job: "job", Occurrence: rapid.IntRange(0, spec.OccurrenceCount()-1).Draw(t, "occurrence"), Step: step,
		Index: rapid.IntRange(0, spec.Steps[step].Count-1).Draw(t, "index")}
}

func reload(t *rapid.T, j *bwjob.Job) *bwjob.Job {
	data, err := j.Encode()
	assert.NilError(t, err)
	decoded, err := bwjob.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Spec(), j.Spec())
	return decoded
}

func compare(t *rapid.T, j *bwjob.Job, spec *bwjob.Spec, o *oracle, hasFailed bool) {
	allDone := true
	for k := range spec.OccurrenceCount() {
		for i := range spec.Steps {
			allDone = allDone && o.stepDone(spec, k, i)
		}
	}
	switch {
	case hasFailed:
		assert.Equal(t, j.Phase(), bwjob.Phase_failed)
	case allDone:
		assert.Equal(t, j.Phase(), bwjob.Phase_done)
	default:
		assert.Equal(t, j.Phase(), bwjob.Phase_active)
	}
	j.EachDueStep(func(oc *bwjob.Occurrence, step int) {
		for _, dependency := range spec.Steps[step].DependsOn {
			assert.Assert(t, o.stepDone(spec, oc.Index(), dependency), "step %d is due before step %d is done", step, dependency)
		}
		for i := range oc.Tasks(step) {
			id := bwjob.TaskID{Job: "job", Occurrence: oc.Index(), Step: step, Index: i}
			assert.Equal(t, oc.Tasks(step)[i].IsDone(), o.done[id], fmt.Sprint(id))
			assert.Equal(t, oc.Tasks(step)[i].Failures(), len(o.failures[id]))
		}
	})
}

// Each run counts once, also after a reload, and only crashes that point at the task fail its job.
func TestCrashesFailJobOnlyWithEvidence(t *testing.T) {
	id := bwjob.TaskID{Job: "job"}
	shared, alone, late := bwjob.Crash{IsEarly: true}, bwjob.Crash{IsEarly: true, IsAlone: true}, bwjob.Crash{}
	lateAlone := bwjob.Crash{IsAlone: true}
	for _, c := range []struct {
		name    string
		crashes []bwjob.Crash
		want    bwjob.Phase
	}{
		{"two", []bwjob.Crash{alone, alone}, bwjob.Phase_active},
		{"third alone", []bwjob.Crash{shared, shared, alone}, bwjob.Phase_failed},
		{"third shared", []bwjob.Crash{shared, shared, shared}, bwjob.Phase_active},
		{"four early", []bwjob.Crash{shared, shared, shared, shared}, bwjob.Phase_failed},
		{"many late", []bwjob.Crash{late, late, late, late, late, late}, bwjob.Phase_active},
		{"late and alone once", []bwjob.Crash{late, late, lateAlone}, bwjob.Phase_active},
		{"late and alone twice", []bwjob.Crash{late, late, lateAlone, lateAlone}, bwjob.Phase_failed},
	} {
		for _, reloaded := range []bool{false, true} {
			j := bwjob.New(&bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: 2}}}, now)
			j.OpenDue(now)
			j.OpenReported(0)
			for i, crash := range c.crashes {
				crash.Run = i + 1
				assert.Equal(t, j.RecordCrash(id, crash), true)
				assert.Equal(t, j.IsActive() && j.RecordCrash(id, crash), false, "%s: counted twice", c.name)
				if reloaded && j.IsActive() {
					data, err := j.Encode()
					assert.NilError(t, err)
					j, err = bwjob.Decode(data)
					assert.NilError(t, err)
					assert.Assert(t, j.Task(id).Run() >= crash.Run)
				}
			}
			assert.Equal(t, j.Phase(), c.want, c.name)
		}
	}
}

// Early crashes in a row end the attempts to start a long-running task, also after a reload. Its job fails with the last of its tasks.
func TestCrashesGiveUpLongRunningTaskOnlyWithEvidence(t *testing.T) {
	id := bwjob.TaskID{Job: "job"}
	early, late, worked := bwjob.Crash{IsEarly: true, IsAlone: true}, bwjob.Crash{IsAlone: true}, bwjob.Crash{IsAlone: true, HasWorked: true}
	for _, c := range []struct {
		name    string
		crashes []bwjob.Crash
		want    bool
	}{
		{"three early", []bwjob.Crash{early, early, early}, false},
		{"four early", []bwjob.Crash{early, early, early, early}, true},
		{"late", []bwjob.Crash{late, late, late, late, late, late}, false},
		{"worked", []bwjob.Crash{worked, worked, worked, worked, worked, worked}, false},
		{"worked in between", []bwjob.Crash{early, early, early, worked, early, early, early}, false},
		{"worked before", []bwjob.Crash{worked, early, early, early, early}, true},
	} {
		for _, tasks := range []int{1, 2} {
			for _, reloaded := range []bool{false, true} {
				j := bwjob.New(&bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: tasks, LongRunning: true}}}, now)
				j.OpenDue(now)
				for i, crash := range c.crashes {
					crash.Run = i + 1
					assert.Equal(t, j.RecordCrash(id, crash), true)
					if reloaded && j.IsActive() {
						data, err := j.Encode()
						assert.NilError(t, err)
						j, err = bwjob.Decode(data)
						assert.NilError(t, err)
						j.OpenDue(now)
					}
				}
				if c.want && tasks == 1 {
					assert.Equal(t, j.Phase(), bwjob.Phase_failed, c.name)
					continue
				}
				assert.Equal(t, j.Phase(), bwjob.Phase_active, c.name)
				assert.Equal(t, j.Task(id).IsWaiting(), !c.want, c.name)
				waiting := tasks
				if c.want {
					waiting--
				}
				assert.Equal(t, j.Occurrence(0).CountWaiting(0), waiting, c.name)
				assert.Equal(t, j.Occurrence(0).CountUnfinished(0), waiting, c.name)
			}
		}
	}
}

func TestEndedJobKeepsOnlyIDAndQueue(t *testing.T) {
	j := bwjob.New(&bwjob.Spec{ID: "job", Queue: "q", Payload: "long", Steps: []bwjob.Step{{Count: 1}}}, now)
	j.Cancel()
	data, err := j.Encode()
	assert.NilError(t, err)
	decoded, err := bwjob.Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Phase(), bwjob.Phase_cancelled)
	assert.DeepEqual(t, decoded.Spec(), &bwjob.Spec{ID: "job", Queue: "q"})
}

func TestCriticalPathFollowsDependencies(t *testing.T) {
	spec := &bwjob.Spec{Steps: []bwjob.Step{
		{Count: 1, Estimate: time.Second}, {Count: 1, Estimate: 3 * time.Second}, {Count: 1, Estimate: time.Second, DependsOn: []int{0}}}}
	assert.Equal(t, spec.CriticalPath(), 3*time.Second)
}

// Guards against a small submission that takes the memory of a whole process: many wide steps, or many
// wide occurrences that are due at once.
func TestTasksOfOneJobAreLimited(t *testing.T) {
	wide := &bwjob.Spec{ID: "job", Queue: "q"}
	for range bwjob.MaxSteps {
		wide.Steps = append(wide.Steps, bwjob.Step{Count: bwjob.MaxTasksPerStep})
	}
	assert.ErrorContains(t, wide.Validate(), "job has 4000000 tasks")
	repeated := &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: bwjob.MaxTasksPerStep}}, ScheduledOccurrences: bwjob.MaxOccurrences, Interval: time.Millisecond}
	assert.NilError(t, repeated.Validate())
	j := bwjob.New(repeated, now)
	countOpen := func() int {
		j.OpenDue(now.Add(time.Hour))
		n := 0
		j.EachOpenOccurrence(func(*bwjob.Occurrence) { n++ })
		return n
	}
	limit := bwjob.MaxTasks / bwjob.MaxTasksPerStep
	assert.Equal(t, countOpen(), limit)
	// The next occurrence opens when one has finished.
	for i := range bwjob.MaxTasksPerStep {
		j.RecordEnd(bwjob.End{Task: bwjob.TaskID{Job: "job", Index: i}, Run: 1, Kind: bwjob.EndDone}, 2)
	}
	assert.Equal(t, countOpen(), limit)
	assert.Assert(t, j.Occurrence(0) == nil && j.Occurrence(limit) != nil)
	// An end that an executor reports counts whatever the limit.
	late := bwjob.TaskID{Job: "job", Occurrence: 100}
	j.OpenReported(late.Occurrence)
	assert.Assert(t, j.RecordEnd(bwjob.End{Task: late, Run: 1, Kind: bwjob.EndDone}, 2))
	j.OpenReported(1 << 40)
	assert.Assert(t, j.Occurrence(1<<40) == nil)
}

func FuzzDecode(f *testing.F) {
	data, err := bwjob.New(&bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}, now).Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := bwjob.Decode(data)
		if err != nil {
			return
		}
		j.OpenDue(now)
		j.EachDueStep(func(*bwjob.Occurrence, int) {})
		_, err = j.Encode()
		_ = err
	})
}

// Guards against a record of an earlier version that loses what it says. Such a record lacks the queue
// that accepted the job and whether a run has begun.
func TestRecordOfAnEarlierVersionIsRead(t *testing.T) {
	const record = "CgNqb2ISAXEaAXAiCAgCEPQDKOgHQMCEPVoUEhIiAQEoAToBAkIICAMSAmUxGAc="
	data, err := base64.StdEncoding.DecodeString(record)
	assert.NilError(t, err)
	j, err := bwjob.Decode(data)
	assert.NilError(t, err)
	assert.Assert(t, j.IsActive() && j.HasStarted())
	assert.Assert(t, j.IsOf(bwfleet.Queue{Name: "q"}) && !j.IsOf(bwfleet.Queue{Name: "other"}))
	assert.Equal(t, j.Spec().AcceptedBy, bwfleet.Queue{})
	task := bwjob.TaskID{Job: "job"}
	assert.Assert(t, j.HasFailed(task, 1) && !j.HasFailed(task, 3))
	assert.Equal(t, j.Task(task).Crashes(), 1)
	p, ok := j.Task(task).Probation()
	assert.Assert(t, ok)
	assert.Equal(t, p, bwjob.Probation{Run: 3, Executor: "e1", Incarnation: 7})
}
