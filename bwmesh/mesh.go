// Package bwmesh implements RPC between the nodes of the job scheduler over drpc.
//
// Any node accepts a caller's request and forwards it to the owner of the pool. Every call
// is idempotent: a repeated submission has the same job id, and a repeated cancellation has
// the same effect. A call that gets no reply is therefore retried over a new connection
// while the caller waits.
package bwmesh

import (
	"context"
	"errors"
	"net"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmaintenance"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwrelay"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
)

const (
	// minAttemptTimeout bounds one attempt of a call to a node that replies quickly. It limits how
	// long an unresponsive connection delays a request, and leaves enough time for a slow reply
	// of the store.
	minAttemptTimeout = 900 * time.Millisecond
	// retryDelay is the minimum time between the starts of two attempts of a call. The second attempt follows at
	// once, because the connection may have broken before the first.
	retryDelay = 50 * time.Millisecond
	// pingTimeout is several times the latency between data centres.
	pingTimeout = 400 * time.Millisecond
)

// Mesh calls other nodes. It is safe for concurrent use.
type Mesh struct {
	connections *bwpeer.ConnPool
	replyTimes  *replyTimes
}

// New returns a Mesh that opens its connections with dial.
func New(dial bwpeer.Dialer) *Mesh {
	return &Mesh{connections: bwpeer.NewConnPool(dial), replyTimes: newReplyTimes()}
}

// Close closes the idle connections.
func (m *Mesh) Close() { m.connections.Close() }

// Services are what a node serves to other nodes.
type Services struct {
	Node DRPCNodeServer
	// Relay is nil if the node is no relay.
	Relay bwrelay.DRPCRelayServer
}

// Serve serves the calls of other nodes on l until ctx is done. A call that panics gets an error.
func Serve(ctx context.Context, l net.Listener, s Services, guard *bwpanic.Guard) error {
	mux := drpcmux.New()
	if err := DRPCRegisterNode(mux, s.Node); err != nil {
		return err
	}
	if s.Relay != nil {
		if err := bwrelay.DRPCRegisterRelay(mux, s.Relay); err != nil {
			return err
		}
	}
	return bwpeer.ServeMux(ctx, l, guardedHandler{Handler: mux, guard: guard})
}

// guardedHandler answers a call that panics with an error, so that the process and its other calls go on.
type guardedHandler struct {
	drpc.Handler
	guard *bwpanic.Guard
}

// HandleRPC implements drpc.Handler.
func (h guardedHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	if !h.guard.Run("call", func() { err = h.Handler.HandleRPC(stream, rpc) }, "rpc", rpc) {
		return errors.New("unexpected error")
	}
	return err
}

// Conn returns a connection to a node, which is opened with its first call.
func (m *Mesh) Conn(ctx context.Context, address string) drpc.Conn {
	return m.connections.Conn(ctx, address)
}

// Ping returns a node's incarnation, its active pools and whether it reaches the store.
func (m *Mesh) Ping(ctx context.Context, address string) (*PingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).Ping(ctx, &PingRequest{})
	if err != nil {
		m.connections.CloseIdle(address)
	}
	return reply, err
}

func (m *Mesh) client(ctx context.Context, address string) DRPCNodeClient {
	return NewDRPCNodeClient(m.connections.Conn(ctx, address))
}

type jobCall func(ctx context.Context, c DRPCNodeClient) (*JobReply, error)

// Submit forwards a job to the owner of its pool.
func (m *Mesh) Submit(ctx context.Context, address, pool string, record []byte) bwowner.Reply {
	r := &JobRequest{Pool: pool, Record: record}
	return m.callWithRetry(ctx, address, func(ctx context.Context, c DRPCNodeClient) (*JobReply, error) { return c.Submit(ctx, r) })
}

// State requests the state of a job from the owner of a pool. claimingPool is empty, or the pool
// whose owner accepts the job if it is absent.
func (m *Mesh) State(ctx context.Context, address, pool string, q bwfleet.Queue, id, claimingPool string) bwowner.Reply {
	r := newJobRequest(pool, q, id)
	r.ClaimingPool = claimingPool
	return m.callWithRetry(ctx, address, func(ctx context.Context, c DRPCNodeClient) (*JobReply, error) { return c.State(ctx, r) })
}

// Cancel forwards the cancellation of a job to the owner of a pool.
func (m *Mesh) Cancel(ctx context.Context, address, pool string, q bwfleet.Queue, id string) bwowner.Reply {
	r := newJobRequest(pool, q, id)
	return m.callWithRetry(ctx, address, func(ctx context.Context, c DRPCNodeClient) (*JobReply, error) { return c.Cancel(ctx, r) })
}

func newJobRequest(pool string, q bwfleet.Queue, id string) *JobRequest {
	return &JobRequest{Pool: pool, Queue: q.Name, Host: q.Host, Prefix: q.Prefix, Id: id}
}

// QueueOf returns the queue that a request of another node names.
func QueueOf(r *JobRequest) bwfleet.Queue {
	return bwfleet.Queue{Name: r.GetQueue(), Host: r.GetHost(), Prefix: r.GetPrefix()}
}

// ErrNotOwner means that the called node does not own the pool, or cannot report on it
// yet.
var ErrNotOwner = errors.New("node does not own the pool")

// Pending requests the number of jobs of a queue that have not started from the owner of
// the pool.
func (m *Mesh) Pending(ctx context.Context, address, pool string, q bwfleet.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, minAttemptTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).Pending(ctx, newJobRequest(pool, q, ""))
	if err != nil {
		return 0, err
	}
	if !reply.GetKnown() {
		return 0, ErrNotOwner
	}
	return int(reply.GetPending()), nil
}

// callWithRetry retries a call until it gets a reply, the node cannot be dialed or ctx is
// done.
func (m *Mesh) callWithRetry(ctx context.Context, address string, call jobCall) bwowner.Reply {
	mayHaveBeenDelivered := false
	for attempt := 1; ; attempt++ {
		startedAt := time.Now()
		reply, err := m.callOnce(ctx, address, call)
		if err == nil {
			return decodeReply(reply, mayHaveBeenDelivered)
		}
		isDialError := bwpeer.IsDialError(err)
		mayHaveBeenDelivered = mayHaveBeenDelivered || !isDialError
		if isDialError && !mayHaveBeenDelivered {
			return bwowner.Reply{Verdict: bwowner.Refused, Reason: "owner cannot be reached", RetryAfter: bwowner.ShortRetryDelay}
		}
		if isDialError || ctx.Err() != nil {
			return bwowner.Reply{Verdict: bwowner.Unknown, Reason: "owner does not answer: " + err.Error()}
		}
		if attempt > 1 {
			bwclock.Sleep(ctx, retryDelay-time.Since(startedAt))
		}
	}
}

func (m *Mesh) callOnce(ctx context.Context, address string, call jobCall) (*JobReply, error) {
	attempt, cancel := context.WithTimeout(ctx, m.replyTimes.attemptTimeout(address))
	defer cancel()
	startedAt := time.Now()
	reply, err := call(attempt, m.client(attempt, address))
	took := time.Since(startedAt)
	switch {
	case err == nil:
		m.replyTimes.recordReply(address, took)
	case ctx.Err() != nil:
		// The caller has left, which says nothing about the connections.
	case attempt.Err() != nil:
		m.replyTimes.recordTimeout(address, took)
		m.connections.CloseIdle(address)
	default:
		m.connections.CloseIdle(address)
	}
	return reply, err
}

// decodeReply returns the owner's reply. If an earlier attempt may have reached the owner,
// a refusal of the last attempt does not rule out that the earlier one took effect, so the
// verdict is Unknown.
func decodeReply(r *JobReply, mayHaveBeenDelivered bool) bwowner.Reply {
	reply := bwowner.Reply{Reason: r.GetReason(), RetryAfter: time.Duration(r.GetRetryAfterMillis()) * time.Millisecond, Fence: r.GetFence()}
	switch r.GetVerdict() {
	case Verdict_ok:
		reply.Verdict = bwowner.OK
	case Verdict_absent:
		reply.Verdict = bwowner.Absent
	case Verdict_refused:
		reply.Verdict = bwowner.Refused
	}
	if reply.Verdict == bwowner.Refused && mayHaveBeenDelivered {
		reply.Verdict = bwowner.Unknown
	}
	for s := bwowner.Queued; s <= bwowner.Cancelled; s++ {
		if s.String() == r.GetPhase() {
			reply.State = s
		}
	}
	return reply
}

// EncodeReply encodes an owner's reply for another node.
func EncodeReply(r bwowner.Reply) *JobReply {
	reply := &JobReply{Phase: r.State.String(), Reason: r.Reason, RetryAfterMillis: r.RetryAfter.Milliseconds(), Fence: r.Fence}
	switch r.Verdict {
	case bwowner.OK:
		reply.Verdict = Verdict_ok
	case bwowner.Absent:
		reply.Verdict = Verdict_absent
	case bwowner.Refused:
		reply.Verdict = Verdict_refused
	}
	return reply
}

// DecodeSubmission decodes a job that another node forwarded.
func DecodeSubmission(r *JobRequest) (*bwjob.Spec, error) {
	j, err := bwjob.Decode(r.GetRecord())
	if err != nil {
		return nil, err
	}
	return j.Spec(), nil
}

// Survey requests the demand and the executors' load of a pool from its owner.
func (m *Mesh) Survey(ctx context.Context, address, pool string) (bwmaintenance.Survey, error) {
	reply, err := m.client(ctx, address).Survey(ctx, &SurveyRequest{Pool: pool})
	if err != nil {
		return bwmaintenance.Survey{}, err
	}
	if !reply.GetKnown() {
		return bwmaintenance.Survey{}, ErrNotOwner
	}
	survey := bwmaintenance.Survey{Demand: reply.GetDemand(), OverdueDemand: reply.GetOverdueDemand(), Fence: reply.GetFence(), Executors: make(map[string]bwmaintenance.ExecutorSurvey)}
	for _, e := range reply.GetExecutors() {
		survey.Executors[e.GetId()] = bwmaintenance.ExecutorSurvey{
			Runs:        int(e.GetRuns()),
			LongRunning: int(e.GetLongRunning()),
			IsCordoned:  e.GetCordoned(),
		}
	}
	return survey, nil
}

// EncodeSurvey encodes an owner's survey for another node. known is false if the owner
// cannot report on the pool yet.
func EncodeSurvey(s bwmaintenance.Survey, known bool) *SurveyReply {
	reply := &SurveyReply{Known: known, Demand: s.Demand, OverdueDemand: s.OverdueDemand, Fence: s.Fence}
	for id, e := range s.Executors {
		reply.Executors = append(reply.Executors, &ExecutorSurvey{
			Id:          id,
			Runs:        int32(e.Runs),
			LongRunning: int32(e.LongRunning),
			Cordoned:    e.IsCordoned,
		})
	}
	return reply
}

// Cordon asks the owner of a pool to cordon an executor for the given duration and to drain
// it. It returns whether the executor has no runs, and the fencing token of the owner that
// reports it.
func (m *Mesh) Cordon(ctx context.Context, address, pool, executor string, duration time.Duration) (bool, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := m.client(ctx, address).Cordon(ctx, &CordonRequest{Pool: pool, Executor: executor, ForMillis: duration.Milliseconds()})
	return reply.GetEmpty(), reply.GetFence(), err
}
