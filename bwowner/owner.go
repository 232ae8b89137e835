// Package bwowner runs the scheduler of one pool while this process owns the pool.
//
// An Owner loads the pool's jobs from the key-value service, queries every executor for its
// running tasks, and then carries out the decisions of package bwschedule: it sends start
// and stop orders, renews the executors' leases, stores changed job records through package
// bwcommit, and acknowledges the end records that executors report once they are stored.
// Task assignments are not persisted; a new owner recovers them from the executors' reports.
//
// An owner may have been replaced without knowing it yet. Its writes then fail, and its
// orders carry a fencing token that executors reject once the new owner has called them.
// To cover executors that the new owner cannot reach, the old owner stops extending their
// leases when it has not been able to confirm its own lease, and the new owner waits until
// the leases that the old one may have granted have expired.
package bwowner

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
)

const (
	// idlePassInterval is the interval of scheduling passes when no event triggers one.
	idlePassInterval = 100 * time.Millisecond
	// minPassInterval is the minimum time between two scheduling passes. It batches events that
	// arrive close together: the owner of a large pool receives about 4,000 events a second.
	// It is short compared with the shortest tasks.
	minPassInterval = 10 * time.Millisecond
	// latePassDelay is the delay of a scheduling pass from which it counts as late. An event
	// usually waits for minPassInterval and one pass.
	latePassDelay = 300 * time.Millisecond
	// latePassLogInterval is the minimum time between two log lines about late passes.
	latePassLogInterval = 5 * time.Second
	// pauseLogThreshold is the time between the starts of two passes from which it is logged. Without events a
	// pass follows idlePassInterval after the one before.
	pauseLogThreshold = time.Second
	// housekeepingInterval is the minimum time between two checks of the leases, the executor
	// list and the pace of tasks. It is short compared with the safety margin of a lease.
	housekeepingInterval = 50 * time.Millisecond
	// maxFlushDelay is the maximum delay before a changed record of an unfinished job is stored.
	// It is a quarter of the time within which executors need their end records acknowledged.
	maxFlushDelay = 900 * time.Millisecond
	// loadRetryDelay is the delay before another attempt to load the pool.
	loadRetryDelay = 150 * time.Millisecond
	// sweepInterval is the minimum time between two sweeps of expired job records.
	sweepInterval = 10 * time.Second
)

// Store is the subset of the key-value service that an Owner uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]bwkv.Item, int64, error)
	Get(ctx context.Context, key string) (bwkv.Item, error)
	Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result
}

// Target identifies an executor and its address. The list of a pool's targets is stored for
// the next owner.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// HeldUntil is the time until which the lease of a restarted executor may last, whatever its owner has granted,
	// in milliseconds since the Unix epoch; 0 for others. Lists of earlier versions lack it.
	HeldUntil int64 `json:"heldUntil,omitempty"`
}

// LeaseRenewal is a request that renews an executor's lease and asks for its report.
type LeaseRenewal struct {
	Fence int64
	// LeaseUntil is the end of the lease on the executor's clock, in milliseconds; 0 leaves the
	// lease unchanged.
	LeaseUntil int64
	AckedUpTo  int64
	// MaxWait is how long the executor may delay its reply until a run ends.
	MaxWait time.Duration
}

// ExecutorReply is the outcome of a call to an executor. Clock is the executor's time in
// milliseconds, or 0 if the reply did not include it.
type ExecutorReply struct {
	Result bwschedule.Result
	Clock  int64
	Report bwexecutor.Report
	// Reason explains a result other than Accepted for the log. It may be empty.
	Reason string
}

// Executors sends calls to executors.
type Executors interface {
	// RenewLease renews the executor's lease and returns its report.
	RenewLease(ctx context.Context, target Target, request LeaseRenewal) ExecutorReply
	// Order sends an order. The lease end leaseUntil applies to start orders only.
	Order(ctx context.Context, target Target, o bwschedule.Order, fence, leaseUntil int64) ExecutorReply
}

// Adviser asks the policy service which executors may run a step.
type Adviser interface {
	Advise(ctx context.Context, q bwschedule.AdviceRequest) (bwschedule.Advice, error)
}

// Ownership describes one term of ownership of a pool.
type Ownership struct {
	Pool string
	// Key is the owner's key in the store. Fence is the revision at which the key was
	// written; it is the fencing token of the owner's orders.
	Key   string
	Fence int64
	// PlacementPrefix is the prefix of the keys of the pool's placements.
	PlacementPrefix string
	// PlacementVersionPrefix is the prefix of the version keys of placements, which end with an identity of a queue.
	PlacementVersionPrefix string
	// PreviousOwnerGrace is how long the previous owner may still extend executor leases; 0 if
	// it is known to have stopped.
	PreviousOwnerGrace time.Duration
}

// Settings holds the time limits of the deployment.
type Settings struct {
	// LeaseLength is how long an executor keeps running its tasks without a lease renewal.
	LeaseLength time.Duration
	// MaxLeaseLength is the longest lease that an executor grants; 0 if it is not known.
	MaxLeaseLength time.Duration
	// MaxStopTime is the maximum time that an executor takes to stop a task.
	MaxStopTime time.Duration
	// EndedJobRetention is how long the state of an ended job remains available to callers.
	EndedJobRetention time.Duration
	// CrossRackFactor is how many times longer the tasks of a step that should run in one rack take in
	// several; 0 if it is not known.
	CrossRackFactor float64
}

// Placements provides the placements of all queues.
type Placements interface {
	// Copy returns the copy that was last read from the store.
	Copy() bwfleet.Placements
	// Refresh reads the placements. The copy then includes all changes that were stored before the call.
	Refresh(ctx context.Context) error
}

// Deps holds the dependencies of an Owner.
type Deps struct {
	Store     Store
	Executors Executors
	// IsRelayed reports whether other nodes call the executors, so that a report costs this process less.
	// It may be nil.
	IsRelayed func() bool
	Adviser   Adviser
	Clock     bwclock.Clock
	Log       hclog.Logger
	Metrics   *Metrics
	// IsOwnershipConfirmed reports whether this process confirmed its ownership, by its own
	// lease, recently enough to act for the pool and extend the leases of executors.
	IsOwnershipConfirmed func() bool
	// IsOwnershipFresh reports whether the ownership was confirmed within about the last
	// second, so that this process is certain to own the pool still.
	IsOwnershipFresh func() bool
	// IsRegistryFresh reports whether the registrations were read recently enough to rely on the
	// capacity of the executors.
	IsRegistryFresh func() bool
	Placements      Placements
	// AskPool asks the owner of a pool for a job that the owner of claimingPool is about to accept. It returns
	// the reply, and the owner's key with the revision that it has while the reply holds.
	AskPool func(ctx context.Context, pool string, spec *bwjob.Spec, claimingPool string) (Reply, bwkv.Expectation)
	// OnLost is called once when another owner has taken over the pool, or this one has given it up.
	OnLost func(pool, reason string)
	// Guard contains panics, after which the owner gives up the pool.
	Guard *bwpanic.Guard
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
	// passRequested holds the time of the first request for a pass since the latest pass.
	passRequested chan bwclock.Time
	group         sync.WaitGroup
	lostOnce      sync.Once

	mu                 sync.Mutex
	scheduler          *bwschedule.Scheduler
	committer          *bwcommit.Committer
	sessions           map[string]*session
	registrations      map[string]bwexecutor.Registration
	pendingSubmissions map[string]*submission
	unstoredWrites     map[string]int
	endedAt            map[string]bwclock.Time
	// routed holds the queues that the configuration sends to the pool, and placed those whose
	// placement this owner has stored or found. yielded holds the jobs left to other pools.
	routed  map[string]bool
	placed  map[string]bool
	yielded map[string]yieldedJob
	// unreadable holds the jobs whose stored records cannot be decoded.
	unreadable map[string]bool
	// listedExecutors holds the executors on the latest list, which may not be stored yet, with the number of the
	// first of the successive lists that name them. storedList is the number of the list that was stored last.
	listedExecutors map[string]int64
	// listedHolds holds the times until which, according to that list, the leases of executors may last.
	listedHolds   map[string]bwclock.Time
	latestList    int64
	storedList    int64
	listChangedAt bwclock.Time
	isReady       bool
	isStopping    bool
	flushedAt     bwclock.Time
	housekeptAt   bwclock.Time
	sweptAt       bwclock.Time
	latePassAt    bwclock.Time
	// isUnconfirmed is set while the ownership is not confirmed and no orders are sent.
	isUnconfirmed bool
	// ownedAt is the latest time at which the owner's key is known to have been that of this owner. isReadingKey
	// is set while the key is read, and hasNewIncarnation if an incarnation of an executor has reported for the
	// first time since.
	ownedAt           bwclock.Time
	isReadingKey      bool
	hasNewIncarnation bool
}

// New returns an Owner. It does nothing until Run is called.
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
		passRequested: make(chan bwclock.Time, 1),
		scheduler: bwschedule.New(log, bwschedule.WithCrossRackFactor(settings.CrossRackFactor),
			bwschedule.WithMaxLease(settings.MaxLeaseLength), bwschedule.WithOnRelease(deps.Metrics.countRelease)),
		sessions:           make(map[string]*session),
		registrations:      make(map[string]bwexecutor.Registration),
		pendingSubmissions: make(map[string]*submission),
		unstoredWrites:     make(map[string]int),
		endedAt:            make(map[string]bwclock.Time),
		routed:             make(map[string]bool),
		placed:             make(map[string]bool),
		yielded:            make(map[string]yieldedJob),
		unreadable:         make(map[string]bool),
		listedExecutors:    make(map[string]int64),
		listedHolds:        make(map[string]bwclock.Time),
	}
}

// Pool returns the name of the pool.
func (o *Owner) Pool() string { return o.ownership.Pool }

// Fence returns the fencing token of the owner's orders.
func (o *Owner) Fence() int64 { return o.ownership.Fence }

// IsReady reports whether the pool is loaded and this owner is not stopping.
func (o *Owner) IsReady() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isReady && !o.isStopping
}

// CountActiveJobs returns the number of the pool's jobs that have not ended.
func (o *Owner) CountActiveJobs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, active := o.scheduler.CountJobs()
	return active
}

// Run loads the pool and schedules its jobs until ctx is done, Stop is called or another
// owner takes over the pool.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	defer context.AfterFunc(ctx, o.cancel)()
	defer o.cancel()
	started := o.deps.Clock.Now()
	o.log.Info("pool taken over", "previousMayAct", o.ownership.PreviousOwnerGrace.String())
	isLoaded := false
	if o.contain("load", func() { isLoaded = o.load(o.ctx) }); !isLoaded {
		return
	}
	o.log.Info("pool loaded", "took", o.deps.Clock.Now().Sub(started).String())
	o.spawn("commit", func() { o.committer.Run(o.ctx) })
	o.requestPass()
	o.runPasses(o.ctx)
	o.group.Wait()
	o.logEnd()
}

// logEnd logs the end of the ownership with the starts whose outcome this owner does not know.
func (o *Owner) logEnd() {
	o.mu.Lock()
	defer o.mu.Unlock()
	unsent, indeterminate := o.scheduler.CountUnsettledStarts()
	o.log.Info("pool owner stopped", "unsentStarts", unsent, "indeterminateStarts", indeterminate)
}

// contain runs a part of the owner's work. After a panic the state of the scheduler cannot be trusted: the
// owner gives up the pool, which is then loaded from the store again.
func (o *Owner) contain(place string, f func(), fields ...any) bool {
	if o.deps.Guard.Run(place, f, append([]any{"pool", o.ownership.Pool, "fence", o.ownership.Fence}, fields...)...) {
		return true
	}
	o.loseOwnership("unexpected error in " + place)
	return false
}

// spawn runs a part of the owner's work in a goroutine that Run waits for.
func (o *Owner) spawn(place string, f func(), fields ...any) {
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		o.contain(place, f, fields...)
	}()
}

// canSendOrders reports whether this owner may still send orders for the pool.
func (o *Owner) canSendOrders() bool { return !o.isStopping && o.deps.IsOwnershipConfirmed() }

// dispatch queues orders at the sessions of their executors.
func (o *Owner) dispatch(orders []bwschedule.Order) {
	for _, order := range orders {
		if s := o.sessions[order.Executor]; s != nil {
			s.enqueue(order)
			continue
		}
		o.scheduler.HandleResult(order, bwschedule.NotSent, o.deps.Clock.Now(), "why", "executor has no session")
	}
}

func (o *Owner) requestAdvice() {
	request, ok := o.scheduler.NextAdviceRequest()
	if !ok {
		return
	}
	o.spawn("advice", func() {
		requestedAt := o.deps.Clock.Now()
		advice, err := o.deps.Adviser.Advise(o.ctx, request)
		if err != nil {
			o.log.Warn("policy service query failed", "job", request.Step.Job, "step", request.Step.Step, "error", err.Error())
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.scheduler.HandleAdvice(request, advice, err == nil, requestedAt, o.deps.Clock.Now())
		o.requestPass()
	}, "job", request.Step.Job)
}

// SetQueues updates the configured queues. Those whose tasks run in other pools may have left jobs in
// this one.
func (o *Owner) SetQueues(queues []bwfleet.Queue) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routed = make(map[string]bool, len(queues))
	for _, q := range queues {
		if q.Pool == o.ownership.Pool {
			o.routed[q.Name] = true
		}
	}
	o.scheduler.SetQueues(queues)
}

// SetExecutors replaces the list of the pool's registered executors.
func (o *Owner) SetExecutors(list []bwexecutor.Registration) {
	o.contain("registry", func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.registrations = make(map[string]bwexecutor.Registration, len(list))
		for _, r := range list {
			o.registrations[r.ID] = r
		}
		if o.isReady {
			o.syncExecutors()
			o.requestPass()
		}
	})
}

// syncExecutors updates the scheduler and the sessions to match the registrations. The
// caller holds the lock.
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

// loseOwnership stops the owner after another one has taken over the pool, or to give it up.
func (o *Owner) loseOwnership(reason string) {
	o.lostOnce.Do(func() {
		o.log.Warn("pool lost", "reason", reason)
		o.cancel()
		go o.deps.OnLost(o.ownership.Pool, reason)
	})
}

// Stop shuts the owner down gracefully: it sends no more orders to start tasks, and waits
// until in-flight orders are answered and all changes are stored, or until ctx is done. It
// reports whether everything completed.
func (o *Owner) Stop(ctx context.Context) bool {
	o.mu.Lock()
	o.isStopping = true
	o.mu.Unlock()
	isClean := o.waitUntilIdle(ctx)
	o.cancel()
	<-o.done
	return isClean
}

func (o *Owner) waitUntilIdle(ctx context.Context) bool {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		o.mu.Lock()
		isIdle := !o.isReady || o.flushAndCheckIdle()
		o.mu.Unlock()
		if isIdle {
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

// flushAndCheckIdle flushes changed records and the executor list, and reports whether no
// order or write is in flight or queued. The caller holds the lock.
func (o *Owner) flushAndCheckIdle() bool {
	now := o.deps.Clock.Now()
	o.storeExecutorList(now)
	o.flush(now, true)
	for _, s := range o.sessions {
		if s.isBusy() {
			return false
		}
	}
	return len(o.pendingSubmissions) == 0 && o.committer.IsIdle()
}
