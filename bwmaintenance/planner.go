package bwmaintenance

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
)

const (
	// drainAhead is the number of hosts drained in addition to the free part of a wave's
	// disruption budget, so that an empty host is available as soon as the budget allows
	// the next one.
	drainAhead = 2
	// waveTimeReserve is the fraction of a wave's time limit that is reserved for delays.
	waveTimeReserve = 0.25
	// orderRetryInterval is the time after which an unanswered order may be issued again.
	orderRetryInterval = 1500 * time.Millisecond
	// maxListLag is how long the platform's host list may take to show an accepted order.
	maxListLag = 700 * time.Millisecond
)

// ExecutorSurvey is the state of one executor as reported by its pool's owner.
type ExecutorSurvey struct {
	// Runs is the number of task runs that are or may be running on the executor;
	// LongRunning is how many of them are long-running.
	Runs        int
	LongRunning int
	IsCordoned  bool
}

// Survey is the state of a pool as reported by its owner.
type Survey struct {
	Executors map[string]ExecutorSurvey
	// Demand is the number of hosts that the due tasks would occupy. OverdueDemand is the part of
	// it that only overdue jobs need, whose end no longer counts for their callers.
	Demand        float64
	OverdueDemand float64
	// Fence is the fencing token of the reporting owner.
	Fence int64
	At    bwclock.Time
}

// Settings are the deployment's bounds on host operations.
type Settings struct {
	// MaintenanceDuration and MoveDuration are how long a host is unavailable during the
	// operation.
	MaintenanceDuration time.Duration
	MoveDuration        time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	// Cordon stops the placement of new tasks on an executor and drains it.
	Cordon ActionKind = iota
	// Uncordon allows the placement of tasks on an executor again.
	Uncordon
	Maintain
	Move
	// ReportWave stores the state of a wave.
	ReportWave
)

// Action is one step of a plan.
type Action struct {
	Kind     ActionKind
	Host     string
	Pool     string
	Executor string
	// MoveTo is the pool to which a cordoned host moves once it is empty.
	MoveTo     string
	Wave       int64
	IsWaveDone bool
	Reason     string
}

// order is an order to a host whose effect the host list does not show yet.
type order struct {
	kind       ActionKind
	wave       int64
	pool       string
	executor   string
	orderedAt  bwclock.Time
	isAccepted bool
	// excludedUntil is set for an order that a previous coordinator may have issued; the
	// kind of that order is not known.
	excludedUntil bwclock.Time
}

type wave struct {
	bwfleet.Wave
	receivedAt    bwclock.Time
	started       map[string]bool
	reportedState string
}

// Planner plans the maintenance of hosts and their moves between pools. It does no I/O: its
// user supplies waves, hosts, pools and results of orders, and executes the planned actions.
// It is not safe for concurrent use.
type Planner struct {
	settings Settings
	waves    map[int64]*wave
	hosts    map[string]bwfleet.Host
	listedAt bwclock.Time
	surveys  map[string]Survey
	pools    map[string]bwfleet.Pool
	orders   map[string]*order
	demand   map[string]*demand
	// history is the recent total demand of all pools.
	history []fleetDemand
}

// NewPlanner returns a Planner without any waves, hosts or pools.
func NewPlanner(settings Settings) *Planner {
	return &Planner{
		settings: settings,
		waves:    make(map[int64]*wave),
		hosts:    make(map[string]bwfleet.Host),
		surveys:  make(map[string]Survey),
		pools:    make(map[string]bwfleet.Pool),
		orders:   make(map[string]*order),
		demand:   make(map[string]*demand),
	}
}

// SetWave adds or updates a wave. started lists hosts whose maintenance has started.
func (p *Planner) SetWave(w bwfleet.Wave, started []string, now bwclock.Time) {
	tracked := p.waves[w.Number]
	if tracked == nil {
		tracked = &wave{receivedAt: now, started: make(map[string]bool)}
		p.waves[w.Number] = tracked
	}
	tracked.Wave = w
	for _, h := range started {
		tracked.started[h] = true
	}
}

// HasWave reports whether SetWave was called for the wave.
func (p *Planner) HasWave(number int64) bool { return p.waves[number] != nil }

// StartedHosts returns the sorted hosts of a wave whose maintenance has started.
func (p *Planner) StartedHosts(number int64) []string {
	var list []string
	for h := range p.waves[number].started {
		list = append(list, h)
	}
	sort.Strings(list)
	return list
}

// IsDone reports whether maintenance has started on every host of a wave that is still in
// the platform's host list.
func (p *Planner) IsDone(number int64) bool {
	return p.listedAt != bwclock.Never && len(p.remainingHosts(p.waves[number])) == 0
}

// SetPools replaces the configured pools.
func (p *Planner) SetPools(pools []bwfleet.Pool) {
	p.pools = make(map[string]bwfleet.Pool, len(pools))
	for _, pool := range pools {
		p.pools[pool.Name] = pool
	}
}

// SetHosts replaces the host list, which was requested at requestedAt, and removes the
// orders that it resolves.
func (p *Planner) SetHosts(hosts []bwfleet.Host, requestedAt bwclock.Time) {
	p.hosts = make(map[string]bwfleet.Host, len(hosts))
	for _, h := range hosts {
		p.hosts[h.ID] = h
	}
	p.listedAt = requestedAt
	for id, o := range p.orders {
		if p.isResolved(id, o, requestedAt) {
			delete(p.orders, id)
		}
	}
}

// isResolved reports whether the host list shows that an order took effect or had no effect.
func (p *Planner) isResolved(id string, o *order, requestedAt bwclock.Time) bool {
	h, ok := p.hosts[id]
	if !ok {
		return true
	}
	if o.excludedUntil != bwclock.Never {
		return !requestedAt.Before(o.excludedUntil) && h.State == bwfleet.HostUp
	}
	if requestedAt.Sub(o.orderedAt) < maxListLag || h.State != bwfleet.HostUp {
		return false
	}
	if o.isAccepted {
		// The host is up again with a new executor.
		return h.Executor != o.executor || requestedAt.Sub(o.orderedAt) > 2*(p.settings.MaintenanceDuration+p.settings.MoveDuration)
	}
	return requestedAt.Sub(o.orderedAt) >= orderRetryInterval
}

// SetSurvey replaces the survey of a pool.
func (p *Planner) SetSurvey(pool string, s Survey) {
	p.surveys[pool] = s
	p.updateDemand(pool, s)
}

// RecordOrder records an order that is about to be issued.
func (p *Planner) RecordOrder(a Action, now bwclock.Time) {
	p.orders[a.Host] = &order{kind: a.Kind, wave: a.Wave, pool: a.Pool, executor: p.hosts[a.Host].Executor, orderedAt: now}
}

// Exclude prevents orders to hosts that a previous coordinator may have ordered until the
// given time. Until then they count as unavailable in their waves.
func (p *Planner) Exclude(hosts []string, until bwclock.Time) {
	for _, id := range hosts {
		p.orders[id] = &order{kind: Maintain, excludedUntil: until}
	}
}

// RecordResult records the result of an order and reports whether a wave has progressed.
func (p *Planner) RecordResult(a Action, r Result) bool {
	o := p.orders[a.Host]
	switch r {
	case Accepted:
		if o != nil {
			o.isAccepted = true
		}
		if w := p.waves[a.Wave]; a.Kind == Maintain && w != nil {
			w.started[a.Host] = true
			return true
		}
	case Unanswered:
		// The order counts as executed until the host list shows otherwise.
	default:
		delete(p.orders, a.Host)
	}
	return false
}

// HasPendingWork reports whether an order or a wave is in progress, which requires a more
// frequent refresh of the host list.
func (p *Planner) HasPendingWork() bool {
	if len(p.orders) > 0 {
		return true
	}
	for _, w := range p.waves {
		if len(p.remainingHosts(w)) > 0 {
			return true
		}
	}
	return false
}

// Plan returns the actions to execute now.
func (p *Planner) Plan(now bwclock.Time) []Action {
	var actions []Action
	for _, n := range p.waveNumbers() {
		actions = append(actions, p.planWave(p.waves[n], now)...)
	}
	actions = append(actions, p.planMoves(now)...)
	return append(actions, p.uncordon(actions)...)
}

// uncordon returns Uncordon actions for cordoned hosts that neither an action nor an order
// refers to any more.
func (p *Planner) uncordon(actions []Action) []Action {
	inUse := make(map[string]bool)
	for _, a := range actions {
		inUse[a.Host] = true
	}
	var list []Action
	for _, id := range p.hostIDs() {
		h := p.hosts[id]
		if p.isCordoned(h) && !inUse[id] && p.orders[id] == nil {
			list = append(list, Action{Kind: Uncordon, Host: id, Pool: h.Pool, Executor: h.Executor})
		}
	}
	return list
}

func (p *Planner) waveNumbers() []int64 {
	var numbers []int64
	for n := range p.waves {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(a, b int) bool { return numbers[a] < numbers[b] })
	return numbers
}

// remainingHosts returns the hosts of a wave that are still listed and whose maintenance has
// not started.
func (p *Planner) remainingHosts(w *wave) []string {
	var list []string
	for _, id := range w.Hosts {
		if _, ok := p.hosts[id]; ok && !w.started[id] {
			list = append(list, id)
		}
	}
	return list
}

func (p *Planner) planWave(w *wave, now bwclock.Time) []Action {
	if p.listedAt == bwclock.Never {
		return nil
	}
	remaining := p.remainingHosts(w)
	actions := p.reportWave(w, len(remaining) == 0)
	budget := w.MaxUnavailable - p.unavailableHosts(w)
	candidates := p.sortedByDisruption(remaining)
	isBehind := p.isBehindSchedule(w, len(remaining), now)
	draining := 0
	drainBudget := p.drainBudgets(isBehind)
	for _, id := range candidates {
		h := p.hosts[id]
		a := Action{Kind: Maintain, Host: id, Pool: h.Pool, Executor: h.Executor, Wave: w.Number, Reason: "wave"}
		switch {
		case p.orders[id] != nil || h.State != bwfleet.HostUp:
			continue
		case budget > 0 && p.isDrained(h):
			actions = append(actions, a)
			budget--
		case draining < max(0, budget)+drainAhead && (p.isCordoned(h) || drainBudget[h.Pool] > 0):
			if !p.isCordoned(h) {
				drainBudget[h.Pool]--
			}
			a.Kind = Cordon
			actions = append(actions, a)
			draining++
		}
	}
	return actions
}

// reportWave returns an action that stores the state of a wave if the state has changed.
func (p *Planner) reportWave(w *wave, isDone bool) []Action {
	state := "running"
	if isDone {
		state = "done"
	}
	if w.reportedState == state {
		return nil
	}
	return []Action{{Kind: ReportWave, Wave: w.Number, IsWaveDone: isDone}}
}

// RecordReport records that the state of a wave has been stored.
func (p *Planner) RecordReport(a Action) {
	p.waves[a.Wave].reportedState = "running"
	if a.IsWaveDone {
		p.waves[a.Wave].reportedState = "done"
	}
}

// unavailableHosts counts the hosts of a wave that are or may be in maintenance.
func (p *Planner) unavailableHosts(w *wave) int {
	n := 0
	for _, id := range w.Hosts {
		h := p.hosts[id]
		o := p.orders[id]
		if h.State == bwfleet.HostInMaintenance || o != nil && o.kind == Maintain {
			n++
		}
	}
	return n
}

// isBehindSchedule reports whether the fraction of the wave's hosts that are no longer
// remaining is less than the elapsed fraction of its time limit, from which waveTimeReserve
// is deducted first. Such a wave also takes hosts from busy pools.
func (p *Planner) isBehindSchedule(w *wave, remaining int, now bwclock.Time) bool {
	total := max(1, len(w.Hosts))
	expected := now.Sub(w.receivedAt).Seconds() / (w.TimeLimit.Seconds() * (1 - waveTimeReserve))
	return 1-float64(remaining)/float64(total) < expected
}

// sortedByDisruption returns the hosts sorted by ascending disruption cost.
func (p *Planner) sortedByDisruption(ids []string) []string {
	list := append([]string(nil), ids...)
	sort.SliceStable(list, func(a, b int) bool { return p.disruptionCost(list[a]) < p.disruptionCost(list[b]) })
	return list
}

// disruptionCost estimates the cost of draining a host from its task runs and the load of its
// pool. Cordoned hosts cost less, so that a drain that has started is continued.
func (p *Planner) disruptionCost(id string) float64 {
	h := p.hosts[id]
	s, ok := p.surveys[h.Pool]
	if !ok {
		return 0
	}
	e := s.Executors[h.Executor]
	cost := float64(e.Runs) + 4*float64(e.LongRunning) + 10*s.Demand/float64(max(1, p.supply(h.Pool)))
	if e.IsCordoned {
		cost -= 5
	}
	return cost
}

// isDrained reports whether no task runs on a host and none can be placed there. Standby
// pools have no owner, so their hosts never run tasks.
func (p *Planner) isDrained(h bwfleet.Host) bool {
	if p.pools[h.Pool].IsStandby {
		return true
	}
	s, ok := p.surveys[h.Pool]
	if !ok {
		return false
	}
	e, known := s.Executors[h.Executor]
	return known && e.IsCordoned && e.Runs == 0
}

// isCordoned reports whether the owner of a host's pool places no new tasks on the host.
func (p *Planner) isCordoned(h bwfleet.Host) bool {
	return p.surveys[h.Pool].Executors[h.Executor].IsCordoned
}

// describeSurvey returns log fields that tell what the latest survey of a host's pool says of the
// host, and its age. Standby pools have no surveys.
func (p *Planner) describeSurvey(id string, now bwclock.Time) []any {
	h := p.hosts[id]
	s, ok := p.surveys[h.Pool]
	if !ok {
		return nil
	}
	e := s.Executors[h.Executor]
	return []any{"surveyAge", now.Sub(s.At).String(), "cordoned", e.IsCordoned, "runs", e.Runs, "longRunning", e.LongRunning}
}

// sourcePool returns the pool of a host.
func (p *Planner) sourcePool(id string) bwfleet.Pool {
	name := p.hosts[id].Pool
	return bwfleet.Pool{Name: name, IsStandby: p.pools[name].IsStandby}
}

// drainBudgets returns how many more hosts of each pool may be drained. The remaining hosts
// must carry the pool's load and accept its long-running tasks. A wave that is behind
// schedule may drain one host of a busy pool at a time.
func (p *Planner) drainBudgets(isBehind bool) map[string]int {
	budgets := make(map[string]int)
	for pool, d := range p.demand {
		budgets[pool] = p.supply(pool) - max(d.wanted, minHosts)
		if isBehind && p.cordonedHosts(pool) == 0 {
			budgets[pool] = max(budgets[pool], 1)
		}
	}
	return budgets
}

// cordonedHosts counts the cordoned hosts of a pool.
func (p *Planner) cordonedHosts(pool string) int {
	n := 0
	for _, h := range p.hosts {
		if h.Pool == pool && p.isCordoned(h) {
			n++
		}
	}
	return n
}

// supply counts the hosts of a pool that are up or moving, are not cordoned and have no
// pending order of this coordinator.
func (p *Planner) supply(pool string) int {
	n := 0
	for id, h := range p.hosts {
		if h.Pool == pool && !p.hasOwnOrder(id) && !p.isCordoned(h) && (h.State == bwfleet.HostUp || h.State == bwfleet.HostMoving) {
			n++
		}
	}
	return n
}

// hasOwnOrder reports whether this coordinator has a pending order for a host.
func (p *Planner) hasOwnOrder(id string) bool {
	o := p.orders[id]
	return o != nil && o.excludedUntil == bwclock.Never
}
