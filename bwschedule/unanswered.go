package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
)

// maxOrderDelay is the longest time after which an executor is expected to execute an order that had no answer.
const maxOrderDelay = 15 * time.Second

// releasedStart is a run that was released although its start had no answer. What proved that the start cannot take
// effect, such as a stop or the end of its lease, holds for one incarnation of the executor only.
type releasedStart struct {
	run         *bwexecutor.Run
	incarnation int64
}

// recordReleasedStart records a run that is released, if its start had no answer.
func (s *Scheduler) recordReleasedStart(e *bwexecutor.Executor, r *bwexecutor.Run, now bwclock.Time) {
	if r.StartExpiresAt == 0 || r.ConfirmedAt != bwclock.Never {
		return
	}
	s.pruneReleasedStarts(e.ID(), now)
	s.releasedStarts[e.ID()] = append(s.releasedStarts[e.ID()], releasedStart{run: r, incarnation: e.Incarnation()})
}

// pruneReleasedStarts forgets the released starts of an executor that can't be executed any more.
func (s *Scheduler) pruneReleasedStarts(id string, now bwclock.Time) {
	var list []releasedStart
	for _, start := range s.releasedStarts[id] {
		if now.Sub(start.run.OrderedAt) < maxOrderDelay {
			list = append(list, start)
		}
	}
	if len(list) == 0 {
		delete(s.releasedStarts, id)
		return
	}
	s.releasedStarts[id] = list
}

// recallReleasedStarts returns the released starts that the present incarnation of an executor may still execute to
// its ledger, which gets them stopped again.
func (s *Scheduler) recallReleasedStarts(e *bwexecutor.Executor, now bwclock.Time) {
	if len(s.releasedStarts[e.ID()]) == 0 {
		return
	}
	s.pruneReleasedStarts(e.ID(), now)
	var kept []releasedStart
	for _, start := range s.releasedStarts[e.ID()] {
		switch {
		case start.incarnation == e.Incarnation():
			kept = append(kept, start)
		case e.Run(start.run.Task) == nil:
			start.run.IsOrphaned = true
			s.keepStart(e, start.run)
		}
	}
	s.releasedStarts[e.ID()] = kept
}
