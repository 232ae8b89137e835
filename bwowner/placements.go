package bwowner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
)

// A job stays in the pool that accepted it when the configuration sends its queue to another pool.
// A placement for each pool and queue, stored before the first job is accepted, tells all nodes
// where jobs of a queue may be. A pool accepts a job of a queue that has other placements only after
// the owners of these pools have replied that they do not know it and will ask before they accept it.
//
// The copy of the placements may be stale, and a pool may change its owner after the reply. Therefore
// each new placement also changes the version keys of its queue, and the transaction that stores a job
// expects the version keys and the keys of the asked owners to be those on which the decision rests.

const (
	// askTimeout limits how long a submission waits for the owners of other pools. It is shorter than
	// the time that a stopping owner has for its submissions.
	askTimeout = time.Second
	// maxAskedPools is the maximum number of pools that are asked for one job. The key of each owner takes an
	// entry of the transaction.
	maxAskedPools = 16
	// maxOutdated is the maximum number of attempts to store a job for which the placements have changed.
	maxOutdated = 4
)

// yieldedJob is a job that this owner has left to another pool.
type yieldedJob struct {
	pool string
	at   bwclock.Time
}

// placeSubmission stores a job, unless other pools may know it, whose owners are asked first. The caller holds
// the lock.
func (o *Owner) placeSubmission(s *submission) {
	spec := s.job.Spec()
	q := spec.AcceptedBy
	q.Name, q.Pool = spec.Queue, o.ownership.Pool
	placements := o.deps.Placements.Copy()
	pools := placements.OtherPools(q)
	if y, ok := o.yielded[spec.ID]; ok && !slices.Contains(pools, y.pool) {
		pools = append(pools, y.pool)
	}
	versions := o.placementVersions(q, placements)
	switch {
	case len(pools) == 0:
		o.storeSubmission(s, versions, nil)
	case len(pools) > maxAskedPools:
		o.completeSubmission(s, Reply{Verdict: Unknown, Reason: fmt.Sprintf("%d pools may know the job", len(pools))})
	default:
		o.spawn("askPools", func() { o.askOtherPools(s, pools, versions) }, "job", spec.ID)
	}
}

// placementVersions returns the version keys of a queue with the revisions that a copy of the placements includes.
func (o *Owner) placementVersions(q bwfleet.Queue, placements bwfleet.Placements) []bwkv.Expectation {
	var versions []bwkv.Expectation
	for _, identity := range q.Identities() {
		versions = append(versions, bwkv.Expectation{Key: o.ownership.PlacementVersionPrefix + identity, Revision: placements.Version(identity)})
	}
	return versions
}

// placeAgain repeats an attempt to store a job that failed because the placements had changed. Another pool may
// know the job, so that it is not refused.
func (o *Owner) placeAgain(s *submission) {
	ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
	defer cancel()
	err := o.deps.Placements.Refresh(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log.Info("placements of the queue have changed", "job", s.job.ID(), "queue", s.job.Spec().Queue, "attempts", s.outdated)
	refusal, isServing := o.checkServing()
	switch {
	case err != nil:
		o.completeSubmission(s, Reply{Verdict: Unknown, Reason: "placements cannot be read: " + err.Error()})
	case s.outdated >= maxOutdated:
		o.completeSubmission(s, Reply{Verdict: Unknown, Reason: "placements of the queue keep changing"})
	case !isServing:
		o.completeSubmission(s, Reply{Verdict: Unknown, Reason: refusal.Reason})
	default:
		o.placeSubmission(s)
	}
}

// askOtherPools asks the owners of other pools for a job, and stores it if all of them reply that it
// is absent.
func (o *Owner) askOtherPools(s *submission, pools []string, versions []bwkv.Expectation) {
	reply, owners := o.findInPools(s.job, pools)
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply.Verdict == Absent {
		var ok bool
		if reply, ok = o.checkServing(); ok {
			o.storeSubmission(s, versions, owners)
			return
		}
	}
	o.completeSubmission(s, reply)
}

// findInPools returns OK if the owner of a pool knows the job, Absent if none does, and Unknown if that
// is not certain: a refusal would say that the job never runs. With Absent it returns the keys of the owners.
func (o *Owner) findInPools(j *bwjob.Job, pools []string) (Reply, []bwkv.Expectation) {
	ctx, cancel := context.WithTimeout(o.ctx, askTimeout)
	defer cancel()
	var owners []bwkv.Expectation
	for _, pool := range pools {
		reply, owner := o.deps.AskPool(ctx, pool, j.Spec(), o.ownership.Pool)
		o.log.Info("asked another pool for a job", "job", j.ID(), "queue", j.Spec().Queue, "asked", pool,
			"verdict", reply.Verdict.String(), "reason", reply.Reason)
		switch reply.Verdict {
		case OK:
			return Reply{Verdict: OK, Reason: "known in pool " + pool}, nil
		case Absent:
			owners = append(owners, owner)
		default:
			return Reply{Verdict: Unknown, Reason: "pool " + pool + " may know the job"}, nil
		}
	}
	return Reply{Verdict: Absent}, owners
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
	// A successor of which this owner does not know yet may have accepted the job. The other pool also expects
	// this owner's key to be unchanged when it stores the job.
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

// placementWrites returns the writes of the placement of a job's queue and of its version keys, unless this owner
// has stored them before. The caller holds the lock and adds the writes before that of the job.
func (o *Owner) placementWrites(spec *bwjob.Spec, versions []bwkv.Expectation) []bwcommit.Write {
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
	writes := []bwcommit.Write{{Key: o.placementKey(name), Value: value, Expected: versions}}
	for _, version := range versions {
		writes = append(writes, bwcommit.Write{Key: version.Key, Value: []byte("{}"), Expected: versions})
	}
	// The writes are stored in order.
	writes[len(writes)-1].Done = func(outcome bwcommit.WriteOutcome) {
		if outcome == bwcommit.Stored {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.placed[name] = true
			o.log.Info("queue placed in the pool", "queue", name, "host", p.Host, "prefix", p.Prefix)
		}
	}
	return writes
}

func (o *Owner) placementKey(queue string) string { return o.ownership.PlacementPrefix + queue }

// placeLoadedQueues stores the placements of the queues of loaded jobs that were accepted by a version
// without placements. The caller holds the lock.
func (o *Owner) placeLoadedQueues(jobs []*bwjob.Job) {
	for _, p := range o.deps.Placements.Copy().All() {
		if p.Pool == o.ownership.Pool && o.scheduler.HasJobsOf(p.Queue) {
			o.placed[p.Queue] = true
		}
	}
	for _, j := range jobs {
		o.placeLoadedQueue(j.Spec())
	}
}

func (o *Owner) placeLoadedQueue(spec *bwjob.Spec) {
	q := spec.AcceptedBy
	q.Name = spec.Queue
	writes := o.placementWrites(spec, o.placementVersions(q, bwfleet.Placements{}))
	for i := range writes {
		// The job has been accepted, whatever the version.
		writes[i].Expected = nil
	}
	o.committer.Add(writes...)
}

// sweepPlacements removes the placements of queues that the configuration sends elsewhere and of
// which the pool holds no job any more. The caller holds the lock.
func (o *Owner) sweepPlacements() {
	for _, p := range o.deps.Placements.Copy().All() {
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
