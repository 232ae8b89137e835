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
	workerLatency = 2 * time.Millisecond
	// workerPoll is how often a waiting report looks for an end.
	workerPoll = 10 * time.Millisecond
	// workerStopTime is how long a stop takes.
	workerStopTime = 200 * time.Millisecond
	// workerRestartTime is how long a restarted executor refuses connections.
	workerRestartTime = 600 * time.Millisecond
	maxLateOrder      = 10 * time.Second
)

// Workers are the executors of a platform in memory, with leases, fencing tokens,
// incarnations, orders that are carried out late, and ends that wait for their
// acknowledgement. They record what breaks the promises that hold for tasks. Safe for
// concurrent use.
type Workers struct {
	mu         sync.Mutex
	random     *rand.Rand
	workers    map[string]*worker
	tasks      map[bwjob.TaskID]*taskHistory
	violations []string
	lateRate   float64
	specs      map[string]*bwjob.Spec
	failRate   float64
}

type worker struct {
	registration bwexecutor.Registration
	started      time.Time
	running      map[bwjob.TaskID]*workerRun
	// barred holds the highest run of a task that was stopped or has ended here.
	barred map[bwjob.TaskID]int
	ended  []bwexecutor.NumberedEnd
	number int64
	fence  int64
	until  int64
	isDark bool
	// upAt is when a restarted executor listens again.
	upAt time.Time
}

type workerRun struct {
	id       bwjob.TaskID
	number   int
	endsAt   time.Time
	kind     bwjob.EndKind
	reserved bwjob.Resources
}

// taskHistory is what all workers together did for one task.
type taskHistory struct {
	runningOn map[string]int
	// isNoted is set once an end as done was acknowledged.
	isNoted  bool
	failures map[string]bool
}

// NewWorkers returns a platform without executors whose random choices follow seed.
func NewWorkers(seed uint64) *Workers {
	return &Workers{
		random:  rand.New(rand.NewPCG(seed, seed)),
		workers: make(map[string]*worker),
		tasks:   make(map[bwjob.TaskID]*taskHistory),
		specs:   make(map[string]*bwjob.Spec),
	}
}

// Add starts an executor.
func (w *Workers) Add(r bwexecutor.Registration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[r.ID] = newWorker(r)
}

func newWorker(r bwexecutor.Registration) *worker {
	return &worker{registration: r, started: time.Now(), running: make(map[bwjob.TaskID]*workerRun), barred: make(map[bwjob.TaskID]int)}
}

// Expect tells the workers of a submitted job, so that they know how long its tasks run.
func (w *Workers) Expect(spec *bwjob.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
}

// SetLate sets the share of orders that get no answer and are carried out seconds later.
func (w *Workers) SetLate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateRate = rate
}

// SetFailures sets the share of runs that fail.
func (w *Workers) SetFailures(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failRate = rate
}

// SetDark cuts an executor off while it runs on, or joins it again.
func (w *Workers) SetDark(id string, isDark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].isDark = isDark
}

// Restart crashes an executor and starts it again under the same id. It returns the new
// incarnation.
func (w *Workers) Restart(id string) bwexecutor.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.workers[id]
	for task := range old.running {
		delete(w.history(task).runningOn, id)
	}
	r := old.registration
	r.Incarnation++
	k := newWorker(r)
	k.upAt = time.Now().Add(workerRestartTime)
	w.workers[id] = k
	return r
}

// Registrations returns all executors in order.
func (w *Workers) Registrations() []bwexecutor.Registration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []bwexecutor.Registration
	for _, k := range w.workers {
		list = append(list, k.registration)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Violations returns the broken promises that were seen.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// Running returns how many tasks run.
func (w *Workers) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for id, k := range w.workers {
		w.settle(id, k)
		n += len(k.running)
	}
	return n
}

func (w *Workers) history(id bwjob.TaskID) *taskHistory {
	h := w.tasks[id]
	if h == nil {
		h = &taskHistory{runningOn: make(map[string]int), failures: make(map[string]bool)}
		w.tasks[id] = h
	}
	return h
}

func (k *worker) clock() int64 { return time.Since(k.started).Milliseconds() + 1000 }

// settle brings an executor up to date: runs that are over end, and a lease that has ended
// ends everything.
func (w *Workers) settle(id string, k *worker) {
	now := time.Now()
	lapsed := k.clock() > k.until
	for task, r := range k.running {
		switch {
		case !now.Before(r.endsAt):
			w.end(id, k, r, r.kind)
		case lapsed:
			w.end(id, k, r, bwjob.EndLeaseExpired)
		default:
			continue
		}
		delete(k.running, task)
	}
}

func (w *Workers) end(id string, k *worker, r *workerRun, kind bwjob.EndKind) {
	k.number++
	k.barred[r.id] = max(k.barred[r.id], r.number)
	k.ended = append(k.ended, bwexecutor.NumberedEnd{Number: k.number, End: bwjob.End{Task: r.id, Run: r.number, Kind: kind}})
	delete(w.history(r.id).runningOn, id)
}

// reach waits for the call's way and returns the executor, or false when it is cut off.
func (w *Workers) reach(ctx context.Context, target bwowner.Target) (*worker, bwowner.ExecutorReply, bool) {
	time.Sleep(workerLatency)
	w.mu.Lock()
	k := w.workers[target.ID]
	isDark := k == nil || k.isDark
	isRefusing := k != nil && time.Now().Before(k.upAt)
	w.mu.Unlock()
	if isRefusing {
		return nil, bwowner.ExecutorReply{Result: bwschedule.NotSent}, false
	}
	if isDark {
		<-ctx.Done()
		return nil, bwowner.ExecutorReply{Result: bwschedule.Unanswered}, false
	}
	return k, bwowner.ExecutorReply{}, true
}

// Hold extends the lease and returns the report, at the latest after the wait.
func (w *Workers) Hold(ctx context.Context, target bwowner.Target, h bwowner.HoldRequest) bwowner.ExecutorReply {
	k, answer, ok := w.reach(ctx, target)
	if !ok {
		return answer
	}
	deadline := time.Now().Add(h.MaxWait)
	for {
		w.mu.Lock()
		if w.workers[target.ID] != k {
			w.mu.Unlock()
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
		}
		answer, isReady := w.hold(target.ID, k, h)
		w.mu.Unlock()
		if isReady || !time.Now().Before(deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
		case <-time.After(workerPoll):
		}
	}
}

func (w *Workers) hold(id string, k *worker, h bwowner.HoldRequest) (bwowner.ExecutorReply, bool) {
	if h.Fence < k.fence {
		return bwowner.ExecutorReply{Result: bwschedule.Fenced, Clock: k.clock()}, true
	}
	k.fence = h.Fence
	w.settle(id, k)
	k.until = max(k.until, h.LeaseUntil)
	w.acknowledge(k, h.AckedUpTo)
	report := bwexecutor.Report{Incarnation: k.registration.Incarnation, Ended: append([]bwexecutor.NumberedEnd(nil), k.ended...)}
	for _, r := range k.running {
		report.Running = append(report.Running, bwexecutor.RunStatus{Task: r.id, Run: r.number, Percent: 100})
	}
	return bwowner.ExecutorReply{Result: bwschedule.Accepted, Clock: k.clock(), Report: report}, len(k.ended) > 0
}

func (w *Workers) acknowledge(k *worker, upTo int64) {
	var kept []bwexecutor.NumberedEnd
	for _, e := range k.ended {
		if e.Number > upTo {
			kept = append(kept, e)
			continue
		}
		h := w.history(e.Task)
		switch e.Kind {
		case bwjob.EndDone:
			h.isNoted = true
		case bwjob.EndFailed:
			h.failures[fmt.Sprintf("%s/%d", k.registration.ID, e.Number)] = true
		}
	}
	k.ended = kept
}

// Order carries out one order, at once or, without an answer, seconds later.
func (w *Workers) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, until int64) bwowner.ExecutorReply {
	k, answer, ok := w.reach(ctx, target)
	if !ok {
		return answer
	}
	w.mu.Lock()
	isLate := w.random.Float64() < w.lateRate
	delay := time.Duration(w.random.Int64N(int64(maxLateOrder)))
	w.mu.Unlock()
	if isLate {
		time.AfterFunc(delay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.carryOut(target.ID, k, o, fence, until)
		})
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return bwowner.ExecutorReply{Result: w.carryOut(target.ID, k, o, fence, until), Clock: k.clock()}
}

func (w *Workers) carryOut(id string, k *worker, o bwschedule.Order, fence, until int64) bwschedule.Result {
	if w.workers[id] != k {
		return bwschedule.OtherIncarnation
	}
	if fence < k.fence {
		return bwschedule.Fenced
	}
	k.fence = fence
	w.settle(id, k)
	switch o.Kind {
	case bwschedule.Start:
		return w.start(id, k, o, until)
	case bwschedule.Stop:
		k.barred[o.Task] = max(k.barred[o.Task], o.Run)
		if r := k.running[o.Task]; r != nil && r.number <= o.Run {
			r.endsAt, r.kind = time.Now().Add(workerStopTime), bwjob.EndStopped
		}
	}
	return bwschedule.Accepted
}

func (w *Workers) start(id string, k *worker, o bwschedule.Order, until int64) bwschedule.Result {
	if r := k.running[o.Task]; r != nil && r.number == o.Run {
		return bwschedule.Accepted
	}
	if o.Run <= k.barred[o.Task] || k.running[o.Task] != nil {
		return bwschedule.RunTooOld
	}
	if until < k.clock() {
		return bwschedule.LeaseTooShort
	}
	k.until = max(k.until, until)
	spec := w.specs[o.Task.Job]
	if spec == nil {
		w.violate("job %s was never submitted", o.Task.Job)
		return bwschedule.Invalid
	}
	w.begin(id, k, o, spec.Steps[o.Task.Step])
	return bwschedule.Accepted
}

// begin starts a run and checks the promises that it may break.
func (w *Workers) begin(id string, k *worker, o bwschedule.Order, step bwjob.Step) {
	h := w.history(o.Task)
	for other := range h.runningOn {
		w.settle(other, w.workers[other])
	}
	if len(h.runningOn) > 0 {
		w.violate("task %v run %d starts at %s while it runs at %v", o.Task, o.Run, id, h.runningOn)
	}
	if h.isNoted {
		w.violate("task %v run %d starts at %s after its end as done was acknowledged", o.Task, o.Run, id)
	}
	h.runningOn[id] = o.Run
	r := &workerRun{id: o.Task, number: o.Run, endsAt: time.Now().Add(step.Estimate), kind: bwjob.EndDone, reserved: step.Reserved()}
	if step.LongRunning {
		r.endsAt = time.Now().Add(24 * time.Hour)
	} else if w.random.Float64() < w.failRate {
		r.kind = bwjob.EndFailed
	}
	k.running[o.Task] = r
	used := bwjob.Resources{}
	for _, running := range k.running {
		used = used.Plus(running.reserved)
	}
	if !k.registration.Capacity.Fits(used) {
		w.violate("executor %s is over its capacity: %+v", id, used)
	}
}

func (w *Workers) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}
