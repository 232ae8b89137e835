package bwowner

import (
	"context"
	"encoding/json"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
)

// A job stays in the pool that accepted it when the configuration sends its queue to another pool.
// A placement for each pool and queue, stored before the first job is accepted, tells all nodes
// where jobs of a queue may be. A pool accepts a job of a queue that has other placements only after
// the owners of these pools have replied that they do not know it and will ask before they accept it.

// askTimeout limits how long a submission waits for the owners of other pools. It is shorter than
// the time that a stopping owner has for its submissions.
const askTimeout = time.Second

// yieldedJob is a job that this owner has left to another pool.
type yieldedJob struct {
	pool string
	at   bwclock.Time
}

// otherPools returns the pools that may know the job besides this one. The caller holds the lock.
func (o *Owner) otherPools(spec *bwjob.Spec) []string {
	q := spec.AcceptedBy
	q.Name, q.Pool = spec.Queue, o.ownership.Pool
	list := o.deps.Placements()
	if y, ok := o.yielded[spec.ID]; ok {
		list = append([]bwfleet.Placement{{Queue: q.Name, Pool: y.pool}}, list...)
	}
	return bwfleet.OtherPools(list, q)
}

// askOtherPools asks the owners of other pools for a job, and stores it if all of them reply that it
// is absent.
func (o *Owner) askOtherPools(s *submission, pools []string) {
	reply := o.findInPools(s.job, pools)
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply.Verdict == Absent {
		var ok bool
		if reply, ok = o.checkServing(); ok {
			delete(o.yielded, s.job.ID())
			o.storeSubmission(s)
			return
		}
	}
	o.completeSubmission(s, reply)
}

// findInPools returns OK if the owner of a pool knows the job, Absent if none does, and Unknown if that
// is not certain: a refusal would say that the job never runs.
func (o *Owner) findInPools(j *bwjob.Job, pools []string) Reply {
	ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
	defer cancel()
	for _, pool := range pools {
		reply := o.deps.AskPool(ctx, pool, j.Spec(), o.ownership.Pool)
		o.log.Info("asked another pool for a job", "job", j.ID(), "queue", j.Spec().Queue, "asked", pool,
			"verdict", reply.Verdict.String(), "reason", reply.Reason)
		switch reply.Verdict {
		case OK:
			return Reply{Verdict: OK, Reason: "known in pool " + pool}
		case Absent:
		default:
			return Reply{Verdict: Unknown, Reason: "pool " + pool + " may know the job"}
		}
	}
	return Reply{Verdict: Absent}
}

// Yield returns the state of a job for the owner of another pool, which accepts the job if it is
// absent here. After such a reply this owner asks the other pool before it accepts the job.
func (o *Owner) Yield(q bwfleet.Queue, id, pool string) Reply {
	reply := o.State(q, id)
	if reply.Verdict != Absent {
		return reply
	}
	if !o.recordYield(id, pool) {
		return Reply{Verdict: Refused, Reason: "job is being submitted", RetryAfter: ShortRetryDelay}
	}
	// A successor of which this owner does not know yet may have accepted the job.
	ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
	defer cancel()
	isOwner, err := o.isStillOwner(ctx)
	switch {
	case err != nil:
		return Reply{Verdict: Refused, Reason: "owner's key cannot be read: " + err.Error(), RetryAfter: ShortRetryDelay}
	case !isOwner:
		return Reply{Verdict: Refused, Reason: "pool has another owner", RetryAfter: ShortRetryDelay}
	}
	return reply
}

// recordYield records that a job is left to another pool. It returns false if this owner has the job by now.
func (o *Owner) recordYield(id, pool string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pendingSubmissions[id] != nil || o.scheduler.Job(id) != nil {
		return false
	}
	o.yielded[id] = yieldedJob{pool: pool, at: o.deps.Clock.Now()}
	return true
}

// placementWrites returns the write of the placement of a job's queue, unless this owner has written
// it before. The caller holds the lock and adds the write before that of the job.
func (o *Owner) placementWrites(spec *bwjob.Spec) []bwcommit.Write {
	name := spec.Queue
	if o.placed[name] {
		return nil
	}
	p := bwfleet.Placement{Queue: name, Host: spec.AcceptedBy.Host, Prefix: spec.AcceptedBy.Prefix, Pool: o.ownership.Pool}
	value, err := json.Marshal(p)
	if err != nil {
		o.log.Error("cannot encode placement", "queue", name, "error", err.Error())
		return nil
	}
	o.placed[name] = true
	o.log.Info("queue placed in the pool", "queue", name, "host", p.Host, "prefix", p.Prefix)
	return []bwcommit.Write{{Key: o.placementKey(name), Value: value, Done: func(outcome bwcommit.WriteOutcome) {
		if outcome != bwcommit.Stored {
			o.mu.Lock()
			o.placed[name] = false
			o.mu.Unlock()
		}
	}}}
}

func (o *Owner) placementKey(queue string) string { return o.ownership.PlacementPrefix + queue }

// placeLoadedQueues stores the placements of the queues of loaded jobs that were accepted by a version
// without placements. The caller holds the lock.
func (o *Owner) placeLoadedQueues(jobs []*bwjob.Job) {
	for _, p := range o.deps.Placements() {
		if p.Pool == o.ownership.Pool && o.scheduler.HasJobsOf(p.Queue) {
			o.placed[p.Queue] = true
		}
	}
	for _, j := range jobs {
		o.committer.Add(o.placementWrites(j.Spec())...)
	}
}

// sweepPlacements removes the placements of queues that the configuration sends elsewhere and of
// which the pool holds no job any more. The caller holds the lock.
func (o *Owner) sweepPlacements() {
	for _, p := range o.deps.Placements() {
		if p.Pool != o.ownership.Pool || o.routed[p.Queue] || o.hasJobsOf(p.Queue) {
			continue
		}
		o.placed[p.Queue] = false
		o.log.Info("queue has left the pool", "queue", p.Queue)
		o.committer.Add(bwcommit.Write{Key: o.placementKey(p.Queue), IsRemoval: true})
	}
}

// hasJobsOf reports whether the pool holds or is about to hold a job of a queue. The caller holds the
// lock.
func (o *Owner) hasJobsOf(queue string) bool {
	for _, s := range o.pendingSubmissions {
		if s.job.Spec().Queue == queue {
			return true
		}
	}
	return o.scheduler.HasJobsOf(queue)
}

// sweepYielded forgets the jobs that were left to other pools long ago. The caller holds the lock.
func (o *Owner) sweepYielded(now bwclock.Time) {
	for id, y := range o.yielded {
		if now.Sub(y.at) >= o.settings.EndedJobRetention {
			delete(o.yielded, id)
		}
	}
}
