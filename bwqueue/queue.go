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
// Queue uses no goroutines and no locks. The dispatcher that owns it serializes the calls,
// passes in the current time and starts the requests that Next returns.
package bwqueue

import (
	"time"

	"basilwood.example/basilwood/bwclock"
)

const (
	// serviceTimeWeight is the weight of a new service time in the exponentially weighted
	// mean.
	serviceTimeWeight = 0.05
	// initialServiceTime is the service time that is assumed until a request of the
	// profile has finished.
	initialServiceTime = 50 * time.Millisecond
	// maxReserveFraction is the largest fraction of the time until the deadline that is
	// reserved for the execution of the request.
	maxReserveFraction = 0.25
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

// ProfileConfig is the scheduling configuration of a profile at one entry.
type ProfileConfig struct {
	profile         string
	guaranteedSlots float64
	urgency         int
	queueLimit      int
}

// NewProfileConfig returns the configuration of a profile: its guaranteed slots at this
// entry, its urgency (a higher value is served first) and the largest number of queued
// requests.
func NewProfileConfig(profile string, guaranteedSlots float64, urgency, queueLimit int) ProfileConfig {
	return ProfileConfig{profile: profile, guaranteedSlots: guaranteedSlots, urgency: urgency, queueLimit: queueLimit}
}

// Item is one request in the queue.
type Item struct {
	id       string
	profile  string
	caller   string
	arrived  bwclock.Time
	deadline bwclock.Time
	// latestStart is the time after which the request would most likely not finish before its
	// deadline.
	latestStart bwclock.Time
	// sequence is the order of arrival in the queue.
	sequence int64
}

// NewItem returns the queue item of a request that arrives now.
func NewItem(id, profile, caller string, now, deadline bwclock.Time) Item {
	return Item{id: id, profile: profile, caller: caller, arrived: now, deadline: deadline, latestStart: deadline}
}

// ID returns the request id.
func (i Item) ID() string { return i.id }

// Profile returns the name of the request's profile.
func (i Item) Profile() string { return i.profile }

// Arrived returns the arrival time.
func (i Item) Arrived() bwclock.Time { return i.arrived }

// Deadline returns the caller's deadline.
func (i Item) Deadline() bwclock.Time { return i.deadline }

// LatestStart returns the time after which the request is no longer started. For a request
// accepted by Push, it precedes the deadline by the time reserved for the execution.
func (i Item) LatestStart() bwclock.Time { return i.latestStart }

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
	// UnknownProfile means that the profile is not configured or may queue no requests.
	UnknownProfile
)

// String returns the name of the result in lower camel case. UnknownProfile is written as
// "noShare".
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
	policy        Policy
	profileQueues []*profileQueue
	byProfile     map[string]*profileQueue
	slots         int
	inUse         int
	queued        int
	lastSequence  int64
}

// profileQueue is the queue of one profile.
type profileQueue struct {
	config  ProfileConfig
	callers []*callerQueue
	// nextCaller is the index of the caller to serve next.
	nextCaller int
	queued     int
	inUse      int
	// meanServiceTime is an assumed value until isMeasured is set.
	meanServiceTime time.Duration
	isMeasured      bool
}

// callerQueue is the queue of one caller within a profile, in order of arrival.
type callerQueue struct {
	caller string
	items  []Item
}

// New returns an empty queue with the given policy and no profiles.
func New(p Policy) *Queue {
	return &Queue{policy: p, byProfile: make(map[string]*profileQueue)}
}

// Configure replaces the profiles and the number of slots. Requests of removed profiles stay
// queued without a guarantee.
func (q *Queue) Configure(profiles []ProfileConfig, slots int) {
	q.slots = slots
	configured := make(map[string]bool, len(profiles))
	for _, p := range profiles {
		configured[p.profile] = true
		q.profileQueue(p.profile).config = p
	}
	remaining := q.profileQueues[:0]
	for _, pq := range q.profileQueues {
		name := pq.config.profile
		if !configured[name] {
			pq.config.guaranteedSlots = 0
			pq.config.queueLimit = 0
		}
		if !configured[name] && pq.queued == 0 && pq.inUse == 0 {
			delete(q.byProfile, name)
			continue
		}
		remaining = append(remaining, pq)
	}
	q.profileQueues = remaining
}

// profileQueue returns the queue of the profile and creates it if necessary.
func (q *Queue) profileQueue(profile string) *profileQueue {
	pq, ok := q.byProfile[profile]
	if !ok {
		pq = &profileQueue{config: ProfileConfig{profile: profile}, meanServiceTime: initialServiceTime}
		q.byProfile[profile] = pq
		q.profileQueues = append(q.profileQueues, pq)
	}
	return pq
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.queued }

// InUse returns the number of slots in use.
func (q *Queue) InUse() int { return q.inUse }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// ProfileLen returns the number of queued requests of a profile.
func (q *Queue) ProfileLen(profile string) int {
	if pq, ok := q.byProfile[profile]; ok {
		return pq.queued
	}
	return 0
}

// IsFull reports whether the profile is unknown or has reached its limit of queued requests.
func (q *Queue) IsFull(profile string) bool {
	pq, ok := q.byProfile[profile]
	return !ok || pq.queued >= pq.config.queueLimit
}

// Push queues a request, or returns the reason for its rejection.
func (q *Queue) Push(item Item, now bwclock.Time) Admission {
	pq, ok := q.byProfile[item.profile]
	if !ok || pq.config.queueLimit == 0 {
		return UnknownProfile
	}
	if pq.queued >= pq.config.queueLimit {
		return QueueFull
	}
	item.latestStart = item.deadline.Add(-pq.executionReserve(item.deadline.Sub(now)))
	if q.policy == PolicyShares && now.Add(q.ExpectedWait(item.profile)) > item.latestStart {
		return TooLate
	}
	q.lastSequence++
	item.sequence = q.lastSequence
	pq.push(item)
	q.queued++
	return Admitted
}

// executionReserve returns the time to reserve for the execution of a request with the
// given time left. A request that starts later would probably reach its deadline while it
// runs, occupy a slot and end as unknown.
func (pq *profileQueue) executionReserve(timeLeft time.Duration) time.Duration {
	if !pq.isMeasured {
		return 0
	}
	return min(reserveFactor*pq.meanServiceTime, time.Duration(maxReserveFraction*float64(timeLeft)))
}

func (pq *profileQueue) push(item Item) {
	pq.queued++
	for _, c := range pq.callers {
		if c.caller == item.caller {
			c.items = append(c.items, item)
			return
		}
	}
	pq.callers = append(pq.callers, &callerQueue{caller: item.caller, items: []Item{item}})
}

// Requeue puts back a request that Next returned and that did not start or is retried. It
// precedes the caller's other requests and is not subject to the queue limit.
func (q *Queue) Requeue(item Item) {
	pq := q.profileQueue(item.profile)
	pq.push(item)
	for _, c := range pq.callers {
		if c.caller == item.caller {
			last := len(c.items) - 1
			copy(c.items[1:], c.items[:last])
			c.items[0] = item
		}
	}
	q.queued++
}

// ExpectedWait returns the expected waiting time of a new request of the profile.
func (q *Queue) ExpectedWait(profile string) time.Duration {
	pq, ok := q.byProfile[profile]
	if !ok || (pq.queued == 0 && q.inUse < q.slots) {
		return 0
	}
	// The profile is assumed to keep the larger of its guarantee and its slots in use.
	slots := max(pq.config.guaranteedSlots, float64(pq.inUse), 1)
	return time.Duration(float64(pq.queued+1) * float64(pq.meanServiceTime) / slots)
}

// Expire removes and returns the requests whose latest start time has passed.
func (q *Queue) Expire(now bwclock.Time) []Item {
	var expired []Item
	for _, pq := range q.profileQueues {
		for _, c := range pq.callers {
			remaining := c.items[:0]
			for _, item := range c.items {
				if item.latestStart <= now {
					expired = append(expired, item)
					continue
				}
				remaining = append(remaining, item)
			}
			pq.queued -= len(c.items) - len(remaining)
			q.queued -= len(c.items) - len(remaining)
			c.items = remaining
		}
		pq.removeEmptyCallers()
	}
	return expired
}

// Remove removes the request from the queue and reports whether it was queued.
func (q *Queue) Remove(profile, id string) bool {
	pq, ok := q.byProfile[profile]
	if !ok {
		return false
	}
	for _, c := range pq.callers {
		for i, item := range c.items {
			if item.id != id {
				continue
			}
			c.items = append(c.items[:i], c.items[i+1:]...)
			pq.queued--
			q.queued--
			pq.removeEmptyCallers()
			return true
		}
	}
	return false
}

// Next removes and returns the request that should start next and counts a slot as in use.
// It must only be called if a slot is free.
func (q *Queue) Next() (item Item, ok bool) {
	pq := q.nextProfileQueue()
	if pq == nil {
		return Item{}, false
	}
	item = pq.pop()
	q.queued--
	q.AcquireSlot(item.profile)
	return item, true
}

// AcquireSlot counts one more slot as in use by the profile.
func (q *Queue) AcquireSlot(profile string) {
	q.inUse++
	q.profileQueue(profile).inUse++
}

// ReleaseSlot releases a slot of the profile. It does not update the mean service time.
func (q *Queue) ReleaseSlot(profile string) {
	q.inUse--
	q.profileQueue(profile).inUse--
}

// ObserveServiceTime updates the profile's mean service time with that of a finished request.
func (q *Queue) ObserveServiceTime(profile string, serviceTime time.Duration) {
	pq := q.profileQueue(profile)
	pq.isMeasured = true
	pq.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-pq.meanServiceTime))
}

// ServiceTime returns the mean service time of a profile, or the initial value before the
// first measurement.
func (q *Queue) ServiceTime(profile string) time.Duration {
	if pq, ok := q.byProfile[profile]; ok {
		return pq.meanServiceTime
	}
	return initialServiceTime
}

// nextProfileQueue returns the profile queue that is served next, or nil if no request is
// queued.
func (q *Queue) nextProfileQueue() *profileQueue {
	var best *profileQueue
	for _, pq := range q.profileQueues {
		if pq.queued > 0 && (best == nil || q.precedes(pq, best)) {
			best = pq
		}
	}
	return best
}

// precedes reports whether a is served before b under the queue's policy.
func (q *Queue) precedes(a, b *profileQueue) bool {
	switch q.policy {
	case PolicyFIFO:
		return a.lowestSequence() < b.lowestSequence()
	case PolicyPriority:
		if a.config.urgency != b.config.urgency {
			return a.config.urgency > b.config.urgency
		}
		return a.lowestSequence() < b.lowestSequence()
	}
	if a.isBelowGuarantee() != b.isBelowGuarantee() {
		return a.isBelowGuarantee()
	}
	if a.isBelowGuarantee() {
		return a.guaranteeUsage() < b.guaranteeUsage()
	}
	if a.config.urgency != b.config.urgency {
		return a.config.urgency > b.config.urgency
	}
	return a.inUse < b.inUse
}

func (pq *profileQueue) isBelowGuarantee() bool {
	return float64(pq.inUse) < pq.config.guaranteedSlots
}

func (pq *profileQueue) guaranteeUsage() float64 {
	return float64(pq.inUse) / pq.config.guaranteedSlots
}

// lowestSequence returns the lowest sequence number of the queued requests.
func (pq *profileQueue) lowestSequence() int64 {
	lowest := pq.callers[0].items[0].sequence
	for _, c := range pq.callers {
		lowest = min(lowest, c.items[0].sequence)
	}
	return lowest
}

// pop removes and returns the first request of the next caller in round-robin order.
func (pq *profileQueue) pop() Item {
	pq.nextCaller %= len(pq.callers)
	c := pq.callers[pq.nextCaller]
	item := c.items[0]
	c.items = c.items[1:]
	pq.queued--
	pq.nextCaller++
	if len(c.items) == 0 {
		pq.nextCaller--
		pq.removeEmptyCallers()
	}
	return item
}

// removeEmptyCallers removes callers without requests and adjusts the round-robin position.
func (pq *profileQueue) removeEmptyCallers() {
	remaining := pq.callers[:0]
	for i, c := range pq.callers {
		if len(c.items) > 0 {
			remaining = append(remaining, c)
			continue
		}
		if i < pq.nextCaller {
			pq.nextCaller--
		}
	}
	pq.callers = remaining
}
