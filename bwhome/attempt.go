package bwhome

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
	gateInterval   = 10 * time.Millisecond
	settleTimeout  = 2 * time.Second
	settleAttempts = 30
	bounceFactor   = 10
)

// run makes one attempt of a job on a target and decides what follows.
func (h *Home) run(s *service, j *job, t *target) {
	result, final := h.attempt(s, j, t)
	h.mu.Lock()
	defer h.mu.Unlock()
	t.inFlight--
	s.queue.Finish(j.request.GetProfile())
	if final == nil && j.phase != phaseFinished {
		final = h.judge(s, j, t, result)
	}
	switch {
	case j.phase == phaseFinished:
	case final != nil:
		h.finish(j, final)
	case h.stopping:
		h.finish(j, j.refuse(bwoutcome.Reason_entryStopping))
	default:
		j.isQueued = true
		s.queue.Requeue(j.ticket)
	}
	if !t.isHomed && t.inFlight == 0 && s.targets[t.host.GetName()] == t {
		t.client.Close()
		delete(s.targets, t.host.GetName())
	}
	h.pump(s)
}

// attempt prepares the job and sends it. It returns either the target's result or a
// final outcome; both are nil when the job goes back to the queue.
func (h *Home) attempt(s *service, j *job, t *target) (*bwtarget.Result, *bwoutcome.Outcome) {
	if final := h.claim(j); final != nil {
		return nil, final
	}
	if !h.waitForGate(j) {
		return nil, j.refuse(bwoutcome.Reason_deadlinePassed)
	}
	attempt, ok := h.dispatch(s, j, t)
	if !ok {
		return nil, nil
	}
	started := h.clock.Now()
	result := t.client.Send(h.ctx, attempt)
	if result.Outcome().GetKind() == bwoutcome.Kind_ran {
		h.mu.Lock()
		s.queue.Learn(j.request.GetProfile(), h.clock.Now().Sub(started))
		h.mu.Unlock()
	}
	return &result, nil
}

// claim obtains the idempotency key of a non-idempotent job. It returns the outcome
// when the job must not run.
func (h *Home) claim(j *job) *bwoutcome.Outcome {
	if j.profile.IsIdempotent() || j.claim != "" {
		return nil
	}
	now := h.clock.Now()
	if now >= j.deadline() {
		return j.refuse(bwoutcome.Reason_deadlinePassed)
	}
	attempt := h.nextAttempt(j)
	r := bwclaim.NewRecord(j.request.GetIdempotencyKey(), attempt, h.incarnation, j.id(), now, j.profile.KeyWindow())
	ctx, cancel := context.WithTimeout(h.ctx, j.deadline().Sub(now))
	defer cancel()
	a := h.claims.Claim(ctx, r, j.profile.KeyWindow())
	h.mu.Lock()
	defer h.mu.Unlock()
	j.claim = attempt
	if j.phase == phaseFinished {
		// A cancellation came during the claim; the key is freed again.
		h.settle(j, j.outcome)
		return j.outcome
	}
	if a.Verdict() == bwclaim.Granted {
		j.note(bwaccount.EventKind_claimed, h.incarnation, "", bwoutcome.Reason_none, h.clock.Now())
		return nil
	}
	if a.Verdict() != bwclaim.Uncertain {
		// Nothing stands in the log for this attempt, so there is nothing to release.
		j.claim = ""
	}
	return h.denied(a)
}

// denied returns the outcome of a job whose claim was not granted.
func (h *Home) denied(a bwclaim.Result) *bwoutcome.Outcome {
	switch a.Verdict() {
	case bwclaim.Recorded:
		return replay(a.Record())
	case bwclaim.HeldByOther:
		if h.claims.IsLive(a.Record().GetClaimant()) {
			return bwoutcome.Unknown(bwoutcome.Reason_inProgress)
		}
		return bwoutcome.Unknown(bwoutcome.Reason_claimantLost)
	case bwclaim.ShardFull:
		return bwoutcome.NotRun(bwoutcome.Reason_claimsFull, retryAfter)
	}
	return bwoutcome.NotRun(bwoutcome.Reason_storeUnavailable, retryAfter)
}

// replay returns the recorded outcome of an earlier attempt.
func replay(r *bwclaim.Record) *bwoutcome.Outcome {
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

// settle writes the outcome of a claimed job to the log in the background; the caller
// holds the lock. A job that did not run releases its key. The channel closes when the
// outcome is noted or given up.
func (h *Home) settle(j *job, o *bwoutcome.Outcome) <-chan struct{} {
	r := &bwclaim.Record{
		Key:           j.request.GetIdempotencyKey(),
		State:         bwclaim.State_settled,
		Attempt:       j.claim,
		Claimant:      h.incarnation,
		RequestId:     j.id(),
		AtMillis:      h.clock.Now().Millis(),
		ExpiresMillis: h.clock.Now().Add(j.profile.KeyWindow()).Millis(),
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
		r.State = bwclaim.State_released
		r.Outcome = nil
	}
	noted := make(chan struct{})
	h.group.Go(func() {
		h.settleUntilNoted(r)
		close(noted)
	})
	return noted
}

func (h *Home) settleUntilNoted(r *bwclaim.Record) {
	for range settleAttempts {
		if h.claims.Settle(h.ctx, r) {
			return
		}
		timer := time.NewTimer(settleTimeout)
		select {
		case <-h.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
	h.log.Error("outcome of a claim could not be recorded", "requestId", r.GetRequestId(), "key", r.GetKey())
}

// waitForGate waits until the configuration is fresh enough to send work by, and
// reports false when the deadline passes first.
func (h *Home) waitForGate(j *job) bool {
	for {
		now := h.clock.Now()
		if now >= j.deadline() {
			return false
		}
		if h.gate.Gate(now) != bwconfig.GateHold {
			return true
		}
		time.Sleep(gateInterval)
	}
}

// dispatch is the point after which a target may run the job. It reports false when
// the job or the target changed while the job was prepared.
func (h *Home) dispatch(s *service, j *job, t *target) (bwtarget.Attempt, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	isCurrent := t.isHomed && s.targets[t.host.GetName()] == t
	if j.phase == phaseFinished || !isCurrent || now >= j.deadline() {
		return bwtarget.Attempt{}, false
	}
	j.phase = phaseDispatched
	j.note(bwaccount.EventKind_sent, h.incarnation, t.host.GetName(), bwoutcome.Reason_none, now)
	attempt := j.claim
	if attempt == "" {
		attempt = h.nextAttemptLocked(j)
	}
	return bwtarget.Attempt{
		Service:     s.name,
		RequestID:   j.id(),
		AttemptID:   attempt,
		ContentType: j.request.GetContentType(),
		Body:        j.request.GetBody(),
		Timeout:     j.deadline().Sub(now),
	}, true
}

func (h *Home) nextAttempt(j *job) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nextAttemptLocked(j)
}

func (h *Home) nextAttemptLocked(j *job) string {
	h.attempts++
	return fmt.Sprintf("%s/%s/%d", j.id(), h.incarnation, h.attempts)
}

// judge decides what follows from a target's result; nil sends the job back to the
// queue. The caller holds the lock.
func (h *Home) judge(s *service, j *job, t *target, r *bwtarget.Result) *bwoutcome.Outcome {
	now := h.clock.Now()
	if r == nil {
		return nil
	}
	if r.IsNotStarted() {
		return h.bounce(s, j, t, r, now)
	}
	o := r.Outcome()
	j.attempts++
	j.tried[t.host.GetName()] = true
	j.note(bwaccount.EventKind_answered, h.incarnation, t.host.GetName(), o.GetReason(), now)
	if o.GetKind() == bwoutcome.Kind_ran && o.GetStatus() < http.StatusInternalServerError {
		t.health.Succeed()
		h.convict(s, j, now)
		return o
	}
	h.blame(s, j, t, now)
	j.fallback = o
	if !h.mayRetry(s, j, now) {
		return o
	}
	if !s.hasUntried(j, now) {
		j.retryElsewhere = true
		return o
	}
	j.note(bwaccount.EventKind_retried, h.incarnation, "", bwoutcome.Reason_none, now)
	return nil
}

// bounce handles a request that the target provably did not start.
func (h *Home) bounce(s *service, j *job, t *target, r *bwtarget.Result, now bwclock.Time) *bwoutcome.Outcome {
	j.note(bwaccount.EventKind_refused, h.incarnation, t.host.GetName(), bwoutcome.Reason_noTarget, now)
	j.bounces++
	if j.attempts == 0 {
		j.phase = phaseWaiting
	}
	switch {
	case r.IsUnreachable():
		t.pauseUntil = now.Add(busyPause)
		h.countFailure(s, j, t, now)
		j.tried[t.host.GetName()] = true
	case r.Refusal() == bwtarget.NotStartedBusy:
		t.pauseUntil = now.Add(busyPause)
	default:
		t.pauseUntil = now.Add(drainingPause)
	}
	if j.bounces >= bounceFactor*int(j.profile.GetAttemptLimit()) {
		return j.refuse(bwoutcome.Reason_attemptsExhausted)
	}
	if j.cancelled {
		return j.refuse(bwoutcome.Reason_cancelled)
	}
	return nil
}

// blame counts a failure against the target, unless the request fails on other targets
// as well and is therefore at fault itself.
func (h *Home) blame(s *service, j *job, t *target, now bwclock.Time) {
	if len(j.failedOn) > 0 {
		for _, host := range j.failedOn {
			if other := s.targets[host]; other != nil {
				other.health.Forgive(j.id())
			}
		}
		return
	}
	j.failedOn = append(j.failedOn, t.host.GetName())
	h.countFailure(s, j, t, now)
}

// convict counts the job's earlier failures fully against their targets, since another
// target has served it.
func (h *Home) convict(s *service, j *job, now bwclock.Time) {
	for _, host := range j.failedOn {
		if t := s.targets[host]; t != nil && t.health.Convict(j.id()) {
			h.eject(s, t, now)
		}
	}
}

// countFailure ejects the target after enough failures.
func (h *Home) countFailure(s *service, j *job, t *target, now bwclock.Time) {
	if t.health.Fail(j.id(), now) {
		h.eject(s, t, now)
	}
}

// eject takes the target out of service if the pool can do without it. A target on trial
// is out of service already.
func (h *Home) eject(s *service, t *target, now bwclock.Time) {
	if t.health.State(now) == bwtarget.Healthy && !s.mayEject(now) {
		return
	}
	h.log.Warn("target ejected", "host", t.host.GetName(), "service", s.name)
	t.health.Eject(now)
}

// mayRetry reports whether an idempotent job that failed may run again.
func (h *Home) mayRetry(s *service, j *job, now bwclock.Time) bool {
	if j.profile.GetRepetition() != bwprofile.Repetition_idempotent || j.cancelled || now >= j.deadline() {
		return false
	}
	if j.attempts >= int(j.profile.GetAttemptLimit()) {
		return false
	}
	return s.budgets[j.request.GetProfile()].withdraw()
}
