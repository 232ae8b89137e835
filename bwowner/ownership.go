package bwowner

import (
	"context"
	"errors"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwschedule"
)

const (
	// keyReadInterval is the minimum time between two reads of the owner's key. It batches executors that report
	// for the first time one after the other.
	keyReadInterval = 20 * time.Millisecond
	// keyRetryDelay is the delay before another attempt to read the owner's key.
	keyRetryDelay = 100 * time.Millisecond
)

// expireLeases releases what executors lose with their leases. A lease that has expired according to this
// owner's record may have been extended by a successor of which it does not know yet. So the lease counts as
// expired only once the owner's key, read after that, shows no successor. The caller holds the lock.
func (o *Owner) expireLeases(now bwclock.Time) {
	for _, id := range o.scheduler.Expire(o.ownedAt, now) {
		o.endSession(id)
	}
	o.confirmIfNeeded(now)
}

// admitConfirmed allows tasks to be placed on the executors that are on the stored list and on all later ones, if
// their current incarnation reported before the pool was last known to be owned. An incarnation that a successor
// has called refuses the fencing token of this owner; one that has started since then would not. The caller holds
// the lock.
func (o *Owner) admitConfirmed() {
	for _, id := range o.scheduler.ExecutorIDs() {
		e := o.scheduler.Executor(id)
		since := o.listedExecutors[id]
		isStored := since > 0 && since <= o.storedList
		e.SetAdmitted(isStored && e.HasReported() && !o.ownedAt.Before(e.ReportedSince()))
	}
}

// confirmIfNeeded reads the owner's key if the end of a lease or a new incarnation of an executor needs that. The
// caller holds the lock.
func (o *Owner) confirmIfNeeded(now bwclock.Time) {
	if o.isReadingKey || (!o.hasNewIncarnation && !o.scheduler.HasExpired(now)) {
		return
	}
	o.isReadingKey, o.hasNewIncarnation = true, false
	o.spawn("confirmation", o.confirmOwnership)
}

// isStillOwner reads the owner's key and reports whether the pool still belonged to this owner after the call
// began. If it did not, the owner ends.
func (o *Owner) isStillOwner(ctx context.Context) (bool, error) {
	item, err := o.deps.Store.Get(ctx, o.ownership.Key)
	if err != nil && !errors.Is(err, bwkv.ErrNotFound) {
		return false, err
	}
	if err != nil || item.Revision != o.ownership.Fence {
		o.loseOwnership("owner's key has changed")
		return false, nil
	}
	return true, nil
}

// confirmOwnership reads the owner's key until it has an answer.
func (o *Owner) confirmOwnership() {
	for failures := 0; o.ctx.Err() == nil; failures++ {
		sentAt := o.deps.Clock.Now()
		isOwner, err := o.isStillOwner(o.ctx)
		if err == nil {
			if isOwner {
				o.recordOwned(sentAt)
				bwclock.Sleep(o.ctx, keyReadInterval)
				o.finishReadingKey()
			}
			return
		}
		if failures == 0 && o.ctx.Err() == nil {
			o.log.Warn("cannot read the owner's key; expired leases are kept", "error", err.Error())
		}
		bwclock.Sleep(o.ctx, keyRetryDelay)
	}
}

// showsRestart reports whether a reply shows that an executor has restarted.
func (o *Owner) showsRestart(id string, reply ExecutorReply) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.scheduler.Executor(id)
	if e == nil || !e.HasReported() {
		return false
	}
	return reply.Result == bwschedule.OtherIncarnation ||
		reply.Result == bwschedule.Accepted && reply.Report.Incarnation != e.Incarnation()
}

// confirmRestart returns a reply, or an unanswered one if the reply shows a restart and the pool did not belong to
// this owner any more after it: a successor may have taken note of ends of the earlier incarnation, which are gone.
func (o *Owner) confirmRestart(ctx context.Context, id string, reply ExecutorReply) ExecutorReply {
	if !o.showsRestart(id, reply) {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, reportMargin)
	defer cancel()
	isOwner, err := o.isStillOwner(ctx)
	switch {
	case err != nil:
		return ExecutorReply{Result: bwschedule.Unanswered, Reason: "executor has restarted and the owner's key cannot be read: " + err.Error()}
	case !isOwner:
		return ExecutorReply{Result: bwschedule.Unanswered, Reason: "executor has restarted and the pool has another owner"}
	default:
		return reply
	}
}

// recordOwned records that this process owned the pool at a time, and requests a pass, which expires leases if any
// have ended.
func (o *Owner) recordOwned(at bwclock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownedAt = at
	o.admitConfirmed()
	if o.scheduler.CountAwaitedExecutors() > 0 || o.scheduler.HasExpired(at) {
		o.housekeptAt = bwclock.Never
	}
	o.requestPass()
}

// finishReadingKey allows another read, and starts it if something has needed one since the last.
func (o *Owner) finishReadingKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isReadingKey = false
	o.confirmIfNeeded(o.deps.Clock.Now())
}
