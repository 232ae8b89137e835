// Package bwhome queues and dispatches requests to the targets whose home is this entry.
//
// Each target has one home entry, chosen by rendezvous hashing over the live entries. Only
// the home accounts for the target's slots and connects to it. The requests of a service
// wait in one queue at the home. When a slot is free, the next request is taken from the
// queue, its idempotency key is claimed if its profile is non-idempotent, the configuration
// is checked for freshness, and the request is sent. After a membership change two entries
// can act as the home of a target for a short time. The target then replies that it is
// busy, which proves that it did not start the request.
//
// The outcome of each request is decided under one lock. A request that is cancelled or
// expires before its dispatch is guaranteed to end as notRun, because the transition to
// dispatched happens under the same lock.
package bwhome

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
	// memory is how long the id of a finished request is kept after its deadline.
	memory = time.Minute
	// orphanMemory is how long the id of a cancelled request is kept, including one that has
	// not arrived yet. It is longer than the longest deadline.
	orphanMemory   = 11 * time.Minute
	forgetInterval = 5 * time.Second
	// releasePatience bounds how long a notRun outcome is held back until the idempotency key
	// is released.
	releasePatience = 300 * time.Millisecond
)

// claims gives access to the claim log, which records who holds each idempotency key.
type claims interface {
	Claim(ctx context.Context, r *bwclaim.Record, window time.Duration) bwclaim.Answer
	Settle(ctx context.Context, r *bwclaim.Record) bool
	IsLive(incarnation string) bool
}

// gate reports whether the current configuration is fresh enough to dispatch requests.
type gate interface {
	Gate(now bwclock.Time) bwconfig.Gate
}

// Home queues requests and dispatches them to the targets whose home is this entry. It is
// safe for concurrent use.
type Home struct {
	incarnation string
	clock       bwclock.Clock
	log         hclog.Logger
	claims      claims
	gate        gate
	policy      bwqueue.Policy
	dial        bwtarget.DialContext
	book        *bwaccount.Book
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup

	mu         sync.Mutex
	services   map[string]*service
	jobs       map[string]*job
	finished   map[string]finishedJob
	refused    map[string]bwclock.Time
	version    *bwconfig.Version
	assignment Assignment
	stopping   bool
	attempts   int64
}

// Option configures a Home.
type Option func(*Home)

// WithPolicy sets the order in which queued requests are served.
func WithPolicy(p bwqueue.Policy) Option { return func(h *Home) { h.policy = p } }

// WithDial sets the dial function for connections to targets, for example to use in-memory
// connections in tests.
func WithDial(d bwtarget.DialContext) Option { return func(h *Home) { h.dial = d } }

// WithLog sets the logger. The default discards all messages.
func WithLog(l hclog.Logger) Option { return func(h *Home) { h.log = l } }

// New returns a Home without targets. Configure adds them.
func New(incarnation string, c bwclock.Clock, cl claims, g gate, b *bwaccount.Book, options ...Option) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		incarnation: incarnation,
		clock:       c,
		log:         hclog.NewNullLogger(),
		claims:      cl,
		gate:        g,
		book:        b,
		ctx:         ctx,
		cancel:      cancel,
		services:    make(map[string]*service),
		jobs:        make(map[string]*job),
		finished:    make(map[string]finishedJob),
		refused:     make(map[string]bwclock.Time),
		version:     new(bwconfig.Version),
	}
	for _, o := range options {
		o(h)
	}
	return h
}

// Run expires queued requests and purges the ids of old requests until ctx is done.
func (h *Home) Run(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.expire()
		case <-forget.C:
			h.forget()
		}
	}
}

func (h *Home) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, s := range h.services {
		for _, t := range s.queue.Expire(now) {
			j := h.jobs[t.ID()]
			j.isQueued = false
			h.finish(j, j.refuse(bwoutcome.Reason_deadlinePassed))
		}
		if s.queue.Len() > 0 && !s.isServing(now) {
			h.giveBack(s)
		}
		h.pump(s)
	}
}

// giveBack ends the queued requests of a service that has no usable target at this entry, so
// that the entries that received them can send them to another home.
func (h *Home) giveBack(s *service) {
	for _, j := range h.jobs {
		if j.request.GetService() == s.name && h.unqueue(j) {
			h.finish(j, j.refuse(bwoutcome.Reason_notHome))
		}
	}
}

func (h *Home) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for id, f := range h.finished {
		if f.until <= now {
			delete(h.finished, id)
		}
	}
	for id, until := range h.refused {
		if until <= now {
			delete(h.refused, id)
		}
	}
}

// Submit runs a request and returns its outcome. If ctx is done first, a queued request is
// cancelled, while a dispatched one continues and its outcome is not returned.
func (h *Home) Submit(ctx context.Context, r *bwpeer.SubmitRequest) *bwpeer.SubmitReply {
	j, refusal := h.admit(r)
	if refusal != nil {
		return &bwpeer.SubmitReply{RequestId: r.GetRequestId(), Outcome: refusal}
	}
	select {
	case <-j.done:
	case <-ctx.Done():
		h.abandon(j)
		select {
		case <-j.done:
		default:
			return &bwpeer.SubmitReply{RequestId: r.GetRequestId(), Outcome: bwoutcome.Unknown(bwoutcome.Reason_homeLost)}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return &bwpeer.SubmitReply{
		RequestId:      r.GetRequestId(),
		Outcome:        j.outcome,
		Events:         j.events,
		RetryElsewhere: j.retryElsewhere,
	}
}

// admit queues a request, or returns the outcome of a request that is rejected. A request
// that is already pending is returned as it is.
func (h *Home) admit(r *bwpeer.SubmitRequest) (*job, *bwoutcome.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if j := h.jobs[r.GetRequestId()]; j != nil {
		return j, nil
	}
	if _, ok := h.refused[r.GetRequestId()]; ok {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_cancelled, 0)
	}
	if _, ok := h.finished[r.GetRequestId()]; ok {
		return nil, bwoutcome.Unknown(bwoutcome.Reason_answerNotKept)
	}
	s, refusal := h.check(r)
	if refusal != nil {
		return nil, refusal
	}
	deadline := now.Add(time.Duration(r.GetBudgetMillis()) * time.Millisecond)
	j := &job{
		request: r,
		profile: h.version.Profile(r.GetProfile()),
		ticket:  bwqueue.NewTicket(r.GetRequestId(), r.GetProfile(), r.GetCaller(), now, deadline),
		done:    make(chan struct{}),
		tried:   make(map[string]bool),
	}
	if a := s.queue.Push(j.ticket, now); a != bwqueue.Admitted {
		return nil, bwoutcome.NotRun(reasonOf(a), max(retryAfter, s.queue.Wait(r.GetProfile())))
	}
	s.budgets[r.GetProfile()].deposit()
	j.note(bwaccount.EventKind_queued, h.incarnation, "", bwoutcome.Reason_none, now)
	j.isQueued = true
	h.jobs[j.id()] = j
	h.openAccount(j, now)
	h.pump(s)
	return j, nil
}

// check returns the service of a request, or the outcome if the request cannot be queued at
// this entry.
func (h *Home) check(r *bwpeer.SubmitRequest) (*service, *bwoutcome.Outcome) {
	if h.stopping {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_entryStopping, retryAfter)
	}
	if xxhash.Sum64(r.GetBody()) != r.GetChecksum() {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_malformed, 0)
	}
	s := h.services[r.GetService()]
	if s == nil || !s.isServing(h.clock.Now()) {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_notHome, retryAfter)
	}
	p := h.version.Profile(r.GetProfile())
	if p == nil || p.GetPool() != s.pool {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_unknownProfile, 0)
	}
	if int(r.GetSize()) > s.maxCores {
		return nil, bwoutcome.NotRun(bwoutcome.Reason_tooLarge, 0)
	}
	return s, nil
}

func reasonOf(a bwqueue.Admission) bwoutcome.Reason {
	switch a {
	case bwqueue.QueueFull:
		return bwoutcome.Reason_queueFull
	case bwqueue.TooLate:
		return bwoutcome.Reason_deadlineUnreachable
	}
	return bwoutcome.Reason_unknownProfile
}

func (h *Home) openAccount(j *job, now bwclock.Time) {
	if j.request.GetReceiver() == h.incarnation {
		return
	}
	h.book.Open(&bwaccount.Account{
		RequestId:      j.id(),
		IdempotencyKey: j.request.GetIdempotencyKey(),
		Caller:         j.request.GetCaller(),
		Profile:        j.request.GetProfile(),
		Service:        j.request.GetService(),
		ReceivedMillis: now.Millis(),
	})
}

// pump starts queued requests while targets have free slots. The caller must hold h.mu.
func (h *Home) pump(s *service) {
	now := h.clock.Now()
	for s.queue.Len() > 0 && s.hasFree(now) {
		ticket, ok := s.queue.Next()
		if !ok {
			return
		}
		j := h.jobs[ticket.ID()]
		t := s.choose(j, now)
		if t == nil {
			s.queue.Finish(ticket.Profile())
			s.queue.Requeue(ticket)
			return
		}
		t.inFlight++
		j.isQueued = false
		h.group.Go(func() { h.run(s, j, t) })
	}
}

// finish sets the outcome of a request and closes its done channel, after the release of the
// idempotency key if the request did not run. The caller must hold h.mu.
func (h *Home) finish(j *job, o *bwoutcome.Outcome) {
	j.phase = phaseFinished
	j.outcome = o
	delete(h.jobs, j.id())
	h.finished[j.id()] = finishedJob{kind: o.GetKind(), until: j.deadline().Add(memory)}
	if j.request.GetReceiver() != h.incarnation {
		h.book.Note(j.id(), j.events...)
		h.book.Close(j.id(), o, j.abandoned)
	}
	switch {
	case j.claim == "":
		close(j.done)
	case o.GetKind() == bwoutcome.Kind_notRun:
		h.releaseFirst(j, o)
	default:
		h.settle(j, o)
		close(j.done)
	}
}

// releaseFirst releases the idempotency key before it reports the outcome, so that the next
// attempt, often the same request at another home, does not find the key held. If the store
// does not respond, the outcome is delayed by at most releasePatience.
func (h *Home) releaseFirst(j *job, o *bwoutcome.Outcome) {
	released := h.settle(j, o)
	h.group.Go(func() {
		timer := time.NewTimer(releasePatience)
		defer timer.Stop()
		select {
		case <-released:
		case <-timer.C:
		}
		close(j.done)
	})
}

// abandon cancels a request whose submitter has stopped waiting, and marks it as abandoned.
func (h *Home) abandon(j *job) {
	h.Cancel(j.id())
	h.mu.Lock()
	defer h.mu.Unlock()
	j.abandoned = true
	if j.phase == phaseFinished && j.request.GetReceiver() != h.incarnation {
		h.book.Close(j.id(), j.outcome, true)
	}
}

// Cancel cancels a request that has not been dispatched. For a request that has not arrived
// at this entry it leaves a tombstone, so that the request does not run if it arrives later.
func (h *Home) Cancel(id string) bwpeer.CancelResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if f, ok := h.finished[id]; ok {
		return f.cancelResult()
	}
	j := h.jobs[id]
	if j == nil {
		h.refused[id] = now.Add(orphanMemory)
		return bwpeer.CancelResult_cancelledBeforeStart
	}
	j.cancelled = true
	j.note(bwaccount.EventKind_cancelRequested, h.incarnation, "", bwoutcome.Reason_none, now)
	wasDispatched := j.phase == phaseDispatched
	if h.unqueue(j) || !wasDispatched {
		h.finish(j, j.refuse(bwoutcome.Reason_cancelled))
	}
	if wasDispatched {
		return bwpeer.CancelResult_alreadyRunning
	}
	h.refused[id] = now.Add(orphanMemory)
	return bwpeer.CancelResult_cancelledBeforeStart
}

// finishedJob is what is kept of a request after it has finished.
type finishedJob struct {
	kind  bwoutcome.Kind
	until bwclock.Time
}

// cancelResult returns the result of cancelling a finished request. A request that ended as
// notRun has not run and never will, so it is reported as cancelled before its start.
func (f finishedJob) cancelResult() bwpeer.CancelResult {
	if f.kind == bwoutcome.Kind_notRun {
		return bwpeer.CancelResult_cancelledBeforeStart
	}
	return bwpeer.CancelResult_alreadyFinished
}

// unqueue removes the request from its queue and reports whether it was queued.
func (h *Home) unqueue(j *job) bool {
	if !j.isQueued {
		return false
	}
	j.isQueued = false
	return h.services[j.request.GetService()].queue.Remove(j.request.GetProfile(), j.id())
}

// HostStatus returns the number of requests in flight to a host, and whether this entry is
// its home and may send more.
func (h *Home) HostStatus(host string) (inFlight int, dispatching bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		if t := s.targets[host]; t != nil {
			inFlight += t.inFlight
			dispatching = dispatching || t.isHomed
		}
	}
	return inFlight, dispatching
}

// Loads returns the load of each service that has targets at this entry.
func (h *Home) Loads() []*bwpeer.ServiceLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var loads []*bwpeer.ServiceLoad
	for _, s := range h.services {
		if len(s.targets) > 0 {
			loads = append(loads, s.load(now))
		}
	}
	return loads
}

// Stop rejects new requests, ends queued ones, as notRun unless an earlier attempt may have
// run, and waits until the running ones have finished and their claims are settled, or until
// ctx is done. It reports whether all of them finished.
func (h *Home) Stop(ctx context.Context) bool {
	h.mu.Lock()
	h.stopping = true
	for _, j := range h.jobs {
		if h.unqueue(j) {
			h.finish(j, j.refuse(bwoutcome.Reason_entryStopping))
		}
	}
	h.mu.Unlock()
	done := make(chan struct{})
	go func() {
		h.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		h.cancel()
		return true
	case <-ctx.Done():
		h.cancel()
		return false
	}
}
