package bwtarget

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// unconfirmedFailureWeight is the weight of a failed request that has not succeeded
	// on another target since.
	unconfirmedFailureWeight = 1
	// confirmedFailureWeight is the weight of a failed request that has then succeeded on
	// another target, which shows that the failure was not due to the request.
	confirmedFailureWeight = 4
	// ejectionThreshold is the total weight of consecutive failures at which a target is
	// ejected.
	ejectionThreshold = 12
	// baseEjectionTime is how long a target receives no requests after its first ejection.
	baseEjectionTime = 3 * time.Second
	// maxEjectionTime bounds the ejection time, which doubles with each consecutive ejection.
	maxEjectionTime = 30 * time.Second
)

// HealthState determines whether a target receives requests.
type HealthState int

// The health states of a target.
const (
	// Healthy means that the target receives requests.
	Healthy HealthState = iota
	// Ejected means that the target receives no requests until its ejection time ends.
	Ejected
	// Probing means that the target receives one request at a time. A success makes it
	// healthy, a failure ejects it again. It is written out as "onTrial".
	Probing
)

// String returns the name of the state as it is written in dumps.
func (s HealthState) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case Probing:
		return "onTrial"
	}
	return "healthy"
}

// Health tracks the failures of one target. The zero value is healthy.
//
// Only consecutive failures count, and each request counts once. A failure gains weight when
// the same request succeeds on another target, and is discarded when the request fails there
// as well. Otherwise requests that always fail would eject the targets to which they are sent.
type Health struct {
	failures  []failure
	ejectedAt bwclock.Time
	// ejectionTime is the duration of the current ejection.
	ejectionTime time.Duration
}

// failure is one failed request and its weight.
type failure struct {
	requestID string
	weight    int
}

// State returns the health state at time now.
func (h *Health) State(now bwclock.Time) HealthState {
	if h.ejectedAt == bwclock.Never {
		return Healthy
	}
	if now.Sub(h.ejectedAt) >= h.ejectionTime {
		return Probing
	}
	return Ejected
}

// RecordSuccess records a request that the target served. It discards the earlier
// failures and ends an ejection.
func (h *Health) RecordSuccess() {
	h.failures = h.failures[:0]
	h.ejectedAt = bwclock.Never
	h.ejectionTime = 0
}

// RecordFailure records a request that failed on the target. It reports whether the
// target should be ejected now, which is always the case if the target is being probed.
// The dispatcher then checks the pool's ejection limit and calls Eject.
func (h *Health) RecordFailure(requestID string, now bwclock.Time) bool {
	if h.State(now) == Probing {
		return true
	}
	for _, f := range h.failures {
		if f.requestID == requestID {
			return false
		}
	}
	h.failures = append(h.failures, failure{requestID: requestID, weight: unconfirmedFailureWeight})
	return h.reachesEjectionThreshold()
}

// ConfirmFailure records that another target served a request that failed on this one. It
// reports whether the target should be ejected now.
func (h *Health) ConfirmFailure(requestID string) bool {
	for i := range h.failures {
		if h.failures[i].requestID == requestID {
			h.failures[i].weight = confirmedFailureWeight
		}
	}
	return h.reachesEjectionThreshold()
}

func (h *Health) reachesEjectionThreshold() bool {
	weight := 0
	for _, f := range h.failures {
		weight += f.weight
	}
	return h.ejectedAt == bwclock.Never && weight >= ejectionThreshold
}

// DiscardFailure discards the failure of a request that has failed on other targets as well.
func (h *Health) DiscardFailure(requestID string) {
	for i, f := range h.failures {
		if f.requestID == requestID {
			h.failures = append(h.failures[:i], h.failures[i+1:]...)
			return
		}
	}
}

// Eject takes the target out of service. The ejection time doubles with each consecutive
// ejection, up to maxEjectionTime.
func (h *Health) Eject(now bwclock.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejectedAt = now
	h.failures = h.failures[:0]
}
