package bwrelay

import (
	"fmt"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
)

// maxCallTimeout bounds the time for which a relay works on a call.
const maxCallTimeout = 5 * time.Second

func encodeRenewal(r bwowner.LeaseRenewal) *Renewal {
	return &Renewal{LeaseUntil: r.LeaseUntil, AckedUpTo: r.AckedUpTo, MaxWaitMillis: r.MaxWait.Milliseconds()}
}

func (r *Renewal) decode(fence int64) bwowner.LeaseRenewal {
	return bwowner.LeaseRenewal{
		Fence:      fence,
		LeaseUntil: r.GetLeaseUntil(),
		AckedUpTo:  r.GetAckedUpTo(),
		MaxWait:    time.Duration(r.GetMaxWaitMillis()) * time.Millisecond,
	}
}

// encodeOrder encodes an order without its payload.
func encodeOrder(o bwschedule.Order, leaseUntil int64) *Order {
	return &Order{
		Kind:       int32(o.Kind),
		Task:       encodeTask(o.Task),
		Run:        int64(o.Run),
		Checkpoint: o.Checkpoint,
		Ticket:     o.Ticket,
		Percent:    int32(o.Percent),
		LeaseUntil: leaseUntil,
	}
}

func (o *Order) decode(executor string, payloads []string) (bwschedule.Order, error) {
	kind := bwschedule.OrderKind(o.GetKind())
	if kind < bwschedule.Start || kind > bwschedule.Pace {
		return bwschedule.Order{}, fmt.Errorf("order is of unknown kind %d", o.GetKind())
	}
	position := int(o.GetPayload())
	if position < 0 || position > len(payloads) {
		return bwschedule.Order{}, fmt.Errorf("order has payload %d of %d", position, len(payloads))
	}
	order := bwschedule.Order{
		Kind:       kind,
		Executor:   executor,
		Task:       o.GetTask().decode(),
		Run:        int(o.GetRun()),
		Checkpoint: o.GetCheckpoint(),
		Ticket:     o.GetTicket(),
		Percent:    int(o.GetPercent()),
	}
	if position > 0 {
		order.Payload = payloads[position-1]
	}
	return order, nil
}

func encodeTask(id bwjob.TaskID) *Task {
	return &Task{Job: id.Job, Occurrence: int32(id.Occurrence), Step: int32(id.Step), Index: int32(id.Index)}
}

func (t *Task) decode() bwjob.TaskID {
	return bwjob.TaskID{Job: t.GetJob(), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func encodeReply(id uint64, r bwowner.ExecutorReply, hasReport bool) *Reply {
	reply := &Reply{Id: id, Result: int32(r.Result), Clock: r.Clock}
	if !hasReport {
		return reply
	}
	reply.Report = &Report{Incarnation: r.Report.Incarnation}
	for _, s := range r.Report.Running {
		reply.Report.Running = append(reply.Report.Running, &Running{
			Task: encodeTask(s.Task), Run: int64(s.Run), Checkpoint: s.Checkpoint, Percent: int32(s.Percent), Load: int32(s.Load)})
	}
	for _, e := range r.Report.Ended {
		reply.Report.Ended = append(reply.Report.Ended, &End{
			Number: e.Number, Task: encodeTask(e.Task), Run: int64(e.Run), Kind: int32(e.Kind), Checkpoint: e.Checkpoint})
	}
	return reply
}

// decode returns the reply of an executor. A result that this version does not know makes no claim about
// the call.
func (r *Reply) decode() bwowner.ExecutorReply {
	result := bwschedule.Result(r.GetResult())
	if result < bwschedule.Unanswered || result > bwschedule.Invalid {
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	reply := bwowner.ExecutorReply{Result: result, Clock: r.GetClock()}
	reply.Report.Incarnation = r.GetReport().GetIncarnation()
	for _, s := range r.GetReport().GetRunning() {
		reply.Report.Running = append(reply.Report.Running, bwexecutor.RunStatus{
			Task: s.GetTask().decode(), Run: int(s.GetRun()), Checkpoint: s.GetCheckpoint(), Percent: int(s.GetPercent()), Load: int(s.GetLoad())})
	}
	for _, e := range r.GetReport().GetEnded() {
		kind := bwjob.EndKind(e.GetKind())
		if kind < bwjob.EndUnknown || kind > bwjob.EndGangIncomplete {
			kind = bwjob.EndUnknown
		}
		reply.Report.Ended = append(reply.Report.Ended, bwexecutor.NumberedEnd{
			Number: e.GetNumber(), End: bwjob.End{Task: e.GetTask().decode(), Run: int(e.GetRun()), Kind: kind, Checkpoint: e.GetCheckpoint()}})
	}
	return reply
}

func (c *Call) timeout() time.Duration {
	return min(time.Duration(c.GetTimeoutMillis())*time.Millisecond, maxCallTimeout)
}
