// Package bwdispatch queues and dispatches requests to the targets whose home is this entry.
//
// Each target has one home entry, chosen by rendezvous hashing over the live entries. Only
// the home accounts for the target's slots and connects to it. The requests of a service
// wait in one queue at the home. When a slot is free, the next request is taken from the
// queue, its idempotency key is claimed if its profile is non-idempotent, the configuration
// is checked for freshness, and the request is sent. After a membership change two entries
// can act as the home of a target for a short time and together send it more requests than
// it has slots. The target then replies that it is busy, which proves that it did not start
// the request.
//
// The outcome of each request is decided under one lock. A request that is cancelled or
// expires before its dispatch is guaranteed to end as notRun, because the transition to
// dispatched happens under the same lock.
package bwdispatch

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwtarget"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	retryAfter     = time.Second
	expiryInterval = 25 * time.Millisecond
	// finishedRetention is how long the id of a finished request is kept after its deadline.
	finishedRetention = time.Minute
	// tombstoneRetention is how long the id of a cancelled request is kept, including one
	// that has not arrived yet. It is longer than the longest deadline.
	tombstoneRetention = 11 * time.Minute
	purgeInterval      = 5 * time.Second
	// releaseTimeout bounds how long a notRun outcome waits for the release of the idempotency
	// key.
	releaseTimeout = 300 * time.Millisecond
)

// claimLog gives access to the claim log, which records who holds each idempotency key.
type claimLog interface {
	Claim(ctx context.Context, r *bwclaim.Record, window time.Duration) bwclaim.Result
	Settle(ctx context.Context, r *bwclaim.Record) bool
	IsLive(incarnation string) bool
}

// configGate reports whether the current configuration is fresh enough to dispatch requests.
type configGate interface {
	Gate(now bwclock.Time) bwconfig.Gate
}

// Dispatcher queues requests and dispatches them to the targets whose home is this entry.
// It is safe for concurrent use.
type Dispatcher struct {
	incarnation string
	clock       bwclock.Clock
	log         hclog.Logger
	claims      claimLog
	configGate  configGate
	policy      bwqueue.Policy
	dial        bwtarget.DialContext
	recorder    *bwaccount.Recorder
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu               sync.Mutex
	services         map[string]*service
	requests         map[string]*request
	finished         map[string]finishedRequest
	cancelTombstones map[string]bwclock.Time
	config           *bwconfig.Snapshot
	assignment       Assignment
	stopping         bool
	attemptCounter   int64
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithPolicy sets the order in which queued requests are served.
func WithPolicy(p bwqueue.Policy) Option {
	return func(dispatcher *Dispatcher) { dispatcher.policy = p }
}

// WithDial sets the dial function for connections to targets, for example to use in-memory
// connections in tests.
func WithDial(dial bwtarget.DialContext) Option {
	return func(dispatcher *Dispatcher) { dispatcher.dial = dial }
}

// WithLog sets the logger. The default discards all messages.
func WithLog(l hclog.Logger) Option { return func(dispatcher *Dispatcher) { dispatcher.log = l } }

// New returns a Dispatcher without targets. Configure adds them.
func New(incarnation string, clock bwclock.Clock, claims claimLog, gate configGate, recorder *bwaccount.Recorder, options ...Option) *Dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		incarnation:      incarnation,
		clock:            clock,
		log:              hclog.NewNullLogger(),
		claims:           claims,
		configGate:       gate,
		recorder:         recorder,
		ctx:              ctx,
		cancel:           cancel,
		services:         make(map[string]*service),
		requests:         make(map[string]*request),
		finished:         make(map[string]finishedRequest),
		cancelTombstones: make(map[string]bwclock.Time),
		config:           new(bwconfig.Snapshot),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Run expires queued requests and purges the ids of old requests until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()
	purgeTicker := time.NewTicker(purgeInterval)
	defer purgeTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiryTicker.C:
			d.expireQueued()
		case <-purgeTicker.C:
			d.purgeExpired()
		}
	}
}

// expireQueued ends the queued requests whose latest start time has passed. It also ends
// those of services without a usable target and starts queued requests on free targets.
func (d *Dispatcher) expireQueued() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, s := range d.services {
		for _, item := range s.queue.Expire(now) {
			req := d.requests[item.ID()]
			req.isQueued = false
			d.finish(req, req.stoppedOutcome(bwoutcome.Reason_deadlinePassed))
		}
		if s.queue.Len() > 0 && !s.isServing(now) {
			d.returnQueued(s)
		}
		d.startQueued(s)
	}
}

// returnQueued ends the queued requests of a service that has no usable target at this
// entry, so that the entries that received them can send them to another home.
func (d *Dispatcher) returnQueued(s *service) {
	for _, req := range d.requests {
		if req.spec.GetService() == s.name && d.removeFromQueue(req) {
			d.finish(req, req.stoppedOutcome(bwoutcome.Reason_notHome))
		}
	}
}

func (d *Dispatcher) purgeExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for id, f := range d.finished {
		if f.until <= now {
			delete(d.finished, id)
		}
	}
	for id, until := range d.cancelTombstones {
		if until <= now {
			delete(d.cancelTombstones, id)
		}
	}
}

// Submit runs a request and returns its outcome. If ctx is done first, a queued request is
// cancelled, while a dispatched one continues and its outcome is not returned.
func (d *Dispatcher) Submit(ctx context.Context, r *bwpeer.SubmitRequest) *bwpeer.SubmitReply {
	req, rejection := d.admit(r)
	if rejection != nil {
		return &bwpeer.SubmitReply{RequestId: r.GetRequestId(), Outcome: rejection}
	}
	select {
	case <-req.done:
	case <-ctx.Done():
		d.abandon(req)
		select {
		case <-req.done:
		default:
			return &bwpeer.SubmitReply{RequestId: r.GetRequestId(), Outcome: bwoutcome.Unknown(bwoutcome.Reason_homeLost)}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return &bwpeer.SubmitReply{
		RequestId:      r.GetRequestId(),
		Outcome:        req.outcome,
		Events:         req.events,
		RetryElsewhere: req.retryElsewhere,
	}
}

// admit queues a request, or returns the outcome of a request that is rejected. A request
// that is already pending is returned as it is.
func (d *Dispatcher) admit(r *bwpeer.SubmitRequest) (*request, *bwoutcome.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if req := d.requests[r.GetRequestId()]; req != nil {
		return req, nil
	}
	if _, ok := d.cancelTombstones[r.GetRequestId()]; ok {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_cancelled, 0)
	}
	if _, ok := d.finished[r.GetRequestId()]; ok {
		return nil, bwoutcome.Unknown(bwoutcome.Reason_answerNotKept)
	}
	s, rejection := d.checkAdmissible(r)
	if rejection != nil {
		return nil, rejection
	}
	deadline := now.Add(time.Duration(r.GetBudgetMillis()) * time.Millisecond)
	req := &request{
		spec:       r,
		profile:    d.config.Profile(r.GetProfile()),
		item:       bwqueue.NewItem(r.GetRequestId(), r.GetProfile(), r.GetCaller(), now, deadline),
		done:       make(chan struct{}),
		triedHosts: make(map[string]bool),
	}
	if admission := s.queue.Push(req.item, now); admission != bwqueue.Admitted {
		return nil, bwoutcome.NotRun(rejectionReason(admission), max(retryAfter, s.queue.ExpectedWait(r.GetProfile())))
	}
	s.budgets[r.GetProfile()].deposit()
	req.addEvent(bwaccount.EventKind_queued, d.incarnation, "", bwoutcome.Reason_none, now)
	req.isQueued = true
	d.requests[req.id()] = req
	d.openAccount(req, now)
	d.startQueued(s)
	return req, nil
}

// checkAdmissible returns the service of a request, or the outcome if the request cannot
// be queued at this entry.
func (d *Dispatcher) checkAdmissible(r *bwpeer.SubmitRequest) (*service, *bwoutcome.Outcome) {
	if d.stopping {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_entryStopping, retryAfter)
	}
	if xxhash.Sum64(r.GetBody()) != r.GetChecksum() {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_malformed, 0)
	}
	s := d.services[r.GetService()]
	if s == nil || !s.isServing(d.clock.Now()) {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_notHome, retryAfter)
	}
	p := d.config.Profile(r.GetProfile())
	if p == nil || p.GetPool() != s.pool {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_unknownProfile, 0)
	}
	if int(r.GetSize()) > s.maxCores {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_tooLarge, 0)
	}
	return s, nil
}

func rejectionReason(admission bwqueue.Admission) bwoutcome.Reason {
	switch admission {
	case bwqueue.QueueFull:
		return bwoutcome.Reason_queueFull
	case bwqueue.TooLate:
		return bwoutcome.Reason_deadlineUnreachable
	}
	return bwoutcome.Reason_unknownProfile
}

func (d *Dispatcher) openAccount(req *request, now bwclock.Time) {
	if req.spec.GetReceiver() == d.incarnation {
		return
	}
	d.recorder.Add(&bwaccount.Account{
		RequestId:      req.id(),
		IdempotencyKey: req.spec.GetIdempotencyKey(),
		Caller:         req.spec.GetCaller(),
		Profile:        req.spec.GetProfile(),
		Service:        req.spec.GetService(),
		ReceivedMillis: now.Millis(),
	})
}

// startQueued starts queued requests while targets have free slots. The caller must hold
// d.mu.
func (d *Dispatcher) startQueued(s *service) {
	now := d.clock.Now()
	for s.queue.Len() > 0 && s.hasFreeTarget(now) {
		item, ok := s.queue.Next()
		if !ok {
			return
		}
		req := d.requests[item.ID()]
		t := s.chooseTarget(req, now)
		if t == nil {
			s.queue.ReleaseSlot(item.Profile())
			s.queue.Requeue(item)
			return
		}
		t.inFlight++
		req.isQueued = false
		d.wg.Go(func() { d.runAttempt(s, req, t) })
	}
}

// finish sets the outcome of a request and closes its done channel, after the release of the
// idempotency key if the request did not run. The caller must hold d.mu.
func (d *Dispatcher) finish(req *request, o *bwoutcome.Outcome) {
	req.phase = phaseFinished
	req.outcome = o
	delete(d.requests, req.id())
	d.finished[req.id()] = finishedRequest{kind: o.GetKind(), until: req.deadline().Add(finishedRetention)}
	if req.spec.GetReceiver() != d.incarnation {
		d.recorder.AddEvents(req.id(), req.events...)
		d.recorder.SetOutcome(req.id(), o, req.abandoned)
	}
	switch {
	case req.claimAttemptID == "":
		close(req.done)
	case o.GetKind() == bwoutcome.Kind_notRun:
		d.releaseThenComplete(req, o)
	default:
		d.settleClaim(req, o)
		close(req.done)
	}
}

// releaseThenComplete releases the idempotency key before it reports the outcome, so that
// the next attempt, often the same request at another home, does not find the key held.
// If the store does not respond, the outcome is delayed by at most releaseTimeout.
func (d *Dispatcher) releaseThenComplete(req *request, o *bwoutcome.Outcome) {
	released := d.settleClaim(req, o)
	d.wg.Go(func() {
		timer := time.NewTimer(releaseTimeout)
		defer timer.Stop()
		select {
		case <-released:
		case <-timer.C:
		}
		close(req.done)
	})
}

// abandon cancels a request whose submitter has stopped waiting, and marks it as abandoned.
func (d *Dispatcher) abandon(req *request) {
	d.Cancel(req.id())
	d.mu.Lock()
	defer d.mu.Unlock()
	req.abandoned = true
	if req.phase == phaseFinished && req.spec.GetReceiver() != d.incarnation {
		d.recorder.SetOutcome(req.id(), req.outcome, true)
	}
}

// Cancel cancels a request that has not been dispatched. For a request that has not arrived
// at this entry it leaves a tombstone, so that the request does not run if it arrives later.
func (d *Dispatcher) Cancel(id string) bwpeer.CancelResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if f, ok := d.finished[id]; ok {
		return f.cancelResult()
	}
	req := d.requests[id]
	if req == nil {
		d.cancelTombstones[id] = now.Add(tombstoneRetention)
		return bwpeer.CancelResult_cancelledBeforeStart
	}
	req.cancelled = true
	req.addEvent(bwaccount.EventKind_cancelRequested, d.incarnation, "", bwoutcome.Reason_none, now)
	wasDispatched := req.phase == phaseDispatched
	if d.removeFromQueue(req) || !wasDispatched {
		d.finish(req, req.stoppedOutcome(bwoutcome.Reason_cancelled))
	}
	if wasDispatched {
		return bwpeer.CancelResult_alreadyRunning
	}
	d.cancelTombstones[id] = now.Add(tombstoneRetention)
	return bwpeer.CancelResult_cancelledBeforeStart
}

// finishedRequest is what is kept of a request after it has finished.
type finishedRequest struct {
	kind  bwoutcome.Kind
	until bwclock.Time
}

// cancelResult returns the result of cancelling a finished request. A request that ended as
// notRun has not run and never will, so it is reported as cancelled before its start.
func (f finishedRequest) cancelResult() bwpeer.CancelResult {
	if f.kind == bwoutcome.Kind_notRun {
		return bwpeer.CancelResult_cancelledBeforeStart
	}
	return bwpeer.CancelResult_alreadyFinished
}

// removeFromQueue removes the request from its queue and reports whether it was queued.
func (d *Dispatcher) removeFromQueue(req *request) bool {
	if !req.isQueued {
		return false
	}
	req.isQueued = false
	return d.services[req.spec.GetService()].queue.Remove(req.spec.GetProfile(), req.id())
}

// HostStatus returns the number of requests in flight to a host, and whether this entry is
// its home and may send more.
func (d *Dispatcher) HostStatus(host string) (inFlight int, dispatching bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		if t := s.targets[host]; t != nil {
			inFlight += t.inFlight
			dispatching = dispatching || t.isHomed
		}
	}
	return inFlight, dispatching
}

// Loads returns the load of each service that has targets at this entry.
func (d *Dispatcher) Loads() []*bwpeer.ServiceLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var loads []*bwpeer.ServiceLoad
	for _, s := range d.services {
		if len(s.targets) > 0 {
			loads = append(loads, s.load(now))
		}
	}
	return loads
}

// Stop rejects new requests, ends queued ones, as notRun unless an earlier attempt may have
// run, and waits until the running ones have finished and their claims are settled, or until
// ctx is done. It reports whether all of them finished.
func (d *Dispatcher) Stop(ctx context.Context) bool {
	d.mu.Lock()
	d.stopping = true
	for _, req := range d.requests {
		if d.removeFromQueue(req) {
			d.finish(req, req.stoppedOutcome(bwoutcome.Reason_entryStopping))
		}
	}
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		d.cancel()
		return true
	case <-ctx.Done():
		d.cancel()
		return false
	}
}
