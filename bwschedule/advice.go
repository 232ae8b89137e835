package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
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
}

// Advice is the policy service's reply.
type Advice struct {
	// Tickets holds the authorization ticket of each executor that may run the step, by
	// executor ID.
	Tickets map[string]string
	// ValidFor is the lifetime of the tickets, counted from the request.
	ValidFor time.Duration
}

type stepAdvice struct {
	tickets     map[string]string
	validUntil  bwclock.Time
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
func (c *adviceCache) ticket(id StepID, executor string, now bwclock.Time) (string, bool) {
	a := c.steps[id]
	if a == nil || !now.Before(a.validUntil) {
		return "", false
	}
	t, ok := a.tickets[executor]
	return t, ok
}

// request queues a request for a step unless one is pending or was made recently, or the
// step's tickets are still valid.
func (c *adviceCache) request(id StepID, executors []string, now bwclock.Time) {
	a := c.steps[id]
	if a == nil {
		a = &stepAdvice{}
		c.steps[id] = a
	}
	if a.isPending || now.Before(a.validUntil) || now.Sub(a.requestedAt) < adviceRetryInterval {
		return
	}
	a.isPending = true
	a.requestedAt = now
	c.queue = append(c.queue, AdviceRequest{Step: id, Executors: executors[:min(len(executors), maxAdviceExecutors)]})
}

func (c *adviceCache) invalidate(id StepID) {
	if a := c.steps[id]; a != nil {
		a.validUntil = bwclock.Never
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

// HandleAdvice applies the reply to a request; ok is false if the request failed.
func (s *Scheduler) HandleAdvice(request AdviceRequest, reply Advice, ok bool, requestedAt bwclock.Time) {
	s.advice.isRequestInFlight = false
	a := s.advice.steps[request.Step]
	if a == nil {
		return
	}
	a.isPending = false
	if !ok {
		return
	}
	a.tickets = reply.Tickets
	a.validUntil = requestedAt.Add(reply.ValidFor - ticketExpiryMargin)
	s.log.Info("policy service tickets received", "job", request.Step.Job, "step", request.Step.Step, "asked", len(request.Executors), "allowed", len(a.tickets))
}
