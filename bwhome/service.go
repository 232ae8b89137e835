package bwhome

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwtarget"
)

// maxEjectedShare bounds the targets of a pool that are ejected at once, so that a fault
// of the requests cannot empty the pool.
const maxEjectedShare = 1.0 / 3

// target is one host that this entry sends work to.
type target struct {
	host       *bwroster.Host
	client     *bwtarget.Client
	health     bwtarget.Health
	inFlight   int
	isHomed    bool
	pauseUntil bwclock.Time
}

// canTake reports whether the target may get one more request.
func (t *target) canTake(now bwclock.Time) bool {
	if !t.isHomed || now < t.pauseUntil || t.inFlight >= int(t.host.GetSlots()) {
		return false
	}
	switch t.health.State(now) {
	case bwtarget.Ejected:
		return false
	case bwtarget.OnTrial:
		return t.inFlight == 0
	}
	return true
}

// service is the queue and the targets of one service at this entry.
type service struct {
	name     string
	pool     string
	queue    *bwqueue.Queue
	targets  map[string]*target
	budgets  map[string]*retryBudget
	maxCores int
	// poolHosts counts the active hosts of the pool at every entry.
	poolHosts int
	// configuredSlots are the slots that the shares were computed for.
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

// slots returns the slots of the homed targets that are in service. A target on trial
// counts as one slot.
func (s *service) slots(now bwclock.Time) int {
	n := 0
	for _, t := range s.targets {
		if !t.isHomed {
			continue
		}
		switch t.health.State(now) {
		case bwtarget.Healthy:
			n += int(t.host.GetSlots())
		case bwtarget.OnTrial:
			n++
		}
	}
	return n
}

// isServing reports whether the entry can send work to any target of the service.
func (s *service) isServing(now bwclock.Time) bool { return s.slots(now) > 0 }

// hasUntried reports whether a target is left that the job has not failed on.
func (s *service) hasUntried(j *job, now bwclock.Time) bool {
	for name, t := range s.targets {
		if t.isHomed && !j.tried[name] && t.health.State(now) != bwtarget.Ejected {
			return true
		}
	}
	return false
}

// choose returns the target for a job: the one with the most free capacity among those
// that have not failed the job before, then among the rest; nil when none is free.
func (s *service) choose(j *job, now bwclock.Time) *target {
	var best *target
	for _, t := range s.sorted() {
		if !t.canTake(now) {
			continue
		}
		if best == nil || s.isBetter(t, best, j) {
			best = t
		}
	}
	return best
}

func (s *service) isBetter(a, b *target, j *job) bool {
	triedA, triedB := j.tried[a.host.GetName()], j.tried[b.host.GetName()]
	if triedA != triedB {
		return triedB
	}
	return a.pressure() < b.pressure()
}

// pressure orders targets by use.
func (t *target) pressure() float64 {
	return float64(t.inFlight) / float64(t.host.GetSlots())
}

func (s *service) hasFree(now bwclock.Time) bool {
	for _, t := range s.targets {
		if t.canTake(now) {
			return true
		}
	}
	return false
}

// mayEject reports whether the pool can do without one more target. The count includes
// what other entries have ejected, as of their last heartbeats.
func (s *service) mayEject(now bwclock.Time) bool {
	allowed := max(1, int(maxEjectedShare*float64(s.poolHosts)))
	return s.poolHosts > 1 && s.ejectedElsewhere+s.ejected(now) < allowed
}

// ejected counts the targets that are out of service or on trial.
func (s *service) ejected(now bwclock.Time) int {
	n := 0
	for _, t := range s.targets {
		if t.isHomed && t.health.State(now) != bwtarget.Healthy {
			n++
		}
	}
	return n
}

func (s *service) sorted() []*target {
	list := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].host.GetName() < list[j].host.GetName() })
	return list
}

// load returns what receivers need to know.
func (s *service) load(now bwclock.Time) *bwpeer.ServiceLoad {
	l := &bwpeer.ServiceLoad{
		Service: s.name,
		Slots:   int32(s.slots(now)),
		Busy:    int32(s.queue.InUse()),
		Queued:  int32(s.queue.Len()),
		Ejected: int32(s.ejected(now)),
	}
	for name := range s.budgets {
		l.Profiles = append(l.Profiles, &bwpeer.ProfileLoad{
			Profile:    name,
			WaitMillis: s.queue.Wait(name).Milliseconds(),
			Full:       s.queue.IsFull(name),
		})
	}
	sort.Slice(l.Profiles, func(i, j int) bool { return l.Profiles[i].GetProfile() < l.Profiles[j].GetProfile() })
	return l
}

// retryBudget allows retries as a share of first attempts.
type retryBudget struct {
	ratio  float64
	tokens float64
}

// maxRetryTokens bounds the retries that a quiet time saves up.
const maxRetryTokens = 10

func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+b.ratio, maxRetryTokens)
}

func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pauses after a refusal of a target.
const (
	busyPause     = 20 * time.Millisecond
	drainingPause = 500 * time.Millisecond
)
