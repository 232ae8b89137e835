package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
)

const (
	fullPace = 100
	// unknownPace marks a run whose latest pace order was not accepted.
	unknownPace = -1
	// slowDownAbove and speedUpBelow are percentages of the latency objective. Best-effort
	// tasks are slowed down above the first and sped up again below the second.
	slowDownAbove = 85
	speedUpBelow  = 60
	// paceIncrement is the increase of the pace in one adjustment, in percent of full speed.
	paceIncrement = 15
	// paceInterval is the minimum time between two adjustments of a run. The load values in
	// reports are measured over half a second.
	paceInterval = 500 * time.Millisecond
)

// AdjustPace throttles best-effort tasks on executors where latency-sensitive tasks come
// near their latency objective, and speeds them up again when the latency has dropped. It
// halves the pace to slow down and adds a fixed increment to speed up (AIMD), so that the
// pace settles below the level that harms the latency-sensitive tasks.
func (s *Scheduler) AdjustPace(now bwclock.Time) {
	for _, id := range s.ExecutorIDs() {
		e := s.executors[id]
		pressure, hasLatencySensitive := s.latencyPressure(e)
		for _, r := range e.Runs() {
			if r.Phase != bwexecutor.Running || !s.isBestEffort(r) || now.Sub(r.PaceChangedAt) < paceInterval {
				continue
			}
			if pace := nextPace(r.Pace, pressure, hasLatencySensitive); pace != r.Pace {
				s.orderPace(e, r, pace, pressure, now)
			}
		}
	}
}

func nextPace(pace, pressure int, hasLatencySensitive bool) int {
	switch {
	case pace == unknownPace:
		return fullPace / 2
	case !hasLatencySensitive:
		return fullPace
	case pressure > slowDownAbove && pace > 0:
		return pace / 2
	case pressure < speedUpBelow:
		return min(fullPace, pace+paceIncrement)
	default:
		return pace
	}
}

func (s *Scheduler) orderPace(e *bwexecutor.Executor, r *bwexecutor.Run, percent, pressure int, now bwclock.Time) {
	r.Pace = percent
	r.PaceChangedAt = now
	s.orders = append(s.orders, Order{Kind: Pace, Executor: e.ID(), Task: r.Task, Run: r.Number, Percent: percent})
	s.log.Info("pace ordered", "job", r.Task.Job, "task", r.Task, "run", r.Number, "executor", e.ID(),
		"percent", percent, "pressurePercent", pressure)
}

func (s *Scheduler) isBestEffort(r *bwexecutor.Run) bool {
	step, ok := s.stepOf(r.Task)
	return ok && step.BestEffort
}

// latencyPressure returns the highest latency of the executor's latency-sensitive tasks, in
// percent of their objectives, and whether there are any such tasks.
func (s *Scheduler) latencyPressure(e *bwexecutor.Executor) (worst int, hasLatencySensitive bool) {
	for _, r := range e.Runs() {
		step, ok := s.stepOf(r.Task)
		if !ok || step.LatencyObjective <= 0 || r.Phase != bwexecutor.Running {
			continue
		}
		hasLatencySensitive = true
		worst = max(worst, r.Status.Load*100/int(step.LatencyObjective.Milliseconds()))
	}
	return worst, hasLatencySensitive
}
