package bwowner

import (
	"context"
	"time"

	"basilwood.example/basilwood/bwclock"
)

// runPasses runs a scheduling pass after each event, and at idlePassInterval without events,
// until ctx is done.
func (o *Owner) runPasses(ctx context.Context) {
	t := time.NewTicker(idlePassInterval)
	defer t.Stop()
	previousAt := o.deps.Clock.Now()
	for {
		requestedAt := bwclock.Never
		select {
		case <-ctx.Done():
			return
		case requestedAt = <-o.passRequested:
		case <-t.C:
		}
		startedAt := o.deps.Clock.Now()
		if gap := startedAt.Sub(previousAt); gap >= pauseLogThreshold {
			o.log.Warn("scheduling has paused", "gap", gap.String())
		}
		previousAt = startedAt
		o.contain("pass", func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			if requestedAt != bwclock.Never {
				o.recordPassDelay(requestedAt)
			}
			o.runPass()
		})
		// Passes take at most half of the time, so that reports, orders and callers get the other half.
		bwclock.Sleep(ctx, max(minPassInterval, o.deps.Clock.Now().Sub(startedAt)))
	}
}

// requestPass requests a scheduling pass without waiting for it.
func (o *Owner) requestPass() {
	select {
	case o.passRequested <- o.deps.Clock.Now():
	default:
	}
}

// recordPassDelay records how long a requested pass has waited. Passes are late when the process
// lacks processor time. The caller holds the lock.
func (o *Owner) recordPassDelay(requestedAt bwclock.Time) {
	now := o.deps.Clock.Now()
	delay := now.Sub(requestedAt)
	o.deps.Metrics.observePassDelay(delay)
	if delay < latePassDelay || now.Sub(o.latePassAt) < latePassLogInterval {
		return
	}
	o.latePassAt = now
	jobs, active := o.scheduler.CountJobs()
	o.log.Warn("scheduling passes are late", "delay", delay.String(), "jobs", jobs, "activeJobs", active, "executors", len(o.sessions))
}

// runPass runs the scheduler once and dispatches its orders. The caller holds the lock.
func (o *Owner) runPass() {
	if !o.isReady || o.ctx.Err() != nil {
		return
	}
	now := o.deps.Clock.Now()
	if now.Sub(o.housekeptAt) >= housekeepingInterval {
		o.housekeep(now)
	}
	if o.canSendOrders() {
		o.scheduler.SetCapacityKnown(o.deps.IsRegistryFresh())
		o.dispatch(o.scheduler.Schedule(now))
		o.requestAdvice()
	}
	o.flush(now, o.scheduler.NeedsFlush() || o.isStopping)
}

// housekeep does the periodic work that is not needed after each event: it expires leases,
// updates the executor list, adjusts the pace of tasks and sweeps old records. The caller
// holds the lock.
func (o *Owner) housekeep(now bwclock.Time) {
	o.housekeptAt = now
	o.recordConfirmation()
	o.expireLeases(now)
	o.storeExecutorList(now)
	if o.canSendOrders() {
		o.scheduler.AdjustPace(now)
	}
	o.sweep(now)
}

// recordConfirmation logs that orders are no longer sent because the ownership is not confirmed, or are sent
// again. The caller holds the lock.
func (o *Owner) recordConfirmation() {
	isUnconfirmed := !o.deps.IsOwnershipConfirmed()
	if isUnconfirmed != o.isUnconfirmed {
		o.log.Warn("confirmation of the ownership has changed", "isConfirmed", !isUnconfirmed)
	}
	o.isUnconfirmed = isUnconfirmed
}
