package bwowner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"golang.org/x/sync/errgroup"
)

// leaseDriftPercent and leaseMargin lengthen the wait for a lease that another owner gave,
// for the executor's slower clock and its timers.
const (
	leaseDriftPercent = 3
	leaseMargin       = 250 * time.Millisecond
	// stopMargin covers the way of a previous owner's last stop orders and their repetition.
	stopMargin = 1500 * time.Millisecond
	// forgetInterval is the least time between two writes that only shorten the stored list
	// of executors.
	forgetInterval = 500 * time.Millisecond
)

// JobPrefix returns the prefix of the keys of a pool's jobs.
func JobPrefix(pool string) string { return "jobs/" + pool + "/" }

func sequenceKey(pool string) string { return "sequences/" + pool }

func executorsKey(pool string) string { return "executors/" + pool }

// load reads everything that the previous owner stored. It tries until ctx ends.
func (o *Owner) load(ctx context.Context) bool {
	for {
		err := o.tryLoad(ctx)
		if err == nil {
			return true
		}
		o.log.Warn("pool not loaded yet", "error", err.Error())
		if !bwclock.Sleep(ctx, loadRetry) {
			return false
		}
	}
}

func (o *Owner) tryLoad(ctx context.Context) error {
	pool := o.ownership.Pool
	var sequence bwkv.Item
	var known []Target
	var items []bwkv.Item
	// The reads run side by side, because the store may take a quarter of a second for each.
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		sequence, err = o.deps.Store.Get(ctx, sequenceKey(pool))
		if errors.Is(err, bwkv.ErrNotFound) {
			return nil
		}
		return err
	})
	g.Go(func() (err error) {
		known, err = o.readKnown(ctx)
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
	for _, item := range items {
		o.loadJob(item)
	}
	chain := bwcommit.Chain{
		OwnerKey:         o.ownership.Key,
		OwnerRevision:    o.ownership.Fence,
		SequenceKey:      sequenceKey(pool),
		SequenceRevision: sequence.Revision,
	}
	o.commits = bwcommit.New(o.deps.Store, chain, o.deps.Clock, o.log, o.lost)
	o.await(known)
	if len(known) > 0 {
		o.scheduler.DeferEvictions(now.Add(o.settings.StopTime + stopMargin))
	}
	o.isReady = true
	o.syncExecutors()
	all, active := o.scheduler.CountJobs()
	o.log.Info("jobs loaded", "jobs", all, "active", active, "executors", len(known))
	return nil
}

func (o *Owner) loadJob(item bwkv.Item) {
	j, err := bwjob.Decode(item.Value)
	if err != nil {
		// The record stays in the store, so that its job is not taken for unknown by a
		// version that can read it.
		o.log.Error("stored job cannot be read", "key", item.Key, "revision", item.Revision, "error", err.Error())
		return
	}
	now := o.deps.Clock.Now()
	o.scheduler.LoadJob(j)
	if !j.IsActive() {
		o.endedAt[j.ID()] = now
	}
}

// await holds back the loaded jobs' tasks until each executor of the previous owner has
// reported, or has lost its lease.
func (o *Owner) await(known []Target) {
	lease := o.settings.LeaseLength
	wait := o.ownership.PreviousMayAct + lease + lease*leaseDriftPercent/100 + leaseMargin
	until := o.deps.Clock.Now().Add(wait)
	for _, k := range known {
		o.scheduler.AwaitExecutor(k.ID, until)
		if _, ok := o.registrations[k.ID]; !ok {
			// The registry may have dropped an executor that still runs tasks.
			o.scheduler.Register(bwexecutor.Registration{ID: k.ID, Address: k.Address, Pool: o.ownership.Pool, IsDraining: true})
			o.openSession(k)
		}
	}
}

func (o *Owner) readKnown(ctx context.Context) ([]Target, error) {
	item, err := o.deps.Store.Get(ctx, executorsKey(o.ownership.Pool))
	if errors.Is(err, bwkv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var known []Target
	err = json.Unmarshal(item.Value, &known)
	return known, err
}

// storeKnown keeps the stored list of executors true: those that may run tasks or may get
// some. Nothing is started at an executor before it is on the stored list, and one whose
// lease has ended without tasks leaves it, so that the next owner does not wait for it. The
// caller holds the lock.
func (o *Owner) storeKnown(now bwclock.Time) {
	wanted := o.wantedKnown(now)
	isNew, isGone := false, false
	for id := range wanted {
		isNew = isNew || !o.recorded[id]
	}
	for id := range o.recorded {
		isGone = isGone || !wanted[id]
	}
	if !isNew && !(isGone && (o.isStopping || now.Sub(o.recordedAt) >= forgetInterval)) {
		return
	}
	list := o.record(wanted, now)
	value, err := json.Marshal(list)
	if err != nil {
		o.log.Error("list of executors cannot be encoded", "error", err.Error())
		return
	}
	o.commits.Add(bwcommit.Write{Key: executorsKey(o.ownership.Pool), Value: value, Done: func(f bwcommit.Fate) {
		if f == bwcommit.Stored {
			o.admit(list)
		}
	}})
}

// wantedKnown returns the executors that belong on the list. An owner that stops gives no
// more starts, so that only those stay that run something.
func (o *Owner) wantedKnown(now bwclock.Time) map[string]bool {
	wanted := make(map[string]bool)
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		if len(e.Runs()) > 0 || !o.isStopping && e.HasReported() && !e.HasLeaseExpired(now) {
			wanted[id] = true
		}
	}
	return wanted
}

// record notes the new list; executors that leave it get no tasks from now on.
func (o *Owner) record(wanted map[string]bool, now bwclock.Time) []Target {
	for id := range o.recorded {
		if e := o.scheduler.Executor(id); e != nil && !wanted[id] {
			e.SetAdmitted(false)
		}
	}
	o.recorded, o.recordedAt = wanted, now
	var list []Target
	for _, id := range o.scheduler.ExecutorIDs() {
		if wanted[id] {
			list = append(list, Target{ID: id, Address: o.scheduler.Executor(id).Registration().Address})
		}
	}
	return list
}

// admit lets tasks go to executors that are on the stored list, unless a later list has
// left them out again.
func (o *Owner) admit(list []Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range list {
		if e := o.scheduler.Executor(k.ID); e != nil && o.recorded[k.ID] {
			e.SetAdmitted(true)
		}
	}
	o.change()
}
