package bwowner

import (
	"context"
	"time"

	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwupkeep"
)

// Verdict is the answer to a request about a job.
type Verdict int

// The verdicts.
const (
	// Unknown requests may have taken effect.
	Unknown Verdict = iota
	OK
	// Refused requests have not taken effect and will not.
	Refused
	// Absent means that there is no such job.
	Absent
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"unknown", "ok", "refused", "absent"}[v]
}

// Reply is the answer to a request about a job, with the reason for a refusal.
type Reply struct {
	Verdict Verdict
	// State is the job's state as callers see it.
	State      State
	Reason     string
	RetryAfter time.Duration
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
	// RetrySoon is when a caller may try again after a short interruption, such as a pool
	// that changes its owner.
	RetrySoon = 500 * time.Millisecond
	// retryStore is when a caller may try again while the store is away.
	retryStore = time.Second
)

// submission is a job whose record is being stored.
type submission struct {
	done  chan struct{}
	reply Reply
}

// Submit stores a job and answers once that is certain. A job that is known already is
// accepted again without another effect.
func (o *Owner) Submit(ctx context.Context, spec *bwjob.Spec) Reply {
	s, reply := o.enqueue(spec)
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

// enqueue hands a new job's record to the log. It returns no submission when the answer is
// known at once.
func (o *Owner) enqueue(spec *bwjob.Spec) (*submission, Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.refusal(); !ok {
		return nil, reply
	}
	if o.scheduler.Job(spec.ID) != nil {
		return nil, Reply{Verdict: OK}
	}
	if s := o.submitting[spec.ID]; s != nil {
		return s, Reply{}
	}
	now := o.deps.Clock.Now()
	if o.commits.IsFailing(now) {
		return nil, Reply{Verdict: Refused, Reason: "store does not take writes", RetryAfter: retryStore}
	}
	j := bwjob.New(spec, now)
	value, err := j.Encode()
	if err != nil {
		o.log.Error("job cannot be encoded", "job", spec.ID, "error", err.Error())
		return nil, Reply{Verdict: Refused, Reason: "job cannot be encoded", RetryAfter: retryStore}
	}
	s := &submission{done: make(chan struct{})}
	o.submitting[spec.ID] = s
	o.commits.Add(bwcommit.Write{Key: JobPrefix(o.ownership.Pool) + spec.ID, Value: value, CanRefuse: true, Done: func(f bwcommit.Fate) {
		o.submitted(j, s, f)
	}})
	return s, Reply{}
}

// refusal answers requests that this owner cannot handle.
func (o *Owner) refusal() (Reply, bool) {
	if !o.isReady || o.isStopping || o.ctx.Err() != nil || !o.deps.IsConfirmed() {
		return Reply{Verdict: Refused, Reason: "pool changes its owner", RetryAfter: RetrySoon}, false
	}
	return Reply{}, true
}

// submitted takes in the fate of a new job's record.
func (o *Owner) submitted(j *bwjob.Job, s *submission, f bwcommit.Fate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.submitting, j.ID())
	switch f {
	case bwcommit.Stored:
		o.scheduler.Submit(j)
		s.reply = Reply{Verdict: OK}
	case bwcommit.NotStored:
		s.reply = Reply{Verdict: Refused, Reason: "store does not take writes", RetryAfter: retryStore}
	default:
		s.reply = Reply{Verdict: Unknown, Reason: "the store has not answered"}
	}
	o.log.Info("job submitted", "job", j.ID(), "queue", j.Spec().Queue, "verdict", s.reply.Verdict.String(),
		"took", o.deps.Clock.Now().Sub(j.AcceptedAt()).String())
	close(s.done)
	o.change()
}

// State returns the state of a job.
func (o *Owner) State(queue, id string) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.refusal(); !ok {
		return reply
	}
	j := o.scheduler.Job(id)
	if j == nil || j.Spec().Queue != queue {
		return o.absence(id)
	}
	return Reply{Verdict: OK, State: o.stateOf(j)}
}

// absence answers for a job that this owner does not know. It only says that there is none
// when it is sure to be the owner still.
func (o *Owner) absence(id string) Reply {
	if o.submitting[id] != nil || !o.deps.IsFresh() {
		return Reply{Verdict: Refused, Reason: "not certain to own the pool", RetryAfter: RetrySoon}
	}
	return Reply{Verdict: Absent}
}

// stateOf returns the state that is stored: an end that is not yet stored does not show.
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

// isStored reports whether the store has the job as it is.
func (o *Owner) isStored(id string) bool { return o.unstored[id] == 0 && !o.scheduler.IsDirty(id) }

// Cancel ends a job and answers once that is stored.
func (o *Owner) Cancel(ctx context.Context, queue, id string) Reply {
	stored, reply := o.enqueueCancel(queue, id)
	if stored == nil {
		return reply
	}
	select {
	case f := <-stored:
		if f == bwcommit.Stored {
			return Reply{Verdict: OK, State: Cancelled}
		}
		return Reply{Verdict: Unknown, Reason: "the store has not answered"}
	case <-ctx.Done():
		return Reply{Verdict: Unknown, Reason: "the store has not answered"}
	}
}

func (o *Owner) enqueueCancel(queue, id string) (chan bwcommit.Fate, Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply, ok := o.refusal(); !ok {
		return nil, reply
	}
	j := o.scheduler.Job(id)
	if j == nil || j.Spec().Queue != queue {
		return nil, o.absence(id)
	}
	if !j.IsActive() && o.isStored(id) {
		return nil, Reply{Verdict: OK, State: o.stateOf(j)}
	}
	now := o.deps.Clock.Now()
	o.scheduler.Cancel(j, now)
	o.log.Info("job cancelled", "job", id, "queue", queue)
	w, ok := o.recordWrite(j)
	if !ok {
		return nil, Reply{Verdict: Unknown, Reason: "job cannot be encoded"}
	}
	stored := make(chan bwcommit.Fate, 1)
	note := w.Done
	w.Done = func(f bwcommit.Fate) {
		note(f)
		stored <- f
	}
	o.commits.Add(w)
	o.change()
	return stored, Reply{}
}

// Pending returns the number of a queue's jobs that have not started.
func (o *Owner) Pending(queue string) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.refusal(); !ok {
		return 0, false
	}
	return o.scheduler.CountPendingJobs(queue), true
}

// Survey tells the duty for hosts what the pool does.
func (o *Owner) Survey() (bwupkeep.Survey, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.refusal(); !ok {
		return bwupkeep.Survey{}, false
	}
	survey := o.scheduler.Survey(o.deps.Clock.Now())
	survey.Fence = o.ownership.Fence
	return survey, true
}

// Cordon keeps new tasks from an executor for a while and empties it. It reports whether it
// is certain to run nothing.
func (o *Owner) Cordon(executor string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.refusal(); !ok {
		return false
	}
	return o.scheduler.Cordon(executor, o.deps.Clock.Now().Add(d))
}
