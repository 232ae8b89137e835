// Package bwjob implements the state machine of a job.
//
// A job has a payload and a list of steps. A step is a number of identical tasks that start
// once the steps it depends on are done. A job may run several times, as occurrences with a
// scheduled time each. The package tracks which tasks are due and how their runs ended, and
// encodes a job as a record for the store. It has no clock and no goroutines: package
// bwschedule passes it what executors report and decides where a due task runs.
package bwjob

import (
	"fmt"
	"time"
	"unicode/utf8"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
)

// Limits of a job. They keep a single submission from exhausting the scheduler's memory.
const (
	MaxSteps        = 200
	MaxTasksPerStep = 20000
	MaxOccurrences  = 10000
	// MaxTasks limits the tasks of all steps together, and those of the occurrences that are open at the
	// same time: further occurrences open as earlier ones finish.
	MaxTasks = 50000
)

// Resources is an amount of resources: the request of a task or the capacity of an executor.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64
	// MemoryMB is in megabytes.
	MemoryMB int64
	// Accelerators is a number of devices.
	Accelerators int64
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns the difference of r and o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, Accelerators: r.Accelerators - o.Accelerators}
}

// Max returns the maximum of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// Fits reports whether need does not exceed r in any resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// CountFitting returns how many times need fits in r, at most limit.
func (r Resources) CountFitting(need Resources, limit int) int {
	n := int64(limit)
	for _, amounts := range [...]struct{ free, need int64 }{{r.CPU, need.CPU}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if amounts.free < amounts.need {
			return 0
		}
		if amounts.need > 0 {
			n = min(n, amounts.free/amounts.need)
		}
	}
	return int(n)
}

// Step is a number of identical tasks.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the submitter's rough estimate of a task's duration.
	Estimate time.Duration
	// DependsOn lists the indexes of the steps whose tasks must all be done first.
	DependsOn []int
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool
	// Gang tasks work only if all of them run at the same time.
	Gang bool
	// SameRack tasks are much slower when they are spread over racks.
	SameRack bool
	// Label is a label that the executor must have; empty for any executor.
	Label string
	// DataRack is the rack in which a task runs fastest; empty for any.
	DataRack string
	// MaxPerExecutor limits the step's tasks on one executor; 0 means no limit.
	MaxPerExecutor int
	// Speculative tasks may have more than one run at the same time.
	Speculative bool
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool
	// Image names the program of the tasks; tasks of the same image behave alike.
	Image string
	// LatencyObjective is the upper bound of the response times of a latency-sensitive
	// long-running task; 0 means none.
	LatencyObjective time.Duration
	// BestEffort marks best-effort tasks, which use only CPU time that other tasks leave idle.
	BestEffort bool
	// DisruptionBudget is how many long-running tasks of the step the system may make
	// unavailable at the same time.
	DisruptionBudget int
}

// Reserved returns the resources that a task of the step reserves on an executor. Best-effort
// tasks reserve no CPU.
func (s Step) Reserved() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Need.MemoryMB, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Spec is a job as it was submitted.
type Spec struct {
	ID    string
	Queue string
	// AcceptedBy is the queue as it was when it accepted the job; the zero value if that is not known.
	AcceptedBy bwfleet.Queue
	Payload    string
	Steps      []Step
	// ScheduledOccurrences is the number of occurrences that have scheduled times. 0 means
	// that the job runs once, as soon as possible.
	ScheduledOccurrences int
	// FirstAt is the scheduled time of the first occurrence; Interval is the time between two.
	FirstAt  bwclock.Time
	Interval time.Duration
}

// OccurrenceCount returns how many times the steps run, at least 1.
func (s *Spec) OccurrenceCount() int {
	return max(1, s.ScheduledOccurrences)
}

// DueAt returns the scheduled time of an occurrence, or Never if the job has no scheduled
// occurrences.
func (s *Spec) DueAt(occurrence int) bwclock.Time {
	if s.ScheduledOccurrences == 0 {
		return bwclock.Never
	}
	return s.FirstAt.AddMillis(int64(occurrence) * s.Interval.Milliseconds())
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, step := range s.Steps {
		for _, dependency := range step.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] = bwclock.AddDurations(ends[i], step.Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

// Validate returns an error that describes the first invalid value of the submission. Decode returns a valid job as
// it was encoded.
func (s *Spec) Validate() error {
	if err := s.validateParts(); err != nil {
		return err
	}
	if n := s.taskCount(); n > MaxTasks {
		return fmt.Errorf("job has %d tasks, want at most %d", n, MaxTasks)
	}
	if !isStorable(s.Interval) {
		return fmt.Errorf("interval of %s is not in whole milliseconds", s.Interval)
	}
	for _, text := range []string{s.ID, s.Queue, s.Payload} {
		if !utf8.ValidString(text) {
			return fmt.Errorf("text %q is not valid UTF-8", text)
		}
	}
	for i, step := range s.Steps {
		if err := step.validateEncoding(); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// isStorable reports whether a record holds the duration as it is.
func isStorable(d time.Duration) bool { return d%time.Millisecond == 0 }

// validateEncoding checks that a record holds the values of the step as they are.
func (s Step) validateEncoding() error {
	if !isStorable(s.Estimate) || !isStorable(s.LatencyObjective) {
		return fmt.Errorf("estimate of %s or latency objective of %s is not in whole milliseconds", s.Estimate, s.LatencyObjective)
	}
	for _, text := range []string{s.Label, s.DataRack, s.Image} {
		if !utf8.ValidString(text) {
			return fmt.Errorf("text %q is not valid UTF-8", text)
		}
	}
	return nil
}

// validateParts checks the values that earlier versions have checked too, so that Decode accepts every job that
// one of them has accepted.
func (s *Spec) validateParts() error {
	if s.ID == "" {
		return fmt.Errorf("job has no id")
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps, want 1 to %d", len(s.Steps), MaxSteps)
	}
	if s.ScheduledOccurrences < 0 || s.ScheduledOccurrences > MaxOccurrences || s.Interval < 0 {
		return fmt.Errorf("job has %d occurrences every %s, want at most %d", s.ScheduledOccurrences, s.Interval, MaxOccurrences)
	}
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// taskCount returns the number of tasks of one occurrence.
func (s *Spec) taskCount() int {
	n := 0
	for _, step := range s.Steps {
		n += step.Count
	}
	return n
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasksPerStep)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 || s.Estimate < 0 || s.MaxPerExecutor < 0 {
		return fmt.Errorf("negative request")
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("after step %d, which is not an earlier one", dependency)
		}
	}
	return nil
}
