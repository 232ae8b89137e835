package bwschedule

import (
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
)

// keepRoomAfter is the age at which a job's tasks get room kept for them. It is a few times
// as long as a short task runs.
const keepRoomAfter = 2 * time.Second

// suspectWeight sets an executor where the task itself has failed behind those where other
// tasks have.
const suspectWeight = 10

// stepParts is how many executors the tasks of a step that lasts are spread over at least;
// the loss of one takes that part of them.
const stepParts = 3

// Schedule assigns due tasks to executors and returns the orders that follow from this and
// from earlier events.
func (s *Scheduler) Schedule(now bwclock.Time) []Order {
	s.evacuate(now)
	s.kept = make(map[string]bool)
	s.isCrowded = false
	candidates := s.candidates(now)
	s.largest = largestRoom(candidates)
	for _, c := range s.inOrder(now) {
		j := c.job
		j.EachDue(func(o *bwjob.Occurrence, step int) {
			s.placeStep(j, o, step, candidates, now)
		})
	}
	orders := s.orders
	s.orders = nil
	return orders
}

// candidates returns the executors that may get tasks now.
func (s *Scheduler) candidates(now bwclock.Time) []*bwexecutor.Executor {
	var list []*bwexecutor.Executor
	for _, id := range s.Executors() {
		if e := s.executors[id]; e.CanTake(now, silentFor) {
			list = append(list, e)
		}
	}
	return list
}

// largestRoom returns the most of each resource that is free at any executor.
func largestRoom(candidates []*bwexecutor.Executor) bwjob.Resources {
	var largest bwjob.Resources
	for _, e := range candidates {
		largest = largest.Max(e.Free())
	}
	return largest
}

// isHeldBack reports whether the task of a loaded job may still run where the previous
// owner started it.
func (s *Scheduler) isHeldBack(j *bwjob.Job) bool {
	return len(s.unresolved) > 0 && s.loaded[j.ID()]
}

func (s *Scheduler) placeStep(j *bwjob.Job, o *bwjob.Occurrence, step int, candidates []*bwexecutor.Executor, now bwclock.Time) {
	if s.isHeldBack(j) {
		return
	}
	fits := s.largest.Fits(j.Spec().Steps[step].Reserved())
	if !fits && !s.mayKeepRoom(j, step, len(candidates), now) {
		s.isCrowded = true
		return
	}
	p := placement{s: s, job: j, occurrence: o, step: step, now: now}
	p.candidates = p.eligible(candidates)
	if j.Spec().Steps[step].Gang {
		p.placeGang()
		return
	}
	if !fits {
		s.isCrowded = true
		p.keepRoom()
		return
	}
	tasks := o.Tasks(step)
	for i := range tasks {
		if !tasks[i].IsWaiting() {
			continue
		}
		id := bwjob.TaskID{Job: j.ID(), Occurrence: o.Index(), Step: step, Index: i}
		e := p.choose(&tasks[i])
		if e == nil {
			s.isCrowded = true
			p.keepRoom()
			return
		}
		s.start(j, id, e, tasks[i].Run()+1, now)
		p.placed(e)
	}
}

// start assigns a task and orders its start.
func (s *Scheduler) start(j *bwjob.Job, id bwjob.TaskID, e *bwexecutor.Executor, run int, now bwclock.Time) {
	t := j.Task(id)
	ticket, _ := s.advice.ticket(stepOf(id), e.ID(), now)
	o := Order{Kind: Start, Executor: e.ID(), Task: id, Run: run, Payload: j.Spec().Payload, Checkpoint: t.Checkpoint(), Ticket: ticket}
	j.Assign(id, e.ID(), run)
	e.Add(&bwexecutor.Run{Task: id, Number: run, Reserved: j.Spec().Steps[id.Step].Reserved(), OrderedAt: now, Pace: fullPace})
	s.orders = append(s.orders, o)
	s.log.Info("start ordered", "job", id.Job, "task", id, "run", run, "executor", e.ID(), "failures", t.Failures(),
		"sinceAccepted", now.Sub(j.AcceptedAt()).String(), "reportAge", now.Sub(e.ReportedAt()).String())
}

// placement chooses executors for the tasks of one step.
type placement struct {
	s          *Scheduler
	job        *bwjob.Job
	occurrence *bwjob.Occurrence
	step       int
	now        bwclock.Time
	candidates []*bwexecutor.Executor
	// atExecutor and atRack count the runs of the step, and lasting those of tasks that
	// last; nil until they are needed.
	atExecutor map[string]int
	atRack     map[string]int
	lasting    map[string]int
}

// eligible returns the executors that may run the step at all, without regard to room.
func (p *placement) eligible(list []*bwexecutor.Executor) []*bwexecutor.Executor {
	step := p.job.Spec().Steps[p.step]
	if step.Label != "" {
		list = withLabel(list, step.Label)
	}
	if p.s.queues[p.job.Spec().Queue].NeedsAdvice {
		list = p.advised(list)
	}
	if step.SameRack {
		list = p.inOneRack(list)
	}
	return list
}

func withLabel(all []*bwexecutor.Executor, label string) []*bwexecutor.Executor {
	var list []*bwexecutor.Executor
	for _, e := range all {
		if e.Registration().HasLabel(label) {
			list = append(list, e)
		}
	}
	return list
}

// advised returns the executors that the policy service allows, and asks it if needed.
func (p *placement) advised(list []*bwexecutor.Executor) []*bwexecutor.Executor {
	id := StepID{Job: p.job.ID(), Occurrence: p.occurrence.Index(), Step: p.step}
	var allowed []*bwexecutor.Executor
	var ids []string
	for _, e := range list {
		ids = append(ids, e.ID())
		if _, ok := p.s.advice.ticket(id, e.ID(), p.now); ok {
			allowed = append(allowed, e)
		}
	}
	if len(ids) > 0 {
		p.s.advice.ask(id, ids, p.now)
	}
	return allowed
}

// inOneRack returns the executors of the rack where tasks of the step run already, or of
// the one with the most room.
func (p *placement) inOneRack(list []*bwexecutor.Executor) []*bwexecutor.Executor {
	room := make(map[string]int64)
	for _, e := range list {
		room[e.Registration().Rack] += e.Free().CPU
	}
	best := p.rackInUse()
	if best == "" {
		for _, e := range list {
			rack := e.Registration().Rack
			if best == "" || room[rack] > room[best] {
				best = rack
			}
		}
	}
	var inRack []*bwexecutor.Executor
	for _, e := range list {
		if e.Registration().Rack == best {
			inRack = append(inRack, e)
		}
	}
	return inRack
}

func (p *placement) rackInUse() string {
	for _, t := range p.occurrence.Tasks(p.step) {
		if e := p.s.executors[t.Executor()]; e != nil && !t.IsDone() {
			return e.Registration().Rack
		}
	}
	return ""
}

// choose returns the best executor for a task, or nil when none has room.
func (p *placement) choose(t *bwjob.Task) *bwexecutor.Executor {
	step := p.job.Spec().Steps[p.step]
	need := step.Reserved()
	var best *bwexecutor.Executor
	var bestScore score
	for _, e := range p.candidates {
		if p.s.kept[e.ID()] || !e.Free().Fits(need) || !p.isWithinLimit(e, step.MaxPerExecutor) {
			continue
		}
		sc := p.score(e, step, t)
		if best == nil || sc.less(bestScore) {
			best, bestScore = e, sc
		}
	}
	return best
}

// keepRoom keeps the executor with the most room from tasks that come later in the order,
// so that room for a large task can gather there. Tasks that last get it at once, others
// after a while.
func (p *placement) keepRoom() {
	step := p.job.Spec().Steps[p.step]
	if !p.s.mayKeepRoom(p.job, p.step, len(p.candidates), p.now) {
		return
	}
	var best *bwexecutor.Executor
	for _, e := range p.candidates {
		if p.s.kept[e.ID()] || !e.Registration().Capacity.Fits(step.Reserved()) || !p.isWithinLimit(e, step.MaxPerExecutor) {
			continue
		}
		if best == nil || e.Free().CPU > best.Free().CPU {
			best = e
		}
	}
	if best != nil {
		p.s.kept[best.ID()] = true
	}
}

// mayKeepRoom reports whether a task of the step that fits nowhere gets an executor kept.
func (s *Scheduler) mayKeepRoom(j *bwjob.Job, step, executors int, now bwclock.Time) bool {
	isUrgent := j.Spec().Steps[step].LongRunning || now.Sub(j.AcceptedAt()) >= keepRoomAfter
	return isUrgent && len(s.kept) < maxKept(executors)
}

// maxKept bounds the executors that are kept from smaller tasks.
func maxKept(executors int) int { return max(1, executors/4) }

func (p *placement) isWithinLimit(e *bwexecutor.Executor, limit int) bool {
	return limit == 0 || p.onExecutor(e) < limit
}

// count counts what runs at all executors, once for each step.
func (p *placement) count() {
	if p.atExecutor != nil {
		return
	}
	p.atExecutor, p.atRack, p.lasting = make(map[string]int), make(map[string]int), make(map[string]int)
	self := StepID{Job: p.job.ID(), Occurrence: p.occurrence.Index(), Step: p.step}
	for id, e := range p.s.executors {
		for task, r := range e.Runs() {
			if stepOf(task) == self {
				p.atExecutor[id]++
				p.atRack[e.Registration().Rack]++
			}
			if p.s.isLongRunning(r) {
				p.lasting[id]++
			}
		}
	}
}

// placed counts a task that was just placed.
func (p *placement) placed(e *bwexecutor.Executor) {
	if p.atExecutor == nil {
		return
	}
	p.atExecutor[e.ID()]++
	p.atRack[e.Registration().Rack]++
	if p.job.Spec().Steps[p.step].LongRunning {
		p.lasting[e.ID()]++
	}
}

// onExecutor returns the number of runs of the step at an executor.
func (p *placement) onExecutor(e *bwexecutor.Executor) int {
	p.count()
	return p.atExecutor[e.ID()]
}

// onRack returns the number of runs of the step in a rack.
func (p *placement) onRack(rack string) int {
	p.count()
	return p.atRack[rack]
}

// score orders executors for a task; the smallest is the best.
type score struct {
	failures int
	distance int
	together int
	free     int64
}

func (a score) less(b score) bool {
	switch {
	case a.failures != b.failures:
		return a.failures < b.failures
	case a.distance != b.distance:
		return a.distance < b.distance
	case a.together != b.together:
		return a.together < b.together
	default:
		return a.free < b.free
	}
}

// score prefers executors without recent failures, then the rack of the data, then the
// tightest fit, which leaves whole executors free.
func (p *placement) score(e *bwexecutor.Executor, step bwjob.Step, t *bwjob.Task) score {
	sc := score{failures: e.RecentFailures(p.now), free: e.Free().CPU}
	if t.Failures() == 0 && sc.failures < 2 {
		sc.failures = 0
	}
	if t.HasFailedOn(e.ID()) {
		sc.failures += suspectWeight
	}
	if step.DataRack != "" && e.Registration().Rack != step.DataRack {
		sc.distance = 1
	}
	if step.LongRunning {
		sc.together = p.together(e, step)
	}
	return sc
}

// together orders executors for a task that lasts. Tasks that serve users go where the
// fewest of their step are. Others gather on few executors, so that the rest can be moved
// and maintained without disrupting them, but one executor gets no more than a part of a step.
func (p *placement) together(e *bwexecutor.Executor, step bwjob.Step) int {
	same := p.onExecutor(e)
	if step.LatencyObjective > 0 {
		return p.onRack(e.Registration().Rack) + 2*same
	}
	if same >= max(1, (step.Count+stepParts-1)/stepParts) {
		return same
	}
	return -p.lasting[e.ID()]
}
