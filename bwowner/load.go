package bwowner

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"golang.org/x/sync/errgroup"
)

// leaseDriftPercent and leaseMargin extend the wait for the expiry of leases granted by
// another owner, because an executor's clock may run slow and its timers may fire late.
const (
	leaseDriftPercent = 3
	leaseMargin       = 250 * time.Millisecond
	// stopMargin covers the transmission of a previous owner's last stop orders, retries
	// included.
	stopMargin = 1500 * time.Millisecond
	// hostOrderTime covers the time from a previous owner's confirmation that an executor is empty
	// until the order to its host takes effect.
	hostOrderTime = 1500 * time.Millisecond
	// maxClockError is the difference between the clocks of hosts that is allowed for.
	maxClockError = 500 * time.Millisecond
	// listShrinkInterval is the minimum time before a write that only removes entries from the
	// stored executor list.
	listShrinkInterval = 500 * time.Millisecond
)

// JobPrefix returns the key prefix of a pool's job records.
func JobPrefix(pool string) string { return "jobs/" + pool + "/" }

// SequencePrefix is the prefix of the sequence keys of all pools, which end with the pool's name.
const SequencePrefix = "sequences/"

func sequenceKey(pool string) string { return SequencePrefix + pool }

func executorListKey(pool string) string { return "executors/" + pool }

// load reads the state that the previous owner stored. It retries until it succeeds and
// returns false if ctx is done first.
func (o *Owner) load(ctx context.Context) bool {
	for {
		err := o.tryLoad(ctx)
		if err == nil {
			return true
		}
		o.log.Warn("cannot load pool; retrying", "error", err.Error())
		if !bwclock.Sleep(ctx, loadRetryDelay) {
			return false
		}
	}
}

func (o *Owner) tryLoad(ctx context.Context) error {
	pool := o.ownership.Pool
	var sequence bwkv.Item
	var listed []Target
	var items []bwkv.Item
	// The reads run concurrently, because the store may take a quarter of a second for each.
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		sequence, err = o.deps.Store.Get(ctx, sequenceKey(pool))
		if errors.Is(err, bwkv.ErrNotFound) {
			return nil
		}
		return err
	})
	g.Go(func() (err error) {
		listed, err = o.readExecutorList(ctx)
		return err
	})
	g.Go(func() (err error) {
		items, _, err = o.deps.Store.List(ctx, JobPrefix(pool))
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.flushedAt, o.sweptAt = now, now
	var jobs []*bwjob.Job
	for _, item := range items {
		if j := o.loadJob(item); j != nil {
			jobs = append(jobs, j)
		}
	}
	guard := bwcommit.Guard{
		OwnerKey:         o.ownership.Key,
		OwnerRevision:    o.ownership.Fence,
		SequenceKey:      sequenceKey(pool),
		SequenceRevision: sequence.Revision,
	}
	o.committer = bwcommit.New(o.deps.Store, guard, o.deps.Clock, o.log, o.loseOwnership)
	o.placeLoadedQueues(jobs)
	o.awaitExecutors(listed)
	if len(listed) > 0 {
		o.scheduler.DeferEvictions(now.Add(o.settings.MaxStopTime + stopMargin))
		o.scheduler.DeferLongRunningStarts(now.Add(hostOrderTime))
	}
	o.isReady = true
	o.syncExecutors()
	all, active := o.scheduler.CountJobs()
	o.log.Info("jobs loaded", "jobs", all, "active", active, "executors", len(listed))
	return nil
}

// loadJob passes a stored job to the scheduler and returns it, or nil if it cannot be decoded.
func (o *Owner) loadJob(item bwkv.Item) *bwjob.Job {
	j, err := bwjob.Decode(item.Value)
	if err != nil {
		// The record stays in the store, so that a version that can decode it still knows
		// the job. Callers are not told that there is no such job, and it is not stored again.
		o.unreadable[strings.TrimPrefix(item.Key, JobPrefix(o.ownership.Pool))] = true
		o.log.Error("cannot decode stored job record", "key", item.Key, "revision", item.Revision, "error", err.Error())
		return nil
	}
	now := o.deps.Clock.Now()
	o.scheduler.LoadJob(j)
	if !j.IsActive() {
		o.endedAt[j.ID()] = now
	}
	return j
}

// awaitExecutors blocks the placement of the loaded jobs' tasks until each executor of the
// previous owner has reported or its lease has expired.
func (o *Owner) awaitExecutors(listed []Target) {
	lease := o.settings.LeaseLength
	wait := o.ownership.PreviousOwnerGrace + lease + lease*leaseDriftPercent/100 + leaseMargin
	until := o.deps.Clock.Now().Add(wait)
	for _, target := range listed {
		o.scheduler.AwaitExecutor(target.ID, until)
		if target.HeldUntil > 0 {
			o.scheduler.HoldLease(target.ID, bwclock.Time(target.HeldUntil).Add(maxClockError))
		}
		if _, ok := o.registrations[target.ID]; !ok {
			// An executor that the registry no longer lists may still run tasks.
			o.scheduler.Register(bwexecutor.Registration{ID: target.ID, Address: target.Address, Pool: o.ownership.Pool, IsDraining: true})
			o.openSession(target)
		}
	}
}

func (o *Owner) readExecutorList(ctx context.Context) ([]Target, error) {
	item, err := o.deps.Store.Get(ctx, executorListKey(o.ownership.Pool))
	if errors.Is(err, bwkv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var listed []Target
	err = json.Unmarshal(item.Value, &listed)
	return listed, err
}

// storeExecutorList updates the stored executor list, which names the executors that may run
// tasks or may be given some. No task is started on an executor before it is on the stored
// list. An executor that runs no tasks and whose lease has expired is removed from the list,
// so that the next owner does not wait for it. The caller holds the lock.
func (o *Owner) storeExecutorList(now bwclock.Time) {
	wanted := o.executorsToList(now)
	hasAdded, hasRemoved := false, false
	for id := range wanted {
		hasAdded = hasAdded || o.listedExecutors[id] == 0
	}
	for id := range o.listedExecutors {
		hasRemoved = hasRemoved || !wanted[id]
	}
	if !hasAdded && !(hasRemoved && (o.isStopping || now.Sub(o.listChangedAt) >= listShrinkInterval)) {
		return
	}
	list := o.updateExecutorList(wanted, now)
	number := o.latestList
	value, err := json.Marshal(list)
	if err != nil {
		o.log.Error("cannot encode executor list", "error", err.Error())
		return
	}
	o.committer.Add(bwcommit.Write{Key: executorListKey(o.ownership.Pool), Value: value, Done: func(outcome bwcommit.WriteOutcome) {
		if outcome == bwcommit.Stored {
			o.admitExecutors(number)
		}
	}})
}

// executorsToList returns the executors that belong on the stored list. A stopping owner
// starts no more tasks, so it lists only executors that still run some. An awaited executor may
// still run tasks that the previous owner started.
func (o *Owner) executorsToList(now bwclock.Time) map[string]bool {
	wanted := make(map[string]bool)
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		if len(e.Runs()) > 0 || o.scheduler.IsAwaited(id) || !o.isStopping && e.HasReported() && !e.HasLeaseExpired(now) {
			wanted[id] = true
		}
	}
	return wanted
}

// updateExecutorList makes wanted the current executor list and returns its targets.
// Executors that are no longer listed are given no more tasks.
func (o *Owner) updateExecutorList(wanted map[string]bool, now bwclock.Time) []Target {
	for id := range o.listedExecutors {
		if e := o.scheduler.Executor(id); e != nil && !wanted[id] {
			e.SetAdmitted(false)
		}
	}
	o.latestList++
	listed := make(map[string]int64, len(wanted))
	for id := range wanted {
		listed[id] = o.latestList
		if since := o.listedExecutors[id]; since > 0 {
			listed[id] = since
		}
	}
	o.listedExecutors, o.listChangedAt = listed, now
	var list []Target
	for _, id := range o.scheduler.ExecutorIDs() {
		if wanted[id] {
			e := o.scheduler.Executor(id)
			o.listedHolds[id] = e.LeaseHeldUntil()
			target := Target{ID: id, Address: e.Registration().Address}
			if now.Before(e.LeaseHeldUntil()) {
				target.HeldUntil = e.LeaseHeldUntil().Millis()
			}
			list = append(list, target)
		}
	}
	return list
}

// relistIfHeld withdraws an executor from the list if its lease may last longer than the list says. It gets tasks
// once a list that says so is stored. The caller holds the lock.
func (o *Owner) relistIfHeld(id string) {
	if e := o.scheduler.Executor(id); e != nil && o.listedExecutors[id] > 0 && o.listedHolds[id].Before(e.LeaseHeldUntil()) {
		delete(o.listedExecutors, id)
		e.SetAdmitted(false)
	}
}

// admitExecutors records that the list with a number has been stored, and allows tasks to be placed on its
// executors unless a later list drops them.
func (o *Owner) admitExecutors(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storedList = number
	o.admitConfirmed()
	o.requestPass()
}
