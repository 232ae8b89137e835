package bwowner

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwjob"
)

// sweepBatch is the maximum number of job records that one sweep removes, so that a sweep
// does not delay other writes.
const sweepBatch = 20

// flush stores all changed job records if isUrgent is set or the last flush was at least
// maxFlushDelay ago. It acknowledges the end records seen so far once the changes are stored.
// The caller holds the lock.
func (o *Owner) flush(now bwclock.Time, isUrgent bool) {
	if !isUrgent && now.Sub(o.flushedAt) < maxFlushDelay {
		return
	}
	o.flushedAt = now
	seen := o.unacknowledgedEnds()
	jobs := o.scheduler.TakeDirty()
	if len(jobs) == 0 {
		if len(o.unstoredWrites) == 0 {
			o.acknowledgeEnds(seen)
		}
		return
	}
	writes := make([]bwcommit.Write, 0, len(jobs))
	for _, j := range jobs {
		if w, ok := o.newRecordWrite(j); ok {
			writes = append(writes, w)
		}
	}
	if len(writes) == 0 {
		return
	}
	last := &writes[len(writes)-1]
	recordDone := last.Done
	last.Done = func(outcome bwcommit.WriteOutcome) {
		recordDone(outcome)
		if outcome == bwcommit.Stored {
			o.mu.Lock()
			o.acknowledgeEnds(seen)
			o.mu.Unlock()
		}
	}
	o.committer.Add(writes...)
}

// newRecordWrite returns a write of the job's current record, and counts it as not yet
// stored.
func (o *Owner) newRecordWrite(j *bwjob.Job) (bwcommit.Write, bool) {
	id := j.ID()
	value, err := j.Encode()
	if err != nil {
		o.log.Error("cannot encode job record", "job", id, "error", err.Error())
		o.scheduler.MarkDirty(id)
		return bwcommit.Write{}, false
	}
	o.unstoredWrites[id]++
	isEnded := !j.IsActive()
	done := func(outcome bwcommit.WriteOutcome) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.unstoredWrites[id]--; o.unstoredWrites[id] == 0 {
			delete(o.unstoredWrites, id)
		}
		if outcome == bwcommit.Stored && isEnded {
			o.endedAt[id] = o.deps.Clock.Now()
		}
	}
	return bwcommit.Write{Key: JobPrefix(o.ownership.Pool) + id, Value: value, Done: done}, true
}

// endPosition is the highest number of an end record seen from one incarnation of an
// executor.
type endPosition struct {
	incarnation int64
	number      int64
}

// unacknowledgedEnds returns the executors with unacknowledged end records and the highest
// number seen of each.
func (o *Owner) unacknowledgedEnds() map[string]endPosition {
	seen := make(map[string]endPosition)
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		if e.LastSeenEnd() > e.LastAckedEnd() {
			seen[id] = endPosition{incarnation: e.Incarnation(), number: e.LastSeenEnd()}
		}
	}
	return seen
}

// acknowledgeEnds marks end records as stored, except those of executors that have restarted
// since they were seen. The next lease renewal acknowledges them to the executor.
func (o *Owner) acknowledgeEnds(seen map[string]endPosition) {
	for id, position := range seen {
		if e := o.scheduler.Executor(id); e != nil && e.Incarnation() == position.incarnation {
			e.AcknowledgeEnds(position.number)
		}
	}
}

// sweep removes the records of jobs that ended at least EndedJobRetention ago. The caller
// holds the lock.
func (o *Owner) sweep(now bwclock.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	o.sweepPlacements()
	o.sweepYielded(now)
	var writes []bwcommit.Write
	for id, ended := range o.endedAt {
		if now.Sub(ended) < o.settings.EndedJobRetention || len(writes) == sweepBatch {
			continue
		}
		delete(o.endedAt, id)
		writes = append(writes, bwcommit.Write{Key: JobPrefix(o.ownership.Pool) + id, IsRemoval: true, Done: func(outcome bwcommit.WriteOutcome) {
			o.finishRemoval(id, outcome)
		}})
	}
	if len(writes) > 0 {
		o.committer.Add(writes...)
	}
}

// finishRemoval forgets a job whose record was removed. If the removal failed, the job is
// kept for another full retention period.
func (o *Owner) finishRemoval(id string, outcome bwcommit.WriteOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome == bwcommit.Stored {
		o.scheduler.RemoveJob(id)
		return
	}
	o.endedAt[id] = o.deps.Clock.Now()
}
