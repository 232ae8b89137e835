// Package bwjob is the state machine of a job.
//
// A job is a payload and steps; a step is a number of equal tasks that start once the
// steps before it are done. A job may run several times, as occurrences that each have a
// time. The package knows which tasks are due, counts how their runs ended, and turns the
// job into a record and back. It has no clock and no goroutines: package bwschedule feeds
// it with what executors report and decides where a due task runs.
package bwjob

import (
	"fmt"
	"time"

	"basilwood.example/basilwood/bwclock"
)

// Limits of a job. They keep one submission from occupying the scheduler's memory.
const (
	MaxSteps        = 200
	MaxTasksPerStep = 20000
	MaxOccurrences  = 10000
)

// Resources is what a task requests or an executor has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64
	// MemoryMB is in megabytes.
	MemoryMB int64
	// Accelerators is a count.
	Accelerators int64
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Max returns the larger of r and o in each kind.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether need is no more than r in each kind.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Step is a number of equal tasks.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the submitter's rough idea of a task's duration.
	Estimate time.Duration
	// After lists the steps whose tasks must all be done first.
	After []int
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool
	// Gang tasks work only together.
	Gang bool
	// SameRack tasks are much slower when they are spread over racks.
	SameRack bool
	// Label is one that the executor must have; empty for any.
	Label string
	// DataRack is the rack where a task is fastest; empty for any.
	DataRack string
	// MaxPerExecutor limits the step's tasks on one executor; 0 is no limit.
	MaxPerExecutor int
	// Speculative tasks may run more than once at the same time.
	Speculative bool
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// LatencyObjective bounds the response times of a long-running task; 0 is none.
	LatencyObjective time.Duration
	// Fills marks tasks that use only the processor time that others leave.
	Fills bool
	// DisruptionBudget is how many long-running tasks the system may make unavailable at
	// the same time.
	DisruptionBudget int
}

// Reserved returns what a task of the step takes from an executor's capacity.
func (s Step) Reserved() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Spec is a job as it was submitted.
type Spec struct {
	ID      string
	Queue   string
	Payload string
	Steps   []Step
	// Times is the number of occurrences; 0 is a job without times.
	Times int
	// First and Interval give the times of the occurrences.
	First    bwclock.Time
	Interval time.Duration
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int {
	return max(1, s.Times)
}

// DueAt returns when an occurrence may start; Never for a job without times.
func (s *Spec) DueAt(occurrence int) bwclock.Time {
	if s.Times == 0 {
		return bwclock.Never
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// LongestChain returns the duration of the longest chain of steps by the estimates.
func (s *Spec) LongestChain() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, step := range s.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns an error that names the first fault of the submission.
func (s *Spec) Validate() error {
	if s.ID == "" {
		return fmt.Errorf("job has no id")
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.Times < 0 || s.Times > MaxOccurrences || s.Interval < 0 {
		return fmt.Errorf("job has %d occurrences every %s, want at most %d", s.Times, s.Interval, MaxOccurrences)
	}
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasksPerStep)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.MaxPerExecutor < 0 {
		return fmt.Errorf("negative request")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fmt.Errorf("after step %d, which is not an earlier one", before)
		}
	}
	return nil
}
