// Package bwhome runs the requests of the targets that an entry is responsible for.
//
// Each target has one home entry, chosen by rendezvous hashing over the live entries.
// The home alone counts the target's slots and holds its connections. Requests of a
// service wait in one queue at the home; a free slot takes the next one, claims its
// idempotency key when the profile is non-idempotent, checks that the configuration is
// fresh, and sends it. Two homes can hold a target for a short time after a change of
// membership; the target then answers that it is busy, which proves that it did not
// start the request.
//
// The home decides each request's outcome under one lock. A request that was cancelled
// or expired before its dispatch is notRun for certain, because the step to dispatched
// happens under the same lock.
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
	// memory is how long after its deadline a finished or refused request is remembered.
	memory = time.Minute
	// orphanMemory is how long the cancellation of an unseen request is remembered. It
	// is longer than the longest deadline.
	orphanMemory   = 11 * time.Minute
	forgetInterval = 5 * time.Second
	// releasePatience bounds the wait for the release of a key before a notRun.
	releasePatience = 300 * time.Millisecond
)

// claims is what the home needs of the claim log.
type claims interface {
	Claim(ctx context.Context, r *bwclaim.Record, window time.Duration) bwclaim.Answer
	Settle(ctx context.Context, r *bwclaim.Record) bool
	IsLive(incarnation string) bool
}

// gate says whether work may be sent by the present configuration.
type gate interface {
	Gate(now bwclock.Time) bwconfig.Gate
}

// Home runs the requests of one entry's targets. It is safe for concurrent use.
type Home struct {
	incarnation string
	clock       bwclock.Clock
	log         hclog.Logger
	claims      claims
	gate        gate
	policy      bwqueue.Policy
	dial        bwtarget.DialContext
	book        *bwaccount.Recorder
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

// Option changes a Home under construction.
type Option func(*Home)

// WithPolicy sets the rule for the order of requests.
func WithPolicy(p bwqueue.Policy) Option { return func(h *Home) { h.policy = p } }

// WithDial sets how targets are connected, for in-memory connections.
func WithDial(d bwtarget.DialContext) Option { return func(h *Home) { h.dial = d } }

// WithLog sets the logger.
func WithLog(l hclog.Logger) Option { return func(h *Home) { h.log = l } }

// New returns a home without targets.
func New(incarnation string, c bwclock.Clock, cl claims, g gate, b *bwaccount.Recorder, options ...Option) *Home {
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

// Run expires queued requests until ctx ends.
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

// giveBack returns the queued requests of a service that has no target in service here,
// so that their receivers can use another home.
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

// Submit runs a request and returns its outcome. When ctx ends first, a queued request
// is cancelled and a running one continues without anybody waiting.
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

// admit queues a request or returns the outcome that refuses it.
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

// check refuses what cannot be queued here.
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
	h.book.Add(&bwaccount.Account{
		RequestId:      j.id(),
		IdempotencyKey: j.request.GetIdempotencyKey(),
		Caller:         j.request.GetCaller(),
		Profile:        j.request.GetProfile(),
		Service:        j.request.GetService(),
		ReceivedMillis: now.Millis(),
	})
}

// pump starts queued requests while slots are free; the caller holds the lock.
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

// finish sets the outcome of a job and wakes its waiter; the caller holds the lock.
func (h *Home) finish(j *job, o *bwoutcome.Outcome) {
	j.phase = phaseFinished
	j.outcome = o
	delete(h.jobs, j.id())
	h.finished[j.id()] = finishedJob{kind: o.GetKind(), until: j.deadline().Add(memory)}
	if j.request.GetReceiver() != h.incarnation {
		h.book.AddEvents(j.id(), j.events...)
		h.book.SetOutcome(j.id(), o, j.abandoned)
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

// releaseFirst frees the key before the waiter learns the outcome, so that the next
// attempt, often the same request at another home, does not find the key held. A store
// that does not answer delays the outcome by at most releasePatience.
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

// abandon is called when nobody waits for the job any more.
func (h *Home) abandon(j *job) {
	h.Cancel(j.id())
	h.mu.Lock()
	defer h.mu.Unlock()
	j.abandoned = true
	if j.phase == phaseFinished && j.request.GetReceiver() != h.incarnation {
		h.book.SetOutcome(j.id(), j.outcome, true)
	}
}

// Cancel stops a request that has not been dispatched. For a request that was never
// seen here it leaves a mark, so that a late arrival does not run.
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

// finishedJob is what is remembered of a job after its end.
type finishedJob struct {
	kind  bwoutcome.Kind
	until bwclock.Time
}

// cancelResult answers a cancellation after the end. A job that ended as notRun has not
// run and will not, which is all that a cancellation can promise.
func (f finishedJob) cancelResult() bwpeer.CancelResult {
	if f.kind == bwoutcome.Kind_notRun {
		return bwpeer.CancelResult_cancelledBeforeStart
	}
	return bwpeer.CancelResult_alreadyFinished
}

// unqueue takes the job out of its queue and reports whether it was in it.
func (h *Home) unqueue(j *job) bool {
	if !j.isQueued {
		return false
	}
	j.isQueued = false
	return h.services[j.request.GetService()].queue.Remove(j.request.GetProfile(), j.id())
}

// HostStatus returns the requests in flight to a host, and whether new ones may follow.
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

// Loads returns the load of each service that has targets here.
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

// Stop refuses new requests, gives queued ones back as notRun, and waits for running
// ones and their settlements until ctx ends. It reports whether everything finished.
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
