// Package bwpool implements pools, their availability budgets and the permits that
// consume them.
//
// A permit allows one host of a pool to be out of service for maintenance or for a
// move to another pool. All permits of a pool are stored in the single store value of
// the pool, so the compare-and-swap that adds a permit also proves that the budget was
// not exceeded. The decision functions are pure: they take the pool, the observed state
// of its hosts and the time, and return what to do. The controller carries it out.
package bwpool

import (
	"fmt"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwprofile"
)

// HostView is the part of the state of one pool host that budget decisions depend on.
type HostView struct {
	name       string
	rack       string
	dataCentre string
	isDown     bool
	isJoining  bool
}

// NewHostView returns the view of a host; isDown is true if the host does not serve.
func NewHostView(name, rack, dataCentre string, isDown bool) HostView {
	return HostView{name: name, rack: rack, dataCentre: dataCentre, isDown: isDown}
}

// WithJoining returns a copy of the view for a host whose move into the pool is not complete.
func (h HostView) WithJoining() HostView {
	h.isJoining = true
	return h
}

// Name returns the name of the host.
func (h HostView) Name() string { return h.name }

// IsDown reports whether the host does not serve.
func (h HostView) IsDown() bool { return h.isDown }

// Refusal is the reason why a permit cannot be granted. The zero value is Allowed.
type Refusal int

// The reasons for refusing a permit.
const (
	// Allowed means that the permit can be granted.
	Allowed Refusal = iota
	BudgetExhausted
	RackLimitReached
	DataCentreLimitReached
	AlreadyHoldsPermit
	NotInPool
	StillJoining
)

// String returns the reason as a message for operators.
func (r Refusal) String() string {
	switch r {
	case Allowed:
		return "allowed"
	case BudgetExhausted:
		return "the availability budget is spent"
	case RackLimitReached:
		return "the limit for the rack is reached"
	case DataCentreLimitReached:
		return "the limit for the data centre is reached"
	case AlreadyHoldsPermit:
		return "the host already has a permit"
	case StillJoining:
		return "the host's move into the pool has not ended"
	}
	return "the host is not in the pool"
}

// BudgetUsage counts the hosts that consume the availability budget of a pool.
type BudgetUsage struct {
	total        int
	byRack       map[string]int
	byDataCentre map[string]int
	unavailable  map[string]bool
}

// Total returns the number of hosts that are down or hold a permit.
func (u BudgetUsage) Total() int { return u.total }

// ComputeBudgetUsage counts each host that is down or holds a permit once. A permit
// counts until it is released, even if its host has already moved to another pool or is
// not yet in hosts.
func ComputeBudgetUsage(p *Pool, hosts []HostView) BudgetUsage {
	u := BudgetUsage{byRack: make(map[string]int), byDataCentre: make(map[string]int), unavailable: make(map[string]bool)}
	for _, permit := range p.GetPermits() {
		u.addHost(HostView{name: permit.GetHost(), rack: permit.GetRack(), dataCentre: permit.GetDataCentre()})
	}
	for _, h := range hosts {
		if h.isDown && !u.unavailable[h.name] {
			u.addHost(h)
		}
	}
	return u
}

func (u *BudgetUsage) addHost(h HostView) {
	u.unavailable[h.name] = true
	u.total++
	u.byRack[h.rack]++
	u.byDataCentre[h.dataCentre]++
}

// CheckPermit decides whether a permit for host can be granted. A host that is already
// down counts once, not twice. It is not exempt from the budget: the report that it is
// down may be stale, and the permit would then take a serving host out of service.
func CheckPermit(p *Pool, hosts []HostView, host string) Refusal {
	if p.FindPermit(host) != nil {
		return AlreadyHoldsPermit
	}
	view, ok := findHostView(hosts, host)
	if !ok {
		return NotInPool
	}
	if view.isJoining {
		// The permit of the move is not released yet and still acts on the host.
		return StillJoining
	}
	u := ComputeBudgetUsage(p, hosts)
	if !u.unavailable[host] {
		u.addHost(view)
	}
	switch {
	case u.total > int(p.GetMaxUnavailable()):
		return BudgetExhausted
	case exceedsLimit(u.byRack[view.rack], p.GetMaxUnavailablePerRack()):
		return RackLimitReached
	case exceedsLimit(u.byDataCentre[view.dataCentre], p.GetMaxUnavailablePerDataCentre()):
		return DataCentreLimitReached
	}
	return Allowed
}

func findHostView(hosts []HostView, host string) (HostView, bool) {
	for _, h := range hosts {
		if h.name == host {
			return h, true
		}
	}
	return HostView{}, false
}

// exceedsLimit reports whether count is above limit; a limit of 0 means no limit.
func exceedsLimit(count int, limit int32) bool {
	return limit > 0 && count > int(limit)
}

// FindPermit returns the permit of the host, or nil if it has none.
func (p *Pool) FindPermit(host string) *Permit {
	for _, permit := range p.GetPermits() {
		if permit.GetHost() == host {
			return permit
		}
	}
	return nil
}

// AddPermit appends permit at its first step and records in it the rack and the data
// centre of its host.
func (p *Pool) AddPermit(permit *Permit, hosts []HostView, now bwclock.Time) {
	if h, ok := findHostView(hosts, permit.GetHost()); ok {
		permit.Rack = h.rack
		permit.DataCentre = h.dataCentre
	}
	permit.Step = Step_granted
	permit.GrantedMillis = now.Millis()
	permit.StepMillis = now.Millis()
	p.Permits = append(p.Permits, permit)
}

// AdvancePermit sets the step of the permit with the given id and reports whether the
// permit was found.
func (p *Pool) AdvancePermit(id string, step Step, now bwclock.Time) bool {
	for _, permit := range p.GetPermits() {
		if permit.GetId() == id {
			permit.Step = step
			permit.StepMillis = now.Millis()
			permit.Problem = ""
			return true
		}
	}
	return false
}

// ReleasePermit removes the permit with the given id. If the permit belongs to the
// current wave, its host is recorded as done.
func (p *Pool) ReleasePermit(id string, now bwclock.Time) {
	for i, permit := range p.GetPermits() {
		if permit.GetId() != id {
			continue
		}
		p.Permits = append(p.Permits[:i:i], p.Permits[i+1:]...)
		if permit.GetWave() != "" && permit.GetWave() == p.GetWave().GetId() {
			p.Wave.Done = append(p.Wave.Done, permit.GetHost())
		}
		return
	}
}

// NextWaveHost returns the next host that the running wave may take out of service, if
// there is one. Hosts that are already down come first because they cost no availability.
func NextWaveHost(p *Pool, hosts []HostView) (string, bool) {
	if p.GetWave().GetState() != WaveState_running {
		return "", false
	}
	done := doneHosts(p)
	for _, wantDown := range []bool{true, false} {
		for _, h := range hosts {
			if h.isDown == wantDown && !done[h.name] && CheckPermit(p, hosts, h.name) == Allowed {
				return h.name, true
			}
		}
	}
	return "", false
}

// IsWaveComplete reports whether the wave has processed every host of the pool.
func IsWaveComplete(p *Pool, hosts []HostView) bool {
	done := doneHosts(p)
	for _, h := range hosts {
		if !done[h.name] {
			return false
		}
	}
	return true
}

func doneHosts(p *Pool) map[string]bool {
	done := make(map[string]bool)
	for _, host := range p.GetWave().GetDone() {
		done[host] = true
	}
	return done
}

// Validate returns a message for each invalid field of the specification.
func (p *Pool) Validate() []string {
	var problems []string
	for _, field := range []struct{ name, value string }{{"name", p.GetName()}, {"service", p.GetService()}} {
		if !bwprofile.IsValidName(field.value) {
			problems = append(problems, fmt.Sprintf("%s %q: use lower-case letters, digits and hyphens", field.name, field.value))
		}
	}
	if p.GetMaxUnavailable() < 1 {
		problems = append(problems, fmt.Sprintf("maxUnavailable %d: must be at least 1, or no host can be maintained", p.GetMaxUnavailable()))
	}
	if p.GetMaxUnavailablePerRack() < 0 || p.GetMaxUnavailablePerDataCentre() < 0 {
		problems = append(problems, "maxUnavailablePerRack and maxUnavailablePerDataCentre: must not be negative")
	}
	return problems
}
