package bwtarget

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// suspicion is the weight of a failure without a second opinion.
	suspicion = 1
	// conviction is the weight of a failure whose request another target served.
	conviction = 4
	// ejectWeight is the weight of failures in a row at which a target is ejected.
	ejectWeight = 12
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
// Only failures of different requests in a row count. A failure weighs more once the
// same request has succeeded on another target, and nothing once it has failed there as
// well, so that requests that can never run do not eject the targets that they visit.
type Health struct {
	failed    []failure
	ejectedAt bwclock.Time
	wait      time.Duration
}

// failure is one request that failed, with its weight.
type failure struct {
	requestID string
	weight    int
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
	for _, f := range h.failed {
		if f.requestID == requestID {
			return false
		}
	}
	h.failed = append(h.failed, failure{requestID: requestID, weight: suspicion})
	return h.isGuilty()
}

// Convict records that another target served a request that failed here. It reports
// whether the target should be ejected now.
func (h *Health) Convict(requestID string) bool {
	for i := range h.failed {
		if h.failed[i].requestID == requestID {
			h.failed[i].weight = conviction
		}
	}
	return h.isGuilty()
}

func (h *Health) isGuilty() bool {
	weight := 0
	for _, f := range h.failed {
		weight += f.weight
	}
	return h.ejectedAt == bwclock.Never && weight >= ejectWeight
}

// Forgive takes back the failures of a request that fails on every target.
func (h *Health) Forgive(requestID string) {
	for i, f := range h.failed {
		if f.requestID == requestID {
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
