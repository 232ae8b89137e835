package bwupkeep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwkv"
	"github.com/hashicorp/go-hclog"
)

const (
	// planInterval is the period of the planning loop.
	planInterval = 150 * time.Millisecond
	// listInterval is the refresh interval of the host list while orders or waves are in
	// progress.
	listInterval = 400 * time.Millisecond
	// idleListInterval is the refresh interval of the host list otherwise.
	idleListInterval = 2 * time.Second
	// cordonTTL is how long a cordon lasts without renewal. An executor counts as cordoned
	// only while enough of this time is left for an order to its host.
	cordonTTL = 2500 * time.Millisecond
	// surveyTimeout is several times the latency between data centres.
	surveyTimeout = 400 * time.Millisecond
)

// Hosts lists the platform's hosts and sends orders to them.
type Hosts interface {
	List(ctx context.Context) ([]bwfleet.Host, error)
	Maintain(ctx context.Context, host string, wave, fence int64) Result
	Move(ctx context.Context, host, pool string, fence int64) Result
}

// Pools calls the owners of pools.
type Pools interface {
	Survey(ctx context.Context, pool string) (Survey, bool)
	// Cordon stops the placement of new tasks on an executor for d and reports whether the
	// executor is empty.
	Cordon(ctx context.Context, pool, executor string, d time.Duration) bool
}

// Store is the part of the key-value service in which a Coordinator keeps the progress of
// waves and the list of ordered hosts.
type Store interface {
	Get(ctx context.Context, key string) (bwkv.Item, error)
	Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result
}

// Deps are the dependencies of a Coordinator.
type Deps struct {
	Hosts Hosts
	Pools Pools
	Store Store
	Clock bwclock.Clock
	Log   hclog.Logger
	// Waves and Configuration return the current settings of the operators.
	Waves         func() []bwfleet.Wave
	Configuration func() *bwfleet.Configuration
	// EncodeWaveStatus returns the key and the value under which operators find the state
	// of a wave.
	EncodeWaveStatus func(wave int64, isDone bool) (string, []byte)
	// IsConfirmed reports whether this process may still issue orders.
	IsConfirmed func() bool
	// OnLost is called once when another coordinator has taken over.
	OnLost func(reason string)
}

// Coordinator issues the orders to all hosts of the fleet. One process at a time holds this
// role, under a key of the store and with a fencing token, so that no host gets orders from
// two processes.
type Coordinator struct {
	deps  Deps
	key   string
	fence int64
	// handoverDelay is how long hosts that the previous coordinator may have ordered are
	// excluded from orders, so that two coordinators do not issue alternating orders.
	handoverDelay time.Duration
	orderList     *orderList
	log           hclog.Logger
	planner       *Planner
	// revisions are the revisions of the stored progress of each wave.
	revisions map[int64]int64
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	listedAt  bwclock.Time
}

// NewCoordinator returns the coordinator that holds key with the given fencing token.
func NewCoordinator(deps Deps, settings Settings, key string, fence int64, handoverDelay time.Duration) *Coordinator {
	ctx, cancel := context.WithCancel(context.Background())
	return &Coordinator{
		deps:          deps,
		key:           key,
		fence:         fence,
		handoverDelay: handoverDelay,
		log:           deps.Log.With("duty", "hosts", "fence", fence),
		planner:       NewPlanner(settings),
		revisions:     make(map[int64]int64),
		ctx:           ctx,
		cancel:        cancel,
		done:          make(chan struct{}),
	}
}

// Run plans and issues orders until ctx is done or Stop is called.
func (d *Coordinator) Run(ctx context.Context) {
	defer close(d.done)
	defer context.AfterFunc(ctx, d.cancel)()
	d.log.Info("host coordinator started", "quiet", d.handoverDelay.String())
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			d.log.Info("host coordinator stopped")
			return
		case <-t.C:
		}
		d.refresh()
		if (d.orderList != nil || d.loadOrders()) && d.deps.IsConfirmed() {
			d.executePlan(d.planner.Plan(d.deps.Clock.Now()))
			d.pruneOrders()
		}
	}
}

// Stop ends the coordinator after its in-flight orders. It reports whether all of them
// completed before ctx was done.
func (d *Coordinator) Stop(ctx context.Context) bool {
	d.cancel()
	select {
	case <-d.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Fence returns the fencing token of the coordinator's orders.
func (d *Coordinator) Fence() int64 { return d.fence }

// refresh updates the planner with the current pools, waves, surveys and hosts.
func (d *Coordinator) refresh() {
	c := d.deps.Configuration()
	if c == nil {
		return
	}
	d.planner.SetPools(c.Pools())
	for _, w := range d.deps.Waves() {
		d.updateWave(w)
	}
	d.surveyPools(c.WorkPools())
	d.listHosts()
}

// updateWave passes a wave to the planner. The first time it also loads the progress that a
// previous coordinator has stored.
func (d *Coordinator) updateWave(w bwfleet.Wave) {
	now := d.deps.Clock.Now()
	if d.planner.HasWave(w.Number) {
		d.planner.SetWave(w, nil, now)
		return
	}
	started, err := d.loadProgress(w.Number)
	if err != nil {
		d.log.Warn("failed to read the progress of a wave", "wave", w.Number, "error", err.Error())
		return
	}
	d.planner.SetWave(w, started, now)
	d.log.Info("wave added", "wave", w.Number, "hosts", len(w.Hosts), "done", len(started), "within", w.Within.String(), "maxAtOnce", w.MaxAtOnce)
}

func progressKey(wave int64) string { return fmt.Sprintf("waves/%d", wave) }

func (d *Coordinator) loadProgress(wave int64) ([]string, error) {
	item, err := d.deps.Store.Get(d.ctx, progressKey(wave))
	if errors.Is(err, bwkv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	d.revisions[wave] = item.Revision
	var started []string
	err = json.Unmarshal(item.Value, &started)
	return started, err
}

// surveyPools requests surveys from the owners of all pools concurrently.
func (d *Coordinator) surveyPools(pools []string) {
	ctx, cancel := context.WithTimeout(d.ctx, surveyTimeout)
	defer cancel()
	surveys := make([]Survey, len(pools))
	known := make([]bool, len(pools))
	var wait sync.WaitGroup
	for i, pool := range pools {
		wait.Add(1)
		go func() {
			defer wait.Done()
			surveys[i], known[i] = d.deps.Pools.Survey(ctx, pool)
		}()
	}
	wait.Wait()
	for i, pool := range pools {
		if known[i] {
			surveys[i].At = d.deps.Clock.Now()
			d.planner.SetSurvey(pool, surveys[i])
		}
	}
}

func (d *Coordinator) listHosts() {
	now := d.deps.Clock.Now()
	interval := idleListInterval
	if d.planner.HasPendingWork() {
		interval = listInterval
	}
	if d.listedAt != bwclock.Never && now.Sub(d.listedAt) < interval {
		return
	}
	hosts, err := d.deps.Hosts.List(d.ctx)
	if err != nil {
		d.log.Warn("failed to list hosts", "error", err.Error())
		return
	}
	d.listedAt = now
	d.planner.SetHosts(hosts, now)
}

// executePlan executes a plan and stores the results. While the list of ordered hosts cannot
// be written, no host is cordoned either: another node may be the coordinator by now, and
// cordoned hosts that get no order would stay empty.
func (d *Coordinator) executePlan(actions []Action) {
	if d.orderList.isWriteUncertain && !d.storeOrders(nil, d.deps.Clock.Now()) {
		return
	}
	d.executeActions(d.executeActions(actions))
}

// executeActions executes actions concurrently. It returns moves for the hosts that were
// already empty when they were cordoned.
func (d *Coordinator) executeActions(actions []Action) []Action {
	if !d.prepareOrders(actions) {
		actions = withoutOrders(actions)
	}
	results := make([]Result, len(actions))
	isEmpty := make([]bool, len(actions))
	var wait sync.WaitGroup
	for i, a := range actions {
		if a.Kind == ReportWave {
			continue
		}
		if a.Kind == Maintain || a.Kind == Move {
			d.planner.RecordOrder(a, d.deps.Clock.Now())
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i], isEmpty[i] = d.execute(a)
		}()
	}
	wait.Wait()
	changedWaves := make(map[int64]bool)
	var moves []Action
	for i, a := range actions {
		switch a.Kind {
		case Maintain, Move:
			d.log.Info("host ordered", "host", a.Host, "pool", a.Pool, "wave", a.Wave, "reason", a.Reason, "result", results[i].String())
			if results[i] == Unanswered {
				d.extendRetention(a.Host)
			}
			if results[i] == Fenced {
				d.stepDown("a host has seen a newer fencing token")
			}
			if d.planner.RecordResult(a, results[i]) {
				changedWaves[a.Wave] = true
			}
		case ReportWave:
			changedWaves[a.Wave] = true
		case Cordon:
			if isEmpty[i] && a.MoveTo != "" {
				moves = append(moves, Action{Kind: Move, Host: a.Host, Pool: a.MoveTo, Executor: a.Executor, Reason: a.Reason})
			}
		}
	}
	for n := range changedWaves {
		d.storeProgress(n)
	}
	return moves
}

// withoutOrders returns the actions that are not orders to hosts.
func withoutOrders(actions []Action) []Action {
	var rest []Action
	for _, a := range actions {
		if a.Kind != Maintain && a.Kind != Move {
			rest = append(rest, a)
		}
	}
	return rest
}

// stepDown ends the coordinator because another one has taken over.
func (d *Coordinator) stepDown(reason string) {
	if d.ctx.Err() != nil {
		return
	}
	d.log.Warn("host coordinator was replaced", "reason", reason)
	d.cancel()
	go d.deps.OnLost(reason)
}

// execute executes one action. For a cordon it also reports whether the executor is empty.
func (d *Coordinator) execute(a Action) (Result, bool) {
	switch a.Kind {
	case Maintain:
		return d.deps.Hosts.Maintain(d.ctx, a.Host, a.Wave, d.fence), false
	case Move:
		return d.deps.Hosts.Move(d.ctx, a.Host, a.Pool, d.fence), false
	case Uncordon:
		d.deps.Pools.Cordon(d.ctx, a.Pool, a.Executor, 0)
		return Accepted, false
	default:
		return Accepted, d.deps.Pools.Cordon(d.ctx, a.Pool, a.Executor, cordonTTL)
	}
}

// storeProgress stores which hosts of a wave have started maintenance, and the state of the
// wave for operators.
func (d *Coordinator) storeProgress(wave int64) {
	isDone := d.planner.IsDone(wave)
	value, err := json.Marshal(d.planner.StartedHosts(wave))
	if err != nil {
		d.log.Error("failed to encode the progress of a wave", "wave", wave, "error", err.Error())
		return
	}
	statusKey, status := d.deps.EncodeWaveStatus(wave, isDone)
	r := d.deps.Store.Transact(d.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: d.key, Revision: d.fence}, {Key: progressKey(wave), Revision: d.revisions[wave]}},
		Set:      []bwkv.Write{{Key: progressKey(wave), Value: value}, {Key: statusKey, Value: status}},
	})
	d.log.Info("progress of wave stored", "wave", wave, "done", isDone, "outcome", r.Outcome.String())
	switch r.Outcome {
	case bwkv.Committed:
		d.revisions[wave] = r.Revision
		d.planner.RecordReport(Action{Wave: wave, IsWaveDone: isDone})
	case bwkv.Conflict:
		// An earlier write whose reply was lost may have been committed.
		d.revisions[wave] = r.ItemOf(progressKey(wave)).Revision
	}
}
