package bwconfig

import (
	"context"
	"math/rand/v2"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
)

const (
	longPollWait = 500 * time.Millisecond
	retryDelay   = 200 * time.Millisecond
)

// store is the part of the store client that a Syncer uses.
type store interface {
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
	Watch(ctx context.Context, prefixes []string, revision int64, wait time.Duration) (bwstore.Changes, error)
}

// Syncer keeps a replica up to date with the store.
type Syncer struct {
	store     store
	replica   *Replica
	freshness *Freshness
	clock     bwclock.Clock
	log       hclog.Logger
	onChange  func()
	isListed  bool
}

// NewSyncer returns a syncer. It calls onChange after each applied change and confirms
// the freshness only after onChange has returned, so onChange must put the change into
// effect.
func NewSyncer(s store, r *Replica, f *Freshness, c bwclock.Clock, log hclog.Logger, onChange func()) *Syncer {
	return &Syncer{store: s, replica: r, freshness: f, clock: c, log: log, onChange: onChange}
}

// Run keeps the replica in sync with the store until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := s.clock.Now()
		err := s.syncOnce(ctx)
		if err == nil {
			continue
		}
		s.freshness.RecordStoreFailure(startedAt)
		s.log.Warn("configuration could not be read from the store", "error", err)
		bwclock.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
	}
}

// RunTicker calls Tick at each TickInterval until ctx is done, so that a pause of the
// process is detected.
func (s *Syncer) RunTicker(ctx context.Context) {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.freshness.Tick(s.clock.Now())
		}
	}
}

// syncOnce reads a complete listing if the replica needs one, and otherwise makes one
// watch call.
func (s *Syncer) syncOnce(ctx context.Context) error {
	if !s.isListed {
		return s.list(ctx)
	}
	return s.watch(ctx)
}

func (s *Syncer) list(ctx context.Context) error {
	startedAt := s.clock.Now()
	var entries []bwstore.Entry
	revision := int64(-1)
	for _, prefix := range Prefixes() {
		listing, err := s.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		entries = append(entries, listing.Entries()...)
		if revision < 0 {
			// Listings of later prefixes may contain newer changes. The watch returns these
			// again, and a key is only applied at a higher revision.
			revision = listing.Revision()
		}
	}
	s.replica.ApplyListing(entries, revision)
	s.isListed = true
	s.onChange()
	s.freshness.RecordConfirmation(startedAt)
	return nil
}

func (s *Syncer) watch(ctx context.Context) error {
	currentAt := s.clock.Now()
	changes, err := s.store.Watch(ctx, Prefixes(), s.replica.Snapshot().Revision(), longPollWait)
	if err != nil {
		return err
	}
	if changes.IsCompacted() {
		s.isListed = false
		return nil
	}
	s.replica.ApplyChanges(changes.Entries(), changes.Revision())
	if len(changes.Entries()) > 0 {
		s.onChange()
	} else {
		// The store answered without changes after the whole wait, so the configuration
		// was current at its end.
		currentAt = currentAt.Add(longPollWait)
	}
	s.freshness.RecordConfirmation(min(currentAt, s.clock.Now()))
	return nil
}
