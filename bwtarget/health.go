package bwtarget

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// ejectAfter is the number of different requests that must fail in a row.
	ejectAfter = 4
	// probation is how long an ejected target gets no requests before the first trial.
	probation = 3 * time.Second
	// maxProbation bounds the doubling of the probation.
	maxProbation = 30 * time.Second
)

// HealthState says whether a target receives requests.
type HealthState int

// The states of a target's health.
const (
	// Healthy targets receive requests.
	Healthy HealthState = iota
	// Ejected targets receive none until the probation ends.
	Ejected
	// OnTrial targets receive one request at a time.
	OnTrial
)

// String returns the state in lower camel case.
func (s HealthState) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case OnTrial:
		return "onTrial"
	}
	return "healthy"
}

// Health follows one target's failures. The zero value is healthy.
//
// Only failures of different requests in a row count, so that one request that can
// never run does not eject the targets that it visits.
type Health struct {
	failed    []string
	ejectedAt bwclock.Time
	wait      time.Duration
}

// State returns the health at the moment now.
func (h *Health) State(now bwclock.Time) HealthState {
	if h.ejectedAt == bwclock.Never {
		return Healthy
	}
	if now.Sub(h.ejectedAt) >= h.wait {
		return OnTrial
	}
	return Ejected
}

// Succeed records a request that the target served.
func (h *Health) Succeed() {
	h.failed = h.failed[:0]
	h.ejectedAt = bwclock.Never
	h.wait = 0
}

// Fail records a request that failed at the target. It reports whether the target
// should be ejected now; the caller decides whether the pool can do without it and
// then calls Eject.
func (h *Health) Fail(requestID string, now bwclock.Time) bool {
	if h.State(now) == OnTrial {
		return true
	}
	for _, id := range h.failed {
		if id == requestID {
			return false
		}
	}
	h.failed = append(h.failed, requestID)
	return h.ejectedAt == bwclock.Never && len(h.failed) >= ejectAfter
}

// Forgive takes back the failures of a request that fails on every target.
func (h *Health) Forgive(requestID string) {
	for i, id := range h.failed {
		if id == requestID {
			h.failed = append(h.failed[:i], h.failed[i+1:]...)
			return
		}
	}
}

// Eject takes the target out of service for the probation, doubled at each repetition.
func (h *Health) Eject(now bwclock.Time) {
	h.wait = min(max(2*h.wait, probation), maxProbation)
	h.ejectedAt = now
	h.failed = h.failed[:0]
}

// FailureCount returns the number of different requests that failed in a row.
func (h *Health) FailureCount() int { return len(h.failed) }
