package bwdispatch

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwtarget"
)

// maxEjectedFraction is the largest fraction of a pool's targets that may be ejected at
// the same time, so that failures caused by the requests themselves cannot eject the
// whole pool.
const maxEjectedFraction = 1.0 / 3

// target is a host that this entry sends requests to. isHomed is set while this entry is the
// home of the host. A target that has moved to another home is kept until its requests end.
type target struct {
	host         *bwroster.Host
	client       *bwtarget.Client
	health       bwtarget.Health
	inFlight     int
	isHomed      bool
	backoffUntil bwclock.Time
}

// canAccept reports whether the target may receive one more request.
func (t *target) canAccept(now bwclock.Time) bool {
	if !t.isHomed || now < t.backoffUntil || t.inFlight >= int(t.host.GetSlots()) {
		return false
	}
	switch t.health.State(now) {
	case bwtarget.Ejected:
		return false
	case bwtarget.Probing:
		return t.inFlight == 0
	}
	return true
}

// service holds the queue and the targets of one service at this entry.
type service struct {
	name     string
	pool     string
	queue    *bwqueue.Queue
	targets  map[string]*target
	budgets  map[string]*retryBudget
	maxCores int
	// poolHosts is the number of active hosts of the pool over all entries.
	poolHosts int
	// configuredSlots is the slot count from which the profiles' guaranteed slots were
	// computed.
	configuredSlots  int
	ejectedElsewhere int
}

func newService(name string, policy bwqueue.Policy) *service {
	return &service{
		name:    name,
		queue:   bwqueue.New(policy),
		targets: make(map[string]*target),
		budgets: make(map[string]*retryBudget),
	}
}

// slots returns the total slots of the healthy targets whose home is this entry. A target
// that is being probed counts as one slot.
func (s *service) slots(now bwclock.Time) int {
	n := 0
	for _, t := range s.targets {
		if !t.isHomed {
			continue
		}
		switch t.health.State(now) {
		case bwtarget.Healthy:
			n += int(t.host.GetSlots())
		case bwtarget.Probing:
			n++
		}
	}
	return n
}

// isServing reports whether any target of the service can receive requests from this entry.
func (s *service) isServing(now bwclock.Time) bool { return s.slots(now) > 0 }

// hasUntriedTarget reports whether there is a usable target on which the request has not
// failed.
func (s *service) hasUntriedTarget(req *request, now bwclock.Time) bool {
	for name, t := range s.targets {
		if t.isHomed && !req.triedHosts[name] && t.health.State(now) != bwtarget.Ejected {
			return true
		}
	}
	return false
}

// chooseTarget returns the free target with the lowest utilization, or nil if none is free.
// It prefers the targets on which the request has not failed.
func (s *service) chooseTarget(req *request, now bwclock.Time) *target {
	var best *target
	for _, t := range s.sortedTargets() {
		if !t.canAccept(now) {
			continue
		}
		if best == nil || s.isBetter(t, best, req) {
			best = t
		}
	}
	return best
}

func (s *service) isBetter(a, b *target, req *request) bool {
	triedA, triedB := req.triedHosts[a.host.GetName()], req.triedHosts[b.host.GetName()]
	if triedA != triedB {
		return triedB
	}
	return a.utilization() < b.utilization()
}

// utilization returns the fraction of the target's slots that is in use.
func (t *target) utilization() float64 {
	return float64(t.inFlight) / float64(t.host.GetSlots())
}

func (s *service) hasFreeTarget(now bwclock.Time) bool {
	for _, t := range s.targets {
		if t.canAccept(now) {
			return true
		}
	}
	return false
}

// mayEject reports whether one more target of the pool may be ejected. The count includes
// the ejections of other entries, as of their last heartbeats.
func (s *service) mayEject(now bwclock.Time) bool {
	allowed := max(1, int(maxEjectedFraction*float64(s.poolHosts)))
	return s.poolHosts > 1 && s.ejectedElsewhere+s.ejectedCount(now) < allowed
}

// ejectedCount returns the number of targets that are ejected or being probed.
func (s *service) ejectedCount(now bwclock.Time) int {
	n := 0
	for _, t := range s.targets {
		if t.isHomed && t.health.State(now) != bwtarget.Healthy {
			n++
		}
	}
	return n
}

func (s *service) sortedTargets() []*target {
	list := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].host.GetName() < list[j].host.GetName() })
	return list
}

// load returns the load that is announced to the other entries, which route requests by it.
func (s *service) load(now bwclock.Time) *bwpeer.ServiceLoad {
	l := &bwpeer.ServiceLoad{
		Service: s.name,
		Slots:   int32(s.slots(now)),
		Busy:    int32(s.queue.InUse()),
		Queued:  int32(s.queue.Len()),
		Ejected: int32(s.ejectedCount(now)),
	}
	for name := range s.budgets {
		l.Profiles = append(l.Profiles, &bwpeer.ProfileLoad{
			Profile:    name,
			WaitMillis: s.queue.ExpectedWait(name).Milliseconds(),
			Full:       s.queue.IsFull(name),
		})
	}
	sort.Slice(l.Profiles, func(i, j int) bool { return l.Profiles[i].GetProfile() < l.Profiles[j].GetProfile() })
	return l
}

// retryBudget is a token bucket that limits retries to a ratio of first attempts.
type retryBudget struct {
	ratio  float64
	tokens float64
}

// maxRetryTokens bounds the retries that can accumulate while few requests fail.
const maxRetryTokens = 10

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
}

func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// How long a target receives no requests after it replied that it is busy or draining. The
// shorter time also applies to a target that cannot be reached.
const (
	busyBackoff     = 20 * time.Millisecond
	drainingBackoff = 500 * time.Millisecond
)
