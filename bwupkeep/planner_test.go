package bwupkeep_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwupkeep"
	"gotest.tools/v3/assert"
)

const start = bwclock.Time(1_000_000)

// simulation runs a planner against simulated hosts that execute all orders.
type yard struct {
	t        *testing.T
	p        *bwupkeep.Planner
	now      bwclock.Time
	hosts    []bwfleet.Host
	runs     map[string]int
	cordoned map[string]bool
	demand   map[string]float64
	backAt   map[string]bwclock.Time
	mostDown int
}

func newYard(t *testing.T, pools map[string]int) *yard {
	y := &yard{
		t: t, now: start, runs: make(map[string]int), cordoned: make(map[string]bool),
		demand: make(map[string]float64), backAt: make(map[string]bwclock.Time),
		p: bwupkeep.NewPlanner(bwupkeep.Settings{Maintenance: 2 * time.Second, Move: 1500 * time.Millisecond}),
	}
	y.p.SetPools([]bwfleet.Pool{{Name: "desk"}, {Name: "lab"}, {Name: "spare", IsStandby: true}})
	for pool, n := range pools {
		for i := range n {
			id := fmt.Sprintf("%s-%d", pool, i)
			y.hosts = append(y.hosts, bwfleet.Host{ID: id, Pool: pool, State: bwfleet.HostUp, Executor: id + "/1"})
		}
	}
	return y
}

// step advances the time by 200 ms: hosts come back up, the surveys and the host list are
// refreshed, and the planned actions are executed.
func (y *yard) step() []bwupkeep.Action {
	y.now = y.now.Add(200 * time.Millisecond)
	for i := range y.hosts {
		h := &y.hosts[i]
		if h.State != bwfleet.HostUp && !y.now.Before(y.backAt[h.ID]) {
			h.State = bwfleet.HostUp
			h.Executor += "+"
		}
	}
	for _, pool := range []string{"desk", "lab"} {
		s := bwupkeep.Survey{Executors: make(map[string]bwupkeep.ExecutorSurvey), Demand: y.demand[pool], At: y.now}
		for _, h := range y.hosts {
			if h.Pool == pool && h.State == bwfleet.HostUp {
				s.Executors[h.Executor] = bwupkeep.ExecutorSurvey{Runs: y.runs[h.ID], IsCordoned: y.cordoned[h.Executor]}
			}
		}
		y.p.SetSurvey(pool, s)
	}
	y.p.SetHosts(y.hosts, y.now)
	actions := y.p.Plan(y.now)
	for _, a := range actions {
		y.carryOut(a)
	}
	return actions
}

func (y *yard) carryOut(a bwupkeep.Action) {
	switch a.Kind {
	case bwupkeep.Cordon:
		y.cordoned[a.Executor] = true
	case bwupkeep.Uncordon:
		y.cordoned[a.Executor] = false
	case bwupkeep.Report:
		y.p.Reported(a)
	default:
		y.p.Ordered(a, y.now)
		y.order(a)
		y.p.Finished(a, bwupkeep.Accepted)
	}
	down := 0
	for _, h := range y.hosts {
		if h.State == bwfleet.HostInMaintenance {
			down++
		}
	}
	y.mostDown = max(y.mostDown, down)
}

func (y *yard) order(a bwupkeep.Action) {
	for i := range y.hosts {
		h := &y.hosts[i]
		if h.ID != a.Host {
			continue
		}
		assert.Equal(y.t, y.runs[h.ID], 0, "host %s got an order while tasks run on it", h.ID)
		assert.Assert(y.t, h.Pool == "spare" || y.cordoned[h.Executor], "host %s got an order without being cordoned", h.ID)
		if a.Kind == bwupkeep.Maintain {
			h.State, y.backAt[h.ID] = bwfleet.HostInMaintenance, y.now.Add(2*time.Second)
			continue
		}
		h.State, h.Pool, y.backAt[h.ID] = bwfleet.HostMoving, a.Pool, y.now.Add(1500*time.Millisecond)
	}
}

func (y *yard) count(pool string) int {
	n := 0
	for _, h := range y.hosts {
		if h.Pool == pool {
			n++
		}
	}
	return n
}

func TestWaveEndsInTimeWithinItsLimit(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 9, "lab": 9, "spare": 4})
	w := bwfleet.Wave{Number: 1, Within: 27 * time.Second, MaxAtOnce: 3}
	for _, h := range y.hosts[:14] {
		w.Hosts = append(w.Hosts, h.ID)
	}
	y.p.SetWave(w, nil, y.now)
	for range 27 * 5 {
		y.step()
	}
	assert.Assert(t, y.p.IsDone(1))
	assert.Assert(t, y.mostDown <= 3, "%d hosts were down at once", y.mostDown)
}

// A wave must not drain more hosts than a pool can spare: the pool's tasks would have no host
// to run on.
func TestWaveLeavesPoolsWhatTheyNeed(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 6})
	w := bwfleet.Wave{Number: 1, Within: time.Hour, MaxAtOnce: 8}
	for _, h := range y.hosts {
		w.Hosts = append(w.Hosts, h.ID)
		y.runs[h.ID] = 1
	}
	y.demand["desk"] = 4
	y.p.SetWave(w, nil, y.now)
	for range 50 {
		y.step()
	}
	cordoned := 0
	for _, c := range y.cordoned {
		if c {
			cordoned++
		}
	}
	assert.Assert(t, cordoned <= 1, "%d of 6 hosts are cordoned while the pool needs 5", cordoned)
}

func TestHostsThatAnEarlierHolderMaintainedAreDone(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 4})
	y.p.SetWave(bwfleet.Wave{Number: 1, Hosts: []string{"desk-0", "desk-1"}, Within: time.Minute, MaxAtOnce: 1}, []string{"desk-0"}, y.now)
	ordered := make(map[string]bool)
	for range 30 {
		for _, a := range y.step() {
			if a.Kind == bwupkeep.Maintain {
				ordered[a.Host] = true
			}
		}
	}
	assert.DeepEqual(t, ordered, map[string]bool{"desk-1": true})
	assert.Assert(t, y.p.IsDone(1))
}

func TestHostsMoveWithTheDemand(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 8, "lab": 8, "spare": 4})
	y.demand["desk"] = 14
	for range 25 {
		y.step()
	}
	assert.Assert(t, y.count("desk") >= 14, "desk has %d hosts", y.count("desk"))
	assert.Assert(t, y.count("lab") >= 3, "lab has %d hosts", y.count("lab"))
	y.demand["desk"] = 0
	for range 150 {
		y.step()
	}
	assert.Assert(t, y.count("desk") <= 4, "desk still has %d hosts", y.count("desk"))
}

func TestUnansweredMaintenanceCountsAsDown(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 6})
	y.p.SetWave(bwfleet.Wave{Number: 1, Hosts: []string{"desk-0", "desk-1"}, Within: time.Minute, MaxAtOnce: 1}, nil, y.now)
	var first bwupkeep.Action
	for first.Host == "" {
		for _, a := range y.step() {
			if a.Kind == bwupkeep.Maintain {
				first = a
			}
		}
	}
	y.p.Ordered(first, y.now)
	y.p.Finished(first, bwupkeep.Unanswered)
	for _, a := range y.p.Plan(y.now) {
		assert.Assert(t, a.Kind != bwupkeep.Maintain, "%s got an order while %s may be down", a.Host, first.Host)
	}
}

// Guards against a cordon that outlives its reason: a host that is drained for another pool
// must take tasks again when the demand of its own pool rises.
func TestCordonEndsWithItsReason(t *testing.T) {
	y := newYard(t, map[string]int{"desk": 6, "lab": 6, "spare": 0})
	y.demand["desk"], y.demand["lab"] = 9, 1
	for _, h := range y.hosts {
		y.runs[h.ID] = 1
	}
	y.step()
	y.step()
	cordoned := func() int {
		n := 0
		for _, c := range y.cordoned {
			if c {
				n++
			}
		}
		return n
	}
	assert.Assert(t, cordoned() > 0)
	y.demand["lab"] = 6
	y.step()
	y.step()
	assert.Equal(t, cordoned(), 0)
}
