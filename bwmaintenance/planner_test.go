package bwmaintenance_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwmaintenance"
	"gotest.tools/v3/assert"
)

const start = bwclock.Time(1_000_000)

// simulation runs a planner against simulated hosts that execute all orders.
type simulation struct {
	t        *testing.T
	planner  *bwmaintenance.Planner
	now      bwclock.Time
	hosts    []bwfleet.Host
	runs     map[string]int
	cordoned map[string]bool
	demand   map[string]float64
	overdue  map[string]float64
	upAt     map[string]bwclock.Time
	maxDown  int
}

func newSimulation(t *testing.T, pools map[string]int) *simulation {
	sim := &simulation{
		t: t, now: start, runs: make(map[string]int), cordoned: make(map[string]bool),
		demand: make(map[string]float64), overdue: make(map[string]float64), upAt: make(map[string]bwclock.Time),
		planner: bwmaintenance.NewPlanner(bwmaintenance.Settings{MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond}),
	}
	sim.planner.SetPools([]bwfleet.Pool{{Name: "desk"}, {Name: "lab"}, {Name: "spare", IsStandby: true}})
	for pool, n := range pools {
		for i := range n {
			id := fmt.Sprintf("%s-%d", pool, i)
			sim.hosts = append(sim.hosts, bwfleet.Host{ID: id, Pool: pool, State: bwfleet.HostUp, Executor: id + "/1"})
		}
	}
	return sim
}

// step advances the time by 200 ms: hosts come back up, the surveys and the host list are
// refreshed, and the planned actions are executed.
func (sim *simulation) step() []bwmaintenance.Action {
	sim.now = sim.now.Add(200 * time.Millisecond)
	for i := range sim.hosts {
		h := &sim.hosts[i]
		if h.State != bwfleet.HostUp && !sim.now.Before(sim.upAt[h.ID]) {
			h.State = bwfleet.HostUp
			h.Executor += "+"
		}
	}
	for _, pool := range []string{"desk", "lab"} {
		s := bwmaintenance.Survey{Executors: make(map[string]bwmaintenance.ExecutorSurvey), Demand: sim.demand[pool], OverdueDemand: sim.overdue[pool], At: sim.now}
		for _, h := range sim.hosts {
			if h.Pool == pool && h.State == bwfleet.HostUp {
				s.Executors[h.Executor] = bwmaintenance.ExecutorSurvey{Runs: sim.runs[h.ID], IsCordoned: sim.cordoned[h.Executor]}
			}
		}
		sim.planner.SetSurvey(pool, s)
	}
	sim.planner.SetHosts(sim.hosts, sim.now)
	actions := sim.planner.Plan(sim.now)
	for _, a := range actions {
		sim.execute(a)
	}
	return actions
}

func (sim *simulation) execute(a bwmaintenance.Action) {
	switch a.Kind {
	case bwmaintenance.Cordon:
		sim.cordoned[a.Executor] = true
	case bwmaintenance.Uncordon:
		sim.cordoned[a.Executor] = false
	case bwmaintenance.ReportWave:
		sim.planner.RecordReport(a)
	default:
		sim.planner.RecordOrder(a, sim.now)
		sim.order(a)
		sim.planner.RecordResult(a, bwmaintenance.Accepted)
	}
	down := 0
	for _, h := range sim.hosts {
		if h.State == bwfleet.HostInMaintenance {
			down++
		}
	}
	sim.maxDown = max(sim.maxDown, down)
}

func (sim *simulation) order(a bwmaintenance.Action) {
	for i := range sim.hosts {
		h := &sim.hosts[i]
		if h.ID != a.Host {
			continue
		}
		assert.Equal(sim.t, sim.runs[h.ID], 0, "host %s got an order while tasks run on it", h.ID)
		assert.Assert(sim.t, h.Pool == "spare" || sim.cordoned[h.Executor], "host %s got an order without being cordoned", h.ID)
		if a.Kind == bwmaintenance.Maintain {
			h.State, sim.upAt[h.ID] = bwfleet.HostInMaintenance, sim.now.Add(2*time.Second)
			continue
		}
		h.State, h.Pool, sim.upAt[h.ID] = bwfleet.HostMoving, a.Pool, sim.now.Add(1500*time.Millisecond)
	}
}

func (sim *simulation) count(pool string) int {
	n := 0
	for _, h := range sim.hosts {
		if h.Pool == pool {
			n++
		}
	}
	return n
}

func TestWaveCompletesInTimeWithinItsDisruptionBudget(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 9, "lab": 9, "spare": 4})
	w := bwfleet.Wave{Number: 1, TimeLimit: 27 * time.Second, MaxUnavailable: 3}
	for _, h := range sim.hosts[:14] {
		w.Hosts = append(w.Hosts, h.ID)
	}
	sim.planner.SetWave(w, nil, sim.now)
	for range 27 * 5 {
		sim.step()
	}
	assert.Assert(t, sim.planner.IsDone(1))
	assert.Assert(t, sim.maxDown <= 3, "%d hosts were down at once", sim.maxDown)
}

// A wave must not drain more hosts than a pool can spare: the pool's tasks would have no host
// to run on.
func TestWaveKeepsHostsForPoolDemand(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 6})
	w := bwfleet.Wave{Number: 1, TimeLimit: time.Hour, MaxUnavailable: 8}
	for _, h := range sim.hosts {
		w.Hosts = append(w.Hosts, h.ID)
		sim.runs[h.ID] = 1
	}
	sim.demand["desk"] = 4
	sim.planner.SetWave(w, nil, sim.now)
	for range 50 {
		sim.step()
	}
	cordoned := 0
	for _, c := range sim.cordoned {
		if c {
			cordoned++
		}
	}
	assert.Assert(t, cordoned <= 1, "%d of 6 hosts are cordoned while the pool needs 5", cordoned)
}

func TestWaveSkipsHostsMaintainedByPreviousCoordinator(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 4})
	sim.planner.SetWave(bwfleet.Wave{Number: 1, Hosts: []string{"desk-0", "desk-1"}, TimeLimit: time.Minute, MaxUnavailable: 1}, []string{"desk-0"}, sim.now)
	ordered := make(map[string]bool)
	for range 30 {
		for _, a := range sim.step() {
			if a.Kind == bwmaintenance.Maintain {
				ordered[a.Host] = true
			}
		}
	}
	assert.DeepEqual(t, ordered, map[string]bool{"desk-1": true})
	assert.Assert(t, sim.planner.IsDone(1))
}

func TestHostsMoveWithDemand(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 8, "lab": 8, "spare": 4})
	sim.demand["desk"] = 14
	for range 25 {
		sim.step()
	}
	assert.Assert(t, sim.count("desk") >= 14, "desk has %d hosts", sim.count("desk"))
	assert.Assert(t, sim.count("lab") >= 3, "lab has %d hosts", sim.count("lab"))
	sim.demand["desk"] = 0
	for range 150 {
		sim.step()
	}
	assert.Assert(t, sim.count("desk") <= 4, "desk still has %d hosts", sim.count("desk"))
}

// Guards against a backlog of overdue jobs that keeps the hosts which another pool needs for jobs
// in time.
func TestOverdueBacklogYieldsHostsToUrgentWork(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 14, "lab": 3, "spare": 0})
	sim.demand["desk"], sim.overdue["desk"] = 40, 38
	sim.demand["lab"] = 8
	for range 25 {
		sim.step()
	}
	assert.Assert(t, sim.count("lab") >= 9, "lab has %d hosts", sim.count("lab"))
	// What urgent work does not need stays with the backlog.
	assert.Assert(t, sim.count("desk") >= 6, "desk has %d hosts", sim.count("desk"))
}

func TestUnansweredMaintenanceCountsAsUnavailable(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 6})
	sim.planner.SetWave(bwfleet.Wave{Number: 1, Hosts: []string{"desk-0", "desk-1"}, TimeLimit: time.Minute, MaxUnavailable: 1}, nil, sim.now)
	var first bwmaintenance.Action
	for first.Host == "" {
		for _, a := range sim.step() {
			if a.Kind == bwmaintenance.Maintain {
				first = a
			}
		}
	}
	sim.planner.RecordOrder(first, sim.now)
	sim.planner.RecordResult(first, bwmaintenance.Unanswered)
	for _, a := range sim.planner.Plan(sim.now) {
		assert.Assert(t, a.Kind != bwmaintenance.Maintain, "%s got an order while %s may be down", a.Host, first.Host)
	}
}

// Guards against a cordon that outlives its reason: a host that is drained for another pool
// must take tasks again when the demand of its own pool rises.
func TestCordonEndsWhenPoolDemandReturns(t *testing.T) {
	sim := newSimulation(t, map[string]int{"desk": 6, "lab": 6, "spare": 0})
	sim.demand["desk"], sim.demand["lab"] = 9, 1
	for _, h := range sim.hosts {
		sim.runs[h.ID] = 1
	}
	sim.step()
	sim.step()
	cordoned := func() int {
		n := 0
		for _, c := range sim.cordoned {
			if c {
				n++
			}
		}
		return n
	}
	assert.Assert(t, cordoned() > 0)
	sim.demand["lab"] = 6
	sim.step()
	sim.step()
	assert.Equal(t, cordoned(), 0)
}
