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
	watchWait    = 500 * time.Millisecond
	retryPause   = 200 * time.Millisecond
	listDeadline = 3 * time.Second
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
	listed    bool
}

// NewSyncer returns a syncer. It calls onChange after each applied change and confirms
// the freshness only after onChange has returned, so onChange must put the change into
// effect.
func NewSyncer(s store, r *Replica, f *Freshness, c bwclock.Clock, log hclog.Logger, onChange func()) *Syncer {
	return &Syncer{store: s, replica: r, freshness: f, clock: c, log: log, onChange: onChange}
}

// Run follows the store until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		from := s.clock.Now()
		err := s.step(ctx)
		if err == nil {
			continue
		}
		s.freshness.Fail(from)
		s.log.Warn("configuration could not be read from the store", "error", err)
		bwclock.Sleep(ctx, retryPause/2+rand.N(retryPause))
	}
}

// Ticker calls Tick at each TickInterval until ctx is done, so that a pause of the
// process is detected.
func (s *Syncer) Ticker(ctx context.Context) {
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

// step reads a complete listing if the replica needs one, and otherwise makes one watch
// call.
func (s *Syncer) step(ctx context.Context) error {
	if !s.listed {
		return s.list(ctx)
	}
	return s.watch(ctx)
}

func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listDeadline)
	defer cancel()
	from := s.clock.Now()
	var entries []bwstore.Entry
	revision := int64(-1)
	for _, prefix := range Prefixes() {
		l, err := s.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		entries = append(entries, l.Entries()...)
		if revision < 0 {
			// Listings of later prefixes may contain newer changes. The watch returns these
			// again, and a key is only applied at a higher revision.
			revision = l.Revision()
		}
	}
	s.replica.ApplyListing(entries, revision)
	s.listed = true
	s.onChange()
	s.freshness.Confirm(from)
	return nil
}

func (s *Syncer) watch(ctx context.Context) error {
	from := s.clock.Now()
	c, err := s.store.Watch(ctx, Prefixes(), s.replica.Version().Revision(), watchWait)
	if err != nil {
		return err
	}
	if c.IsCompacted() {
		s.listed = false
		return nil
	}
	s.replica.ApplyChanges(c.Entries(), c.Revision())
	if len(c.Entries()) > 0 {
		s.onChange()
	} else {
		// The store answered without changes after the whole wait, so the configuration
		// was current at its end.
		from = from.Add(watchWait)
	}
	s.freshness.Confirm(min(from, s.clock.Now()))
	return nil
}
