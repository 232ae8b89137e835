package bwdispatch

import (
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwtarget"
)

// Assignment is the set of hosts whose home is this entry, with the size of each pool over
// all entries.
type Assignment struct {
	homedHosts map[string]bool
	// poolSlots and poolHosts are the slots and the number of the active hosts of each pool,
	// summed over all entries.
	poolSlots map[string]int
	poolHosts map[string]int
}

// NewAssignment returns an Assignment without hosts.
func NewAssignment() Assignment {
	return Assignment{homedHosts: make(map[string]bool), poolSlots: make(map[string]int), poolHosts: make(map[string]int)}
}

// Add adds an active host to the totals of its pool. If isHomed is set, this entry is the
// home of the host.
func (a Assignment) Add(h *bwroster.Host, isHomed bool) {
	a.poolSlots[h.GetPool()] += int(h.GetSlots())
	a.poolHosts[h.GetPool()]++
	if isHomed {
		a.homedHosts[h.GetName()] = true
	}
}

// Configure applies a configuration snapshot and an assignment of hosts.
func (d *Dispatcher) Configure(snapshot *bwconfig.Snapshot, a Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = snapshot
	d.assignment = a
	for _, p := range snapshot.Pools() {
		s := d.services[p.GetService()]
		if s == nil {
			s = newService(p.GetService(), d.policy)
			d.services[p.GetService()] = s
		}
		s.pool = p.GetName()
		s.poolHosts = a.poolHosts[p.GetName()]
		d.configureTargets(s, snapshot.PoolHosts(p.GetName()), a)
		d.configureProfiles(s, snapshot, a)
		d.startQueued(s)
	}
}

// UpdateGuarantees recomputes the guaranteed slots of the profiles of each service whose slot
// count has changed, for example by an ejection, since it was configured.
func (d *Dispatcher) UpdateGuarantees() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, s := range d.services {
		if s.slots(now) != s.configuredSlots {
			d.configureProfiles(s, d.config, d.assignment)
			d.startQueued(s)
		}
	}
}

// SetEjectedElsewhere sets, for each service, the number of targets that the other entries
// have ejected.
func (d *Dispatcher) SetEjectedElsewhere(ejected map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, s := range d.services {
		s.ejectedElsewhere = ejected[name]
	}
}

func (d *Dispatcher) configureTargets(s *service, hosts []*bwroster.Host, a Assignment) {
	present := make(map[string]bool, len(hosts))
	s.maxCores = 0
	for _, host := range hosts {
		present[host.GetName()] = true
		s.maxCores = max(s.maxCores, int(host.GetCores()))
		d.configureTarget(s, host, a.homedHosts[host.GetName()])
	}
	for name, t := range s.targets {
		t.isHomed = t.isHomed && present[name]
		if !t.isHomed && t.inFlight == 0 {
			t.client.Close()
			delete(s.targets, name)
		}
	}
}

func (d *Dispatcher) configureTarget(s *service, host *bwroster.Host, isHomed bool) {
	t := s.targets[host.GetName()]
	if t == nil && !isHomed {
		return
	}
	if t == nil || t.host.GetAddress() != host.GetAddress() {
		t = &target{client: bwtarget.NewClient(host.GetAddress(), int(host.GetSlots()), d.dial)}
		s.targets[host.GetName()] = t
	}
	t.host = host
	t.isHomed = isHomed
}

// configureProfiles applies the profiles of the service's pool. It scales the guaranteed
// slots of each profile by the fraction of the pool's slots that is at this entry.
func (d *Dispatcher) configureProfiles(s *service, snapshot *bwconfig.Snapshot, a Assignment) {
	slots := s.slots(d.clock.Now())
	fraction := 0.0
	if total := a.poolSlots[s.pool]; total > 0 {
		fraction = float64(slots) / float64(total)
	}
	var profiles []bwqueue.ProfileConfig
	for _, p := range snapshot.Profiles() {
		if p.GetPool() != s.pool {
			continue
		}
		guaranteedSlots := p.GetGuaranteedSlots() * fraction
		profiles = append(profiles, bwqueue.NewProfileConfig(p.GetName(), guaranteedSlots, int(p.GetUrgency()), int(p.GetQueueLimit())))
		if s.budgets[p.GetName()] == nil {
			s.budgets[p.GetName()] = &retryBudget{tokens: 1}
		}
		s.budgets[p.GetName()].ratio = p.GetRetryRatio()
	}
	s.queue.Configure(profiles, slots)
	s.configuredSlots = slots
}
