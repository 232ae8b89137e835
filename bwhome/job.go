package bwhome

import (
	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwqueue"
)

// phase is the stage of a request's processing.
type phase int

const (
	// phaseWaiting means that no target can have started the request.
	phaseWaiting phase = iota
	// phaseDispatched means that a target may have started the request.
	phaseDispatched
	phaseFinished
)

// job is a request that was admitted at its home entry. It is guarded by Home.mu.
type job struct {
	request   *bwpeer.SubmitRequest
	profile   *bwprofile.Profile
	ticket    bwqueue.Ticket
	phase     phase
	isQueued  bool
	cancelled bool
	abandoned bool
	done      chan struct{}
	outcome   *bwoutcome.Outcome
	events    []*bwaccount.Event

	// attempts counts the dispatches that a target may have started. bounces counts those
	// that the target provably did not start.
	attempts int
	bounces  int
	tried    map[string]bool
	failedOn []string
	// fallback is the outcome of the last failed attempt. It becomes the final outcome if no
	// further attempt is made.
	fallback *bwoutcome.Outcome
	// claim is the id of the attempt whose claim of the idempotency key may be in the claim
	// log, or empty.
	claim string
	// retryElsewhere is set if another home should make the next attempt.
	retryElsewhere bool
}

func (j *job) id() string { return j.request.GetRequestId() }

func (j *job) deadline() bwclock.Time { return j.ticket.Deadline() }

// note appends an event to the request's history.
func (j *job) note(kind bwaccount.EventKind, entry, host string, r bwoutcome.Reason, now bwclock.Time) {
	j.events = append(j.events, &bwaccount.Event{
		Kind:     kind,
		AtMillis: now.Millis(),
		Entry:    entry,
		Host:     host,
		Reason:   r,
	})
}

// refuse returns the outcome of a request that ends now for the given reason: the outcome of
// the last failed attempt if there is one, otherwise notRun.
func (j *job) refuse(r bwoutcome.Reason) *bwoutcome.Outcome {
	if j.fallback != nil {
		return j.fallback
	}
	return bwoutcome.NotRun(r, retryAfter)
}
