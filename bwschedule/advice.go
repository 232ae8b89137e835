package bwschedule

import (
	"slices"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
)

const (
	// maxAdviceExecutors is the maximum number of executors in one request to the policy
	// service.
	maxAdviceExecutors = 100
	// adviceRetryInterval is the minimum time between two requests for the same step.
	adviceRetryInterval = 500 * time.Millisecond
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used.
	ticketExpiryMargin = 300 * time.Millisecond
	// maxExpectedTime limits how long the policy service is expected to need for a request.
	maxExpectedTime = 30 * time.Second
	// minTicketUse is the minimum time for which tickets must be usable. It covers a scheduling pass and the
	// transmission of the start orders.
	minTicketUse = 200 * time.Millisecond
)

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

func stepIDOf(id bwjob.TaskID) StepID {
	return StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

// AdviceRequest is a request to the policy service: which of these executors may run the step?
type AdviceRequest struct {
	Step      StepID
	Executors []string
	// ExpectedTime is how long the service should need for the request; 0 if that is not known.
	ExpectedTime time.Duration

	incarnations map[string]int64
}

// Advice is the policy service's reply.
type Advice struct {
	// Tickets holds the authorization ticket of each executor that may run the step, by
	// executor ID.
	Tickets map[string]string
	// ValidFor is the lifetime of the tickets. Whether it counts from the call or from the reply is not specified.
	ValidFor time.Duration
	// SentAfter is how long the request waited before it was sent.
	SentAfter time.Duration
}

// ticket authorizes starts of a step on one incarnation of an executor.
type ticket struct {
	text        string
	incarnation int64
	validUntil  bwclock.Time
}

// stepAdvice is what the policy service has said of a step. Which executors may run it does not change.
type stepAdvice struct {
	tickets map[string]ticket
	// denied holds the incarnations of the executors that may not run the step.
	denied      map[string]int64
	requestedAt bwclock.Time
	isPending   bool
}

// adviceCache caches the tickets of the policy service and queues requests for more. One
// request is in flight at a time, because the service handles the calls of one host
// sequentially.
type adviceCache struct {
	steps             map[StepID]*stepAdvice
	queue             []AdviceRequest
	isRequestInFlight bool
}

func newAdviceCache() *adviceCache {
	return &adviceCache{steps: make(map[StepID]*stepAdvice)}
}

// ticket returns the unexpired ticket to run a step on an executor.
func (c *adviceCache) ticket(id StepID, e *bwexecutor.Executor, now bwclock.Time) (string, bool) {
	a := c.steps[id]
	if a == nil {
		return "", false
	}
	t, ok := a.tickets[e.ID()]
	return t.text, ok && t.incarnation == e.Incarnation() && now.Before(t.validUntil)
}

// stepAdvice returns what is known of a step.
func (c *adviceCache) stepAdvice(id StepID) *stepAdvice {
	a := c.steps[id]
	if a == nil {
		a = &stepAdvice{tickets: make(map[string]ticket), denied: make(map[string]int64)}
		c.steps[id] = a
	}
	return a
}

// mayRequest reports whether a request for the step is neither pending nor was made recently.
func (a *stepAdvice) mayRequest(now bwclock.Time) bool {
	return !a.isPending && now.Sub(a.requestedAt) >= adviceRetryInterval
}

// request queues a request for a step that names the executors.
func (c *adviceCache) request(id StepID, executors []*bwexecutor.Executor, times bwfleet.AdviceTimes, now bwclock.Time) {
	a := c.stepAdvice(id)
	a.isPending = true
	a.requestedAt = now
	r := AdviceRequest{Step: id, ExpectedTime: durationOf(times, len(executors)), incarnations: make(map[string]int64, len(executors))}
	for _, e := range executors {
		r.Executors = append(r.Executors, e.ID())
		r.incarnations[e.ID()] = e.Incarnation()
	}
	c.queue = append(c.queue, r)
}

// durationOf returns how long the policy service needs for a request that names a number of executors.
func durationOf(times bwfleet.AdviceTimes, executors int) time.Duration {
	return min(maxExpectedTime, bwclock.AddDurations(times.Decision, bwclock.Scale(times.PerExecutor, float64(executors))))
}

// usableLifetime returns how long a ticket is used after it was issued.
func usableLifetime(lifetime time.Duration) time.Duration {
	return lifetime - min(ticketExpiryMargin, lifetime/4)
}

// maxExecutors returns how many executors a request may name, so that its tickets are usable for half of their
// lifetime. A gang needs all of its tickets at the same time: its request may name as many executors as leave
// minTicketUse, and never fewer than it has tasks.
func maxExecutors(times bwfleet.AdviceTimes, gangTasks int) int {
	if times.TicketLifetime <= 0 || times.PerExecutor <= 0 {
		return maxAdviceExecutors
	}
	budget := usableLifetime(times.TicketLifetime) / 2
	if gangTasks > 0 {
		budget = max(budget, usableLifetime(times.TicketLifetime)-minTicketUse)
	}
	n := int(min(maxAdviceExecutors, (budget-times.Decision)/times.PerExecutor))
	return min(maxAdviceExecutors, max(1, n, gangTasks))
}

// withTickets returns the executors for which the policy service has issued tickets, and requests more tickets if
// the waiting tasks do not fit on these.
func (p *placement) withTickets(list []*bwexecutor.Executor, times bwfleet.AdviceTimes) []*bwexecutor.Executor {
	id := p.stepID()
	var allowed, others []*bwexecutor.Executor
	for _, e := range list {
		if _, ok := p.scheduler.advice.ticket(id, e, p.now); ok {
			allowed = append(allowed, e)
		} else {
			others = append(others, e)
		}
	}
	a := p.scheduler.advice.stepAdvice(id)
	waiting := p.occurrence.CountWaiting(p.step)
	if len(others) == 0 || !a.mayRequest(p.now) || p.countRoom(allowed, waiting) >= waiting {
		return allowed
	}
	if asked := p.executorsToAsk(a, others, len(allowed) == 0, times); len(asked) > 0 {
		p.scheduler.advice.request(id, asked, times, p.now)
	}
	return allowed
}

// countRoom returns how many tasks of the step fit on the executors, at most limit.
func (p *placement) countRoom(list []*bwexecutor.Executor, limit int) int {
	n := 0
	for _, e := range list {
		if n += p.roomOn(e, limit-n); n >= limit {
			break
		}
	}
	return n
}

// roomOn returns how many tasks of the step fit on an executor, at most limit.
func (p *placement) roomOn(e *bwexecutor.Executor, limit int) int {
	step := p.job.Spec().Steps[p.step]
	if step.MaxPerExecutor > 0 {
		limit = min(limit, max(0, step.MaxPerExecutor-p.stepRunsOnExecutor(e)))
	}
	return e.Free().CountFitting(step.Reserved(), limit)
}

// executorsToAsk returns the executors to name in a request: those with room first, and of these the ones that may run
// the step, as far as that is known. Executors that may not are named again only if no other is left.
func (p *placement) executorsToAsk(a *stepAdvice, list []*bwexecutor.Executor, isNoneAllowed bool, times bwfleet.AdviceTimes) []*bwexecutor.Executor {
	var asked []*bwexecutor.Executor
	for _, e := range list {
		if incarnation, isDenied := a.denied[e.ID()]; !isDenied || incarnation != e.Incarnation() {
			asked = append(asked, e)
		}
	}
	if len(asked) == 0 && isNoneAllowed {
		asked = slices.Clone(list)
	}
	cost := make(map[string]int, len(asked))
	for _, e := range asked {
		if p.roomOn(e, 1) == 0 {
			cost[e.ID()] += 2
		}
		if _, mayRun := a.tickets[e.ID()]; !mayRun {
			cost[e.ID()]++
		}
	}
	slices.SortStableFunc(asked, func(a, b *bwexecutor.Executor) int { return cost[a.ID()] - cost[b.ID()] })
	gangTasks := 0
	if step := p.job.Spec().Steps[p.step]; step.Gang {
		gangTasks = step.Count
	}
	return asked[:min(len(asked), maxExecutors(times, gangTasks))]
}

func (c *adviceCache) invalidate(id StepID) {
	if a := c.steps[id]; a != nil {
		for executor, t := range a.tickets {
			t.validUntil = bwclock.Never
			a.tickets[executor] = t
		}
	}
}

func (c *adviceCache) removeJob(job string) {
	for id := range c.steps {
		if id.Job == job {
			delete(c.steps, id)
		}
	}
}

// NextAdviceRequest returns the next request to the policy service, unless one is in flight.
func (s *Scheduler) NextAdviceRequest() (AdviceRequest, bool) {
	c := s.advice
	if c.isRequestInFlight || len(c.queue) == 0 {
		return AdviceRequest{}, false
	}
	request := c.queue[0]
	c.queue = c.queue[1:]
	c.isRequestInFlight = true
	return request, true
}

// HandleAdvice applies the reply to a request, which was received at now; ok is false if the request failed.
func (s *Scheduler) HandleAdvice(request AdviceRequest, reply Advice, ok bool, requestedAt, now bwclock.Time) {
	s.advice.isRequestInFlight = false
	a := s.advice.steps[request.Step]
	if a == nil {
		return
	}
	a.isPending = false
	if !ok {
		return
	}
	usable := usableLifetime(reply.ValidFor)
	validUntil := requestedAt.Add(reply.SentAfter).Add(usable)
	if validUntil.Before(now.Add(minTicketUse)) {
		// Such tickets are of use only if they are valid from the reply on. Otherwise executors refuse them.
		validUntil = now.Add(usable)
	}
	for _, id := range request.Executors {
		text, isAllowed := reply.Tickets[id]
		if isAllowed {
			a.tickets[id] = ticket{text: text, incarnation: request.incarnations[id], validUntil: validUntil}
			delete(a.denied, id)
		} else {
			a.denied[id] = request.incarnations[id]
			delete(a.tickets, id)
		}
	}
	s.log.Info("policy service tickets received", "job", request.Step.Job, "step", request.Step.Step, "asked", len(request.Executors),
		"allowed", len(reply.Tickets), "took", now.Sub(requestedAt).String(), "usableFor", validUntil.Sub(now).String())
}
