package bwowner

import (
	"errors"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
)

// keyRetryDelay is the delay before another attempt to read the owner's key.
const keyRetryDelay = 100 * time.Millisecond

// expireLeases releases what executors lose with their leases. A lease that has expired according to this
// owner's record may have been extended by a successor of which it does not know yet. So the lease counts as
// expired only once the owner's key, read after that, shows no successor. The caller holds the lock.
func (o *Owner) expireLeases(now bwclock.Time) {
	for _, id := range o.scheduler.Expire(o.ownedAt, now) {
		o.endSession(id)
	}
	if o.isReadingKey || !o.scheduler.HasExpired(now) {
		return
	}
	o.isReadingKey = true
	o.spawn("confirmation", o.confirmOwnership)
}

// confirmOwnership reads the owner's key until it knows whether the pool still belonged to this owner after
// the call began.
func (o *Owner) confirmOwnership() {
	for failures := 0; o.ctx.Err() == nil; failures++ {
		sentAt := o.deps.Clock.Now()
		item, err := o.deps.Store.Get(o.ctx, o.ownership.Key)
		switch {
		case err == nil && item.Revision == o.ownership.Fence:
			o.recordOwned(sentAt)
			return
		case err == nil || errors.Is(err, bwkv.ErrNotFound):
			o.loseOwnership("owner's key has changed")
			return
		case failures == 0:
			o.log.Warn("cannot read the owner's key; expired leases are kept", "error", err.Error())
		}
		bwclock.Sleep(o.ctx, keyRetryDelay)
	}
}

// recordOwned records that this process owned the pool at a time, and requests a pass that expires leases.
func (o *Owner) recordOwned(at bwclock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownedAt, o.isReadingKey = at, false
	o.housekeptAt = bwclock.Never
	o.requestPass()
}
