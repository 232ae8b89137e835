// Package bwoutcome represents what is known about the execution of a request.
//
// An Outcome has one of three kinds. Ran carries the complete response of a target.
// NotRun means that no target has executed the request and that none will. Unknown means
// that a target may have executed it. Outcomes are values, not errors: this package
// creates them, verifies the checksum of a response, and maps them to the HTTP status
// that a caller receives.
package bwoutcome

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ran returns the outcome of a request that a target executed.
func Ran(status int32, contentType string, body []byte) *Outcome {
	return &Outcome{
		Kind:        Kind_ran,
		Status:      status,
		ContentType: contentType,
		Body:        body,
		Checksum:    xxhash.Sum64(body),
	}
}

// NotRun returns the outcome of a request that no target has executed or will execute.
func NotRun(r Reason, retryAfter time.Duration) *Outcome {
	return &Outcome{Kind: Kind_notRun, Reason: r, RetryAfterMillis: retryAfter.Milliseconds()}
}

// Unknown returns the outcome of a request that a target may have executed.
func Unknown(r Reason) *Outcome {
	return &Outcome{Kind: Kind_unknown, Reason: r}
}

// HasValidChecksum reports whether the response body of o matches its checksum. It
// returns true if o carries no response.
func (o *Outcome) HasValidChecksum() bool {
	return o.GetKind() != Kind_ran || o.GetChecksum() == xxhash.Sum64(o.GetBody())
}

// HTTPStatus returns the HTTP status code that a caller receives for o.
func (o *Outcome) HTTPStatus() int {
	switch o.GetKind() {
	case Kind_ran:
		return int(o.GetStatus())
	case Kind_notRun:
		return o.GetReason().notRunStatus()
	}
	switch o.GetReason() {
	case Reason_targetTimeout, Reason_homeLost, Reason_inProgress:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// notRunStatus returns the HTTP status code of a NotRun outcome with reason r.
func (r Reason) notRunStatus() int {
	switch r {
	case Reason_malformed:
		return http.StatusBadRequest
	case Reason_unknownProfile:
		return http.StatusNotFound
	case Reason_tooLarge:
		return http.StatusRequestEntityTooLarge
	case Reason_queueFull, Reason_deadlineUnreachable, Reason_floodShed, Reason_cancelled:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// Message returns a human-readable message for r, for operators and callers.
func (r Reason) Message() string {
	if message, ok := reasonMessages[r]; ok {
		return message
	}
	return "no further reason is known"
}

var reasonMessages = map[Reason]string{
	Reason_malformed:           "the request is malformed",
	Reason_unknownProfile:      "the profile does not exist or serves another service",
	Reason_tooLarge:            "the request is larger than any host of the pool can run",
	Reason_queueFull:           "the queue of the profile is full",
	Reason_deadlineUnreachable: "the expected wait is longer than the time left until the deadline",
	Reason_deadlinePassed:      "the deadline passed while the request was queued",
	Reason_cancelled:           "the caller cancelled the request before it started",
	Reason_noTarget:            "no host of the pool accepts work",
	Reason_notHome:             "the entry does not serve any host of the service",
	Reason_storeUnavailable:    "the claim could not be stored, so the non-idempotent request was not started",
	Reason_entryStopping:       "the entry is stopping",
	Reason_attemptsExhausted:   "every allowed attempt was refused by its host before it started",
	Reason_claimsFull:          "the claim log has no room for another key",
	Reason_floodShed:           "the profile offers more work than its share and the pool has no spare capacity",
	Reason_notReady:            "the entry has no configuration yet",
	Reason_inProgress:          "another request with the same idempotency key is in progress",
	Reason_connectionLost:      "the connection to the host was lost before the whole answer arrived",
	Reason_answerInvalid:       "the host's answer was incomplete or belonged to another request",
	Reason_answerNotKept:       "the request ran, but its answer was too large to keep",
	Reason_homeLost:            "the entry that held the request did not answer",
	Reason_claimantLost:        "the entry that held the idempotency key was lost before it recorded an outcome",
	Reason_targetTimeout:       "the host did not answer before the deadline",
}
