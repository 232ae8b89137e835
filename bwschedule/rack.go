package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
)

const (
	// defaultCrossRackFactor applies if the platform does not tell the factor.
	defaultCrossRackFactor = 2
	// crossRackWindow is how long before the last start in several racks that ends in time a step
	// stops waiting for one rack. It covers the interval between two passes and the start order.
	crossRackWindow = 200 * time.Millisecond
)

// The reasons for the choice of a rack.
const (
	rackHoldsStep   = "holdsStep"   // all waiting tasks fit in the rack
	rackHoldsMost   = "holdsMost"   // the most tasks fit in the rack; the others wait for it
	rackOfStep      = "rackOfStep"  // other tasks of the step run in the rack
	rackSeveral     = "severalUsed" // tasks of the step already run in several racks
	rackWaitTooLong = "waitTooLong" // waiting for one rack costs more than running in several
)

// rackChoice is the rack in which the tasks of a step should run.
type rackChoice struct {
	preferred string
	reason    string
}

func (c rackChoice) logFields(e *bwexecutor.Executor) []any {
	if c.reason == "" {
		return nil
	}
	return []any{"rack", e.Registration().Rack, "preferredRack", c.preferred, "rackReason", c.reason}
}

// rackRoom tells how many waiting tasks of a step fit in a rack.
type rackRoom struct {
	now     int
	ifEmpty int
	freeCPU int64
}

// isBetter reports whether more tasks fit in r than in o, now or else if both racks were empty.
func (r rackRoom) isBetter(o rackRoom) bool {
	switch {
	case r.now != o.now:
		return r.now > o.now
	case r.ifEmpty != o.ifEmpty:
		return r.ifEmpty > o.ifEmpty
	default:
		return r.freeCPU > o.freeCPU
	}
}

// withinOneRack returns the executors of the rack in which tasks of the step already run, or else of
// the rack in which the most tasks fit. It returns executors of several racks once waiting for
// capacity in that rack costs the caller more than running the step in several.
func (p *placement) withinOneRack(list []*bwexecutor.Executor) []*bwexecutor.Executor {
	s := p.scheduler
	waiting := p.occurrence.CountWaiting(p.step)
	rooms := p.rackRooms(list, waiting)
	current, isSeveral := p.currentRack()
	p.rack = rackChoice{preferred: current, reason: rackOfStep}
	if current == "" {
		p.rack = rackChoice{preferred: bestRack(list, rooms), reason: rackHoldsStep}
	}
	room := rooms[p.rack.preferred]
	switch {
	case isSeveral:
		p.rack.reason = rackSeveral
		return list
	case room.now >= waiting:
		s.endRackWait(p.stepID())
		return inRack(list, p.rack.preferred)
	case p.mayCrossRacks(room, waiting):
		p.rack.reason = rackWaitTooLong
		return list
	case current == "":
		p.rack.reason = rackHoldsMost
	}
	return inRack(list, p.rack.preferred)
}

// rackRooms returns the room of each rack for the step, each count at most the number of waiting tasks.
func (p *placement) rackRooms(list []*bwexecutor.Executor, waiting int) map[string]rackRoom {
	step := p.job.Spec().Steps[p.step]
	need := step.Reserved()
	rooms := make(map[string]rackRoom)
	for _, e := range list {
		limit, limitIfEmpty := waiting, waiting
		if step.MaxPerExecutor > 0 {
			limit = min(waiting, max(0, step.MaxPerExecutor-p.stepRunsOnExecutor(e)))
			limitIfEmpty = min(waiting, step.MaxPerExecutor)
		}
		rack := e.Registration().Rack
		room := rooms[rack]
		room.ifEmpty = min(waiting, room.ifEmpty+e.Registration().Capacity.CountFitting(need, limitIfEmpty))
		room.freeCPU += e.Free().CPU
		if !p.scheduler.setAside[e.ID()] {
			room.now = min(waiting, room.now+e.Free().CountFitting(need, limit))
		}
		rooms[rack] = room
	}
	return rooms
}

// bestRack returns the rack with the best room. Ties go to the first one in the order of the list.
func bestRack(list []*bwexecutor.Executor, rooms map[string]rackRoom) string {
	best, isFound := "", false
	for _, e := range list {
		if rack := e.Registration().Rack; !isFound || rooms[rack].isBetter(rooms[best]) {
			best, isFound = rack, true
		}
	}
	return best
}

func inRack(all []*bwexecutor.Executor, rack string) []*bwexecutor.Executor {
	var list []*bwexecutor.Executor
	for _, e := range all {
		if e.Registration().Rack == rack {
			list = append(list, e)
		}
	}
	return list
}

// currentRack returns a rack in which tasks of the step run, or "", and whether they run in others too.
func (p *placement) currentRack() (rack string, isSeveral bool) {
	for _, t := range p.occurrence.Tasks(p.step) {
		e := p.scheduler.executors[t.Executor()]
		if e == nil || t.IsDone() {
			continue
		}
		if rack != "" && e.Registration().Rack != rack {
			return rack, true
		}
		rack = e.Registration().Rack
	}
	return rack, false
}

// mayCrossRacks reports whether waiting for capacity in one rack costs the caller more than running
// the step in several. A long-running step does nothing for its caller while it waits. Any other step
// waits for as long as it would lose in several racks, but not beyond the last start there
// that ends in time.
func (p *placement) mayCrossRacks(room rackRoom, waiting int) bool {
	step := p.job.Spec().Steps[p.step]
	if step.LongRunning || step.Gang && room.ifEmpty < waiting {
		return true
	}
	s := p.scheduler
	loss := bwclock.Scale(step.Estimate, s.crossRackFactor-1)
	if p.now.Sub(s.rackWaitSince(p.stepID(), p.now)) >= loss {
		return true
	}
	q, isKnown := s.settingsOf(p.job)
	if !isKnown || p.job.Spec().ScheduledOccurrences > 0 {
		return false
	}
	spare := bwclock.AddDurations(latencyDeadline(q, p.job).Sub(p.now), -bwclock.AddDurations(p.remainingDuration(), loss))
	return spare >= 0 && spare < crossRackWindow
}

// remainingDuration returns the estimated duration of the unfinished steps, one after the other.
func (p *placement) remainingDuration() time.Duration {
	var d time.Duration
	for i, step := range p.job.Spec().Steps {
		if !step.LongRunning && p.occurrence.CountUnfinished(i) > 0 {
			d = bwclock.AddDurations(d, step.Estimate)
		}
	}
	return d
}

func (p *placement) stepID() StepID {
	return StepID{Job: p.job.ID(), Occurrence: p.occurrence.Index(), Step: p.step}
}

// rackWaitSince returns since when the step has waited for capacity in one rack, which is now if it
// did not wait before.
func (s *Scheduler) rackWaitSince(id StepID, now bwclock.Time) bwclock.Time {
	waits := s.rackWaits[id.Job]
	if waits == nil {
		waits = make(map[StepID]bwclock.Time)
		s.rackWaits[id.Job] = waits
	}
	if _, isWaiting := waits[id]; !isWaiting {
		waits[id] = now
	}
	return waits[id]
}

func (s *Scheduler) endRackWait(id StepID) { delete(s.rackWaits[id.Job], id) }
