// Package bwqueue orders the requests of one service that wait at one entry.
//
// Each profile has a guaranteed number of slots. A profile below its guarantee goes
// first, the one furthest below leading. Capacity that nobody claims in this way is
// lent: to the most urgent profile, and among equals to the one with the fewest slots
// in use. Within a profile the callers take turns. A request whose expected wait is
// longer than the time left is refused on arrival, by service times that the queue
// learns from finished requests and not by declared ones.
//
// Queue is a plain value without goroutines or locks. The caller passes the time in
// and carries out what the queue decides.
package bwqueue

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// learningWeight is the share of a new service time in the learned mean.
	learningWeight = 0.05
	// priorService is assumed until a profile has finished a request.
	priorService = 50 * time.Millisecond
	// maxReserve is the largest part of the time until the deadline that is kept for the
	// service itself.
	maxReserve = 0.25
	// reserveFactor is the number of learned service times that are kept for the service.
	// With exponential service times 5% of the requests take longer.
	reserveFactor = 3
)

// Policy is a rule for the order of requests.
type Policy int

// The policies. Shares is the product's; the others serve as baselines.
const (
	// PolicyShares serves guarantees first and then urgency.
	PolicyShares Policy = iota
	// PolicyFIFO serves requests in the order of arrival.
	PolicyFIFO
	// PolicyPriority serves the most urgent request first, whatever the guarantees.
	PolicyPriority
)

// String returns the policy in lower camel case.
func (p Policy) String() string {
	switch p {
	case PolicyFIFO:
		return "fifo"
	case PolicyPriority:
		return "priority"
	}
	return "shares"
}

// ParsePolicy returns the policy with the name; ok is false for an unknown name.
func ParsePolicy(name string) (p Policy, ok bool) {
	for _, p := range []Policy{PolicyShares, PolicyFIFO, PolicyPriority} {
		if p.String() == name {
			return p, true
		}
	}
	return PolicyShares, false
}

// Share is what the queue needs to know of a profile.
type Share struct {
	profile    string
	guaranteed float64
	urgency    int
	limit      int
}

// NewShare returns the share of a profile: its guaranteed slots at this entry, its
// urgency (higher goes first) and the largest number of queued requests.
func NewShare(profile string, guaranteed float64, urgency, limit int) Share {
	return Share{profile: profile, guaranteed: guaranteed, urgency: urgency, limit: limit}
}

// Ticket is one queued request.
type Ticket struct {
	id       string
	profile  string
	caller   string
	arrived  bwclock.Time
	deadline bwclock.Time
	// latest is the moment after which a start would most likely be in vain.
	latest bwclock.Time
	number int64
}

// NewTicket returns a ticket for a request that arrives now.
func NewTicket(id, profile, caller string, now, deadline bwclock.Time) Ticket {
	return Ticket{id: id, profile: profile, caller: caller, arrived: now, deadline: deadline, latest: deadline}
}

// ID returns the request id.
func (t Ticket) ID() string { return t.id }

// Profile returns the name of the request's profile.
func (t Ticket) Profile() string { return t.profile }

// Arrived returns the moment of arrival.
func (t Ticket) Arrived() bwclock.Time { return t.arrived }

// Deadline returns the caller's deadline.
func (t Ticket) Deadline() bwclock.Time { return t.deadline }

// LatestStart returns the moment after which the request is not started any more. Push
// moves it ahead of the deadline by the time that the service itself is expected to take.
func (t Ticket) LatestStart() bwclock.Time { return t.latest }

// Admission is the decision about an arriving request.
type Admission int

// The decisions of Push.
const (
	// Admitted means that the ticket is queued.
	Admitted Admission = iota
	// QueueFull means that the profile has its limit of queued requests.
	QueueFull
	// TooLate means that the expected wait passes the deadline.
	TooLate
	// NoShare means that the profile is not configured.
	NoShare
)

// String returns the decision in lower camel case.
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

// Queue holds the waiting requests of one service.
type Queue struct {
	policy  Policy
	lines   []*line
	byName  map[string]*line
	slots   int
	inUse   int
	queued  int
	counter int64
}

// line holds the requests of one profile.
type line struct {
	share   Share
	callers []*callerLine
	next    int
	queued  int
	inUse   int
	service time.Duration
	learned bool
}

// callerLine holds the requests of one caller in order of arrival.
type callerLine struct {
	caller  string
	tickets []Ticket
}

// New returns an empty queue.
func New(p Policy) *Queue {
	return &Queue{policy: p, byName: make(map[string]*line)}
}

// Configure replaces the shares and the number of slots. Requests of profiles that are
// gone stay queued with no guarantee.
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

// IsFull reports whether the profile has its limit of queued requests.
func (q *Queue) IsFull(profile string) bool {
	l, ok := q.byName[profile]
	return !ok || l.queued >= l.share.limit
}

// Push queues t or says why not.
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

// reserve returns the time to keep for the service of a request with the given time
// left. A request that starts later would use a slot and end as unknown.
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

// Requeue puts back a request that was taken with Next and did not start. It goes
// before the caller's other requests and is not subject to the limits.
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

// Wait returns the expected wait of a new request of the profile.
func (q *Queue) Wait(profile string) time.Duration {
	l, ok := q.byName[profile]
	if !ok || (l.queued == 0 && q.inUse < q.slots) {
		return 0
	}
	// The profile keeps at least the greater of its guarantee and what it uses now.
	slots := max(l.share.guaranteed, float64(l.inUse), 1)
	return time.Duration(float64(l.queued+1) * float64(l.service) / slots)
}

// Expire removes and returns the requests whose latest start has passed.
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

// Remove takes the request out of the queue and reports whether it was queued.
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

// Next takes the request that should start now and counts its slot as in use. The
// caller makes sure that a slot is free.
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

// Start counts one more slot in use by the profile.
func (q *Queue) Start(profile string) {
	q.inUse++
	q.line(profile).inUse++
}

// Finish frees a slot of the profile without learning from the request.
func (q *Queue) Finish(profile string) {
	q.inUse--
	q.line(profile).inUse--
}

// Learn takes the service time of a finished request into the profile's mean.
func (q *Queue) Learn(profile string, took time.Duration) {
	l := q.line(profile)
	l.learned = true
	l.service += time.Duration(learningWeight * float64(took-l.service))
}

// ServiceTime returns the learned mean service time of a profile.
func (q *Queue) ServiceTime(profile string) time.Duration {
	if l, ok := q.byName[profile]; ok {
		return l.service
	}
	return priorService
}

// choose returns the line whose request starts next, or nil.
func (q *Queue) choose() *line {
	var best *line
	for _, l := range q.lines {
		if l.queued > 0 && (best == nil || q.precedes(l, best)) {
			best = l
		}
	}
	return best
}

// precedes reports whether a goes before b under the queue's policy.
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

// oldest returns the arrival number of the line's first request.
func (l *line) oldest() int64 {
	oldest := l.callers[0].tickets[0].number
	for _, c := range l.callers {
		oldest = min(oldest, c.tickets[0].number)
	}
	return oldest
}

// pop takes the first request of the caller whose turn it is.
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

// dropEmpty forgets the callers without requests.
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
