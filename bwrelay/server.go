package bwrelay

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
)

const (
	// gatherTime is how long a relay gathers replies into one message: the owner of a large pool handles
	// those of all relays once in each scheduling pass.
	gatherTime = 10 * time.Millisecond
	// maxCallsInFlight bounds the memory that the calls of one owner take.
	maxCallsInFlight = 4096
)

// Server calls executors for the owners of pools on other nodes.
type Server struct {
	executors bwowner.Executors
	clock     bwclock.Clock
	log       hclog.Logger
	guard     *bwpanic.Guard
}

// NewServer returns a Server that calls executors directly.
func NewServer(executors bwowner.Executors, clock bwclock.Clock, log hclog.Logger, guard *bwpanic.Guard) *Server {
	return &Server{executors: executors, clock: clock, log: log, guard: guard}
}

// Carry implements DRPCRelayServer.
func (s *Server) Carry(stream DRPCRelay_CarryStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	o := &outbox{wake: make(chan struct{}, 1), slots: make(chan struct{}, maxCallsInFlight)}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Add(1)
	go func() {
		defer group.Done()
		defer cancel()
		if err := o.send(ctx, stream); err != nil && ctx.Err() == nil {
			s.log.Info("replies to the owner of a pool cannot be sent", "error", err.Error())
		}
	}()
	for {
		message, err := stream.Recv()
		if err != nil || ctx.Err() != nil {
			return err
		}
		receivedAt := s.clock.Now()
		for _, call := range message.GetCalls() {
			select {
			case o.slots <- struct{}{}:
			default:
				o.add(&Reply{Id: call.GetId(), Result: int32(bwschedule.NotSent)})
				continue
			}
			group.Add(1)
			go func() {
				defer group.Done()
				reply := replyOf(bwschedule.Unanswered)
				s.guard.Run("relayedCall", func() { reply = s.execute(ctx, call, message.GetPayloads(), receivedAt) }, "executor", call.GetExecutor())
				reply.Id = call.GetId()
				o.add(reply)
				<-o.slots
			}()
		}
	}
}

// execute makes one call. It is not sent after its timeout, which this process may have spent paused.
func (s *Server) execute(ctx context.Context, call *Call, payloads []string, receivedAt bwclock.Time) *Reply {
	ctx, cancel := context.WithTimeout(ctx, call.timeout())
	defer cancel()
	ctx = bwhttp.WithPermit(ctx, func() bool { return s.clock.Now().Sub(receivedAt) < call.timeout() })
	target := bwowner.Target{ID: call.GetExecutor(), Address: call.GetAddress()}
	switch {
	case call.GetRenewal() != nil:
		reply := s.executors.RenewLease(ctx, target, call.GetRenewal().decode(call.GetFence()))
		return encodeReply(call.GetId(), reply, reply.Result == bwschedule.Accepted)
	case call.GetOrder() != nil:
		order, err := call.GetOrder().decode(call.GetExecutor(), payloads)
		if err != nil {
			s.log.Warn("order for another node rejected", "executor", call.GetExecutor(), "error", err.Error())
			return replyOf(bwschedule.NotSent)
		}
		return encodeReply(call.GetId(), s.executors.Order(ctx, target, order, call.GetFence(), call.GetOrder().GetLeaseUntil()), false)
	default:
		s.log.Warn("call for another node is of unknown kind", "executor", call.GetExecutor())
		return replyOf(bwschedule.NotSent)
	}
}

// outbox gathers replies.
type outbox struct {
	wake chan struct{}
	// slots limits the calls in flight.
	slots chan struct{}

	mu      sync.Mutex
	replies []*Reply
}

func (o *outbox) add(r *Reply) {
	o.mu.Lock()
	o.replies = append(o.replies, r)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []*Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.replies
	o.replies = nil
	return list
}

// send sends the gathered replies, and an empty message at aliveInterval, until ctx is done.
func (o *outbox) send(ctx context.Context, stream DRPCRelay_CarryStream) error {
	t := time.NewTicker(aliveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-o.wake:
			bwclock.Sleep(ctx, gatherTime)
		}
		if err := stream.Send(&Replies{Replies: o.take()}); err != nil {
			return err
		}
	}
}
