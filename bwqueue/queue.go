// Package bwqueue schedules the requests of one service that are queued at one entry.
//
// Each profile has a guaranteed number of slots. Profiles that use less than their
// guarantee are served first, starting with the one that uses the smallest fraction of it.
// The remaining capacity goes to the most urgent profile, and among equally urgent ones to
// the profile with the fewest slots in use. Within a profile, callers are served
// round-robin. A request whose expected wait exceeds the time left is rejected on arrival.
// The expected wait is based on the measured service times of finished requests, not on
// declared ones.
//
// Queue uses no goroutines and no locks. Its user serializes the calls, passes in the
// current time and starts the requests that the queue selects.
package bwqueue

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// learningWeight is the weight of a new service time in the exponentially weighted mean.
	learningWeight = 0.05
	// priorService is the service time that is assumed until a request of the profile has
	// finished.
	priorService = 50 * time.Millisecond
	// maxReserve is the largest fraction of the time until the deadline that is reserved for
	// the execution of the request.
	maxReserve = 0.25
	// reserveFactor is the number of mean service times that are reserved for the execution.
	// If service times are exponentially distributed, 5% of the requests take longer.
	reserveFactor = 3
)

// Policy is the order in which queued requests are served.
type Policy int

// The policies. PolicyShares is the one for production use; the others are baselines for
// comparison.
const (
	// PolicyShares serves profiles below their guarantee first, then the most urgent ones.
	PolicyShares Policy = iota
	// PolicyFIFO serves requests in order of arrival.
	PolicyFIFO
	// PolicyPriority serves the most urgent profile first and ignores guarantees.
	PolicyPriority
)

// String returns the name of the policy as it is written in settings.
func (p Policy) String() string {
	switch p {
	case PolicyFIFO:
		return "fifo"
	case PolicyPriority:
		return "priority"
	}
	return "shares"
}

// ParsePolicy returns the policy with the given name. ok is false if the name is unknown.
func ParsePolicy(name string) (p Policy, ok bool) {
	for _, p := range []Policy{PolicyShares, PolicyFIFO, PolicyPriority} {
		if p.String() == name {
			return p, true
		}
	}
	return PolicyShares, false
}

// Share is the scheduling configuration of a profile at one entry.
type Share struct {
	profile    string
	guaranteed float64
	urgency    int
	limit      int
}

// NewShare returns the configuration of a profile: its guaranteed slots at this entry, its
// urgency (a higher value is served first) and the largest number of queued requests.
func NewShare(profile string, guaranteed float64, urgency, limit int) Share {
	return Share{profile: profile, guaranteed: guaranteed, urgency: urgency, limit: limit}
}

// Ticket is one request in the queue.
type Ticket struct {
	id       string
	profile  string
	caller   string
	arrived  bwclock.Time
	deadline bwclock.Time
	// latest is the time after which the request would most likely not finish before its
	// deadline.
	latest bwclock.Time
	// number is the order of arrival in the queue.
	number int64
}

// NewTicket returns the queue item of a request that arrives now.
func NewTicket(id, profile, caller string, now, deadline bwclock.Time) Ticket {
	return Ticket{id: id, profile: profile, caller: caller, arrived: now, deadline: deadline, latest: deadline}
}

func (t Ticket) ID() string { return t.id }

// Profile returns the name of the request's profile.
func (t Ticket) Profile() string { return t.profile }

// Arrived returns the arrival time.
func (t Ticket) Arrived() bwclock.Time { return t.arrived }

// Deadline returns the caller's deadline.
func (t Ticket) Deadline() bwclock.Time { return t.deadline }

// LatestStart returns the time after which the request is no longer started. For a request
// accepted by Push, it precedes the deadline by the time reserved for the execution.
func (t Ticket) LatestStart() bwclock.Time { return t.latest }

// Admission is the admission decision for an arriving request.
type Admission int

// The results of Push.
const (
	// Admitted means that the request is queued.
	Admitted Admission = iota
	// QueueFull means that the profile has reached its limit of queued requests.
	QueueFull
	// TooLate means that the request is not expected to start in time for its deadline.
	TooLate
	// NoShare means that the profile is not configured or may queue no requests.
	NoShare
)

// String returns the name of the result in lower camel case.
func (a Admission) String() string {
	switch a {
	case Admitted:
		return "admitted"
	case QueueFull:
		return "queueFull"
	case TooLate:
		return "tooLate"
	}
	return "noShare"
}

// Queue holds the queued requests of one service and counts its slots in use.
type Queue struct {
	policy  Policy
	lines   []*line
	byName  map[string]*line
	slots   int
	inUse   int
	queued  int
	counter int64
}

// line is the queue of one profile.
type line struct {
	share   Share
	callers []*callerLine
	// next is the index of the caller that is served next.
	next   int
	queued int
	inUse  int
	// service is the mean service time. learned is set once it is based on a measurement.
	service time.Duration
	learned bool
}

// callerLine is the queue of one caller within a profile, in order of arrival.
type callerLine struct {
	caller  string
	tickets []Ticket
}

// New returns an empty queue with the given policy and no profiles.
func New(p Policy) *Queue {
	return &Queue{policy: p, byName: make(map[string]*line)}
}

// Configure replaces the profiles and the number of slots. Requests of removed profiles stay
// queued without a guarantee.
func (q *Queue) Configure(shares []Share, slots int) {
	q.slots = slots
	kept := make(map[string]bool, len(shares))
	for _, s := range shares {
		kept[s.profile] = true
		q.line(s.profile).share = s
	}
	lines := q.lines[:0]
	for _, l := range q.lines {
		name := l.share.profile
		if !kept[name] {
			l.share.guaranteed = 0
			l.share.limit = 0
		}
		if !kept[name] && l.queued == 0 && l.inUse == 0 {
			delete(q.byName, name)
			continue
		}
		lines = append(lines, l)
	}
	q.lines = lines
}

func (q *Queue) line(profile string) *line {
	l, ok := q.byName[profile]
	if !ok {
		l = &line{share: Share{profile: profile}, service: priorService}
		q.byName[profile] = l
		q.lines = append(q.lines, l)
	}
	return l
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.queued }

// InUse returns the number of slots in use.
func (q *Queue) InUse() int { return q.inUse }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// ProfileLen returns the number of queued requests of a profile.
func (q *Queue) ProfileLen(profile string) int {
	if l, ok := q.byName[profile]; ok {
		return l.queued
	}
	return 0
}

// IsFull reports whether the profile is unknown or has reached its limit of queued requests.
func (q *Queue) IsFull(profile string) bool {
	l, ok := q.byName[profile]
	return !ok || l.queued >= l.share.limit
}

// Push queues t, or returns the reason for its rejection.
func (q *Queue) Push(t Ticket, now bwclock.Time) Admission {
	l, ok := q.byName[t.profile]
	if !ok || l.share.limit == 0 {
		return NoShare
	}
	if l.queued >= l.share.limit {
		return QueueFull
	}
	t.latest = t.deadline.Add(-l.reserve(t.deadline.Sub(now)))
	if q.policy == PolicyShares && now.Add(q.Wait(t.profile)) > t.latest {
		return TooLate
	}
	q.counter++
	t.number = q.counter
	l.push(t)
	q.queued++
	return Admitted
}

// reserve returns the time to reserve for the execution of a request with the given time
// left. A request that starts later would occupy a slot and end as unknown.
func (l *line) reserve(left time.Duration) time.Duration {
	if !l.learned {
		return 0
	}
	return min(reserveFactor*l.service, time.Duration(maxReserve*float64(left)))
}

func (l *line) push(t Ticket) {
	l.queued++
	for _, c := range l.callers {
		if c.caller == t.caller {
			c.tickets = append(c.tickets, t)
			return
		}
	}
	l.callers = append(l.callers, &callerLine{caller: t.caller, tickets: []Ticket{t}})
}

// Requeue puts back a request that Next returned and that did not start. It precedes the
// caller's other requests and is not subject to the queue limit.
func (q *Queue) Requeue(t Ticket) {
	l := q.line(t.profile)
	l.push(t)
	for _, c := range l.callers {
		if c.caller == t.caller {
			last := len(c.tickets) - 1
			copy(c.tickets[1:], c.tickets[:last])
			c.tickets[0] = t
		}
	}
	q.queued++
}

// Wait returns the expected waiting time of a new request of the profile.
func (q *Queue) Wait(profile string) time.Duration {
	l, ok := q.byName[profile]
	if !ok || (l.queued == 0 && q.inUse < q.slots) {
		return 0
	}
	// The profile is assumed to keep the larger of its guarantee and its slots in use.
	slots := max(l.share.guaranteed, float64(l.inUse), 1)
	return time.Duration(float64(l.queued+1) * float64(l.service) / slots)
}

// Expire removes and returns the requests whose latest start time has passed.
func (q *Queue) Expire(now bwclock.Time) []Ticket {
	var expired []Ticket
	for _, l := range q.lines {
		for _, c := range l.callers {
			kept := c.tickets[:0]
			for _, t := range c.tickets {
				if t.latest <= now {
					expired = append(expired, t)
					continue
				}
				kept = append(kept, t)
			}
			l.queued -= len(c.tickets) - len(kept)
			q.queued -= len(c.tickets) - len(kept)
			c.tickets = kept
		}
		l.dropEmpty()
	}
	return expired
}

// Remove removes the request from the queue and reports whether it was queued.
func (q *Queue) Remove(profile, id string) bool {
	l, ok := q.byName[profile]
	if !ok {
		return false
	}
	for _, c := range l.callers {
		for i, t := range c.tickets {
			if t.id != id {
				continue
			}
			c.tickets = append(c.tickets[:i], c.tickets[i+1:]...)
			l.queued--
			q.queued--
			l.dropEmpty()
			return true
		}
	}
	return false
}

// Next removes and returns the request that should start next and counts a slot as in use.
// It must only be called if a slot is free.
func (q *Queue) Next() (t Ticket, ok bool) {
	l := q.choose()
	if l == nil {
		return Ticket{}, false
	}
	t = l.pop()
	q.queued--
	q.Start(t.profile)
	return t, true
}

// Start counts one more slot as in use by the profile.
func (q *Queue) Start(profile string) {
	q.inUse++
	q.line(profile).inUse++
}

// Finish releases a slot of the profile. It does not update the mean service time.
func (q *Queue) Finish(profile string) {
	q.inUse--
	q.line(profile).inUse--
}

// Learn updates the profile's mean service time with that of a finished request.
func (q *Queue) Learn(profile string, took time.Duration) {
	l := q.line(profile)
	l.learned = true
	l.service += time.Duration(learningWeight * float64(took-l.service))
}

// ServiceTime returns the mean service time of a profile, or the initial value before the
// first measurement.
func (q *Queue) ServiceTime(profile string) time.Duration {
	if l, ok := q.byName[profile]; ok {
		return l.service
	}
	return priorService
}

// choose returns the profile queue that is served next, or nil if no request is queued.
func (q *Queue) choose() *line {
	var best *line
	for _, l := range q.lines {
		if l.queued > 0 && (best == nil || q.precedes(l, best)) {
			best = l
		}
	}
	return best
}

// precedes reports whether a is served before b under the queue's policy.
func (q *Queue) precedes(a, b *line) bool {
	switch q.policy {
	case PolicyFIFO:
		return a.oldest() < b.oldest()
	case PolicyPriority:
		if a.share.urgency != b.share.urgency {
			return a.share.urgency > b.share.urgency
		}
		return a.oldest() < b.oldest()
	}
	if a.isBelowGuarantee() != b.isBelowGuarantee() {
		return a.isBelowGuarantee()
	}
	if a.isBelowGuarantee() {
		return a.useRatio() < b.useRatio()
	}
	if a.share.urgency != b.share.urgency {
		return a.share.urgency > b.share.urgency
	}
	return a.inUse < b.inUse
}

func (l *line) isBelowGuarantee() bool {
	return float64(l.inUse) < l.share.guaranteed
}

func (l *line) useRatio() float64 {
	return float64(l.inUse) / l.share.guaranteed
}

// oldest returns the lowest sequence number of the queued requests.
func (l *line) oldest() int64 {
	oldest := l.callers[0].tickets[0].number
	for _, c := range l.callers {
		oldest = min(oldest, c.tickets[0].number)
	}
	return oldest
}

// pop removes and returns the first request of the next caller in round-robin order.
func (l *line) pop() Ticket {
	l.next %= len(l.callers)
	c := l.callers[l.next]
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	l.queued--
	l.next++
	if len(c.tickets) == 0 {
		l.next--
		l.dropEmpty()
	}
	return t
}

// dropEmpty removes callers without requests and adjusts the round-robin position.
func (l *line) dropEmpty() {
	kept := l.callers[:0]
	for i, c := range l.callers {
		if len(c.tickets) > 0 {
			kept = append(kept, c)
			continue
		}
		if i < l.next {
			l.next--
		}
	}
	l.callers = kept
}
