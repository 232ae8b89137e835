package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwjob"
)

const (
	// maxAdvised is the maximum number of executors in one request to the policy service.
	maxAdvised = 100
	// adviceRetry is the minimum time between two requests for the same step.
	adviceRetry = 500 * time.Millisecond
	// adviceMargin is how long before its expiry a ticket is no longer used.
	adviceMargin = 300 * time.Millisecond
)

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

func stepOf(id bwjob.TaskID) StepID {
	return StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}

// Question is a request to the policy service: which of these executors may run the step?
type Question struct {
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

type advised struct {
	tickets    map[string]string
	validUntil bwclock.Time
	askedAt    bwclock.Time
	isAsked    bool
}

// adviceBook caches the tickets of the policy service and queues requests for more. One
// request is in flight at a time, because the service handles the calls of one host
// sequentially.
type adviceBook struct {
	steps  map[StepID]*advised
	wanted []Question
	isBusy bool
}

func newAdviceBook() *adviceBook {
	return &adviceBook{steps: make(map[StepID]*advised)}
}

// ticket returns the unexpired ticket to run a step on an executor.
func (b *adviceBook) ticket(id StepID, executor string, now bwclock.Time) (string, bool) {
	a := b.steps[id]
	if a == nil || !now.Before(a.validUntil) {
		return "", false
	}
	t, ok := a.tickets[executor]
	return t, ok
}

// ask queues a request for a step unless one is pending or was made recently, or the
// step's tickets are still valid.
func (b *adviceBook) ask(id StepID, executors []string, now bwclock.Time) {
	a := b.steps[id]
	if a == nil {
		a = &advised{}
		b.steps[id] = a
	}
	if a.isAsked || now.Before(a.validUntil) || now.Sub(a.askedAt) < adviceRetry {
		return
	}
	a.isAsked = true
	a.askedAt = now
	b.wanted = append(b.wanted, Question{Step: id, Executors: executors[:min(len(executors), maxAdvised)]})
}

func (b *adviceBook) expire(id StepID) {
	if a := b.steps[id]; a != nil {
		a.validUntil = bwclock.Never
	}
}

func (b *adviceBook) forget(job string) {
	for id := range b.steps {
		if id.Job == job {
			delete(b.steps, id)
		}
	}
}

// NextQuestion returns the next request to the policy service, unless one is in flight.
func (s *Scheduler) NextQuestion() (Question, bool) {
	b := s.advice
	if b.isBusy || len(b.wanted) == 0 {
		return Question{}, false
	}
	q := b.wanted[0]
	b.wanted = b.wanted[1:]
	b.isBusy = true
	return q, true
}

// Advised applies the reply to a request; ok is false if the request failed.
func (s *Scheduler) Advised(q Question, answer Advice, ok bool, askedAt bwclock.Time) {
	s.advice.isBusy = false
	a := s.advice.steps[q.Step]
	if a == nil {
		return
	}
	a.isAsked = false
	if !ok {
		return
	}
	a.tickets = answer.Tickets
	a.validUntil = askedAt.Add(answer.ValidFor - adviceMargin)
	s.log.Info("step advised", "job", q.Step.Job, "step", q.Step.Step, "asked", len(q.Executors), "allowed", len(a.tickets))
}
