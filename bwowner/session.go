package bwowner

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwschedule"
)

const (
	// reportWait is how long an executor may delay its report until a run ends.
	reportWait = 1000 * time.Millisecond
	// reportMargin is added to the executor's wait to get the timeout of a report request. It
	// covers the round trip; a connection that has stopped responding is detected after it.
	reportMargin = 500 * time.Millisecond
	// calmInterval is the minimum time between two reports of an executor. It batches ends
	// of runs that are close together, because each report has a cost. crowdedInterval
	// applies while tasks wait for capacity, when ends need to be known sooner.
	calmInterval    = 120 * time.Millisecond
	crowdedInterval = 40 * time.Millisecond
	// reportsPerSecond limits the reports of all executors of a pool together, so that most
	// of the host's CPU time remains for orders. BenchmarkHold measures 28 to 41 us per
	// report, including the executor's side.
	reportsPerSecond = 600
	// doubtInterval is the minimum time between reports that are requested without a wait,
	// to find out whether an unanswered start order was carried out.
	doubtInterval = 120 * time.Millisecond
	// silentRetry is the minimum time between report requests after one failed.
	silentRetry = 200 * time.Millisecond
	// orderTimeout is the timeout of an order. It is several times the round-trip time
	// between data centres.
	orderTimeout = 400 * time.Millisecond
	// orderWorkers is the maximum number of orders in flight to one executor.
	orderWorkers = 2
)

// session communicates with one executor: one goroutine renews its lease and reads its
// reports, and orderWorkers goroutines send its orders.
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

// openSession starts a session with the target unless there is one. It replaces a session
// with another address. The caller holds the owner's lock.
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

// endSession ends a session and returns its unsent orders to the scheduler as NotSent. The
// caller holds the owner's lock.
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
		o.scheduler.Finished(order, bwschedule.NotSent, o.deps.Clock.Now())
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

// work sends queued orders until the session ends.
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

// permit reports whether the order may still be sent, and for a start order returns the end
// of the lease to send with it.
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

// isWanted reports whether the run of a start order still exists and is not abandoned.
func (o *Owner) isWanted(order bwschedule.Order) bool {
	e := o.scheduler.Executor(order.Executor)
	r := e.Run(order.Task)
	return r != nil && r.Number == order.Run && !r.IsAbandoned
}

// finished passes the result of an order to the scheduler.
func (o *Owner) finished(order bwschedule.Order, answer Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	o.heard(order.Executor, answer, now)
	o.scheduler.Finished(order, answer.Result, now)
	if answer.Result != bwschedule.Accepted {
		o.change()
	}
}

// heard updates the scheduler's estimate of an executor's clock from a reply.
func (o *Owner) heard(id string, answer Answer, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil && answer.Clock > 0 {
		e.Heard(answer.Clock, now)
	}
}

// hold renews the executor's lease and reads its reports until the session ends.
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

// coverLease assumes that the executor's lease lasts as long as the latest lease that any
// owner may have granted by now. The caller holds the lock.
func (o *Owner) coverLease(id string, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil {
		e.ExtendLease(now, o.settings.LeaseLength)
	}
}

// logReach logs that the executor has become reachable or unreachable.
func (s *session) logReach(answer Answer, ok bool, sent bwclock.Time) {
	if ok {
		s.owner.log.Info("executor answers again", "executor", s.target.ID)
		return
	}
	s.owner.log.Warn("executor does not answer", "executor", s.target.ID, "address", s.target.Address,
		"result", answer.Result.String(), "after", s.owner.deps.Clock.Now().Sub(sent).String())
}

// pause sleeps until the next report is due.
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

// reportInterval returns the current minimum time between two reports of an executor.
func (o *Owner) reportInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := calmInterval
	if o.scheduler.IsCrowded() {
		d = crowdedInterval
	}
	return max(d, time.Duration(len(o.sessions))*time.Second/reportsPerSecond)
}

// nextHold returns the next report request. The first request, and the first after a
// failure, may reach another incarnation of the executor, whose clock and end record
// numbers are not known. It therefore acknowledges no end records and extends no lease.
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
	h.AckedUpTo = e.AckedEnd()
	if !o.scheduler.NeedsReport(s.target.ID) {
		h.Wait = reportWait
	}
	if o.deps.IsConfirmed() {
		h.Until, _ = e.ExtendLease(o.deps.Clock.Now(), o.settings.LeaseLength)
	}
	return h
}

// held processes the reply to a report request and reports whether it contained a report.
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
		o.scheduler.Report(target.ID, answer.Report, sent, now)
		o.heard(target.ID, answer, now)
		o.coverLease(target.ID, now)
		o.deps.Metrics.observeReport(now.Sub(sent))
		o.change()
		return true
	case bwschedule.OtherIncarnation:
		o.scheduler.Restarted(target.ID)
		o.change()
	default:
		if e := o.scheduler.Executor(target.ID); e != nil {
			e.MissedReport()
		}
	}
	return false
}
