package bwnode

import (
	"context"
	"errors"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwownership"
	"github.com/hashicorp/go-hclog"
)

const (
	// leaseTTL is how long the store keeps a node's keys without a renewal. It is longer
	// than usual outages of the store. Nodes that have ended are replaced much sooner,
	// because their successors ping them.
	leaseTTL = bwownership.LeaseTTL
	// renewInterval allows several renewals within the time for which an owner may answer
	// that a job does not exist.
	renewInterval = 500 * time.Millisecond
	// renewRetryInterval is the delay after a failed renewal.
	renewRetryInterval = 200 * time.Millisecond
	// freshLeaseAge is the age of the latest renewal below which a node is certain of its
	// ownership.
	freshLeaseAge = 1200 * time.Millisecond
)

// leaseStore is the part of the key-value service that manages leases.
type leaseStore interface {
	GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error)
	KeepLease(ctx context.Context, id int64) error
	EndLease(ctx context.Context, id int64) error
}

// lease maintains the process's lease at the store. It is safe for concurrent use.
type lease struct {
	store   leaseStore
	clock   bwclock.Clock
	log     hclog.Logger
	onGrant func(ctx context.Context, id int64)

	mu          sync.Mutex
	id          int64
	ttl         time.Duration
	confirmedAt bwclock.Time
	isFailing   bool
}

func newLease(store leaseStore, clock bwclock.Clock, log hclog.Logger, onGrant func(ctx context.Context, id int64)) *lease {
	return &lease{store: store, clock: clock, log: log, onGrant: onGrant}
}

// currentID returns the id of the lease, or 0 if there is none.
func (l *lease) currentID() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// isConfirmed reports whether the lease cannot have expired at the store yet.
func (l *lease) isConfirmed() bool { return l.confirmedWithin(leaseTTL) }

// isFresh reports whether the lease was renewed within freshLeaseAge.
func (l *lease) isFresh() bool { return l.confirmedWithin(freshLeaseAge) }

func (l *lease) confirmedWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id != 0 && l.clock.Now().Sub(l.confirmedAt) < min(d, l.ttl)
}

// run grants and renews the lease until ctx is done.
func (l *lease) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := l.renewOrGrant(ctx); err != nil {
			l.recordFailure(err)
			wait = renewRetryInterval
		}
		bwclock.Sleep(ctx, wait)
	}
}

// renewOrGrant renews the lease, or obtains a new one if there is none.
func (l *lease) renewOrGrant(ctx context.Context) error {
	sentAt := l.clock.Now()
	id := l.currentID()
	if id == 0 {
		return l.grant(ctx, sentAt)
	}
	err := l.store.KeepLease(ctx, id)
	if errors.Is(err, bwkv.ErrNotFound) {
		l.log.Warn("lease has ended", "lease", id, "age", sentAt.Sub(l.confirmedAt).String())
		l.mu.Lock()
		l.id = 0
		l.mu.Unlock()
		return l.grant(ctx, l.clock.Now())
	}
	if err == nil {
		l.confirm(id, sentAt)
	}
	return err
}

func (l *lease) grant(ctx context.Context, sentAt bwclock.Time) error {
	id, ttl, err := l.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.ttl = ttl
	l.mu.Unlock()
	l.confirm(id, sentAt)
	l.log.Info("lease granted", "lease", id, "length", ttl.String())
	l.onGrant(ctx, id)
	return nil
}

// confirm records that the lease was granted or renewed. Its TTL counts from sentAt, when the
// request was sent.
func (l *lease) confirm(id int64, sentAt bwclock.Time) {
	l.mu.Lock()
	wasFailing := l.isFailing
	l.id, l.confirmedAt, l.isFailing = id, sentAt, false
	l.mu.Unlock()
	if wasFailing {
		l.log.Info("lease renewed again", "lease", id)
	}
}

func (l *lease) recordFailure(err error) {
	l.mu.Lock()
	isFirst := !l.isFailing
	l.isFailing = true
	age := l.clock.Now().Sub(l.confirmedAt)
	l.mu.Unlock()
	if isFirst {
		l.log.Warn("lease not renewed", "age", age.String(), "error", err.Error())
	}
}

// release ends the lease at the store.
func (l *lease) release(ctx context.Context) {
	id := l.currentID()
	if id == 0 {
		return
	}
	if err := l.store.EndLease(ctx, id); err != nil {
		l.log.Warn("failed to release the lease", "lease", id, "error", err.Error())
	}
}
