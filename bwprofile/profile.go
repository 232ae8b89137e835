// Package bwprofile implements profiles and teams.
//
// A profile is a named set of guarantees and limits for the requests that run under it:
// guaranteed capacity, urgency, idempotency, timeout, attempts and queue length. It
// belongs to a team, whose quota limits the sum of the guaranteed slots of its profiles.
// The message types are generated; this file adds defaults, validation of operator input
// and typed durations.
package bwprofile

import (
	"fmt"
	"regexp"
	"time"
)

// Defaults and upper limits of the fields of a profile.
const (
	DefaultTimeout      = 10 * time.Second
	DefaultAttemptLimit = 3
	DefaultQueueLimit   = 1000
	DefaultKeyWindow    = 10 * time.Minute
	DefaultRetryRatio   = 0.1
	MaxTimeout          = 10 * time.Minute
	MaxKeyWindow        = 24 * time.Hour
	MaxAttemptLimit     = 10
	MaxQueueLimit       = 100_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// IsValidName reports whether s is a valid name or id: 1 to 63 lower-case letters, digits
// and hyphens that do not begin with a hyphen.
func IsValidName(s string) bool {
	return namePattern.MatchString(s)
}

// SetDefaults sets the unset fields of p to their defaults in place and returns p.
func (p *Profile) SetDefaults() *Profile {
	if p.TimeoutMillis == 0 {
		p.TimeoutMillis = DefaultTimeout.Milliseconds()
	}
	if p.AttemptLimit == 0 {
		p.AttemptLimit = DefaultAttemptLimit
	}
	if p.QueueLimit == 0 {
		p.QueueLimit = DefaultQueueLimit
	}
	if p.KeyWindowMillis == 0 {
		p.KeyWindowMillis = DefaultKeyWindow.Milliseconds()
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = DefaultRetryRatio
	}
	return p
}

// Validate returns a message for each invalid field of p; p is valid if there are none.
func (p *Profile) Validate() []string {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(IsValidName(p.GetName()), "name %q: use lower-case letters, digits and hyphens", p.GetName())
	require(IsValidName(p.GetTeam()), "team %q: use lower-case letters, digits and hyphens", p.GetTeam())
	require(IsValidName(p.GetPool()), "pool %q: use lower-case letters, digits and hyphens", p.GetPool())
	require(p.GetGuaranteedSlots() >= 0, "guaranteedSlots %v: must not be negative", p.GetGuaranteedSlots())
	require(p.Timeout() > 0 && p.Timeout() <= MaxTimeout, "timeoutMillis %d: must lie in 1..%d", p.GetTimeoutMillis(), MaxTimeout.Milliseconds())
	require(p.GetAttemptLimit() >= 1 && p.GetAttemptLimit() <= MaxAttemptLimit, "attemptLimit %d: must lie in 1..%d", p.GetAttemptLimit(), MaxAttemptLimit)
	require(p.GetQueueLimit() >= 1 && p.GetQueueLimit() <= MaxQueueLimit, "queueLimit %d: must lie in 1..%d", p.GetQueueLimit(), MaxQueueLimit)
	require(p.KeyWindow() >= p.Timeout() && p.KeyWindow() <= MaxKeyWindow, "keyWindowMillis %d: must lie between the timeout and %d", p.GetKeyWindowMillis(), MaxKeyWindow.Milliseconds())
	require(p.GetRetryRatio() >= 0 && p.GetRetryRatio() <= 1, "retryRatio %v: must lie in 0..1", p.GetRetryRatio())
	_, isKnownUrgency := Urgency_name[int32(p.GetUrgency())]
	require(isKnownUrgency, "urgency %d: unknown", p.GetUrgency())
	return problems
}

// Timeout returns the default timeout of a request.
func (p *Profile) Timeout() time.Duration {
	return time.Duration(p.GetTimeoutMillis()) * time.Millisecond
}

// KeyWindow returns how long an idempotency key is retained.
func (p *Profile) KeyWindow() time.Duration {
	return time.Duration(p.GetKeyWindowMillis()) * time.Millisecond
}

// IsIdempotent reports whether requests under p may execute more than once.
func (p *Profile) IsIdempotent() bool {
	return p.GetRepetition() == Repetition_idempotent
}

// Validate returns a message for each invalid field of t.
func (t *Team) Validate() []string {
	var problems []string
	if !IsValidName(t.GetName()) {
		problems = append(problems, fmt.Sprintf("name %q: use lower-case letters, digits and hyphens", t.GetName()))
	}
	if t.GetQuotaSlots() < 0 {
		problems = append(problems, fmt.Sprintf("quotaSlots %v: must not be negative", t.GetQuotaSlots()))
	}
	return problems
}
