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
	// workerPoll is the interval at which a waiting Hold checks for ended runs.
	workerPoll = 10 * time.Millisecond
	// workerStopTime is the time between a stop order and the end of the run.
	workerStopTime = 200 * time.Millisecond
	// workerRestartTime is the time for which a restarted executor refuses connections.
	workerRestartTime = 600 * time.Millisecond
	maxLateOrder      = 10 * time.Second
)

// Workers is an in-memory stand-in for the executors that run the tasks of jobs. It
// simulates leases, fencing tokens, incarnations, orders that take effect late, and ends of
// runs that are reported until they are acknowledged. It records violations of the
// guarantees for tasks, such as a task that runs on two executors at once. It is safe for
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
	// barred holds, for each task, the highest run that was stopped or has ended on this
	// executor. That run and earlier ones must not start again.
	barred map[bwjob.TaskID]int
	// ended holds the ends that are not yet acknowledged.
	ended []bwexecutor.NumberedEnd
	// number is the number of the last end.
	number int64
	// fence is the highest fencing token seen.
	fence int64
	// until is the end of the lease on the executor's clock.
	until  int64
	isDark bool
	// upAt is the time at which a restarted executor accepts connections again.
	upAt time.Time
}

type workerRun struct {
	id       bwjob.TaskID
	number   int
	endsAt   time.Time
	kind     bwjob.EndKind
	reserved bwjob.Resources
}

// taskHistory records the runs of one task across all executors.
type taskHistory struct {
	// runningOn maps the executors that run the task to their run numbers.
	runningOn map[string]int
	// isNoted is set once a successful end has been acknowledged.
	isNoted  bool
	failures map[string]bool
}

// NewWorkers returns a Workers without executors. Its random choices derive from seed.
func NewWorkers(seed uint64) *Workers {
	return &Workers{
		random:  rand.New(rand.NewPCG(seed, seed)),
		workers: make(map[string]*worker),
		tasks:   make(map[bwjob.TaskID]*taskHistory),
		specs:   make(map[string]*bwjob.Spec),
	}
}

// Add starts a new executor.
func (w *Workers) Add(r bwexecutor.Registration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[r.ID] = newWorker(r)
}

func newWorker(r bwexecutor.Registration) *worker {
	return &worker{registration: r, started: time.Now(), running: make(map[bwjob.TaskID]*workerRun), barred: make(map[bwjob.TaskID]int)}
}

// Expect registers the spec of a submitted job, which determines how long its tasks run.
func (w *Workers) Expect(spec *bwjob.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
}

// SetLate sets the fraction of orders that are not answered and take effect only later, up
// to 10 seconds.
func (w *Workers) SetLate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateRate = rate
}

// SetFailures sets the fraction of runs that fail.
func (w *Workers) SetFailures(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failRate = rate
}

// SetDark makes an executor unreachable while it continues to run, or reachable again.
func (w *Workers) SetDark(id string, isDark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].isDark = isDark
}

// Restart crashes an executor and restarts it under the same id. It returns the
// registration of the new incarnation.
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

// Registrations returns the registrations of all executors, sorted by id.
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

// Violations returns the recorded violations of the guarantees for tasks.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// Running returns the number of runs in progress on all executors.
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

// settle ends the runs of an executor that have reached their end time, or all of its runs
// if its lease has expired.
func (w *Workers) settle(id string, k *worker) {
	now := time.Now()
	lapsed := k.clock() > k.until
	for task, r := range k.running {
		switch {
		case !now.Before(r.endsAt):
			w.end(id, k, r, r.kind)
		case lapsed:
			w.end(id, k, r, bwjob.EndLapsed)
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

// reach simulates the latency of a call and returns the executor. It returns false and the
// answer of the call if the executor refuses connections or is unreachable.
func (w *Workers) reach(ctx context.Context, target bwowner.Target) (*worker, bwowner.Answer, bool) {
	time.Sleep(workerLatency)
	w.mu.Lock()
	k := w.workers[target.ID]
	isDark := k == nil || k.isDark
	isRefusing := k != nil && time.Now().Before(k.upAt)
	w.mu.Unlock()
	if isRefusing {
		return nil, bwowner.Answer{Result: bwschedule.NotSent}, false
	}
	if isDark {
		<-ctx.Done()
		return nil, bwowner.Answer{Result: bwschedule.Unanswered}, false
	}
	return k, bwowner.Answer{}, true
}

// Hold extends the executor's lease and returns its report as soon as there are ended runs
// to report, or after h.Wait.
func (w *Workers) Hold(ctx context.Context, target bwowner.Target, h bwowner.Hold) bwowner.Answer {
	k, answer, ok := w.reach(ctx, target)
	if !ok {
		return answer
	}
	deadline := time.Now().Add(h.Wait)
	for {
		w.mu.Lock()
		if w.workers[target.ID] != k {
			w.mu.Unlock()
			return bwowner.Answer{Result: bwschedule.Unanswered}
		}
		answer, isReady := w.hold(target.ID, k, h)
		w.mu.Unlock()
		if isReady || !time.Now().Before(deadline) {
			return answer
		}
		select {
		case <-ctx.Done():
			return bwowner.Answer{Result: bwschedule.Unanswered}
		case <-time.After(workerPoll):
		}
	}
}

func (w *Workers) hold(id string, k *worker, h bwowner.Hold) (bwowner.Answer, bool) {
	if h.Fence < k.fence {
		return bwowner.Answer{Result: bwschedule.Fenced, Clock: k.clock()}, true
	}
	k.fence = h.Fence
	w.settle(id, k)
	k.until = max(k.until, h.Until)
	w.acknowledge(k, h.AckedUpTo)
	report := bwexecutor.Report{Incarnation: k.registration.Incarnation, Ended: append([]bwexecutor.NumberedEnd(nil), k.ended...)}
	for _, r := range k.running {
		report.Running = append(report.Running, bwexecutor.RunStatus{Task: r.id, Run: r.number, Percent: 100})
	}
	return bwowner.Answer{Result: bwschedule.Accepted, Clock: k.clock(), Report: report}, len(k.ended) > 0
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

// Order executes one order, either immediately or, leaving the call unanswered, later.
func (w *Workers) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, until int64) bwowner.Answer {
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
		return bwowner.Answer{Result: bwschedule.Unanswered}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return bwowner.Answer{Result: w.carryOut(target.ID, k, o, fence, until), Clock: k.clock()}
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
		w.violate("job %s was started but never submitted", o.Task.Job)
		return bwschedule.Invalid
	}
	w.begin(id, k, o, spec.Steps[o.Task.Step])
	return bwschedule.Accepted
}

// begin starts a run and records the guarantees that the start violates.
func (w *Workers) begin(id string, k *worker, o bwschedule.Order, step bwjob.Step) {
	h := w.history(o.Task)
	for other := range h.runningOn {
		w.settle(other, w.workers[other])
	}
	if len(h.runningOn) > 0 {
		w.violate("task %v run %d started on executor %s while it is running on %v", o.Task, o.Run, id, h.runningOn)
	}
	if h.isNoted {
		w.violate("task %v run %d started on executor %s after its completion was acknowledged", o.Task, o.Run, id)
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
		w.violate("executor %s exceeds its capacity: %+v reserved", id, used)
	}
}

func (w *Workers) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}
