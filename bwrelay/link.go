package bwrelay

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwschedule"
)

const (
	// aliveInterval is the interval at which a relay shows that it is alive.
	aliveInterval = 200 * time.Millisecond
	// silenceTimeout is how long a relay may be silent, after which its calls have no answer. It is a
	// fifth of the lease of an executor, so that the lease is renewed in time over another way.
	silenceTimeout = 700 * time.Millisecond
	// maxCallsPerMessage bounds the size of a message and the delay of its first call.
	maxCallsPerMessage = 256
)

// errRelaySilent means that a relay did not show in time that it is alive.
var errRelaySilent = errors.New("relay is silent")

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	ctx       context.Context
	call      *Call
	payload   string
	reply     chan *Reply
	isWritten bool
}

// link is the connection to one relay.
type link struct {
	client  *Client
	address string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wake    chan struct{}

	mu       sync.Mutex
	queue    []*pendingCall
	pending  map[uint64]*pendingCall
	nextID   uint64
	heardAt  bwclock.Time
	isUsed   bool
	hasEnded bool
}

// newLink starts a link.
func newLink(c *Client, address string) *link {
	l := &link{client: c, address: address, wake: make(chan struct{}, 1), pending: make(map[uint64]*pendingCall), heardAt: c.clock.Now(), isUsed: true}
	l.ctx, l.cancel = context.WithCancelCause(c.ctx)
	go l.run()
	go l.watch()
	return l
}

// setUsed sets whether new calls use the link. A link that is not used ends once it is idle.
func (l *link) setUsed(isUsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isUsed = isUsed
}

// call sends a call and returns the reply. Without one, the result is NotSent if the call was not sent,
// and Unanswered otherwise.
func (l *link) call(ctx context.Context, call *Call, payload string) *Reply {
	p := &pendingCall{ctx: ctx, call: call, payload: payload, reply: make(chan *Reply, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		call.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	} else {
		call.TimeoutMillis = maxCallTimeout.Milliseconds()
	}
	l.mu.Lock()
	if l.hasEnded {
		l.mu.Unlock()
		return replyOf(bwschedule.NotSent)
	}
	l.nextID++
	call.Id = l.nextID
	l.pending[call.Id] = p
	l.queue = append(l.queue, p)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case reply := <-p.reply:
		return reply
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call.Id)
	if !p.isWritten {
		return replyOf(bwschedule.NotSent)
	}
	return replyOf(bwschedule.Unanswered)
}

func replyOf(result bwschedule.Result) *Reply { return &Reply{Result: int32(result)} }

// run carries calls and replies until the link ends.
func (l *link) run() {
	err := l.carry()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	l.cancel(err)
	l.end()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	l.client.linkEnded(l, err)
}

func (l *link) carry() error {
	conn := l.client.dial(l.ctx, l.address)
	stream, err := NewDRPCRelayClient(conn).Carry(l.ctx)
	if err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- l.receive(stream) }()
	sendErr := l.send(stream)
	l.cancel(sendErr)
	// The stream ends with its context; the error of the side that failed first is returned.
	return errors.Join(sendErr, stream.Close(), <-received)
}

// send sends the queued calls, as many as there are in one message, until the link ends.
func (l *link) send(stream DRPCRelay_CarryClient) error {
	for {
		select {
		case <-l.ctx.Done():
			return nil
		case <-l.wake:
		}
		// Lets the other goroutines of the same scheduling pass add their calls first.
		runtime.Gosched()
		for {
			message := l.nextMessage()
			if message == nil {
				break
			}
			if err := stream.Send(message); err != nil {
				return err
			}
			l.client.metrics.countMessage(directionSent)
		}
	}
}

// nextMessage returns the next message to send, or nil if no call is queued. Calls whose callers have left
// or whose permit has run out are not sent.
func (l *link) nextMessage() *Calls {
	l.mu.Lock()
	n := min(len(l.queue), maxCallsPerMessage)
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.mu.Unlock()
	message := &Calls{}
	positions := make(map[string]int32)
	for _, p := range batch {
		if !l.markWritten(p) {
			continue
		}
		if p.payload != "" {
			if positions[p.payload] == 0 {
				message.Payloads = append(message.Payloads, p.payload)
				positions[p.payload] = int32(len(message.Payloads))
			}
			p.call.Order.Payload = positions[p.payload]
		}
		message.Calls = append(message.Calls, p.call)
	}
	if len(message.Calls) == 0 {
		if n > 0 {
			return l.nextMessage()
		}
		return nil
	}
	return message
}

// markWritten reports whether a call is to be sent, and marks it as sent.
func (l *link) markWritten(p *pendingCall) bool {
	isPermitted := p.ctx.Err() == nil && bwhttp.IsPermitted(p.ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending[p.call.Id] == nil {
		return false
	}
	if !isPermitted {
		delete(l.pending, p.call.Id)
		p.reply <- replyOf(bwschedule.NotSent)
		return false
	}
	p.isWritten = true
	return true
}

// receive passes replies to their calls until the stream ends.
func (l *link) receive(stream DRPCRelay_CarryClient) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			l.cancel(err)
			return err
		}
		l.client.metrics.countMessage(directionReceived)
		l.mu.Lock()
		l.heardAt = l.client.clock.Now()
		for _, reply := range message.GetReplies() {
			if p := l.pending[reply.GetId()]; p != nil {
				delete(l.pending, reply.GetId())
				p.reply <- reply
			}
		}
		l.mu.Unlock()
	}
}

// watch ends the link when the relay is silent, or when the link is idle and no longer used.
func (l *link) watch() {
	t := time.NewTicker(aliveInterval)
	defer t.Stop()
	checkedAt := l.client.clock.Now()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
		now := l.client.clock.Now()
		l.mu.Lock()
		if now.Sub(checkedAt) > silenceTimeout/2 {
			// This process was paused and could not read what the relay has sent.
			l.heardAt = now
		}
		isSilent := now.Sub(l.heardAt) >= silenceTimeout
		isIdle := !l.isUsed && len(l.pending) == 0
		l.mu.Unlock()
		checkedAt = now
		if isSilent {
			l.cancel(errRelaySilent)
		} else if isIdle {
			l.cancel(context.Canceled)
		}
	}
}

// end answers all calls that wait for a reply.
func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasEnded = true
	for id, p := range l.pending {
		delete(l.pending, id)
		result := bwschedule.NotSent
		if p.isWritten {
			result = bwschedule.Unanswered
		}
		p.reply <- replyOf(result)
	}
}
