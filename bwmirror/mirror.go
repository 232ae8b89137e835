// Package bwmirror keeps a local copy of the keys under one prefix of the key-value service.
//
// A Mirror lists the prefix once and then watches it with long-polling reads. After any
// failure it lists again, because changes may have been missed if a watch was interrupted or
// the store has compacted its history. It also lists again when values change faster than
// they are transferred: a watch returns every version of a value, a list only the latest. Each
// change is delivered once, in the order of revisions; an older state of a key is never
// delivered after a newer one.
package bwmirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
	"github.com/hashicorp/go-hclog"
)

const (
	// watchWait is the duration of one long-polling read. It bounds how long a dead
	// connection goes unnoticed.
	watchWait = 1000 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 200 * time.Millisecond
	// slowRead is the duration of a read from which its transfer, not the wait for a change,
	// determines the age of the mirror.
	slowRead = 500 * time.Millisecond
	// failureLogInterval is the minimum time between two log lines about a series of failures.
	failureLogInterval = 5 * time.Second
)

// Source is the part of the key-value service that a Mirror reads. List returns every item
// under a prefix and the revision from which Watch can continue.
type Source interface {
	List(ctx context.Context, prefix string) ([]bwkv.Item, int64, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bwkv.Item, int64, error)
}

// Mirror is a local copy of the keys under one prefix. It is safe for concurrent use.
type Mirror struct {
	source      Source
	prefix      string
	clock       bwclock.Clock
	log         hclog.Logger
	minInterval time.Duration
	onChange    func(changes []bwkv.Item)

	mu       sync.Mutex
	items    map[string]bwkv.Item
	revision int64
	isLoaded bool
	freshAt  bwclock.Time
	// failures counts the failed calls since the mirror was created.
	failures int
	outage   outage
}

// outage is a series of failed calls without a successful one between them.
type outage struct {
	since    bwclock.Time
	failures int
	loggedAt bwclock.Time
}

// Option configures a Mirror.
type Option func(*Mirror)

// WithMinInterval sets the minimum time between two reads, which batches the changes of a
// prefix that changes often.
func WithMinInterval(d time.Duration) Option {
	return func(m *Mirror) { m.minInterval = d }
}

// WithOnChange sets a function that receives every change. The goroutine of Run calls it.
func WithOnChange(f func(changes []bwkv.Item)) Option {
	return func(m *Mirror) { m.onChange = f }
}

// New returns an empty Mirror of prefix. Run loads and updates it.
func New(source Source, prefix string, clock bwclock.Clock, log hclog.Logger, options ...Option) *Mirror {
	m := &Mirror{source: source, prefix: prefix, clock: clock, log: log, items: make(map[string]bwkv.Item), onChange: func([]bwkv.Item) {}}
	for _, o := range options {
		o(m)
	}
	return m
}

// Items returns a copy of the items and whether they have been loaded yet.
func (m *Mirror) Items() (map[string]bwkv.Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make(map[string]bwkv.Item, len(m.items))
	for k, v := range m.items {
		items[k] = v
	}
	return items, m.isLoaded
}

// Covers reports whether the mirror includes all changes up to a revision.
func (m *Mirror) Covers(revision int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isLoaded && m.revision >= revision
}

// Revision returns the revision up to which the mirror includes all changes; 0 if it is not loaded.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// FreshAt returns the latest time at which the mirror was known to be up to date.
func (m *Mirror) FreshAt() bwclock.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freshAt
}

// Prefix returns the prefix of the mirrored keys.
func (m *Mirror) Prefix() string { return m.prefix }

// Failures returns the number of failed calls since the mirror was created.
func (m *Mirror) Failures() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures
}

// Run lists and watches the prefix until ctx is done.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		isBehind, err := m.load(ctx)
		if err != nil {
			m.handleFailure(ctx, "list", err)
			continue
		}
		if isBehind {
			continue
		}
		if err := m.watch(ctx); err != nil {
			m.handleFailure(ctx, "watch", err)
		}
	}
}

// handleFailure logs a failure and waits before the next attempt. After a compaction the
// next attempt follows at once.
func (m *Mirror) handleFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, bwkv.ErrCompacted) {
		m.log.Info("store history is compacted; listing again", "prefix", m.prefix)
		return
	}
	m.recordFailure(call, err)
	bwclock.Sleep(ctx, retryDelay)
}

// recordFailure counts a failure. It logs the first of a series, and later ones at most once
// per failureLogInterval.
func (m *Mirror) recordFailure(call string, err error) {
	now := m.clock.Now()
	m.mu.Lock()
	m.failures++
	if m.outage.failures == 0 {
		m.outage.since = now
	}
	m.outage.failures++
	isDue := m.outage.failures == 1 || now.Sub(m.outage.loggedAt) >= failureLogInterval
	if isDue {
		m.outage.loggedAt = now
	}
	failures, revision, age := m.outage.failures, m.revision, m.age(now)
	m.mu.Unlock()
	if isDue {
		m.log.Warn("store does not answer", "prefix", m.prefix, "call", call, "failures", failures,
			"revision", revision, "age", age, "error", err.Error())
	}
}

// age describes the age of the copy for the log. The caller holds the lock.
func (m *Mirror) age(now bwclock.Time) string {
	if !m.isLoaded {
		return "never loaded"
	}
	return now.Sub(m.freshAt).String()
}

// endOutage ends a series of failures after a successful call.
func (m *Mirror) endOutage() {
	m.mu.Lock()
	ended := m.outage
	m.outage = outage{}
	m.mu.Unlock()
	if ended.failures > 0 {
		m.log.Info("store answers again", "prefix", m.prefix, "failures", ended.failures, "after", m.clock.Now().Sub(ended.since).String())
	}
}

// load lists the prefix and applies the result. Items of the mirror that are no longer listed
// are applied as removals. It reports whether the mirror is behind: the list had changes and
// took so long that there may be more.
func (m *Mirror) load(ctx context.Context) (isBehind bool, err error) {
	sentAt := m.clock.Now()
	items, revision, err := m.source.List(ctx, m.prefix)
	if err != nil {
		return false, err
	}
	isSlow := m.clock.Now().Sub(sentAt) >= slowRead
	listed := make(map[string]bool, len(items))
	changes := items
	for _, item := range items {
		listed[item.Key] = true
	}
	m.mu.Lock()
	isFirst := !m.isLoaded
	for key := range m.items {
		if !listed[key] {
			changes = append(changes, bwkv.Item{Key: key, Revision: revision, IsRemoved: true})
		}
	}
	m.mu.Unlock()
	applied := m.apply(changes, revision, sentAt)
	return !isFirst && isSlow && applied > 0, nil
}

// watch applies changes to the prefix until a call fails, the mirror is behind or ctx is done.
// The mirror is behind if a slow reply had several versions of one key.
func (m *Mirror) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := m.clock.Now()
		m.mu.Lock()
		after := m.revision
		m.mu.Unlock()
		changes, revision, err := m.source.Watch(ctx, m.prefix, after, watchWait)
		if err != nil {
			return err
		}
		took := m.clock.Now().Sub(sentAt)
		m.apply(changes, revision, sentAt)
		if took >= slowRead && hasRepeatedKey(changes) {
			m.log.Info("values change faster than they are read; listing again", "prefix", m.prefix, "changes", len(changes), "took", took.String())
			return nil
		}
		bwclock.Sleep(ctx, m.minInterval-m.clock.Now().Sub(sentAt))
	}
	return ctx.Err()
}

func hasRepeatedKey(changes []bwkv.Item) bool {
	seen := make(map[string]bool, len(changes))
	for _, c := range changes {
		if seen[c.Key] {
			return true
		}
		seen[c.Key] = true
	}
	return false
}

// apply merges changes into the items, skipping those that are not newer, and returns how many
// were newer. sentAt is when the read that returned them was sent.
func (m *Mirror) apply(changes []bwkv.Item, revision int64, sentAt bwclock.Time) int {
	m.endOutage()
	var applied []bwkv.Item
	m.mu.Lock()
	for _, c := range changes {
		if old, ok := m.items[c.Key]; ok && old.Revision >= c.Revision || !ok && c.IsRemoved {
			continue
		}
		if c.IsRemoved {
			delete(m.items, c.Key)
		} else {
			m.items[c.Key] = c
		}
		applied = append(applied, c)
	}
	isFirstLoad := !m.isLoaded
	m.revision = revision
	m.isLoaded = true
	m.freshAt = sentAt
	m.mu.Unlock()
	if len(applied) > 0 || isFirstLoad {
		m.onChange(applied)
	}
	return len(applied)
}
