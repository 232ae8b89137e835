package bwstandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
)

const (
	executorLatency = 2 * time.Millisecond
	// endPollInterval is the interval at which a waiting RenewLease checks for ended runs.
	endPollInterval = 10 * time.Millisecond
	// runStopTime is the time between a stop order and the end of the run.
	runStopTime = 200 * time.Millisecond
	// crashDelay is the time from the start of a deadly task to the crash of its executor.
	crashDelay = 10 * time.Millisecond
	// capacityNotice is how long after a reduction of its capacity an executor may still be given
	// tasks by the earlier one: the time to its next heartbeat, and that within which its owner
	// must take the entry into account.
	capacityNotice = 1500*time.Millisecond + 3*time.Second
	// executorRestartTime is the time for which a restarted executor refuses connections.
	executorRestartTime = 600 * time.Millisecond
	maxOrderDelay       = 10 * time.Second
)

// Executors is an in-memory stand-in for the executors that run the tasks of jobs. It
// simulates leases, fencing tokens, incarnations, orders that take effect late, and ends of
// runs that are reported until they are acknowledged. It records violations of the
// guarantees for tasks, such as a task that runs on two executors at once. It is safe for
// concurrent use.
type Executors struct {
	mu             sync.Mutex
	random         *rand.Rand
	executors      map[string]*executor
	histories      map[bwjob.TaskID]*taskHistory
	violations     []string
	lateOrderRatio float64
	replyLossRatio float64
	specs          map[string]*bwjob.Spec
	failureRatio   float64
	// deadly holds the tasks that crash the executor that starts them, with the number of
	// crashes so far. onCrash is called after each crash.
	deadly map[bwjob.TaskID]int
	// stops counts the runs of each job that were ended by a stop order.
	stops   map[string]int
	onCrash func(bwexecutor.Registration)
}

type executor struct {
	registration bwexecutor.Registration
	// earlierCapacity is the capacity before the latest change, which was made at
	// capacityChangedAt.
	earlierCapacity   bwjob.Resources
	capacityChangedAt time.Time
	startedAt         time.Time
	running           map[bwjob.TaskID]*taskRun
	// highestBarredRun holds, for each task, the highest run that was stopped or has ended
	// on this executor. That run and earlier ones must not start again.
	highestBarredRun map[bwjob.TaskID]int
	// unacknowledgedEnds holds the ends that are not yet acknowledged.
	unacknowledgedEnds []bwexecutor.NumberedEnd
	// lastEndNumber is the number of the most recent end.
	lastEndNumber int64
	// fence is the highest fencing token received.
	fence int64
	// leaseEnd is the end of the lease on the executor's clock.
	leaseEnd      int64
	isUnreachable bool
	// restartDoneAt is the time at which a restarted executor accepts connections again.
	restartDoneAt time.Time
}

type taskRun struct {
	task     bwjob.TaskID
	number   int
	atWorkAt time.Time
	endAt    time.Time
	endKind  bwjob.EndKind
	reserved bwjob.Resources
}

// taskHistory records the runs of one task across all executors.
type taskHistory struct {
	// runningOn maps the executors that run the task to their run numbers.
	runningOn map[string]int
	// isDoneAcknowledged is set once a successful end has been acknowledged.
	isDoneAcknowledged bool
	failures           map[string]bool
	// absentSince is when the latest run ended, and isStopped is set if a stop order ended it. Both
	// apply until the task is at work again.
	absentSince time.Time
	isStopped   bool
}

// NewExecutors returns an Executors that holds no executors yet. Its random choices derive
// from seed.
func NewExecutors(seed uint64) *Executors {
	return &Executors{
		random:    rand.New(rand.NewPCG(seed, seed)),
		executors: make(map[string]*executor),
		histories: make(map[bwjob.TaskID]*taskHistory),
		specs:     make(map[string]*bwjob.Spec),
		deadly:    make(map[bwjob.TaskID]int),
		stops:     make(map[string]int),
		onCrash:   func(bwexecutor.Registration) {},
	}
}

// Add starts a new executor.
func (es *Executors) Add(r bwexecutor.Registration) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.executors[r.ID] = newExecutor(r)
}

func newExecutor(r bwexecutor.Registration) *executor {
	return &executor{registration: r, startedAt: time.Now(), running: make(map[bwjob.TaskID]*taskRun), highestBarredRun: make(map[bwjob.TaskID]int)}
}

// RegisterJob registers the spec of a submitted job, which determines how long its tasks run.
func (es *Executors) RegisterJob(spec *bwjob.Spec) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.specs[spec.ID] = spec
}

// SetLateOrderRatio sets the fraction of orders that are not answered and take effect only
// after a random delay of up to 10 seconds.
func (es *Executors) SetLateOrderRatio(ratio float64) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.lateOrderRatio = ratio
}

// SetReplyLoss sets the fraction of orders that are executed at once and not answered.
func (es *Executors) SetReplyLoss(ratio float64) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.replyLossRatio = ratio
}

// SetFailureRatio sets the fraction of runs that fail.
func (es *Executors) SetFailureRatio(ratio float64) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.failureRatio = ratio
}

// SetDeadly makes a task crash each executor that starts it. onCrash is called with the new
// registration of the executor.
func (es *Executors) SetDeadly(task bwjob.TaskID, onCrash func(bwexecutor.Registration)) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.deadly[task] = 0
	es.onCrash = onCrash
}

// Crashes returns how many executors a deadly task has crashed.
func (es *Executors) Crashes(task bwjob.TaskID) int {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.deadly[task]
}

// SetCapacity changes the capacity of a running executor and returns its new registration.
func (es *Executors) SetCapacity(id string, capacity bwjob.Resources) bwexecutor.Registration {
	es.mu.Lock()
	defer es.mu.Unlock()
	e := es.executors[id]
	e.earlierCapacity, e.capacityChangedAt = e.registration.Capacity, time.Now()
	e.registration.Capacity = capacity
	return e.registration
}

// allowedCapacity returns the capacity that starts must not exceed now.
func (e *executor) allowedCapacity() bwjob.Resources {
	if time.Since(e.capacityChangedAt) < capacityNotice {
		return e.registration.Capacity.Max(e.earlierCapacity)
	}
	return e.registration.Capacity
}

// SetUnreachable makes an executor unreachable while it continues to run, or reachable again.
func (es *Executors) SetUnreachable(id string, isUnreachable bool) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.executors[id].isUnreachable = isUnreachable
}

// Restart crashes an executor and restarts it under the same id. It returns the
// registration of the new incarnation.
func (es *Executors) Restart(id string) bwexecutor.Registration {
	es.mu.Lock()
	defer es.mu.Unlock()
	old := es.executors[id]
	for _, r := range old.running {
		es.recordAbsence(id, r, r.endKind == bwjob.EndStopped)
	}
	r := old.registration
	r.Incarnation++
	e := newExecutor(r)
	e.restartDoneAt = time.Now().Add(executorRestartTime)
	es.executors[id] = e
	return r
}

// Registrations returns the registrations of all executors, sorted by id.
func (es *Executors) Registrations() []bwexecutor.Registration {
	es.mu.Lock()
	defer es.mu.Unlock()
	var list []bwexecutor.Registration
	for _, e := range es.executors {
		list = append(list, e.registration)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Violations returns the recorded violations of the guarantees for tasks.
func (es *Executors) Violations() []string {
	es.mu.Lock()
	defer es.mu.Unlock()
	return append([]string(nil), es.violations...)
}

// Running returns the number of runs in progress on all executors.
func (es *Executors) Running() int {
	es.mu.Lock()
	defer es.mu.Unlock()
	n := 0
	for id, e := range es.executors {
		es.endDueRuns(id, e)
		n += len(e.running)
	}
	return n
}

func (es *Executors) history(id bwjob.TaskID) *taskHistory {
	h := es.histories[id]
	if h == nil {
		h = &taskHistory{runningOn: make(map[string]int), failures: make(map[string]bool), absentSince: time.Now()}
		es.histories[id] = h
	}
	return h
}

// clock returns the executor's time in milliseconds, which starts at 1000.
func (e *executor) clock() int64 { return time.Since(e.startedAt).Milliseconds() + 1000 }

// endDueRuns ends the runs of an executor that have reached their end time, or all of its runs
// if its lease has expired.
func (es *Executors) endDueRuns(id string, e *executor) {
	now := time.Now()
	isLeaseExpired := e.clock() > e.leaseEnd
	for task, r := range e.running {
		switch {
		case !now.Before(r.endAt):
			es.endRun(id, e, r, r.endKind)
		case isLeaseExpired:
			es.endRun(id, e, r, bwjob.EndLeaseExpired)
		default:
			continue
		}
		delete(e.running, task)
	}
}

func (es *Executors) endRun(id string, e *executor, r *taskRun, kind bwjob.EndKind) {
	e.lastEndNumber++
	if kind == bwjob.EndStopped {
		es.stops[r.task.Job]++
	}
	e.highestBarredRun[r.task] = max(e.highestBarredRun[r.task], r.number)
	e.unacknowledgedEnds = append(e.unacknowledgedEnds, bwexecutor.NumberedEnd{Number: e.lastEndNumber, End: bwjob.End{Task: r.task, Run: r.number, Kind: kind}})
	es.recordAbsence(id, r, kind == bwjob.EndStopped)
}

// connect simulates the latency of a call and returns the executor. If the executor refuses
// connections or is unreachable, it returns false and the result of the call; for an
// unreachable executor only once ctx is done.
func (es *Executors) connect(ctx context.Context, target bwowner.Target) (*executor, bwowner.ExecutorReply, bool) {
	time.Sleep(executorLatency)
	es.mu.Lock()
	e := es.executors[target.ID]
	isUnreachable := e == nil || e.isUnreachable
	isRestarting := e != nil && time.Now().Before(e.restartDoneAt)
	es.mu.Unlock()
	if isRestarting {
		return nil, bwowner.ExecutorReply{Result: bwschedule.NotSent}, false
	}
	if isUnreachable {
		<-ctx.Done()
		return nil, bwowner.ExecutorReply{Result: bwschedule.Unanswered}, false
	}
	return e, bwowner.ExecutorReply{}, true
}

// RenewLease extends the executor's lease and returns its report as soon as there are ended
// runs to report, or after renewal.MaxWait.
func (es *Executors) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	e, answer, ok := es.connect(ctx, target)
	if !ok {
		return answer
	}
	deadline := time.Now().Add(renewal.MaxWait)
	for {
		es.mu.Lock()
		if es.executors[target.ID] != e {
			es.mu.Unlock()
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
		}
		answer, hasEnds := es.applyRenewal(target.ID, e, renewal)
		es.mu.Unlock()
		if hasEnds || !time.Now().Before(deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
		case <-time.After(endPollInterval):
		}
	}
}

func (es *Executors) applyRenewal(id string, e *executor, renewal bwowner.LeaseRenewal) (bwowner.ExecutorReply, bool) {
	if renewal.Fence < e.fence {
		return bwowner.ExecutorReply{Result: bwschedule.Fenced, Clock: e.clock()}, true
	}
	e.fence = renewal.Fence
	es.endDueRuns(id, e)
	e.leaseEnd = max(e.leaseEnd, renewal.LeaseUntil)
	es.acknowledgeEnds(e, renewal.AckedUpTo)
	report := bwexecutor.Report{Incarnation: e.registration.Incarnation, Ended: append([]bwexecutor.NumberedEnd(nil), e.unacknowledgedEnds...)}
	for _, r := range e.running {
		status := bwexecutor.RunStatus{Task: r.task, Run: r.number, Percent: 100}
		if time.Now().Before(r.atWorkAt) {
			status.Percent = 0
		}
		report.Running = append(report.Running, status)
	}
	return bwowner.ExecutorReply{Result: bwschedule.Accepted, Clock: e.clock(), Report: report}, len(e.unacknowledgedEnds) > 0
}

func (es *Executors) acknowledgeEnds(e *executor, upTo int64) {
	var kept []bwexecutor.NumberedEnd
	for _, end := range e.unacknowledgedEnds {
		if end.Number > upTo {
			kept = append(kept, end)
			continue
		}
		h := es.history(end.Task)
		switch end.Kind {
		case bwjob.EndDone:
			h.isDoneAcknowledged = true
		case bwjob.EndFailed:
			h.failures[fmt.Sprintf("%s/%d", e.registration.ID, end.Number)] = true
		}
	}
	e.unacknowledgedEnds = kept
}

// Order executes one order immediately, or leaves the call unanswered and executes the order
// after a random delay.
func (es *Executors) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, until int64) bwowner.ExecutorReply {
	e, answer, ok := es.connect(ctx, target)
	if !ok {
		return answer
	}
	es.mu.Lock()
	isLate := es.random.Float64() < es.lateOrderRatio
	delay := time.Duration(es.random.Int64N(int64(maxOrderDelay)))
	es.mu.Unlock()
	if isLate {
		time.AfterFunc(delay, func() {
			es.mu.Lock()
			defer es.mu.Unlock()
			es.execute(target.ID, e, o, fence, until, true)
		})
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	es.mu.Lock()
	reply := bwowner.ExecutorReply{Result: es.execute(target.ID, e, o, fence, until, false), Clock: e.clock()}
	isLost := es.replyLossRatio > 0 && es.random.Float64() < es.replyLossRatio
	es.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	return reply
}

func (es *Executors) execute(id string, e *executor, o bwschedule.Order, fence, until int64, isLate bool) bwschedule.Result {
	if es.executors[id] != e {
		return bwschedule.OtherIncarnation
	}
	if fence < e.fence {
		return bwschedule.Fenced
	}
	e.fence = fence
	es.endDueRuns(id, e)
	switch o.Kind {
	case bwschedule.Start:
		return es.admitStart(id, e, o, until)
	case bwschedule.Stop:
		e.highestBarredRun[o.Task] = max(e.highestBarredRun[o.Task], o.Run)
		if r := e.running[o.Task]; r != nil && r.number <= o.Run {
			if !isLate {
				es.checkAvailability(id, r)
			}
			r.endAt, r.endKind = time.Now().Add(runStopTime), bwjob.EndStopped
		}
	}
	return bwschedule.Accepted
}

func (es *Executors) admitStart(id string, e *executor, o bwschedule.Order, until int64) bwschedule.Result {
	if r := e.running[o.Task]; r != nil && r.number == o.Run {
		return bwschedule.Accepted
	}
	if o.Run <= e.highestBarredRun[o.Task] || e.running[o.Task] != nil {
		return bwschedule.RunTooOld
	}
	if until < e.clock() {
		return bwschedule.LeaseExpired
	}
	e.leaseEnd = max(e.leaseEnd, until)
	spec := es.specs[o.Task.Job]
	if spec == nil {
		es.recordViolation("job %s was started but never submitted", o.Task.Job)
		return bwschedule.Invalid
	}
	es.startRun(id, e, o, spec.Steps[o.Task.Step])
	return bwschedule.Accepted
}

// startRun starts a run and records the guarantees that the start violates.
func (es *Executors) startRun(id string, e *executor, o bwschedule.Order, step bwjob.Step) {
	h := es.history(o.Task)
	for other := range h.runningOn {
		es.endDueRuns(other, es.executors[other])
	}
	if len(h.runningOn) > 0 {
		es.recordViolation("task %v run %d started on executor %s while it is running on %v", o.Task, o.Run, id, h.runningOn)
	}
	if h.isDoneAcknowledged {
		es.recordViolation("task %v run %d started on executor %s after its completion was acknowledged", o.Task, o.Run, id)
	}
	h.runningOn[id] = o.Run
	r := &taskRun{task: o.Task, number: o.Run, endAt: time.Now().Add(step.Estimate), endKind: bwjob.EndDone, reserved: step.Reserved()}
	if step.LongRunning {
		r.endAt, r.atWorkAt = time.Now().Add(24*time.Hour), time.Now().Add(longRunningStartup)
	} else if es.random.Float64() < es.failureRatio {
		r.endKind = bwjob.EndFailed
	}
	e.running[o.Task] = r
	if _, isDeadly := es.deadly[o.Task]; isDeadly {
		es.deadly[o.Task]++
		time.AfterFunc(crashDelay, func() { es.onCrash(es.Restart(id)) })
	}
	used := bwjob.Resources{}
	for _, running := range e.running {
		used = used.Plus(running.reserved)
	}
	if !e.allowedCapacity().Fits(used) {
		es.recordViolation("executor %s exceeds its capacity: %+v reserved", id, used)
	}
}

func (es *Executors) recordViolation(format string, args ...any) {
	es.violations = append(es.violations, fmt.Sprintf(format, args...))
}

// RunsOn returns the sorted IDs of the executors that run a task.
func (es *Executors) RunsOn(task bwjob.TaskID) []string {
	es.mu.Lock()
	defer es.mu.Unlock()
	var ids []string
	for id, e := range es.executors {
		es.endDueRuns(id, e)
		if e.running[task] != nil {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
