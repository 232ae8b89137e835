package bwconfig

import (
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
)

// The limits of Freshness. A host that is marked as leaving gets no new work 2 s after
// the mark can be read, so the age limit stays below that.
const (
	MaxAge       = 1500 * time.Millisecond
	MaxTickGap   = 500 * time.Millisecond
	TickInterval = 100 * time.Millisecond
)

// Gate says whether work may be sent by the present configuration.
type Gate int

// The states of a Gate.
const (
	// GateHold means that newer configuration may exist and has to be asked for first.
	GateHold Gate = iota
	// GateOpen means that the configuration was confirmed recently.
	GateOpen
	// GateBlind means that the store was asked recently and does not answer, while
	// others do, so the last known configuration stays in use. Without that witness the
	// fault may be the process's own network, and it holds.
	GateBlind
)

// String returns the state in lower camel case.
func (g Gate) String() string {
	switch g {
	case GateOpen:
		return "open"
	case GateBlind:
		return "blind"
	}
	return "hold"
}

// Freshness tracks how recently the configuration was confirmed and whether the
// process was paused. It is safe for concurrent use; the zero value holds.
type Freshness struct {
	mu          sync.Mutex
	confirmedAt bwclock.Time
	failedFrom  bwclock.Time
	witnessedAt bwclock.Time
	tickedAt    bwclock.Time
	pausedUntil bwclock.Time
}

// Confirm records that the configuration was current at the moment at.
func (f *Freshness) Confirm(at bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = max(f.confirmedAt, at)
}

// Fail records that a question to the store, asked at the moment from, had no answer.
func (f *Freshness) Fail(from bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedFrom = max(f.failedFrom, from)
}

// Witness records that a peer or the platform answered a call sent at the moment at.
func (f *Freshness) Witness(at bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.witnessedAt = max(f.witnessedAt, at)
}

// Tick is called at each TickInterval. A larger gap means that the process was paused.
func (f *Freshness) Tick(now bwclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteGap(now)
	f.tickedAt = now
}

func (f *Freshness) noteGap(now bwclock.Time) {
	if f.tickedAt != bwclock.Never && now.Sub(f.tickedAt) > MaxTickGap {
		f.pausedUntil = now
	}
}

// Gate decides whether work may be sent at the moment now.
func (f *Freshness) Gate(now bwclock.Time) Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteGap(now)
	if f.confirmedAt != bwclock.Never && now.Sub(f.confirmedAt) <= MaxAge {
		return GateOpen
	}
	isStoreSilent := f.failedFrom != bwclock.Never && f.failedFrom >= f.pausedUntil && f.failedFrom > f.confirmedAt
	isWitnessed := f.witnessedAt != bwclock.Never && now.Sub(f.witnessedAt) <= MaxAge
	if isStoreSilent && isWitnessed {
		return GateBlind
	}
	return GateHold
}

// Age returns the time since the last confirmation.
func (f *Freshness) Age(now bwclock.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmedAt)
}
