package bwowner

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwschedule"
)

const (
	// maxReportWait is how long an executor may delay its report until a run ends.
	maxReportWait = 1000 * time.Millisecond
	// reportMargin is added to the executor's wait to get the timeout of a lease renewal. It
	// covers the round trip; a connection that has stopped responding is detected after it.
	reportMargin = 500 * time.Millisecond
	// normalReportInterval is the minimum time between two reports of an executor. It batches
	// ends of runs that are close together, because each report has a cost.
	// backlogReportInterval applies while tasks wait for capacity, when ends need to be known
	// sooner.
	normalReportInterval  = 120 * time.Millisecond
	backlogReportInterval = 40 * time.Millisecond
	// maxReportsPerSecond limits the reports of all executors of a pool together, so that most
	// of the host's CPU time remains for orders. A report takes 28 to 41 us, including
	// the executor's side (BenchmarkRenewLease in package platform).
	maxReportsPerSecond = 600
	// maxRelayedReportsPerSecond is the same limit while relays send the reports of many executors
	// in one message.
	maxRelayedReportsPerSecond = 2000
	// probeInterval is the minimum time between reports that are requested without a wait,
	// to learn the state of an indeterminate run, such as after an unanswered start order.
	probeInterval = 120 * time.Millisecond
	// failedReportInterval is the minimum time between lease renewals after one failed.
	failedReportInterval = 200 * time.Millisecond
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
	wake   chan struct{}

	mu       sync.Mutex
	queue    []bwschedule.Order
	inFlight int
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
	s := &session{owner: o, target: target, wake: make(chan struct{}, orderWorkers)}
	s.ctx, s.cancel = context.WithCancel(o.ctx)
	o.sessions[target.ID] = s
	o.spawn("reports", s.pollReports, "executor", target.ID)
	for range orderWorkers {
		o.spawn("orders", s.sendOrders, "executor", target.ID)
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
	unsent := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, order := range unsent {
		o.scheduler.HandleResult(order, bwschedule.NotSent, o.deps.Clock.Now(), "why", "session has ended")
	}
}

func (s *session) enqueue(order bwschedule.Order) {
	s.mu.Lock()
	s.queue = append(s.queue, order)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight > 0 || len(s.queue) > 0
}

func (s *session) dequeue() (bwschedule.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return bwschedule.Order{}, false
	}
	order := s.queue[0]
	s.queue = s.queue[1:]
	s.inFlight++
	return order, true
}

// sendOrders sends queued orders until the session ends.
func (s *session) sendOrders() {
	for {
		order, ok := s.dequeue()
		if !ok {
			select {
			case <-s.ctx.Done():
				return
			case <-s.wake:
			}
			continue
		}
		s.send(order)
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}
}

func (s *session) send(order bwschedule.Order) {
	o := s.owner
	leaseUntil, refusal := s.prepareSend(order)
	if refusal.Result != bwschedule.Accepted {
		o.finishOrder(order, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout)
	defer cancel()
	ctx = bwhttp.WithPermit(ctx, func() bool { return s.mayStillSend(order) })
	sent := o.deps.Clock.Now()
	reply := o.deps.Executors.Order(ctx, s.target, order, o.ownership.Fence, leaseUntil)
	o.deps.Metrics.observeOrder(order.Kind, reply.Result, o.deps.Clock.Now().Sub(sent))
	if reply.Result == bwschedule.Fenced {
		o.loseOwnership("executor " + s.target.ID + " has seen a newer fencing token")
	}
	o.finishOrder(order, reply)
}

// prepareSend returns a reply of Accepted if the order may still be sent, or else its result with the reason. For a
// start order it also returns the end of the lease to send with it.
func (s *session) prepareSend(order bwschedule.Order) (int64, ExecutorReply) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil || s.ctx.Err() != nil {
		return 0, notSent("owner or session has ended")
	}
	now := o.deps.Clock.Now()
	if !o.isOrderCurrent(order, now) {
		return 0, notSent("ownership is not confirmed or the order is no longer wanted")
	}
	if order.Kind != bwschedule.Start {
		return 0, ExecutorReply{Result: bwschedule.Accepted}
	}
	e := o.scheduler.Executor(s.target.ID)
	if e.IsOverCapacity() {
		// The capacity has shrunk since the task was placed.
		return 0, ExecutorReply{Result: bwschedule.InsufficientCapacity, Reason: "capacity has shrunk"}
	}
	leaseUntil, ok := e.ExtendLease(now, o.settings.LeaseLength)
	if !ok {
		return 0, notSent("clock of the executor is not known")
	}
	o.scheduler.RecordStartLease(order, leaseUntil)
	return leaseUntil, ExecutorReply{Result: bwschedule.Accepted}
}

func notSent(reason string) ExecutorReply {
	return ExecutorReply{Result: bwschedule.NotSent, Reason: reason}
}

// mayStillSend reports whether an order may be sent once it has a connection. The process may have been
// paused, or have lost the pool, since prepareSend.
func (s *session) mayStillSend(order bwschedule.Order) bool {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctx.Err() == nil && s.ctx.Err() == nil && o.isOrderCurrent(order, o.deps.Clock.Now())
}

// isOrderCurrent reports whether this process may still act for the pool and the reason of an order holds.
// The caller holds the lock.
func (o *Owner) isOrderCurrent(order bwschedule.Order, now bwclock.Time) bool {
	if !o.deps.IsOwnershipConfirmed() {
		return false
	}
	switch order.Kind {
	case bwschedule.Start:
		return !o.isStopping && o.isRunCurrent(order)
	case bwschedule.Stop:
		return o.scheduler.IsStopWanted(order, now)
	default:
		return true
	}
}

// isRunCurrent reports whether the run of a start order is still recorded, not orphaned, and ordered from the
// incarnation that last reported.
func (o *Owner) isRunCurrent(order bwschedule.Order) bool {
	e := o.scheduler.Executor(order.Executor)
	if e == nil {
		return false
	}
	r := e.Run(order.Task)
	return r != nil && r.Number == order.Run && !r.IsOrphaned && r.Phase == bwexecutor.Starting
}

// finishOrder passes the result of an order to the scheduler. The clock in the reply is not used: it may be that of
// an earlier incarnation, which only reports name.
func (o *Owner) finishOrder(order bwschedule.Order, reply ExecutorReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	if reply.Result == bwschedule.Accepted {
		o.scheduler.HandleResult(order, reply.Result, now)
		return
	}
	o.scheduler.HandleResult(order, reply.Result, now, "why", reply.Reason)
	o.requestPass()
}

// observeClock updates the scheduler's estimate of an executor's clock from a reply with a report.
func (o *Owner) observeClock(id string, reply ExecutorReply, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil && reply.Clock > 0 {
		e.SyncClock(reply.Clock, now)
	}
}

// pollReports renews the executor's lease and reads its reports until the session ends.
func (s *session) pollReports() {
	isFirst := true
	isUnreachable := false
	incarnation := int64(0)
	for s.ctx.Err() == nil {
		renewal := s.nextLeaseRenewal(isFirst)
		timeout := renewal.MaxWait + reportMargin
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		sent := s.owner.deps.Clock.Now()
		reply := s.owner.deps.Executors.RenewLease(ctx, s.target, renewal)
		cancel()
		if s.ctx.Err() != nil {
			return
		}
		isLate := s.owner.deps.Clock.Now().Sub(sent) > timeout
		reply = s.checkEvidence(reply, isLate, incarnation)
		ok := s.owner.handleRenewalReply(s.target, reply, sent)
		if ok {
			incarnation = reply.Report.Incarnation
		}
		if ok == isUnreachable {
			isUnreachable = !ok
			s.logReachability(reply, ok, sent)
		}
		isFirst = !ok
		s.waitForNextReport(ok, renewal.MaxWait, sent)
	}
}

// checkEvidence returns a reply, or an unanswered one if what it says of the executor may not hold any more.
// incarnation is that of the session's latest report.
func (s *session) checkEvidence(reply ExecutorReply, isLate bool, incarnation int64) ExecutorReply {
	switch {
	case reply.Result == bwschedule.Accepted && isLate:
		// The process was paused. The executor may have restarted since it wrote the report.
		return ExecutorReply{Result: bwschedule.Unanswered, Reason: "reply was read after its timeout"}
	case reply.Result == bwschedule.Accepted && reply.Report.Incarnation == incarnation:
		return reply
	case reply.Result == bwschedule.Accepted, reply.Result == bwschedule.OtherIncarnation:
		return s.owner.confirmRestart(s.ctx, s.target.ID, reply)
	default:
		return reply
	}
}

// assumeFullLease records a lease of full length from now, the longest that this or a
// previous owner may have granted to the executor. The caller holds the lock.
func (o *Owner) assumeFullLease(id string, now bwclock.Time) {
	if e := o.scheduler.Executor(id); e != nil {
		e.ExtendLease(now, o.settings.LeaseLength)
	}
}

// logReachability logs that the executor has become reachable or unreachable.
func (s *session) logReachability(reply ExecutorReply, ok bool, sent bwclock.Time) {
	if ok {
		s.owner.log.Info("executor answers again", "executor", s.target.ID)
		return
	}
	s.owner.log.Warn("executor does not answer", "executor", s.target.ID, "address", s.target.Address,
		"result", reply.Result.String(), "why", reply.Reason, "after", s.owner.deps.Clock.Now().Sub(sent).String())
}

// waitForNextReport sleeps until the next report is due.
func (s *session) waitForNextReport(ok bool, wait time.Duration, sent bwclock.Time) {
	var d time.Duration
	switch {
	case !ok:
		d = failedReportInterval
	case wait == 0:
		d = probeInterval
	default:
		d = s.owner.minReportInterval()
	}
	bwclock.Sleep(s.ctx, d-s.owner.deps.Clock.Now().Sub(sent))
}

// minReportInterval returns the current minimum time between two reports of an executor.
func (o *Owner) minReportInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := normalReportInterval
	if o.scheduler.HasUnplacedTasks() {
		d = backlogReportInterval
	}
	perSecond := maxReportsPerSecond
	if o.deps.IsRelayed != nil && o.deps.IsRelayed() {
		perSecond = maxRelayedReportsPerSecond
	}
	return max(d, time.Duration(len(o.sessions))*time.Second/time.Duration(perSecond))
}

// nextLeaseRenewal returns the next lease renewal. The first request, and the first after a
// failure, may reach another incarnation of the executor, whose clock and end record
// numbers are not known. It therefore acknowledges no end records and extends no lease.
func (s *session) nextLeaseRenewal(isFirst bool) LeaseRenewal {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	renewal := LeaseRenewal{Fence: o.ownership.Fence}
	e := o.scheduler.Executor(s.target.ID)
	if e == nil {
		return renewal
	}
	if isFirst || !e.HasReported() {
		return renewal
	}
	renewal.AckedUpTo = e.LastAckedEnd()
	if !o.scheduler.NeedsReport(s.target.ID) {
		renewal.MaxWait = maxReportWait
	}
	// The process may be paused after the check, so the lease counts from before it.
	now := o.deps.Clock.Now()
	if o.deps.IsOwnershipConfirmed() {
		renewal.LeaseUntil, _ = e.ExtendLease(now, o.settings.LeaseLength)
	}
	return renewal
}

// handleRenewalReply processes the reply to a lease renewal and reports whether it contained
// a report.
func (o *Owner) handleRenewalReply(target Target, reply ExecutorReply, sent bwclock.Time) bool {
	if reply.Result == bwschedule.Fenced {
		o.loseOwnership("executor " + target.ID + " has seen a newer fencing token")
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.deps.Clock.Now()
	switch reply.Result {
	case bwschedule.Accepted:
		o.handleReport(target.ID, reply.Report, sent, now)
		o.observeClock(target.ID, reply, now)
		o.assumeFullLease(target.ID, now)
		o.deps.Metrics.observeReport(now.Sub(sent))
		o.requestPass()
		return true
	case bwschedule.OtherIncarnation:
		o.scheduler.HandleRestart(target.ID, now)
		o.relistIfHeld(target.ID)
		o.requestPass()
	default:
		if e := o.scheduler.Executor(target.ID); e != nil {
			e.RecordMissedReport()
		}
	}
	return false
}

// handleReport passes a report to the scheduler. A new incarnation gets no tasks until the ownership is confirmed.
// The caller holds the lock.
func (o *Owner) handleReport(id string, r bwexecutor.Report, sent, now bwclock.Time) {
	o.scheduler.HandleReport(id, r, sent, now)
	o.relistIfHeld(id)
	if e := o.scheduler.Executor(id); e != nil && o.ownedAt.Before(e.ReportedSince()) {
		e.SetAdmitted(false)
		o.hasNewIncarnation = true
		o.confirmIfNeeded(now)
	}
}
