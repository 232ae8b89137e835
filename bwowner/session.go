package bwowner

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwschedule"
)

const (
	// reportWait is how long an executor may wait for an end before it reports.
	reportWait = 1000 * time.Millisecond
	// reportMargin is added to the wait for the answer's way; connections that have gone
	// silent are noticed after it.
	reportMargin = 500 * time.Millisecond
	// calmInterval is the least time between two reports of an executor. It gathers ends that
	// come close together; each report has its price. While tasks wait for room, ends are
	// worth knowing sooner.
	calmInterval    = 120 * time.Millisecond
	crowdedInterval = 40 * time.Millisecond
	// reportsPerSecond bounds the reports of all executors of a pool, so that they leave most
	// of a host's processor to the orders. BenchmarkHold gives 28 to 41 us for one, the
	// executor's side included.
	reportsPerSecond = 600
	// doubtInterval is the time between reports that settle a doubt.
	doubtInterval = 120 * time.Millisecond
	// silentRetry is the pause after a call without a usable answer.
	silentRetry = 200 * time.Millisecond
	// orderTimeout is how long an order waits for its answer; several times the way there
	// and back between data centres.
	orderTimeout = 400 * time.Millisecond
	// orderWorkers is the number of orders under way to one executor.
	orderWorkers = 2
)

// session talks to one executor: one loop holds its lease and reads its reports, and a few
// workers send its orders.
type session struct {
	owner  *Owner
	target Target
	ctx    context.Context
	cancel context.CancelFunc
	signal chan struct{}

	mu      sync.Mutex
	queue   []bwschedule.Order
	working int
}

// openSession starts a session unless there is one. The caller holds the owner's lock.
func (o *Owner) openSession(target Target) {
	if old := o.sessions[target.ID]; old != nil {
		if old.target.Address == target.Address {
			return
		}
		o.endSession(target.ID)
	}
	s := &session{owner: o, target: target, signal: make(chan struct{}, orderWorkers)}
	s.ctx, s.cancel = context.WithCancel(o.ctx)
	o.sessions[target.ID] = s
	o.group.Add(1 + orderWorkers)
	go s.hold()
	for range orderWorkers {
		go s.work()
	}
}

// endSession ends a session; orders that were not sent are taken back.
func (o *Owner) endSession(id string) {
	s := o.sessions[id]
	if s == nil {
		return
	}
	delete(o.sessions, id)
	s.cancel()
	s.mu.Lock()
	rest := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, order := range rest {
		o.scheduler.HandleResult(order, bwschedule.NotSent, o.deps.Clock.Now())
	}
}

func (s *session) add(order bwschedule.Order) {
	s.mu.Lock()
	s.queue = append(s.queue, order)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

func (s *session) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.working > 0 || len(s.queue) > 0
}

func (s *session) next() (bwschedule.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return bwschedule.Order{}, false
	}
	order := s.queue[0]
	s.queue = s.queue[1:]
	s.working++
	return order, true
}

// work sends orders until the session ends.
func (s *session) work() {
	defer s.owner.group.Done()
	for {
		order, ok := s.next()
		if !ok {
			select {
			case <-s.ctx.Done():
				return
			case <-s.signal:
			}
			continue
		}
		s.send(order)
		s.mu.Lock()
		s.working--
		s.mu.Unlock()
	}
}

func (s *session) send(order bwschedule.Order) {
	o := s.owner
	until, ok := s.permit(order)
	if !ok {
		o.finished(order, Answer{Result: bwschedule.NotSent})
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	sent := o.deps.Clock.Now()
	answer := o.deps.Executors.Order(ctx, s.target, order, o.ownership.Fence, until)
	o.deps.Metrics.observeOrder(order.Kind, answer.Result, o.deps.Clock.Now().Sub(sent))
	if answer.Result == bwschedule.Fenced {
		o.lost("executor " + s.target.ID + " has seen a newer fencing token")
	}
	o.finished(order, answer)
}

// permit returns the lease that goes with a start, and whether the order may still be sent.
func (s *session) permit(order bwschedule.Order) (int64, bool) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil || s.ctx.Err() != nil {
		return 0, false
	}
	if order.Kind != bwschedule.Start {
		return 0, true
	}
	e := o.scheduler.Executor(s.target.ID)
	if e == nil || o.isStopping || !o.deps.IsConfirmed() || !o.isWanted(order) {
		return 0, false
	}
	return e.ExtendLease(o.deps.Clock.Now(), o.settings.LeaseLength)
}

// isWanted reports whether the run that a start was ordered for still is.
func (o *Owner) isWanted(order bwschedule.Order) bool {
	e := o.scheduler.Executor(order.Executor)
	r := e.Run(order.Task)
	return r != nil && r.Number == order.Run && !r.IsOrphaned
}

// finished tells the scheduler what became of an order.
func (o *Owner) finished(order bwschedule.Order, answer Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.heard(order.Executor, answer, now)
	o.scheduler.HandleResult(order, answer.Result, now)
	if answer.Result != bwschedule.Accepted {
		o.change()
	}
}

func (o *Owner) heard(id string, answer Answer, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil && answer.Clock > 0 {
		e.SyncClock(answer.Clock, now)
	}
}

// hold extends the lease and reads reports until the session ends.
func (s *session) hold() {
	defer s.owner.group.Done()
	isFirst := true
	isSilent := false
	for s.ctx.Err() == nil {
		h := s.nextHold(isFirst)
		ctx, cancel := context.WithTimeout(s.ctx, h.Wait+reportMargin)
		sent := s.owner.deps.Clock.Now()
		answer := s.owner.deps.Executors.Hold(ctx, s.target, h)
		cancel()
		if s.ctx.Err() != nil {
			return
		}
		ok := s.owner.held(s.target, answer, sent)
		if ok == isSilent {
			isSilent = !ok
			s.logReach(answer, ok, sent)
		}
		isFirst = !ok
		s.pause(ok, h.Wait, sent)
	}
}

// coverLease counts the executor's lease as at least what any owner may have granted by now.
func (o *Owner) coverLease(id string, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil {
		e.ExtendLease(now, o.settings.LeaseLength)
	}
}

func (s *session) logReach(answer Answer, ok bool, sent bwclock.Time) {
	if ok {
		s.owner.log.Info("executor answers again", "executor", s.target.ID)
		return
	}
	s.owner.log.Warn("executor does not answer", "executor", s.target.ID, "address", s.target.Address,
		"result", answer.Result.String(), "after", s.owner.deps.Clock.Now().Sub(sent).String())
}

// pause waits before the next report.
func (s *session) pause(ok bool, wait time.Duration, sent bwclock.Time) {
	var d time.Duration
	switch {
	case !ok:
		d = silentRetry
	case wait == 0:
		d = doubtInterval
	default:
		d = s.owner.reportInterval()
	}
	bwclock.Sleep(s.ctx, d-s.owner.deps.Clock.Now().Sub(sent))
}

// reportInterval returns the least time between two reports of an executor now.
func (o *Owner) reportInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := calmInterval
	if o.scheduler.HasUnplacedTasks() {
		d = crowdedInterval
	}
	return max(d, time.Duration(len(o.sessions))*time.Second/reportsPerSecond)
}

// nextHold returns the next call. The first one, and the first after a failure, may meet
// another incarnation: it acknowledges no ends and extends no lease, because the numbers of
// ends and the clock of that one are not known.
func (s *session) nextHold(isFirst bool) Hold {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	h := Hold{Fence: o.ownership.Fence}
	e := o.scheduler.Executor(s.target.ID)
	if e == nil {
		return h
	}
	if isFirst || !e.HasReported() {
		return h
	}
	h.AckedUpTo = e.LastAckedEnd()
	if !o.scheduler.NeedsReport(s.target.ID) {
		h.Wait = reportWait
	}
	if o.deps.IsConfirmed() {
		h.Until, _ = e.ExtendLease(o.deps.Clock.Now(), o.settings.LeaseLength)
	}
	return h
}

// held takes in the answer to a hold and reports whether it was usable.
func (o *Owner) held(target Target, answer Answer, sent bwclock.Time) bool {
	if answer.Result == bwschedule.Fenced {
		o.lost("executor " + target.ID + " has seen a newer fencing token")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	switch answer.Result {
	case bwschedule.Accepted:
		o.scheduler.HandleReport(target.ID, answer.Report, sent, now)
		o.heard(target.ID, answer, now)
		o.coverLease(target.ID, now)
		o.deps.Metrics.observeReport(now.Sub(sent))
		o.change()
		return true
	case bwschedule.OtherIncarnation:
		o.scheduler.HandleRestart(target.ID)
		o.change()
	default:
		if e := o.scheduler.Executor(target.ID); e != nil {
			e.RecordMissedReport()
		}
	}
	return false
}
