package bwowner

import (
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwjob"
)

// sweepBatch is the most old records that one sweep removes, so that a sweep does not crowd
// out other writes.
const sweepBatch = 20

// flush stores every changed record when one of them is urgent or the last flush is long
// ago, and acknowledges the executors' ends after that. The caller holds the lock.
func (o *Owner) flush(now bwclock.Time, isUrgent bool) {
	if !isUrgent && now.Sub(o.flushedAt) < lazyFlush {
		return
	}
	o.flushedAt = now
	seen := o.seenEnds()
	jobs := o.scheduler.TakeDirty()
	if len(jobs) == 0 {
		if len(o.unstored) == 0 {
			o.acknowledge(seen)
		}
		return
	}
	writes := make([]bwcommit.Write, 0, len(jobs))
	for _, j := range jobs {
		if w, ok := o.recordWrite(j); ok {
			writes = append(writes, w)
		}
	}
	if len(writes) == 0 {
		return
	}
	last := &writes[len(writes)-1]
	stored := last.Done
	last.Done = func(f bwcommit.Fate) {
		stored(f)
		if f == bwcommit.Stored {
			o.mu.Lock()
			o.acknowledge(seen)
			o.mu.Unlock()
		}
	}
	o.commits.Add(writes...)
}

// recordWrite returns the write of a job's record as it is now.
func (o *Owner) recordWrite(j *bwjob.Job) (bwcommit.Write, bool) {
	id := j.ID()
	value, err := j.Encode()
	if err != nil {
		o.log.Error("job cannot be encoded", "job", id, "error", err.Error())
		o.scheduler.MarkDirty(id)
		return bwcommit.Write{}, false
	}
	o.unstored[id]++
	isEnded := !j.IsActive()
	done := func(f bwcommit.Fate) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.unstored[id]--; o.unstored[id] == 0 {
			delete(o.unstored, id)
		}
		if f == bwcommit.Stored && isEnded {
			o.endedAt[id] = o.deps.Clock.Now()
		}
	}
	return bwcommit.Write{Key: JobPrefix(o.ownership.Pool) + id, Value: value, Done: done}, true
}

// endMark is how far the ends of one incarnation of an executor were seen.
type endMark struct {
	incarnation int64
	number      int64
}

func (o *Owner) seenEnds() map[string]endMark {
	seen := make(map[string]endMark)
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		if e.LastSeenEnd() > e.LastAckedEnd() {
			seen[id] = endMark{incarnation: e.Incarnation(), number: e.LastSeenEnd()}
		}
	}
	return seen
}

func (o *Owner) acknowledge(seen map[string]endMark) {
	for id, mark := range seen {
		if e := o.scheduler.Executor(id); e != nil && e.Incarnation() == mark.incarnation {
			e.AcknowledgeEnds(mark.number)
		}
	}
}

// sweep removes the records of jobs that ended long ago. The caller holds the lock.
func (o *Owner) sweep(now bwclock.Time) {
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	var writes []bwcommit.Write
	for id, ended := range o.endedAt {
		if now.Sub(ended) < o.settings.KeepEnded || len(writes) == sweepBatch {
			continue
		}
		delete(o.endedAt, id)
		writes = append(writes, bwcommit.Write{Key: JobPrefix(o.ownership.Pool) + id, IsRemoval: true, Done: func(f bwcommit.Fate) {
			o.removed(id, f)
		}})
	}
	if len(writes) > 0 {
		o.commits.Add(writes...)
	}
}

func (o *Owner) removed(id string, f bwcommit.Fate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f == bwcommit.Stored {
		o.scheduler.RemoveJob(id)
		return
	}
	o.endedAt[id] = o.deps.Clock.Now()
}
