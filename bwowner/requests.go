package bwowner

import (
	"context"
	"slices"
	"time"

	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmaintenance"
)

// Verdict is the outcome of a request about a job.
type Verdict int

// The verdicts.
const (
	// Unknown means that the request may have taken effect.
	Unknown Verdict = iota
	OK
	// Refused means that the request has not taken effect and will not.
	Refused
	// Absent means that there is no such job.
	Absent
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"unknown", "ok", "refused", "absent"}[v]
}

// Reply is the reply to a request about a job. Reason explains a verdict of Refused or
// Unknown.
type Reply struct {
	Verdict    Verdict
	State      State
	Reason     string
	RetryAfter time.Duration
	// Fence is the fencing token of the owner for which the job is absent, or else 0.
	Fence int64
}

// State is the state of a job as callers see it.
type State int

// The states of a job.
const (
	Queued State = iota
	Running
	Done
	Failed
	Cancelled
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"queued", "running", "done", "failed", "cancelled"}[s]
}

const (
	// ShortRetryDelay is the delay after which a caller may retry when the interruption is
	// short, such as a change of the pool's owner.
	ShortRetryDelay = 500 * time.Millisecond
	// storeRetryDelay is the delay after which a caller may retry when the store is unavailable.
	storeRetryDelay = time.Second
	// maxQueueDelay is the delay of queued writes from which submissions are refused. A caller
	// that has to wait much longer leaves before its job is stored, which then runs in vain.
	maxQueueDelay = 700 * time.Millisecond
)

// unexpectedErrorReply is the reply to a request that an unexpected error has interrupted.
var unexpectedErrorReply = Reply{Verdict: Unknown, Reason: "unexpected error"}

// submission is a submitted job whose record is being stored. reply is set before done is
// closed.
type submission struct {
	job    *bwjob.Job
	record []byte
	done   chan struct{}
	reply  Reply
	// outdated counts the attempts that failed because the placements had changed.
	outdated int
}

// Submit stores a job and returns once the outcome of the write is known or ctx is done. It
// is idempotent: submitting a known job again succeeds and changes nothing.
func (o *Owner) Submit(ctx context.Context, spec *bwjob.Spec) Reply {
	var s *submission
	reply := unexpectedErrorReply
	o.contain("submit", func() { s, reply = o.enqueueSubmission(spec) }, "job", spec.ID)
	if s == nil {
		return reply
	}
	select {
	case <-s.done:
		return s.reply
	case <-ctx.Done():
		return Reply{Verdict: Unknown, Reason: "the store has not answered"}
	}
}

// enqueueSubmission queues the write of a new job's record. It returns a nil submission if
// the reply is known immediately.
func (o *Owner) enqueueSubmission(spec *bwjob.Spec) (*submission, Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.checkServing(); !ok {
		return nil, reply
	}
	if o.scheduler.Job(spec.ID) != nil {
		return nil, Reply{Verdict: OK}
	}
	if s := o.pendingSubmissions[spec.ID]; s != nil {
		return s, Reply{}
	}
	if o.unreadable[spec.ID] {
		return nil, Reply{Verdict: Unknown, Reason: "stored record of the job cannot be read"}
	}
	now := o.deps.Clock.Now()
	if o.committer.IsFailing(now) {
		return nil, Reply{Verdict: Refused, Reason: "store does not take writes", RetryAfter: storeRetryDelay}
	}
	if o.committer.QueueDelay(now) >= maxQueueDelay {
		return nil, Reply{Verdict: Refused, Reason: "writes are delayed", RetryAfter: storeRetryDelay}
	}
	j := bwjob.New(spec, now)
	value, err := j.Encode()
	if err != nil {
		o.log.Error("cannot encode job record", "job", spec.ID, "error", err.Error())
		return nil, Reply{Verdict: Refused, Reason: "job cannot be encoded", RetryAfter: storeRetryDelay}
	}
	s := &submission{job: j, record: value, done: make(chan struct{})}
	o.pendingSubmissions[spec.ID] = s
	o.placeSubmission(s)
	return s, Reply{}
}

// storeSubmission queues the write of a new job's record, which depends on the expected revisions. The caller
// holds the lock.
func (o *Owner) storeSubmission(s *submission, versions, owners []bwkv.Expectation) {
	o.committer.Add(append(o.placementWrites(s.job.Spec(), versions), bwcommit.Write{
		Key:       JobPrefix(o.ownership.Pool) + s.job.ID(),
		Value:     s.record,
		CanReject: true,
		Expected:  slices.Concat(versions, owners),
		Done:      func(outcome bwcommit.WriteOutcome) { o.finishSubmission(s, outcome) },
	})...)
}

// checkServing returns false and the reply to send if this owner cannot serve requests now.
func (o *Owner) checkServing() (Reply, bool) {
	if !o.isReady || o.isStopping || o.ctx.Err() != nil || !o.deps.IsOwnershipConfirmed() {
		return Reply{Verdict: Refused, Reason: "pool changes its owner", RetryAfter: ShortRetryDelay}, false
	}
	return Reply{}, true
}

// finishSubmission completes a submission: it hands a stored job to the scheduler and sets
// the reply according to the outcome of the write.
func (o *Owner) finishSubmission(s *submission, outcome bwcommit.WriteOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome {
	case bwcommit.Stored:
		delete(o.yielded, s.job.ID())
		o.scheduler.Submit(s.job)
		o.completeSubmission(s, Reply{Verdict: OK})
	case bwcommit.Outdated:
		s.outdated++
		o.spawn("placeAgain", func() { o.placeAgain(s) }, "job", s.job.ID())
	case bwcommit.NotStored:
		o.completeSubmission(s, Reply{Verdict: Refused, Reason: "store does not take writes", RetryAfter: storeRetryDelay})
	default:
		o.completeSubmission(s, Reply{Verdict: Unknown, Reason: "the store has not answered"})
	}
}

// completeSubmission ends a submission with a reply. The caller holds the lock.
func (o *Owner) completeSubmission(s *submission, reply Reply) {
	j := s.job
	delete(o.pendingSubmissions, j.ID())
	s.reply = reply
	o.log.Info("job submitted", "job", j.ID(), "queue", j.Spec().Queue, "verdict", reply.Verdict.String(),
		"reason", reply.Reason, "took", o.deps.Clock.Now().Sub(j.AcceptedAt()).String())
	close(s.done)
	o.requestPass()
}

// findJob returns a job of a queue, or nil.
func (o *Owner) findJob(q bwfleet.Queue, id string) *bwjob.Job {
	if j := o.scheduler.Job(id); j != nil && j.IsOf(q) {
		return j
	}
	return nil
}

// State returns the state of a job.
func (o *Owner) State(q bwfleet.Queue, id string) Reply {
	reply := unexpectedErrorReply
	o.contain("state", func() { reply = o.state(q, id) }, "job", id)
	return reply
}

func (o *Owner) state(q bwfleet.Queue, id string) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.checkServing(); !ok {
		return reply
	}
	j := o.findJob(q, id)
	if j == nil {
		return o.absentReply(id)
	}
	return Reply{Verdict: OK, State: o.stateOf(j)}
}

// absentReply returns the reply for a job that this owner does not know. It reports the job
// as absent only if the job is not being submitted and this process is certain to own the
// pool still.
func (o *Owner) absentReply(id string) Reply {
	if o.unreadable[id] {
		return Reply{Verdict: Refused, Reason: "stored record of the job cannot be read", RetryAfter: ShortRetryDelay}
	}
	if o.pendingSubmissions[id] != nil || !o.deps.IsOwnershipFresh() {
		return Reply{Verdict: Refused, Reason: "not certain to own the pool", RetryAfter: ShortRetryDelay}
	}
	return Reply{Verdict: Absent, Fence: o.ownership.Fence}
}

// stateOf returns the job's state as callers see it. A job that has ended is reported as
// running until its final state is stored.
func (o *Owner) stateOf(j *bwjob.Job) State {
	isStored := o.isStored(j.ID())
	switch {
	case j.IsActive() && !j.HasStarted():
		return Queued
	case j.IsActive() || !isStored:
		return Running
	case j.Phase() == bwjob.Phase_done:
		return Done
	case j.Phase() == bwjob.Phase_failed:
		return Failed
	default:
		return Cancelled
	}
}

// isStored reports whether the store holds the job's current record.
func (o *Owner) isStored(id string) bool {
	return o.unstoredWrites[id] == 0 && !o.scheduler.IsDirty(id)
}

// Cancel ends a job and returns once that is stored, its outcome is unknown or ctx is done.
func (o *Owner) Cancel(ctx context.Context, q bwfleet.Queue, id string) Reply {
	var stored chan bwcommit.WriteOutcome
	reply := unexpectedErrorReply
	o.contain("cancel", func() { stored, reply = o.enqueueCancel(q, id) }, "job", id)
	if stored == nil {
		return reply
	}
	select {
	case outcome := <-stored:
		if outcome == bwcommit.Stored {
			return Reply{Verdict: OK, State: Cancelled}
		}
		return Reply{Verdict: Unknown, Reason: "the store has not answered"}
	case <-ctx.Done():
		return Reply{Verdict: Unknown, Reason: "the store has not answered"}
	}
}

// enqueueCancel cancels the job and queues the write of its record. It returns a nil channel
// if the reply is known immediately.
func (o *Owner) enqueueCancel(q bwfleet.Queue, id string) (chan bwcommit.WriteOutcome, Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.checkServing(); !ok {
		return nil, reply
	}
	j := o.findJob(q, id)
	if j == nil {
		return nil, o.absentReply(id)
	}
	if !j.IsActive() && o.isStored(id) {
		return nil, Reply{Verdict: OK, State: o.stateOf(j)}
	}
	now := o.deps.Clock.Now()
	o.scheduler.Cancel(j, now)
	o.log.Info("job cancelled", "job", id, "queue", q.Name)
	w, ok := o.newRecordWrite(j)
	if !ok {
		return nil, Reply{Verdict: Unknown, Reason: "job cannot be encoded"}
	}
	stored := make(chan bwcommit.WriteOutcome, 1)
	recordDone := w.Done
	w.Done = func(outcome bwcommit.WriteOutcome) {
		recordDone(outcome)
		stored <- outcome
	}
	o.committer.Add(w)
	o.requestPass()
	return stored, Reply{}
}

// Pending returns the number of a queue's jobs that have not started. It returns false if
// this owner cannot serve requests now.
func (o *Owner) Pending(q bwfleet.Queue) (pending int, known bool) {
	o.contain("pending", func() { pending, known = o.countPending(q) })
	return pending, known
}

func (o *Owner) countPending(q bwfleet.Queue) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.checkServing(); !ok {
		return 0, false
	}
	pending := o.scheduler.CountPendingJobs(q)
	_, active := o.scheduler.CountJobs()
	o.log.Info("pending jobs counted", "queue", q.Name, "pending", pending, "active", active)
	return pending, true
}

// Survey summarizes the pool's state for the host coordinator (package bwmaintenance). It
// returns false if this owner cannot serve requests now.
func (o *Owner) Survey() (survey bwmaintenance.Survey, known bool) {
	o.contain("survey", func() { survey, known = o.survey() })
	return survey, known
}

func (o *Owner) survey() (bwmaintenance.Survey, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.checkServing(); !ok {
		return bwmaintenance.Survey{}, false
	}
	survey := o.scheduler.Survey(o.deps.Clock.Now())
	survey.Fence = o.ownership.Fence
	return survey, true
}

// Cordon cordons an executor for the duration d: no new tasks are placed on it, and its
// long-running tasks are evicted. It reports whether the executor is certain to run nothing.
func (o *Owner) Cordon(executor string, d time.Duration) (isEmpty bool) {
	o.contain("cordon", func() { isEmpty = o.cordon(executor, d) }, "executor", executor)
	return isEmpty
}

func (o *Owner) cordon(executor string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.checkServing(); !ok {
		return false
	}
	return o.scheduler.Cordon(executor, o.deps.Clock.Now().Add(d))
}
