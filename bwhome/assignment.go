package bwhome

import (
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwtarget"
)

// Assignment is the set of hosts that an entry is the home of.
type Assignment struct {
	hosts map[string]bool
	// poolSlots and poolHosts count the active hosts of a pool, at every entry.
	poolSlots map[string]int
	poolHosts map[string]int
}

// NewAssignment returns an empty assignment.
func NewAssignment() Assignment {
	return Assignment{hosts: make(map[string]bool), poolSlots: make(map[string]int), poolHosts: make(map[string]int)}
}

// Add counts an active host, and assigns it to this entry when isHomed is set.
func (a Assignment) Add(h *bwroster.Host, isHomed bool) {
	a.poolSlots[h.GetPool()] += int(h.GetSlots())
	a.poolHosts[h.GetPool()]++
	if isHomed {
		a.hosts[h.GetName()] = true
	}
}

// Configure adopts a version of the configuration and an assignment of hosts.
func (h *Home) Configure(v *bwconfig.Snapshot, a Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = v
	h.assignment = a
	for _, p := range v.Pools() {
		s := h.services[p.GetService()]
		if s == nil {
			s = newService(p.GetService(), h.policy)
			h.services[p.GetService()] = s
		}
		s.pool = p.GetName()
		s.poolHosts = a.poolHosts[p.GetName()]
		h.configureTargets(s, v.PoolHosts(p.GetName()), a)
		h.configureShares(s, v, a)
		h.pump(s)
	}
}

// UpdateShares adapts the shares of the services whose slots have changed by ejections
// since they were configured.
func (h *Home) UpdateShares() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, s := range h.services {
		if s.slots(now) != s.configuredSlots {
			h.configureShares(s, h.version, h.assignment)
			h.pump(s)
		}
	}
}

// SetEjectedElsewhere sets the number of ejected targets of each service at the other
// entries.
func (h *Home) SetEjectedElsewhere(ejected map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.services {
		s.ejectedElsewhere = ejected[name]
	}
}

func (h *Home) configureTargets(s *service, hosts []*bwroster.Host, a Assignment) {
	present := make(map[string]bool, len(hosts))
	s.maxCores = 0
	for _, host := range hosts {
		present[host.GetName()] = true
		s.maxCores = max(s.maxCores, int(host.GetCores()))
		h.configureTarget(s, host, a.hosts[host.GetName()])
	}
	for name, t := range s.targets {
		t.isHomed = t.isHomed && present[name]
		if !t.isHomed && t.inFlight == 0 {
			t.client.Close()
			delete(s.targets, name)
		}
	}
}

func (h *Home) configureTarget(s *service, host *bwroster.Host, isHomed bool) {
	t := s.targets[host.GetName()]
	if t == nil && !isHomed {
		return
	}
	if t == nil || t.host.GetAddress() != host.GetAddress() {
		t = &target{client: bwtarget.NewClient(host.GetAddress(), int(host.GetSlots()), h.dial)}
		s.targets[host.GetName()] = t
	}
	t.host = host
	t.isHomed = isHomed
}

// configureShares gives each profile the part of its guarantee that matches the part of
// the pool's slots at this entry.
func (h *Home) configureShares(s *service, v *bwconfig.Snapshot, a Assignment) {
	slots := s.slots(h.clock.Now())
	part := 0.0
	if total := a.poolSlots[s.pool]; total > 0 {
		part = float64(slots) / float64(total)
	}
	var shares []bwqueue.Share
	for _, p := range v.Profiles() {
		if p.GetPool() != s.pool {
			continue
		}
		guaranteed := p.GetGuaranteedSlots() * part
		shares = append(shares, bwqueue.NewShare(p.GetName(), guaranteed, int(p.GetUrgency()), int(p.GetQueueLimit())))
		if s.budgets[p.GetName()] == nil {
			s.budgets[p.GetName()] = &retryBudget{tokens: 1}
		}
		s.budgets[p.GetName()].ratio = p.GetRetryRatio()
	}
	s.queue.Configure(shares, slots)
	s.configuredSlots = slots
}
