package bwmaintenance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwhttp"
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
	// maxCordonAge is the age of a cordon, since it was asked for, up to which a host is ordered.
	// What is left of cordonTTL covers the order.
	maxCordonAge = 500 * time.Millisecond
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
	// executor is certain to be empty.
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
	// Waves returns the maintenance waves that operators have requested. Configuration returns
	// the latest configuration, or nil if none has been read yet.
	Waves         func() []bwfleet.Wave
	Configuration func() *bwfleet.Configuration
	// OwnedPools returns the names of the pools that have an owner: those that run the tasks of a queue
	// or may hold jobs.
	OwnedPools func() []string
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
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	defer context.AfterFunc(ctx, c.cancel)()
	c.log.Info("host coordinator started", "quiet", c.handoverDelay.String())
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.log.Info("host coordinator stopped")
			return
		case <-t.C:
		}
		c.refresh()
		if (c.orderList != nil || c.loadOrders()) && c.deps.IsConfirmed() {
			c.executePlan(c.planner.Plan(c.deps.Clock.Now()))
			c.pruneOrders()
		}
	}
}

// Stop ends the coordinator after its in-flight orders. It reports whether all of them
// completed before ctx was done.
func (c *Coordinator) Stop(ctx context.Context) bool {
	c.cancel()
	select {
	case <-c.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Fence returns the fencing token of the coordinator's orders.
func (c *Coordinator) Fence() int64 { return c.fence }

// refresh updates the planner with the current pools, waves, surveys and hosts.
func (c *Coordinator) refresh() {
	config := c.deps.Configuration()
	if config == nil {
		return
	}
	c.planner.SetPools(config.Pools())
	for _, w := range c.deps.Waves() {
		c.updateWave(w)
	}
	c.surveyPools(c.deps.OwnedPools())
	c.listHosts()
}

// updateWave passes a wave to the planner. The first time it also loads the progress that a
// previous coordinator has stored.
func (c *Coordinator) updateWave(w bwfleet.Wave) {
	now := c.deps.Clock.Now()
	if c.planner.HasWave(w.Number) {
		c.planner.SetWave(w, nil, now)
		return
	}
	started, err := c.loadProgress(w.Number)
	if err != nil {
		c.log.Warn("failed to read the progress of a wave", "wave", w.Number, "error", err.Error())
		return
	}
	c.planner.SetWave(w, started, now)
	c.log.Info("wave added", "wave", w.Number, "hosts", len(w.Hosts), "done", len(started), "within", w.TimeLimit.String(), "maxAtOnce", w.MaxUnavailable)
}

func progressKey(wave int64) string { return fmt.Sprintf("waves/%d", wave) }

func (c *Coordinator) loadProgress(wave int64) ([]string, error) {
	item, err := c.deps.Store.Get(c.ctx, progressKey(wave))
	if errors.Is(err, bwkv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	c.revisions[wave] = item.Revision
	var started []string
	err = json.Unmarshal(item.Value, &started)
	return started, err
}

// surveyPools requests surveys from the owners of all pools concurrently.
func (c *Coordinator) surveyPools(pools []string) {
	ctx, cancel := context.WithTimeout(c.ctx, surveyTimeout)
	defer cancel()
	surveys := make([]Survey, len(pools))
	known := make([]bool, len(pools))
	var wait sync.WaitGroup
	for i, pool := range pools {
		wait.Add(1)
		go func() {
			defer wait.Done()
			surveys[i], known[i] = c.deps.Pools.Survey(ctx, pool)
		}()
	}
	wait.Wait()
	for i, pool := range pools {
		if known[i] {
			surveys[i].At = c.deps.Clock.Now()
			c.planner.SetSurvey(pool, surveys[i])
		}
	}
}

func (c *Coordinator) listHosts() {
	now := c.deps.Clock.Now()
	interval := idleListInterval
	if c.planner.HasPendingWork() {
		interval = listInterval
	}
	if c.listedAt != bwclock.Never && now.Sub(c.listedAt) < interval {
		return
	}
	hosts, err := c.deps.Hosts.List(c.ctx)
	if err != nil {
		c.log.Warn("failed to list hosts", "error", err.Error())
		return
	}
	c.listedAt = now
	c.planner.SetHosts(hosts, now)
}

// executePlan executes a plan and stores the results. While the list of ordered hosts cannot
// be written, no host is cordoned either: another node may be the coordinator by now, and
// cordoned hosts that get no order would stay empty.
func (c *Coordinator) executePlan(actions []Action) {
	if c.orderList.isWriteUncertain && !c.storeOrders(nil, c.deps.Clock.Now()) {
		return
	}
	c.executeActions(c.executeActions(actions))
}

// executeActions executes actions concurrently. It returns moves for the hosts that were
// already empty when they were cordoned.
func (c *Coordinator) executeActions(actions []Action) []Action {
	if !c.prepareOrders(actions) {
		actions = withoutOrders(actions)
	}
	results := make([]Result, len(actions))
	isEmpty := make([]bool, len(actions))
	surveyed := make([][]any, len(actions))
	orderedAt := c.deps.Clock.Now()
	var wait sync.WaitGroup
	for i, a := range actions {
		if a.Kind == ReportWave {
			continue
		}
		if a.Kind == Maintain || a.Kind == Move {
			surveyed[i] = c.planner.describeSurvey(a.Host, orderedAt)
			c.planner.RecordOrder(a, orderedAt)
		}
		source := c.planner.sourcePool(a.Host)
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i], isEmpty[i] = c.execute(a, source)
		}()
	}
	wait.Wait()
	changedWaves := make(map[int64]bool)
	var moves []Action
	for i, a := range actions {
		switch a.Kind {
		case Maintain, Move:
			message := "host ordered"
			if results[i] == NotEmpty {
				message = "order to host withheld"
			}
			c.log.Info(message, append([]any{"host", a.Host, "pool", a.Pool, "wave", a.Wave, "reason", a.Reason,
				"executor", a.Executor, "result", results[i].String(), "took", c.deps.Clock.Now().Sub(orderedAt).String()}, surveyed[i]...)...)
			if results[i] == Unanswered {
				c.extendRetention(a.Host)
			}
			if results[i] == Fenced {
				c.stepDown("a host has seen a newer fencing token")
			}
			if c.planner.RecordResult(a, results[i]) {
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
		c.storeProgress(n)
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
func (c *Coordinator) stepDown(reason string) {
	if c.ctx.Err() != nil {
		return
	}
	c.log.Warn("host coordinator was replaced", "reason", reason)
	c.cancel()
	go c.deps.OnLost(reason)
}

// execute executes one action for a host of the source pool. For a cordon it also reports whether
// the executor is empty.
func (c *Coordinator) execute(a Action, source bwfleet.Pool) (Result, bool) {
	switch a.Kind {
	case Uncordon:
		c.deps.Pools.Cordon(c.ctx, a.Pool, a.Executor, 0)
		return Accepted, false
	case Cordon:
		return Accepted, c.deps.Pools.Cordon(c.ctx, a.Pool, a.Executor, cordonTTL)
	}
	askedAt := c.deps.Clock.Now()
	if !source.IsStandby && !c.renewCordon(source.Name, a.Executor) {
		return NotEmpty, false
	}
	// The order may wait for a connection, and this process may be paused meanwhile.
	ctx := bwhttp.WithPermit(c.ctx, func() bool {
		return c.deps.IsConfirmed() && (source.IsStandby || c.deps.Clock.Now().Sub(askedAt) <= maxCordonAge)
	})
	if a.Kind == Maintain {
		return c.deps.Hosts.Maintain(ctx, a.Host, a.Wave, c.fence), false
	}
	return c.deps.Hosts.Move(ctx, a.Host, a.Pool, c.fence), false
}

// renewCordon renews the cordon of an executor and reports whether it is empty and stays so until
// an order to its host takes effect. The survey behind the order may be older than its cordon: the
// host list and the store may be slow, the pool may have a new owner, and this process may have
// been paused.
func (c *Coordinator) renewCordon(pool, executor string) bool {
	askedAt := c.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(c.ctx, surveyTimeout)
	defer cancel()
	return c.deps.Pools.Cordon(ctx, pool, executor, cordonTTL) && c.deps.Clock.Now().Sub(askedAt) <= maxCordonAge
}

// storeProgress stores which hosts of a wave have started maintenance, and the state of the
// wave for operators.
func (c *Coordinator) storeProgress(wave int64) {
	isDone := c.planner.IsDone(wave)
	value, err := json.Marshal(c.planner.StartedHosts(wave))
	if err != nil {
		c.log.Error("failed to encode the progress of a wave", "wave", wave, "error", err.Error())
		return
	}
	statusKey, status := c.deps.EncodeWaveStatus(wave, isDone)
	r := c.deps.Store.Transact(c.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: c.key, Revision: c.fence}, {Key: progressKey(wave), Revision: c.revisions[wave]}},
		Set:      []bwkv.Write{{Key: progressKey(wave), Value: value}, {Key: statusKey, Value: status}},
	})
	c.log.Info("progress of wave stored", "wave", wave, "done", isDone, "outcome", r.Outcome.String())
	switch r.Outcome {
	case bwkv.Committed:
		c.revisions[wave] = r.Revision
		c.planner.RecordReport(Action{Wave: wave, IsWaveDone: isDone})
	case bwkv.Conflict:
		// An earlier write whose reply was lost may have been committed.
		c.revisions[wave] = r.ItemOf(progressKey(wave)).Revision
	}
}
