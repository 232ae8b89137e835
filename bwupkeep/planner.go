package bwupkeep

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
)

const (
	// drainAhead is how many hosts are emptied beyond those that may be down at once, so
	// that the next one is empty when a place gets free.
	drainAhead = 2
	// waveReserve is the share of a wave's time that is kept for delays.
	waveReserve = 0.25
	// orderRepeat is the time after which an order without an answer is given again.
	orderRepeat = 1500 * time.Millisecond
	// listLag is how long the list of hosts may lag behind an accepted order.
	listLag = 700 * time.Millisecond
)

// ExecutorSurvey is what a pool's owner says of one executor.
type ExecutorSurvey struct {
	// Runs is what runs or may run there, and LongRunning how many of these last.
	Runs        int
	LongRunning int
	IsCordoned  bool
}

// Survey is what a pool's owner says of the pool.
type Survey struct {
	Executors map[string]ExecutorSurvey
	// Demand is how many hosts the due tasks would fill.
	Demand float64
	// Fence is the fencing token of the owner that says so.
	Fence int64
	At    bwclock.Time
}

// Settings are the bounds of the deployment.
type Settings struct {
	// Maintenance and Move are how long a host is away.
	Maintenance time.Duration
	Move        time.Duration
}

// ActionKind tells what a plan asks for.
type ActionKind int

// The kinds of actions.
const (
	// Cordon keeps new tasks from an executor and empties it.
	Cordon ActionKind = iota
	// Uncordon lets tasks come again.
	Uncordon
	Maintain
	Move
	// Report writes the state of a wave.
	Report
)

// Action is one thing to do.
type Action struct {
	Kind     ActionKind
	Host     string
	Pool     string
	Executor string
	// MoveTo is the pool to which a cordoned host is to go once it is empty.
	MoveTo string
	Wave   int64
	IsDone bool
	Reason string
}

// order is one that was given to a host and whose effect is not seen yet.
type order struct {
	kind     ActionKind
	wave     int64
	pool     string
	executor string
	at       bwclock.Time
	isSure   bool
	// keptUntil is set for an order that an earlier holder may have given; what it was is
	// not known.
	keptUntil bwclock.Time
}

type wave struct {
	bwfleet.Wave
	seenAt   bwclock.Time
	done     map[string]bool
	reported string
}

// Planner decides what is done with hosts. It is a plain value: its user tells it of waves,
// hosts, pools and results, and carries out what it asks for.
type Planner struct {
	settings Settings
	waves    map[int64]*wave
	hosts    map[string]bwfleet.Host
	listedAt bwclock.Time
	surveys  map[string]Survey
	pools    map[string]bwfleet.Pool
	orders   map[string]*order
	demand   map[string]*demand
	// history is the recent demand of all pools together.
	history []fleetDemand
}

// NewPlanner returns a Planner that knows nothing yet.
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

// SetWave takes in a wave; done lists the hosts whose maintenance has begun.
func (p *Planner) SetWave(w bwfleet.Wave, done []string, now bwclock.Time) {
	known := p.waves[w.Number]
	if known == nil {
		known = &wave{seenAt: now, done: make(map[string]bool)}
		p.waves[w.Number] = known
	}
	known.Wave = w
	for _, h := range done {
		known.done[h] = true
	}
}

// HasWave reports whether the wave is known.
func (p *Planner) HasWave(number int64) bool { return p.waves[number] != nil }

// Done returns the hosts of a wave whose maintenance has begun, in order.
func (p *Planner) Done(number int64) []string {
	var list []string
	for h := range p.waves[number].done {
		list = append(list, h)
	}
	sort.Strings(list)
	return list
}

// IsDone reports whether the maintenance of every host of a wave that stays has begun.
func (p *Planner) IsDone(number int64) bool {
	return p.listedAt != bwclock.Never && len(p.left(p.waves[number])) == 0
}

// SetPools takes in the pools of the configuration.
func (p *Planner) SetPools(pools []bwfleet.Pool) {
	p.pools = make(map[string]bwfleet.Pool, len(pools))
	for _, pool := range pools {
		p.pools[pool.Name] = pool
	}
}

// SetHosts takes in the list of hosts that was asked for at the given time.
func (p *Planner) SetHosts(hosts []bwfleet.Host, askedAt bwclock.Time) {
	p.hosts = make(map[string]bwfleet.Host, len(hosts))
	for _, h := range hosts {
		p.hosts[h.ID] = h
	}
	p.listedAt = askedAt
	for id, o := range p.orders {
		if p.isOver(id, o, askedAt) {
			delete(p.orders, id)
		}
	}
}

// isOver reports whether the list shows that an order has had its effect, or had none.
func (p *Planner) isOver(id string, o *order, askedAt bwclock.Time) bool {
	h, ok := p.hosts[id]
	if !ok {
		return true
	}
	if o.keptUntil != bwclock.Never {
		return !askedAt.Before(o.keptUntil) && h.State == bwfleet.HostUp
	}
	if askedAt.Sub(o.at) < listLag || h.State != bwfleet.HostUp {
		return false
	}
	if o.isSure {
		// The host is up again, with another executor.
		return h.Executor != o.executor || askedAt.Sub(o.at) > 2*(p.settings.Maintenance+p.settings.Move)
	}
	return askedAt.Sub(o.at) >= orderRepeat
}

// SetSurvey takes in what a pool's owner says.
func (p *Planner) SetSurvey(pool string, s Survey) {
	p.surveys[pool] = s
	p.countDemand(pool, s)
}

// Ordered notes an order that is about to be given.
func (p *Planner) Ordered(a Action, now bwclock.Time) {
	p.orders[a.Host] = &order{kind: a.Kind, wave: a.Wave, pool: a.Pool, executor: p.hosts[a.Host].Executor, at: now}
}

// Keep lets hosts alone that an earlier holder may have ordered. They count as down for a
// wave until then.
func (p *Planner) Keep(hosts []string, until bwclock.Time) {
	for _, id := range hosts {
		p.orders[id] = &order{kind: Maintain, keptUntil: until}
	}
}

// Finished takes in the result of an order. It returns true when a wave got further.
func (p *Planner) Finished(a Action, r Result) bool {
	o := p.orders[a.Host]
	switch r {
	case Accepted:
		if o != nil {
			o.isSure = true
		}
		if w := p.waves[a.Wave]; a.Kind == Maintain && w != nil {
			w.done[a.Host] = true
			return true
		}
	case Unanswered:
		// It counts as carried out until the list shows otherwise.
	default:
		delete(p.orders, a.Host)
	}
	return false
}

// IsActive reports whether something is under way, so that fresh lists are needed.
func (p *Planner) IsActive() bool {
	if len(p.orders) > 0 {
		return true
	}
	for _, w := range p.waves {
		if len(p.left(w)) > 0 {
			return true
		}
	}
	return false
}

// Plan returns what is to be done now.
func (p *Planner) Plan(now bwclock.Time) []Action {
	var actions []Action
	for _, n := range p.waveNumbers() {
		actions = append(actions, p.planWave(p.waves[n], now)...)
	}
	actions = append(actions, p.planMoves(now)...)
	return append(actions, p.uncordon(actions)...)
}

// uncordon returns the hosts that are cordoned and that no action is about any more.
func (p *Planner) uncordon(actions []Action) []Action {
	wanted := make(map[string]bool)
	for _, a := range actions {
		wanted[a.Host] = true
	}
	var list []Action
	for _, id := range p.hostIDs() {
		h := p.hosts[id]
		if p.isCordoned(h) && !wanted[id] && p.orders[id] == nil {
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

// left returns the hosts of a wave that stay and whose maintenance has not begun.
func (p *Planner) left(w *wave) []string {
	var list []string
	for _, id := range w.Hosts {
		if _, ok := p.hosts[id]; ok && !w.done[id] {
			list = append(list, id)
		}
	}
	return list
}

func (p *Planner) planWave(w *wave, now bwclock.Time) []Action {
	if p.listedAt == bwclock.Never {
		return nil
	}
	left := p.left(w)
	actions := p.reportWave(w, len(left) == 0)
	free := w.MaxAtOnce - p.down(w)
	candidates := p.byEase(left)
	isLate := p.isBehind(w, len(left), now)
	drained := 0
	room := p.drainRoom(isLate)
	for _, id := range candidates {
		h := p.hosts[id]
		a := Action{Kind: Maintain, Host: id, Pool: h.Pool, Executor: h.Executor, Wave: w.Number, Reason: "wave"}
		switch {
		case p.orders[id] != nil || h.State != bwfleet.HostUp:
			continue
		case free > 0 && p.isEmptied(h):
			actions = append(actions, a)
			free--
		case drained < max(0, free)+drainAhead && (p.isCordoned(h) || room[h.Pool] > 0):
			if !p.isCordoned(h) {
				room[h.Pool]--
			}
			a.Kind = Cordon
			actions = append(actions, a)
			drained++
		}
	}
	return actions
}

// reportWave returns the state to write when it has changed.
func (p *Planner) reportWave(w *wave, isDone bool) []Action {
	state := "running"
	if isDone {
		state = "done"
	}
	if w.reported == state {
		return nil
	}
	return []Action{{Kind: Report, Wave: w.Number, IsDone: isDone}}
}

// Reported notes that the state of a wave is written.
func (p *Planner) Reported(a Action) {
	p.waves[a.Wave].reported = "running"
	if a.IsDone {
		p.waves[a.Wave].reported = "done"
	}
}

// down counts the hosts of a wave that are or may be down for it.
func (p *Planner) down(w *wave) int {
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

// isBehind reports whether the wave needs hosts of busy pools too to be done in time.
func (p *Planner) isBehind(w *wave, left int, now bwclock.Time) bool {
	total := max(1, len(w.Hosts))
	expected := now.Sub(w.seenAt).Seconds() / (w.Within.Seconds() * (1 - waveReserve))
	return 1-float64(left)/float64(total) < expected
}

// byEase orders hosts by how little they do and how little their pools need them.
func (p *Planner) byEase(ids []string) []string {
	list := append([]string(nil), ids...)
	sort.SliceStable(list, func(a, b int) bool { return p.effort(list[a]) < p.effort(list[b]) })
	return list
}

func (p *Planner) effort(id string) float64 {
	h := p.hosts[id]
	s, ok := p.surveys[h.Pool]
	if !ok {
		return 0
	}
	e := s.Executors[h.Executor]
	effort := float64(e.Runs) + 4*float64(e.LongRunning) + 10*s.Demand/float64(max(1, p.supply(h.Pool)))
	if e.IsCordoned {
		effort -= 5
	}
	return effort
}

// isEmptied reports whether nothing runs on a host and nothing new can come. Hosts of pools
// without an owner have no tasks.
func (p *Planner) isEmptied(h bwfleet.Host) bool {
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

// isCordoned reports whether new tasks are kept from a host.
func (p *Planner) isCordoned(h bwfleet.Host) bool {
	return p.surveys[h.Pool].Executors[h.Executor].IsCordoned
}

// drainRoom returns how many more hosts of each pool may be emptied: the others have to bear
// the pool's work, and its tasks that last need somewhere to go. A wave that is behind may
// take one host of a busy pool at a time.
func (p *Planner) drainRoom(isLate bool) map[string]int {
	room := make(map[string]int)
	for pool, d := range p.demand {
		room[pool] = p.supply(pool) - max(d.wanted, minHosts)
		if isLate && p.cordoned(pool) == 0 {
			room[pool] = max(room[pool], 1)
		}
	}
	return room
}

// cordoned counts the hosts of a pool that get no new tasks.
func (p *Planner) cordoned(pool string) int {
	n := 0
	for _, h := range p.hosts {
		if h.Pool == pool && p.isCordoned(h) {
			n++
		}
	}
	return n
}

// supply counts the hosts of a pool that are up or on their way and take tasks.
func (p *Planner) supply(pool string) int {
	n := 0
	for id, h := range p.hosts {
		if h.Pool == pool && !p.isLeaving(id) && !p.isCordoned(h) && (h.State == bwfleet.HostUp || h.State == bwfleet.HostMoving) {
			n++
		}
	}
	return n
}

// isLeaving reports whether a host was ordered away here.
func (p *Planner) isLeaving(id string) bool {
	o := p.orders[id]
	return o != nil && o.keptUntil == bwclock.Never
}
