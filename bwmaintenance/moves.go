package bwmaintenance

import (
	"math"
	"slices"
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
)

const (
	// headroomFactor scales a pool's demand to the number of hosts that it keeps, because free
	// capacity is fragmented into pieces that are too small for some tasks.
	headroomFactor = 1.15
	// minHosts is the number of hosts that a pool keeps without any demand. They run the first
	// tasks when the load increases, until more hosts arrive.
	minHosts = 3
	// scaleDownDelay is how long a host must have been in excess of its pool's demand before
	// it is moved to standby. A move there and back costs as much as running a host for about
	// two seconds.
	scaleDownDelay = 1500 * time.Millisecond
	// fleetDemandWindow is the period over which the peak of the total demand determines the
	// excess hosts. It is long enough for the load peaks of all pools to occur in turn.
	fleetDemandWindow = 20 * time.Second
	// maxSurveyAge is the age from which a survey is too old to plan moves.
	maxSurveyAge = 1500 * time.Millisecond
)

// fleetDemand is the total number of hosts that all pools needed at one time.
type fleetDemand struct {
	at    bwclock.Time
	hosts int
}

// demand tracks how many hosts a pool needs.
type demand struct {
	// wanted is the number of hosts for all work. urgent leaves out overdue jobs, so that
	// their backlog does not keep hosts from other pools.
	wanted int
	urgent int
	// peak is the highest recent value of wanted, and peakAt the time when it was last
	// reached or reset.
	peak   int
	peakAt bwclock.Time
}

// updateDemand updates a pool's demand from a survey. The peak falls only after
// scaleDownDelay, which prevents hosts from moving back and forth.
func (p *Planner) updateDemand(pool string, s Survey) {
	d := p.demand[pool]
	if d == nil {
		d = &demand{}
		p.demand[pool] = d
	}
	d.wanted = wantedHosts(s.Demand)
	d.urgent = wantedHosts(s.Demand - s.OverdueDemand)
	if d.wanted >= d.peak {
		d.peak, d.peakAt = d.wanted, s.At
	}
	if s.At.Sub(d.peakAt) >= scaleDownDelay {
		d.peak, d.peakAt = d.wanted, s.At
	}
}

func wantedHosts(demand float64) int { return max(minHosts, int(math.Ceil(demand*headroomFactor))) }

// demandLevel selects which part of a pool's demand counts.
type demandLevel func(d *demand) int

func allWork(d *demand) int    { return d.wanted }
func urgentWork(d *demand) int { return d.urgent }

// planMoves plans moves of spare hosts to pools with a shortage and of excess hosts to the
// standby pool. Shortages for urgent work come first. They may also take the hosts that other
// pools keep only for overdue jobs.
func (p *Planner) planMoves(now bwclock.Time) []Action {
	standby := p.standbyPool()
	if standby == "" || p.listedAt == bwclock.Never {
		return nil
	}
	spare := p.spareHosts(now, allWork)
	m := moves{planner: p, isAssigned: make(map[string]bool), assignedTo: make(map[string]int)}
	m.fillShortages(now, urgentWork, append(slices.Clip(spare), p.spareHosts(now, urgentWork)...))
	m.fillShortages(now, allWork, spare)
	unused := p.unusedHosts(spare, m.isAssigned)
	excess := p.excessHosts(now)
	for _, id := range spare {
		h := p.hosts[id]
		if excess <= 0 {
			break
		}
		if m.isAssigned[id] || unused[h.Pool] <= 0 {
			continue
		}
		unused[h.Pool]--
		excess--
		m.actions = append(m.actions, p.moveOrCordon(h, standby, "idle"))
	}
	return m.actions
}

// moves collects the moves of one plan.
type moves struct {
	planner *Planner
	actions []Action
	// isAssigned holds the hosts that move, assignedTo how many of them each pool gets.
	isAssigned map[string]bool
	assignedTo map[string]int
}

// fillShortages assigns hosts to the pools that lack some, the one with the largest shortage
// first.
func (m *moves) fillShortages(now bwclock.Time, level demandLevel, hosts []string) {
	for _, pool := range m.planner.surveyedPools(now, level) {
		shortage := m.planner.shortage(pool, level) - m.assignedTo[pool]
		for _, id := range hosts {
			h := m.planner.hosts[id]
			if shortage <= 0 {
				break
			}
			if m.isAssigned[id] || h.Pool == pool {
				continue
			}
			m.isAssigned[id] = true
			m.assignedTo[pool]++
			shortage--
			m.actions = append(m.actions, m.planner.moveOrCordon(h, pool, "demand"))
		}
	}
}

// shortage returns how many hosts a pool lacks; it is negative if the pool has more than it needs.
func (p *Planner) shortage(pool string, level demandLevel) int {
	return level(p.demand[pool]) - p.supply(pool) - p.arrivingHosts(pool)
}

// excessHosts returns by how many hosts the fleet exceeds the peak of its total demand in
// fleetDemandWindow. Load peaks of pools alternate, so a host that one pool does not need now
// is often needed by another one soon, and gets there faster than from standby.
func (p *Planner) excessHosts(now bwclock.Time) int {
	total, wanted := 0, 0
	for pool, d := range p.demand {
		total += p.supply(pool) + p.arrivingHosts(pool) + p.cordonedHosts(pool)
		wanted += d.wanted
	}
	p.history = append(p.history, fleetDemand{at: now, hosts: wanted})
	for now.Sub(p.history[0].at) > fleetDemandWindow+time.Second {
		p.history = p.history[1:]
	}
	if now.Sub(p.history[0].at) < fleetDemandWindow {
		return 0
	}
	peak := 0
	for _, sample := range p.history {
		peak = max(peak, sample.hosts)
	}
	return total - peak
}

// unusedHosts returns how many spare hosts of each pool exceed the pool's recent peak demand.
func (p *Planner) unusedHosts(spare []string, assigned map[string]bool) map[string]int {
	unused := make(map[string]int)
	for pool, d := range p.demand {
		unused[pool] = p.supply(pool) - d.peak
	}
	for _, id := range spare {
		if h := p.hosts[id]; !assigned[id] && p.isCordoned(h) {
			unused[h.Pool]++
		}
	}
	return unused
}

func (p *Planner) moveOrCordon(h bwfleet.Host, pool, reason string) Action {
	if p.isDrained(h) {
		return Action{Kind: Move, Host: h.ID, Pool: pool, Executor: h.Executor, Reason: reason}
	}
	return Action{Kind: Cordon, Host: h.ID, Pool: h.Pool, Executor: h.Executor, MoveTo: pool, Reason: reason}
}

// surveyedPools returns the pools with a recent survey, the one with the largest shortage of
// hosts first.
func (p *Planner) surveyedPools(now bwclock.Time, level demandLevel) []string {
	var list []string
	for pool, s := range p.surveys {
		if now.Sub(s.At) < maxSurveyAge && !p.pools[pool].IsStandby {
			list = append(list, pool)
		}
	}
	shortages := make(map[string]int, len(list))
	for _, pool := range list {
		shortages[pool] = p.shortage(pool, level)
	}
	sort.Slice(list, func(a, b int) bool {
		if shortages[list[a]] != shortages[list[b]] {
			return shortages[list[a]] > shortages[list[b]]
		}
		return list[a] < list[b]
	})
	return list
}

// spareHosts returns the hosts that may be moved: those in standby pools first, then those
// that their pools do not need, in ascending order of task runs. Hosts with long-running
// tasks are left out; the other tasks end soon.
func (p *Planner) spareHosts(now bwclock.Time, level demandLevel) []string {
	var standby, idle []string
	for _, id := range p.hostIDs() {
		h := p.hosts[id]
		if h.State != bwfleet.HostUp || p.orders[id] != nil || p.isDueForWave(id) {
			continue
		}
		if p.pools[h.Pool].IsStandby {
			standby = append(standby, id)
			continue
		}
		s := p.surveys[h.Pool]
		e, known := s.Executors[h.Executor]
		if known && now.Sub(s.At) < maxSurveyAge && e.LongRunning == 0 {
			idle = append(idle, id)
		}
	}
	sort.SliceStable(idle, func(a, b int) bool { return p.runCount(idle[a]) < p.runCount(idle[b]) })
	return append(standby, p.surplusHosts(idle, level)...)
}

func (p *Planner) runCount(id string) int {
	h := p.hosts[id]
	return p.surveys[h.Pool].Executors[h.Executor].Runs
}

// surplusHosts returns, for each pool, as many of the given hosts as exceed its demand.
func (p *Planner) surplusHosts(idle []string, level demandLevel) []string {
	var list []string
	surplus := make(map[string]int)
	for pool, d := range p.demand {
		surplus[pool] = p.supply(pool) - level(d)
	}
	for _, id := range idle {
		h := p.hosts[id]
		switch {
		case p.isCordoned(h) && surplus[h.Pool] >= 0:
			// A cordoned host is already excluded from the supply.
			list = append(list, id)
		case surplus[h.Pool] > 0:
			surplus[h.Pool]--
			list = append(list, id)
		}
	}
	return list
}

func (p *Planner) hostIDs() []string {
	ids := make([]string, 0, len(p.hosts))
	for id := range p.hosts {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (p *Planner) isDueForWave(id string) bool {
	for _, w := range p.waves {
		for _, h := range w.Hosts {
			if h == id && !w.started[id] {
				return true
			}
		}
	}
	return false
}

// arrivingHosts counts the hosts with a pending move to a pool.
func (p *Planner) arrivingHosts(pool string) int {
	n := 0
	for _, o := range p.orders {
		if o.kind == Move && o.pool == pool {
			n++
		}
	}
	return n
}

func (p *Planner) standbyPool() string {
	best := ""
	for name, pool := range p.pools {
		if pool.IsStandby && (best == "" || name < best) {
			best = name
		}
	}
	return best
}
