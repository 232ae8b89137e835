package bwentry

import (
	"context"
	"strconv"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwroute"
)

const (
	// maxSubmitAttempts limits the attempts of a request, each of which submits it to a home or
	// waits because no home has a target for it.
	maxSubmitAttempts = 4
	// maxOtherHomeRetries limits how often an idempotent request that failed at one home
	// is retried at another.
	maxOtherHomeRetries = 1
	// replyGrace is how long after the deadline the reply of a home may arrive.
	replyGrace         = 500 * time.Millisecond
	cancelTimeout      = 500 * time.Millisecond
	noTargetRetryDelay = 50 * time.Millisecond
	minRetryAfter      = time.Second
)

// nextRequestID returns an id that starts with the incarnation of this entry.
func (e *Entry) nextRequestID() string {
	return e.incarnation + "-" + strconv.FormatInt(e.requestSequence.Add(1), 36)
}

// execute runs a request at a home of its service and records its account.
func (e *Entry) execute(ctx context.Context, r *bwpeer.SubmitRequest) *bwoutcome.Outcome {
	now := e.clock.Now()
	deadline := now.Add(time.Duration(r.GetBudgetMillis()) * time.Millisecond)
	e.addAccount(r, now)
	e.addPending(r.GetRequestId())
	o := e.submitToHomes(ctx, r, deadline)
	e.removePending(r.GetRequestId())
	e.recorder.SetOutcome(r.GetRequestId(), o, true)
	e.metrics.countRequest(r, o, e.clock.Now().Sub(now))
	return o
}

// recordRejection records the account of a request that was rejected before it was routed to
// a home.
func (e *Entry) recordRejection(r *bwpeer.SubmitRequest, o *bwoutcome.Outcome) {
	e.addAccount(r, e.clock.Now())
	e.recorder.SetOutcome(r.GetRequestId(), o, true)
	e.metrics.countRejection(o)
}

func (e *Entry) addAccount(r *bwpeer.SubmitRequest, now bwclock.Time) {
	e.recorder.Add(&bwaccount.Account{
		RequestId:      r.GetRequestId(),
		IdempotencyKey: r.GetIdempotencyKey(),
		Caller:         r.GetCaller(),
		Profile:        r.GetProfile(),
		Service:        r.GetService(),
		ReceivedMillis: now.Millis(),
		Receiver:       true,
		Events:         []*bwaccount.Event{{AtMillis: now.Millis(), Entry: e.incarnation}},
	})
}

// submitToHomes tries homes until one returns an outcome. If an earlier home may have run
// the request, a later home that rejects it does not disprove that, so the result is the
// earlier outcome.
func (e *Entry) submitToHomes(ctx context.Context, r *bwpeer.SubmitRequest, deadline bwclock.Time) *bwoutcome.Outcome {
	var uncertain *bwoutcome.Outcome
	retries := 0
	excluded := make(map[string]bool)
	for range maxSubmitAttempts {
		budget := deadline.Sub(e.clock.Now())
		if budget <= 0 {
			return preferUncertain(uncertain, bwoutcome.NotRun(bwoutcome.Reason_deadlinePassed, minRetryAfter))
		}
		choice := e.chooseHome(r, budget, excluded)
		if choice.RejectionReason() != bwoutcome.Reason_none {
			if choice.RejectionReason() == bwoutcome.Reason_noTarget && len(excluded) > 0 {
				// Membership may be changing; an excluded home may accept the request now.
				clear(excluded)
				sleep(ctx, noTargetRetryDelay)
				continue
			}
			return preferUncertain(uncertain, bwoutcome.NotRun(choice.RejectionReason(), max(minRetryAfter, choice.ShortestWait())))
		}
		if !e.setPendingHome(r.GetRequestId(), choice.Member(), uncertain != nil) {
			return preferUncertain(uncertain, bwoutcome.NotRun(bwoutcome.Reason_cancelled, 0))
		}
		r.BudgetMillis = budget.Milliseconds()
		o, retryElsewhere := e.submitTo(ctx, choice.Member(), r, budget)
		switch {
		case retryElsewhere && retries < maxOtherHomeRetries && ctx.Err() == nil:
			// The request has failed on each of the home's targets.
			retries++
			uncertain = o
			excluded[choice.Member().ID()] = true
		case o.GetKind() == bwoutcome.Kind_notRun && mayRetryAtOtherHome(o.GetReason()) && ctx.Err() == nil:
			excluded[choice.Member().ID()] = true
		case o.GetKind() == bwoutcome.Kind_unknown && o.GetReason() == bwoutcome.Reason_homeLost && ctx.Err() == nil:
			// Another home may run the request: either it is idempotent or the claim of
			// its key prevents a second run.
			uncertain = o
			excluded[choice.Member().ID()] = true
		case o.GetKind() == bwoutcome.Kind_notRun:
			return preferUncertain(uncertain, o)
		default:
			return o
		}
	}
	return preferUncertain(uncertain, bwoutcome.NotRun(bwoutcome.Reason_noTarget, minRetryAfter))
}

// preferUncertain returns the outcome of an earlier home that may have run the request, or
// o if there is none.
func preferUncertain(uncertain, o *bwoutcome.Outcome) *bwoutcome.Outcome {
	if uncertain != nil {
		return uncertain
	}
	return o
}

// mayRetryAtOtherHome reports whether another home may accept a request that was rejected
// for the reason.
func mayRetryAtOtherHome(r bwoutcome.Reason) bool {
	switch r {
	case bwoutcome.Reason_notHome, bwoutcome.Reason_entryStopping, bwoutcome.Reason_homeLost:
		return true
	}
	return false
}

func (e *Entry) chooseHome(r *bwpeer.SubmitRequest, budget time.Duration, excluded map[string]bool) bwroute.Choice {
	q := bwroute.Query{
		Service:    r.GetService(),
		Profile:    r.GetProfile(),
		DataCentre: e.identity.DataCentre,
		Budget:     budget,
		Excluded:   excluded,
	}
	table := e.membership.currentTable()
	e.randomMu.Lock()
	defer e.randomMu.Unlock()
	return bwroute.Choose(table, e.routePolicy, q, e.random)
}

// submitTo runs the request at one home and returns the outcome. It also reports whether an
// idempotent request failed there and should be retried at another home.
func (e *Entry) submitTo(ctx context.Context, m bwmember.Member, r *bwpeer.SubmitRequest, budget time.Duration) (*bwoutcome.Outcome, bool) {
	e.recordForward(r, m)
	if m.IsSelf() {
		reply := e.dispatcher.Submit(ctx, r)
		e.recorder.AddEvents(r.GetRequestId(), reply.GetEvents()...)
		return reply.GetOutcome(), reply.GetRetryElsewhere()
	}
	reply, err := e.submitRemote(ctx, m, r, budget)
	if err != nil {
		return e.resolveLostReply(m, r, err), false
	}
	if reply.GetRequestId() != r.GetRequestId() || !reply.GetOutcome().HasValidChecksum() {
		return bwoutcome.Unknown(bwoutcome.Reason_answerInvalid), false
	}
	e.recorder.AddEvents(r.GetRequestId(), reply.GetEvents()...)
	return reply.GetOutcome(), reply.GetRetryElsewhere()
}

func (e *Entry) submitRemote(ctx context.Context, m bwmember.Member, r *bwpeer.SubmitRequest, budget time.Duration) (*bwpeer.SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, budget+replyGrace)
	defer cancel()
	stop := context.AfterFunc(e.membership.callContextOf(m), cancel)
	defer stop()
	return e.peers.Client(ctx, m.Address()).Submit(ctx, r)
}

// resolveLostReply returns the outcome of a request that got no reply from its home,
// after an attempt to cancel it there. Only a reply from the same incarnation of that
// entry proves that the request did not run.
func (e *Entry) resolveLostReply(m bwmember.Member, r *bwpeer.SubmitRequest, err error) *bwoutcome.Outcome {
	if bwpeer.IsDialError(err) {
		return bwoutcome.NotRun(bwoutcome.Reason_homeLost, minRetryAfter)
	}
	e.log.Warn("no reply from home entry; cancelling the request there", "requestId", r.GetRequestId(), "home", m.ID(), "error", err)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	reply, err := e.peers.Client(ctx, m.Address()).Cancel(ctx, &bwpeer.CancelRequest{RequestId: r.GetRequestId()})
	isSameIncarnation := err == nil && reply.GetIncarnation() == m.Incarnation()
	if isSameIncarnation && reply.GetResult() == bwpeer.CancelResult_cancelledBeforeStart {
		return bwoutcome.NotRun(bwoutcome.Reason_homeLost, minRetryAfter)
	}
	e.recorder.AddEvents(r.GetRequestId(), &bwaccount.Event{
		Kind:     bwaccount.EventKind_doubted,
		AtMillis: e.clock.Now().Millis(),
		Entry:    e.incarnation,
		Host:     m.ID(),
		Reason:   bwoutcome.Reason_homeLost,
	})
	return bwoutcome.Unknown(bwoutcome.Reason_homeLost)
}

func (e *Entry) recordForward(r *bwpeer.SubmitRequest, m bwmember.Member) {
	e.recorder.AddEvents(r.GetRequestId(), &bwaccount.Event{
		Kind:     bwaccount.EventKind_forwarded,
		AtMillis: e.clock.Now().Millis(),
		Entry:    e.incarnation,
		Host:     m.ID(),
	})
}

// pendingRequest is a request that this entry has received and not answered yet.
type pendingRequest struct {
	home      bwmember.Member
	hasHome   bool
	cancelled bool
	// mayHaveRun is set when an earlier home may have run the request.
	mayHaveRun bool
}

func (e *Entry) addPending(id string) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	e.pending[id] = new(pendingRequest)
}

// setPendingHome records the home that the request is submitted to next. It reports false
// if the request was cancelled; the request must not be submitted then.
func (e *Entry) setPendingHome(id string, m bwmember.Member, mayHaveRun bool) bool {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	p := e.pending[id]
	p.mayHaveRun = mayHaveRun
	if p.cancelled {
		return false
	}
	p.home, p.hasHome = m, true
	return true
}

func (e *Entry) removePending(id string) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	delete(e.pending, id)
}

// markCancelled marks a request as cancelled and returns a copy of its state.
func (e *Entry) markCancelled(id string) (p pendingRequest, ok bool) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	found := e.pending[id]
	if found == nil {
		return pendingRequest{}, false
	}
	found.cancelled = true
	return *found, true
}

// cancel cancels a request that this entry received, at the home to which it was submitted.
// A request that is marked as cancelled is not submitted to another home, so the reply of its
// current home is final.
func (e *Entry) cancel(ctx context.Context, id string) bwpeer.CancelResult {
	p, ok := e.markCancelled(id)
	if !ok && len(e.recorder.Find(bwaccount.ByRequest(id))) > 0 {
		return bwpeer.CancelResult_alreadyFinished
	}
	if !ok {
		return bwpeer.CancelResult_notFound
	}
	result := bwpeer.CancelResult_cancelledBeforeStart
	switch {
	case p.hasHome && p.home.IsSelf():
		result = e.dispatcher.Cancel(id)
	case p.hasHome:
		result = e.cancelAt(ctx, p.home, id)
	}
	if p.mayHaveRun && result == bwpeer.CancelResult_cancelledBeforeStart {
		return bwpeer.CancelResult_alreadyRunning
	}
	return result
}

// cancelAt asks another entry to cancel the request. Only a reply from the incarnation
// that the request was submitted to is conclusive.
func (e *Entry) cancelAt(ctx context.Context, m bwmember.Member, id string) bwpeer.CancelResult {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	reply, err := e.peers.Client(ctx, m.Address()).Cancel(ctx, &bwpeer.CancelRequest{RequestId: id})
	if err != nil || reply.GetIncarnation() != m.Incarnation() {
		return bwpeer.CancelResult_notFound
	}
	return reply.GetResult()
}
