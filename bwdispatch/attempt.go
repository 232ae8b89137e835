package bwdispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwtarget"
)

const (
	freshnessPollInterval = 10 * time.Millisecond
	settleRetryInterval   = 2 * time.Second
	maxSettleAttempts     = 30
	// notStartedFactor times the attempt limit is the number of times that targets may
	// decline a request before it ends as attemptsExhausted.
	notStartedFactor = 10
)

// runAttempt makes one attempt to execute a request on a target. It then completes the
// request or puts it back into the queue.
func (d *Dispatcher) runAttempt(s *service, req *request, t *target) {
	result, final := d.prepareAndSend(s, req, t)
	d.mu.Lock()
	defer d.mu.Unlock()
	t.inFlight--
	s.queue.ReleaseSlot(req.spec.GetProfile())
	if final == nil && req.phase != phaseFinished {
		final = d.handleResult(s, req, t, result)
	}
	switch {
	case req.phase == phaseFinished:
	case final != nil:
		d.finish(req, final)
	case d.stopping:
		d.finish(req, req.stoppedOutcome(bwoutcome.Reason_entryStopping))
	default:
		req.isQueued = true
		s.queue.Requeue(req.item)
	}
	if !t.isHomed && t.inFlight == 0 && s.targets[t.host.GetName()] == t {
		t.client.Close()
		delete(s.targets, t.host.GetName())
	}
	d.startQueued(s)
}

// prepareAndSend claims the idempotency key, waits for a fresh configuration and sends
// the request. It returns either the target's result or a final outcome; both are nil if
// the request goes back to the queue.
func (d *Dispatcher) prepareAndSend(s *service, req *request, t *target) (*bwtarget.Result, *bwoutcome.Outcome) {
	if final := d.claimKey(req); final != nil {
		return nil, final
	}
	if !d.waitForFreshConfig(req) {
		return nil, req.stoppedOutcome(bwoutcome.Reason_deadlinePassed)
	}
	attempt, ok := d.dispatch(s, req, t)
	if !ok {
		return nil, nil
	}
	started := d.clock.Now()
	result := t.client.Send(d.ctx, attempt)
	if result.Outcome().GetKind() == bwoutcome.Kind_ran {
		d.mu.Lock()
		s.queue.ObserveServiceTime(req.spec.GetProfile(), d.clock.Now().Sub(started))
		d.mu.Unlock()
	}
	return &result, nil
}

// claimKey acquires the idempotency key of a non-idempotent request. It returns nil if the
// request may run, otherwise its outcome.
func (d *Dispatcher) claimKey(req *request) *bwoutcome.Outcome {
	if req.profile.IsIdempotent() || req.claimAttemptID != "" {
		return nil
	}
	now := d.clock.Now()
	if now >= req.deadline() {
		return req.stoppedOutcome(bwoutcome.Reason_deadlinePassed)
	}
	attempt := d.nextAttemptID(req)
	record := bwclaim.NewRecord(req.spec.GetIdempotencyKey(), attempt, d.incarnation, req.id(), now, req.profile.KeyWindow())
	ctx, cancel := context.WithTimeout(d.ctx, req.deadline().Sub(now))
	defer cancel()
	result := d.claims.Claim(ctx, record, req.profile.KeyWindow())
	d.mu.Lock()
	defer d.mu.Unlock()
	req.claimAttemptID = attempt
	if req.phase == phaseFinished {
		// The request was cancelled during the claim, so the key is released.
		d.settleClaim(req, req.outcome)
		return req.outcome
	}
	if result.Verdict() == bwclaim.Granted {
		req.addEvent(bwaccount.EventKind_claimed, d.incarnation, "", bwoutcome.Reason_none, d.clock.Now())
		return nil
	}
	if result.Verdict() != bwclaim.Uncertain {
		// The claim log holds no record of this attempt, so there is nothing to release.
		req.claimAttemptID = ""
	}
	return d.deniedOutcome(result)
}

// deniedOutcome returns the outcome of a request whose idempotency key was not granted.
func (d *Dispatcher) deniedOutcome(result bwclaim.Result) *bwoutcome.Outcome {
	switch result.Verdict() {
	case bwclaim.Recorded:
		return replayedOutcome(result.Record())
	case bwclaim.HeldByOther:
		if d.claims.IsLive(result.Record().GetClaimant()) {
			return bwoutcome.Unknown(bwoutcome.Reason_inProgress)
		}
		return bwoutcome.Unknown(bwoutcome.Reason_claimantLost)
	case bwclaim.ShardFull:
		return bwoutcome.NotRun(bwoutcome.Reason_claimsFull, retryAfter)
	}
	return bwoutcome.NotRun(bwoutcome.Reason_storeUnavailable, retryAfter)
}

// replayedOutcome returns the recorded outcome of an earlier attempt, marked as replayed.
// If the response body was not kept, the outcome is unknown.
func replayedOutcome(r *bwclaim.Record) *bwoutcome.Outcome {
	recorded := r.GetOutcome()
	if recorded.GetKind() == bwoutcome.Kind_ran && !r.GetBodyKept() {
		return &bwoutcome.Outcome{
			Kind:     bwoutcome.Kind_unknown,
			Reason:   bwoutcome.Reason_answerNotKept,
			Status:   recorded.GetStatus(),
			Replayed: true,
		}
	}
	o := &bwoutcome.Outcome{
		Kind:        recorded.GetKind(),
		Reason:      recorded.GetReason(),
		Status:      recorded.GetStatus(),
		ContentType: recorded.GetContentType(),
		Body:        recorded.GetBody(),
		Checksum:    recorded.GetChecksum(),
		Replayed:    true,
	}
	return o
}

// settleClaim writes the outcome of a request that holds its idempotency key to the claim
// log in the background. If the request did not run, the key is released. The channel is
// closed when the record is written or the retries are exhausted. The caller must hold
// d.mu.
func (d *Dispatcher) settleClaim(req *request, o *bwoutcome.Outcome) <-chan struct{} {
	record := &bwclaim.Record{
		Key:           req.spec.GetIdempotencyKey(),
		State:         bwclaim.State_settled,
		Attempt:       req.claimAttemptID,
		Claimant:      d.incarnation,
		RequestId:     req.id(),
		AtMillis:      d.clock.Now().Millis(),
		ExpiresMillis: d.clock.Now().Add(req.profile.KeyWindow()).Millis(),
		Outcome: &bwoutcome.Outcome{
			Kind:        o.GetKind(),
			Reason:      o.GetReason(),
			Status:      o.GetStatus(),
			ContentType: o.GetContentType(),
			Body:        o.GetBody(),
			Checksum:    o.GetChecksum(),
		},
	}
	if o.GetKind() == bwoutcome.Kind_notRun {
		record.State = bwclaim.State_released
		record.Outcome = nil
	}
	recorded := make(chan struct{})
	d.wg.Go(func() {
		d.settleWithRetries(record)
		close(recorded)
	})
	return recorded
}

func (d *Dispatcher) settleWithRetries(record *bwclaim.Record) {
	for range maxSettleAttempts {
		if d.claims.Settle(d.ctx, record) {
			return
		}
		timer := time.NewTimer(settleRetryInterval)
		select {
		case <-d.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
	d.log.Error("cannot record the outcome of a claimed idempotency key", "requestId", record.GetRequestId(), "key", record.GetKey())
}

// waitForFreshConfig waits until the configuration is fresh enough to dispatch requests.
// It returns false if the deadline passes first.
func (d *Dispatcher) waitForFreshConfig(req *request) bool {
	for {
		now := d.clock.Now()
		if now >= req.deadline() {
			return false
		}
		if d.configGate.Gate(now) != bwconfig.GateHold {
			return true
		}
		time.Sleep(freshnessPollInterval)
	}
}

// dispatch marks the request as dispatched: from now on a target may execute it. It returns
// false if the request has finished or reached its deadline, or if this entry is no longer
// the home of the target.
func (d *Dispatcher) dispatch(s *service, req *request, t *target) (bwtarget.Attempt, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	isCurrent := t.isHomed && s.targets[t.host.GetName()] == t
	if req.phase == phaseFinished || !isCurrent || now >= req.deadline() {
		return bwtarget.Attempt{}, false
	}
	req.phase = phaseDispatched
	req.addEvent(bwaccount.EventKind_sent, d.incarnation, t.host.GetName(), bwoutcome.Reason_none, now)
	attempt := req.claimAttemptID
	if attempt == "" {
		attempt = d.nextAttemptIDLocked(req)
	}
	return bwtarget.Attempt{
		Service:     s.name,
		RequestID:   req.id(),
		AttemptID:   attempt,
		ContentType: req.spec.GetContentType(),
		Body:        req.spec.GetBody(),
		Timeout:     req.deadline().Sub(now),
	}, true
}

func (d *Dispatcher) nextAttemptID(req *request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextAttemptIDLocked(req)
}

func (d *Dispatcher) nextAttemptIDLocked(req *request) string {
	d.attemptCounter++
	return fmt.Sprintf("%s/%s/%d", req.id(), d.incarnation, d.attemptCounter)
}

// handleResult returns the final outcome of a request after an attempt, or nil if the
// request goes back to the queue. The caller must hold d.mu.
func (d *Dispatcher) handleResult(s *service, req *request, t *target, result *bwtarget.Result) *bwoutcome.Outcome {
	now := d.clock.Now()
	if result == nil {
		return nil
	}
	if result.IsNotStarted() {
		return d.handleNotStarted(s, req, t, result, now)
	}
	o := result.Outcome()
	req.attempts++
	req.triedHosts[t.host.GetName()] = true
	req.addEvent(bwaccount.EventKind_answered, d.incarnation, t.host.GetName(), o.GetReason(), now)
	if o.GetKind() == bwoutcome.Kind_ran && o.GetStatus() < http.StatusInternalServerError {
		t.health.RecordSuccess()
		d.confirmFailures(s, req, now)
		return o
	}
	d.attributeFailure(s, req, t, now)
	req.lastOutcome = o
	if !d.mayRetry(s, req, now) {
		return o
	}
	if !s.hasUntriedTarget(req, now) {
		req.retryElsewhere = true
		return o
	}
	req.addEvent(bwaccount.EventKind_retried, d.incarnation, "", bwoutcome.Reason_none, now)
	return nil
}

// handleNotStarted handles a request that the target provably did not start. It backs off
// from the target and returns nil, so that the request is queued again, unless the request
// was cancelled or has reached its limit.
func (d *Dispatcher) handleNotStarted(s *service, req *request, t *target, result *bwtarget.Result, now bwclock.Time) *bwoutcome.Outcome {
	req.addEvent(bwaccount.EventKind_refused, d.incarnation, t.host.GetName(), bwoutcome.Reason_noTarget, now)
	req.notStarted++
	if req.attempts == 0 {
		req.phase = phaseWaiting
	}
	switch {
	case result.IsUnreachable():
		t.backoffUntil = now.Add(busyBackoff)
		d.countFailure(s, req, t, now)
		req.triedHosts[t.host.GetName()] = true
	case result.NotStartedReason() == bwtarget.NotStartedBusy:
		t.backoffUntil = now.Add(busyBackoff)
	default:
		t.backoffUntil = now.Add(drainingBackoff)
	}
	if req.notStarted >= notStartedFactor*int(req.profile.GetAttemptLimit()) {
		return req.stoppedOutcome(bwoutcome.Reason_attemptsExhausted)
	}
	if req.cancelled {
		return req.stoppedOutcome(bwoutcome.Reason_cancelled)
	}
	return nil
}

// attributeFailure records a failure against the target. If the request has failed on
// another target as well, the request itself is assumed to be the cause, and its failures
// are discarded on every target.
func (d *Dispatcher) attributeFailure(s *service, req *request, t *target, now bwclock.Time) {
	if len(req.failedHosts) > 0 {
		for _, host := range req.failedHosts {
			if other := s.targets[host]; other != nil {
				other.health.DiscardFailure(req.id())
			}
		}
		return
	}
	req.failedHosts = append(req.failedHosts, t.host.GetName())
	d.countFailure(s, req, t, now)
}

// confirmFailures gives the request's earlier failures on other targets their full
// weight, because a target has now served the request.
func (d *Dispatcher) confirmFailures(s *service, req *request, now bwclock.Time) {
	for _, host := range req.failedHosts {
		if t := s.targets[host]; t != nil && t.health.ConfirmFailure(req.id()) {
			d.eject(s, t, now)
		}
	}
}

// countFailure records a failure of the target and ejects the target once the ejection
// threshold is reached.
func (d *Dispatcher) countFailure(s *service, req *request, t *target, now bwclock.Time) {
	if t.health.RecordFailure(req.id(), now) {
		d.eject(s, t, now)
	}
}

// eject takes the target out of service unless that would exceed the pool's ejection limit.
// The limit does not apply to a target that is being probed, which is counted as ejected
// already.
func (d *Dispatcher) eject(s *service, t *target, now bwclock.Time) {
	if t.health.State(now) == bwtarget.Healthy && !s.mayEject(now) {
		return
	}
	d.log.Warn("target ejected", "host", t.host.GetName(), "service", s.name)
	t.health.Eject(now)
}

// mayRetry reports whether a failed request may run again: only an idempotent request within
// its deadline and attempt limit may, if the retry budget of its profile has a token. It takes
// that token.
func (d *Dispatcher) mayRetry(s *service, req *request, now bwclock.Time) bool {
	if req.profile.GetRepetition() != bwprofile.Repetition_idempotent || req.cancelled || now >= req.deadline() {
		return false
	}
	if req.attempts >= int(req.profile.GetAttemptLimit()) {
		return false
	}
	return s.budgets[req.spec.GetProfile()].tryWithdraw()
}
