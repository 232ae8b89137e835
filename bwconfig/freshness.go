package bwconfig

import (
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
)

// Time limits of Freshness. A host that is marked as leaving must get no new work later
// than 2 s after the mark can be read, so MaxAge is below that.
const (
	MaxAge       = 1500 * time.Millisecond
	MaxTickGap   = 500 * time.Millisecond
	TickInterval = 100 * time.Millisecond
)

// Gate tells whether requests may be dispatched with the current configuration.
type Gate int

// The states of a Gate.
const (
	// GateHold means that newer configuration may exist and has to be fetched first.
	GateHold Gate = iota
	// GateOpen means that the configuration was confirmed recently.
	GateOpen
	// GateFailStatic means that the store does not respond to recent calls but a peer or
	// the platform does, so the last known configuration stays in use. Without such a
	// response the fault may be in the process's own network, and the state is GateHold.
	// It is written out as "blind".
	GateFailStatic
)

// String returns the state in lower camel case.
func (g Gate) String() string {
	switch g {
	case GateOpen:
		return "open"
	case GateFailStatic:
		return "blind"
	}
	return "hold"
}

// Freshness tracks how recently the configuration was confirmed as current and whether
// the process was paused. It is safe for concurrent use. The zero value is in the state
// GateHold.
type Freshness struct {
	mu          sync.Mutex
	confirmedAt bwclock.Time
	// storeFailedAt is the send time of the last call to the store that failed.
	storeFailedAt bwclock.Time
	// connectivityAt is the send time of the last call that a peer or the platform
	// answered.
	connectivityAt bwclock.Time
	lastTickAt     bwclock.Time
	// pausedUntil is the time at which a pause was last detected.
	pausedUntil bwclock.Time
}

// RecordConfirmation records that the configuration was current at the given time.
func (f *Freshness) RecordConfirmation(at bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = max(f.confirmedAt, at)
}

// RecordStoreFailure records that a call to the store, sent at the given time, failed.
func (f *Freshness) RecordStoreFailure(sentAt bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailedAt = max(f.storeFailedAt, sentAt)
}

// RecordConnectivity records that a peer or the platform answered a call sent at the given
// time, which proves that the process's own network works.
func (f *Freshness) RecordConnectivity(sentAt bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connectivityAt = max(f.connectivityAt, sentAt)
}

// Tick must be called at each TickInterval. A gap of more than MaxTickGap means that the
// process was paused.
func (f *Freshness) Tick(now bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectPause(now)
	f.lastTickAt = now
}

func (f *Freshness) detectPause(now bwclock.Time) {
	if f.lastTickAt != bwclock.Never && now.Sub(f.lastTickAt) > MaxTickGap {
		f.pausedUntil = now
	}
}

// Gate decides whether requests may be dispatched at the time now. A failed call to the
// store only counts if it was sent after the last pause and after the last confirmation.
func (f *Freshness) Gate(now bwclock.Time) Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectPause(now)
	if f.confirmedAt != bwclock.Never && now.Sub(f.confirmedAt) <= MaxAge {
		return GateOpen
	}
	isStoreUnreachable := f.storeFailedAt != bwclock.Never && f.storeFailedAt >= f.pausedUntil && f.storeFailedAt > f.confirmedAt
	hasConnectivity := f.connectivityAt != bwclock.Never && now.Sub(f.connectivityAt) <= MaxAge
	if isStoreUnreachable && hasConnectivity {
		return GateFailStatic
	}
	return GateHold
}

// Age returns the time since the configuration was last confirmed as current.
func (f *Freshness) Age(now bwclock.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmedAt)
}
