package bwdispatch

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

// request is one admitted request at its home entry. It is guarded by Dispatcher.mu.
type request struct {
	spec      *bwpeer.SubmitRequest
	profile   *bwprofile.Profile
	item      bwqueue.Item
	phase     phase
	isQueued  bool
	cancelled bool
	abandoned bool
	done      chan struct{}
	outcome   *bwoutcome.Outcome
	events    []*bwaccount.Event

	// attempts counts the dispatches that a target may have started. notStarted counts those
	// that the target provably did not start.
	attempts    int
	notStarted  int
	triedHosts  map[string]bool
	failedHosts []string
	// lastOutcome is the outcome of the last failed attempt. It becomes the final outcome
	// if no further attempt is made.
	lastOutcome *bwoutcome.Outcome
	// claimAttemptID is the attempt id under which the idempotency key may have been claimed,
	// or empty.
	claimAttemptID string
	// retryElsewhere is set if another home should make the next attempt.
	retryElsewhere bool
}

func (req *request) id() string { return req.spec.GetRequestId() }

func (req *request) deadline() bwclock.Time { return req.item.Deadline() }

// addEvent appends an event to the request's history.
func (req *request) addEvent(kind bwaccount.EventKind, entry, host string, r bwoutcome.Reason, now bwclock.Time) {
	req.events = append(req.events, &bwaccount.Event{
		Kind:     kind,
		AtMillis: now.Millis(),
		Entry:    entry,
		Host:     host,
		Reason:   r,
	})
}

// stoppedOutcome returns the outcome of a request that ends now for the given reason: the
// outcome of the last failed attempt if there is one, otherwise notRun.
func (req *request) stoppedOutcome(r bwoutcome.Reason) *bwoutcome.Outcome {
	if req.lastOutcome != nil {
		return req.lastOutcome
	}
	return bwoutcome.NotRun(r, retryAfter)
}
