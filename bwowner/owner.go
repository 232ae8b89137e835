// Package bwowner runs the scheduler of one pool while this process owns the pool.
//
// An Owner loads the pool's jobs from the key-value service, asks every executor what it
// runs, and from then on carries out what package bwschedule decides: it orders starts and
// stops, holds the executors' leases, stores changed records through package bwcommit, and
// acknowledges the ends that executors list once they are stored. What runs where is
// stored nowhere; the next owner reads it at the executors.
//
// An owner may have been replaced without knowing it yet. Its writes then fail, and its
// orders carry a fencing token that executors refuse once the new owner has called them.
// For executors that the new owner cannot reach, the old one stops extending leases when
// it has not confirmed its own lease for a while, and the new one waits for that.
package bwowner

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
)

const (
	// tickInterval is the time between passes that no event has caused.
	tickInterval = 100 * time.Millisecond
	// passPause is the least time between two passes. It gathers events that come close
	// together: the owner of a large pool in its turn has some 4,000 a second. It is short
	// beside the shortest tasks.
	passPause = 10 * time.Millisecond
	// reviewInterval is the least time between two looks at leases, the list of executors and
	// the pace of tasks. It is short beside the margin of a lease.
	reviewInterval = 50 * time.Millisecond
	// lazyFlush is how long a changed record of an unfinished job may wait to be stored. It
	// is a quarter of the time that executors' ends may wait for their acknowledgement.
	lazyFlush = 900 * time.Millisecond
	// loadRetry is the pause after a failed call while the pool is loaded.
	loadRetry = 150 * time.Millisecond
	// sweepInterval is the time between removals of old records.
	sweepInterval = 10 * time.Second
)

// Store is the part of the key-value service that an Owner uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]bwkv.Item, int64, error)
	Get(ctx context.Context, key string) (bwkv.Item, error)
	Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result
}

// Target is where a call to an executor goes. A list of them is stored for the next owner.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Hold asks an executor for its report and extends its lease.
type Hold struct {
	Fence int64
	// Until is the end of the lease on the executor's clock; 0 leaves the lease as it is.
	Until     int64
	AckedUpTo int64
	// Wait is how long the executor may wait for an end before it answers.
	Wait time.Duration
}

// Answer is what an executor said to a call. Clock is 0 when it did not say its time.
type Answer struct {
	Result bwschedule.Result
	Clock  int64
	Report bwexecutor.Report
}

// Executors carries calls to executors.
type Executors interface {
	Hold(ctx context.Context, target Target, h Hold) Answer
	Order(ctx context.Context, target Target, o bwschedule.Order, fence, until int64) Answer
}

// Adviser asks the policy service which executors may run a step.
type Adviser interface {
	Advise(ctx context.Context, q bwschedule.AdviceRequest) (bwschedule.Advice, error)
}

// Ownership is the right to act for a pool.
type Ownership struct {
	Pool string
	// Key is the owner's key in the store, and Fence its revision when it was written.
	Key   string
	Fence int64
	// PreviousMayAct is how long the previous owner may still extend leases; 0 when it is
	// known to have stopped.
	PreviousMayAct time.Duration
}

// Settings are the bounds of the deployment.
type Settings struct {
	// LeaseLength is how long executors keep their tasks without a call.
	LeaseLength time.Duration
	// StopTime is the longest time that an executor takes to stop a task.
	StopTime time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	KeepEnded time.Duration
}

// Deps is what an Owner works with.
type Deps struct {
	Store     Store
	Executors Executors
	Adviser   Adviser
	Clock     bwclock.Clock
	Log       hclog.Logger
	Metrics   *Metrics
	// IsConfirmed reports whether the process's own lease was confirmed lately enough to
	// extend the leases of executors.
	IsConfirmed func() bool
	// IsFresh reports whether it was confirmed within the last second or so.
	IsFresh func() bool
	// Lost is called once when another owner has taken the pool.
	Lost func(pool, reason string)
}

// Owner runs the jobs of one pool. It is safe for concurrent use.
type Owner struct {
	deps      Deps
	ownership Ownership
	settings  Settings
	log       hclog.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	changed   chan struct{}
	group     sync.WaitGroup
	lostOnce  sync.Once

	mu            sync.Mutex
	scheduler     *bwschedule.Scheduler
	commits       *bwcommit.Log
	sessions      map[string]*session
	registrations map[string]bwexecutor.Registration
	submitting    map[string]*submission
	unstored      map[string]int
	endedAt       map[string]bwclock.Time
	// recorded holds the executors that are, or will next be, on the stored list.
	recorded   map[string]bool
	recordedAt bwclock.Time
	isReady    bool
	isStopping bool
	flushedAt  bwclock.Time
	reviewedAt bwclock.Time
	sweptAt    bwclock.Time
}

// New returns an Owner; Run makes it work.
func New(deps Deps, ownership Ownership, settings Settings) *Owner {
	log := deps.Log.With("pool", ownership.Pool, "fence", ownership.Fence)
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		ctx:           ctx,
		cancel:        cancel,
		deps:          deps,
		ownership:     ownership,
		settings:      settings,
		log:           log,
		done:          make(chan struct{}),
		changed:       make(chan struct{}, 1),
		scheduler:     bwschedule.New(log),
		sessions:      make(map[string]*session),
		registrations: make(map[string]bwexecutor.Registration),
		submitting:    make(map[string]*submission),
		unstored:      make(map[string]int),
		endedAt:       make(map[string]bwclock.Time),
		recorded:      make(map[string]bool),
	}
}

// Pool returns the name of the pool.
func (o *Owner) Pool() string { return o.ownership.Pool }

// Fence returns the fencing token of the owner's orders.
func (o *Owner) Fence() int64 { return o.ownership.Fence }

// IsReady reports whether the pool is loaded and its orders are given here.
func (o *Owner) IsReady() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isReady && !o.isStopping
}

// Run loads the pool and works until ctx ends or Stop is called.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	defer context.AfterFunc(ctx, o.cancel)()
	defer o.cancel()
	started := o.deps.Clock.Now()
	o.log.Info("pool taken over", "previousMayAct", o.ownership.PreviousMayAct.String())
	if !o.load(o.ctx) {
		return
	}
	o.log.Info("pool loaded", "took", o.deps.Clock.Now().Sub(started).String())
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		o.commits.Run(o.ctx)
	}()
	o.change()
	o.work(o.ctx)
	o.group.Wait()
	o.log.Info("pool given up")
}

// work makes a pass after each event, and at times without one, until ctx ends.
func (o *Owner) work(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.changed:
		case <-t.C:
		}
		o.mu.Lock()
		o.pass()
		o.mu.Unlock()
		bwclock.Sleep(ctx, passPause)
	}
}

// change asks for a pass soon.
func (o *Owner) change() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// pass carries out what the scheduler decides now. The caller holds the lock.
func (o *Owner) pass() {
	if !o.isReady || o.ctx.Err() != nil {
		return
	}
	now := o.deps.Clock.Now()
	if now.Sub(o.reviewedAt) >= reviewInterval {
		o.review(now)
	}
	if o.mayOrder() {
		o.dispatch(o.scheduler.Schedule(now))
		o.askAdvice()
	}
	o.flush(now, o.scheduler.HasDirtyEndedJob() || o.isStopping)
}

// review does what need not follow each event. The caller holds the lock.
func (o *Owner) review(now bwclock.Time) {
	o.reviewedAt = now
	for _, id := range o.scheduler.Expire(now) {
		o.endSession(id)
	}
	o.storeKnown(now)
	if o.mayOrder() {
		o.scheduler.AdjustPace(now)
	}
	o.sweep(now)
}

// mayOrder reports whether this owner still acts for the pool.
func (o *Owner) mayOrder() bool { return !o.isStopping && o.deps.IsConfirmed() }

// dispatch hands orders to the sessions of their executors.
func (o *Owner) dispatch(orders []bwschedule.Order) {
	for _, order := range orders {
		if s := o.sessions[order.Executor]; s != nil {
			s.add(order)
			continue
		}
		o.scheduler.HandleResult(order, bwschedule.NotSent, o.deps.Clock.Now())
	}
}

func (o *Owner) askAdvice() {
	q, ok := o.scheduler.NextAdviceRequest()
	if !ok {
		return
	}
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		asked := o.deps.Clock.Now()
		answer, err := o.deps.Adviser.Advise(o.ctx, q)
		if err != nil {
			o.log.Warn("no advice", "job", q.Step.Job, "step", q.Step.Step, "error", err.Error())
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.HandleAdvice(q, answer, err == nil, asked)
		o.change()
	}()
}

// SetQueues takes in the queues of the configuration.
func (o *Owner) SetQueues(queues []bwfleet.Queue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.SetQueues(queues)
}

// SetExecutors takes in all registered executors of the pool.
func (o *Owner) SetExecutors(list []bwexecutor.Registration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registrations = make(map[string]bwexecutor.Registration, len(list))
	for _, r := range list {
		o.registrations[r.ID] = r
	}
	if o.isReady {
		o.syncExecutors()
		o.change()
	}
}

// syncExecutors brings scheduler and sessions in line with the registrations. The caller
// holds the lock.
func (o *Owner) syncExecutors() {
	for _, r := range o.registrations {
		o.scheduler.Register(r)
		o.openSession(Target{ID: r.ID, Address: r.Address})
	}
	for _, id := range o.scheduler.ExecutorIDs() {
		if _, ok := o.registrations[id]; !ok {
			o.scheduler.Unregister(id)
		}
	}
}

// lost ends the owner after another one has taken the pool.
func (o *Owner) lost(reason string) {
	o.lostOnce.Do(func() {
		o.log.Warn("pool lost", "reason", reason)
		o.cancel()
		go o.deps.Lost(o.ownership.Pool, reason)
	})
}

// Stop ends the owner: it gives no more starts, waits until what is under way has its
// answer and is stored, or until ctx ends, and returns whether all of it was.
func (o *Owner) Stop(ctx context.Context) bool {
	o.mu.Lock()
	o.isStopping = true
	o.mu.Unlock()
	isClean := o.waitUntilSettled(ctx)
	o.cancel()
	<-o.done
	return isClean
}

func (o *Owner) waitUntilSettled(ctx context.Context) bool {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		o.mu.Lock()
		isSettled := !o.isReady || o.isSettled()
		o.mu.Unlock()
		if isSettled {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-o.done:
			return false
		case <-t.C:
		}
	}
}

// isSettled reports that no order is under way and every change is stored.
func (o *Owner) isSettled() bool {
	now := o.deps.Clock.Now()
	o.storeKnown(now)
	o.flush(now, true)
	for _, s := range o.sessions {
		if s.isBusy() {
			return false
		}
	}
	return len(o.submitting) == 0 && o.commits.IsIdle()
}
