package bwhome

import (
	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwqueue"
)

// phase is how far a job has come.
type phase int

const (
	// phaseWaiting jobs have sent nothing that a target may have started.
	phaseWaiting phase = iota
	// phaseDispatched jobs may have been started by a target.
	phaseDispatched
	phaseFinished
)

// job is one request at its home entry. The home's lock guards it.
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

	// attempts counts the dispatches that a target may have started, bounces those that
	// it provably did not.
	attempts int
	bounces  int
	tried    map[string]bool
	failedOn []string
	// fallback is the outcome if no further attempt is made.
	fallback *bwoutcome.Outcome
	claim    string
	// retryElsewhere is set when another home should make the next attempt.
	retryElsewhere bool
}

func (j *job) id() string { return j.request.GetRequestId() }

func (j *job) deadline() bwclock.Time { return j.ticket.Deadline() }

// note adds an event to the job's account.
func (j *job) note(kind bwaccount.EventKind, entry, host string, r bwoutcome.Reason, now bwclock.Time) {
	j.events = append(j.events, &bwaccount.Event{
		Kind:     kind,
		AtMillis: now.Millis(),
		Entry:    entry,
		Host:     host,
		Reason:   r,
	})
}

// refuse returns the outcome of a job that stops now for the given reason: notRun if no
// target can have run it, otherwise what the earlier attempts left.
func (j *job) refuse(r bwoutcome.Reason) *bwoutcome.Outcome {
	if j.fallback != nil {
		return j.fallback
	}
	return bwoutcome.NotRun(r, retryAfter)
}
