package bwrelay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"storj.io/drpc"
)

const (
	// failureTime is how long a relay that did not answer is not used again, and how long an executor is
	// called directly that did not answer through its relay.
	failureTime = 5 * time.Second
	// maxMisses is the number of executors that answer directly, but not through a relay, from which the
	// relay counts as failed.
	maxMisses = 3
)

// errExecutorsMissed means that executors answer directly, but not through the relay.
var errExecutorsMissed = errors.New("relay does not reach executors that answer")

// Dial returns a connection to a node. It does not wait until the node is reached.
type Dial func(ctx context.Context, address string) drpc.Conn

// Client calls the executors of one pool, through relays or directly. It implements bwowner.Executors and
// is safe for concurrent use.
type Client struct {
	pool    string
	direct  bwowner.Executors
	dial    Dial
	clock   bwclock.Clock
	log     hclog.Logger
	limits  Limits
	metrics *Metrics
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex
	members  []Member
	targets  []Target
	assigned map[string]string
	links    map[string]*link
	// failedUntil holds the relays that did not answer, with the time until which they are not used.
	failedUntil map[string]bwclock.Time
	// reassignAt is when the next of them may be used again, or Never.
	reassignAt bwclock.Time
	// directUntil holds the executors that are called directly for a while, and missedBy the relay through
	// which each of them did not answer.
	directUntil map[string]bwclock.Time
	missedBy    map[string]string
	// misses counts the executors that have answered directly after that, by relay.
	misses map[string]int
}

// Option configures a Client.
type Option func(*Client)

// WithLimits sets how many relays the pool uses.
func WithLimits(l Limits) Option {
	return func(c *Client) { c.limits = l }
}

// WithMetrics sets the counters of the calls and messages.
func WithMetrics(m *Metrics) Option {
	return func(c *Client) { c.metrics = m }
}

// NewClient returns a Client that makes all calls directly until SetMembers and SetTargets have told it of
// relays for them. It must be closed.
func NewClient(pool string, direct bwowner.Executors, dial Dial, clock bwclock.Clock, log hclog.Logger, options ...Option) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		pool:        pool,
		direct:      direct,
		dial:        dial,
		clock:       clock,
		log:         log.With("pool", pool),
		ctx:         ctx,
		cancel:      cancel,
		assigned:    make(map[string]string),
		links:       make(map[string]*link),
		failedUntil: make(map[string]bwclock.Time),
		directUntil: make(map[string]bwclock.Time),
		missedBy:    make(map[string]string),
		misses:      make(map[string]int),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close ends the connections to all relays. Calls in flight have no answer.
func (c *Client) Close() { c.cancel() }

// SetMembers replaces the list of nodes that may be relays.
func (c *Client) SetMembers(members []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(c.members, members) {
		return
	}
	c.members = members
	c.reassign()
}

// SetTargets replaces the list of the pool's executors.
func (c *Client) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Equal(c.targets, targets) {
		return
	}
	c.targets = targets
	c.reassign()
}

// IsRelayed reports whether relays make calls of the pool.
func (c *Client) IsRelayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.assigned) > 0
}

// reassign decides which relay calls which executor. The caller holds the lock.
func (c *Client) reassign() {
	now := c.clock.Now()
	c.reassignAt = bwclock.Never
	var usable []Member
	for _, m := range c.members {
		until, hasFailed := c.failedUntil[m.Address]
		if hasFailed && now.Before(until) {
			if c.reassignAt == bwclock.Never || until.Before(c.reassignAt) {
				c.reassignAt = until
			}
			continue
		}
		delete(c.failedUntil, m.Address)
		usable = append(usable, m)
	}
	before := len(c.assigned)
	c.assigned = Assign(c.pool, usable, c.targets, c.limits)
	used := make(map[string]bool)
	for _, address := range c.assigned {
		used[address] = true
	}
	for address, l := range c.links {
		l.setUsed(used[address])
	}
	if before == 0 && len(c.assigned) > 0 || before > 0 && len(c.assigned) == 0 {
		c.log.Info("relays assigned", "relays", len(used), "relayedExecutors", len(c.assigned), "executors", len(c.targets), "members", len(c.members))
	}
}

// linkTo returns the link to the relay of an executor, or nil if the executor is called directly.
func (c *Client) linkTo(executor string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil
	}
	if c.reassignAt != bwclock.Never && !c.clock.Now().Before(c.reassignAt) {
		c.reassign()
	}
	address := c.assigned[executor]
	if address == "" {
		return nil
	}
	if until, ok := c.directUntil[executor]; ok {
		if c.clock.Now().Before(until) {
			return nil
		}
		delete(c.directUntil, executor)
		delete(c.missedBy, executor)
	}
	l := c.links[address]
	if l == nil {
		l = newLink(c, address)
		c.links[address] = l
	}
	return l
}

// recordMiss records that an executor did not answer through a relay. It is called directly for a while: the
// relay may be cut off from it while the owner is not.
func (c *Client) recordMiss(executor, relay string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directUntil[executor] = c.clock.Now().Add(failureTime)
	c.missedBy[executor] = relay
}

// recordDirectReport records that an executor has answered directly. If it did not answer through its relay
// before, that counts against the relay.
func (c *Client) recordDirectReport(executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	relay, isMissed := c.missedBy[executor]
	if !isMissed {
		return
	}
	delete(c.missedBy, executor)
	c.misses[relay]++
	if l := c.links[relay]; l != nil && c.misses[relay] >= maxMisses {
		l.cancel(errExecutorsMissed)
	}
}

// linkEnded forgets a link. A relay that has failed is not used for a while.
func (c *Client) linkEnded(l *link, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
		delete(c.misses, l.address)
	}
	if reason == nil || c.ctx.Err() != nil {
		return
	}
	c.log.Warn("relay does not answer", "relay", l.address, "error", reason.Error())
	c.failedUntil[l.address] = c.clock.Now().Add(failureTime)
	c.reassign()
}

// RenewLease implements bwowner.Executors.
func (c *Client) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	l := c.linkTo(target.ID)
	c.metrics.countCall(l != nil)
	if l == nil {
		reply := c.direct.RenewLease(ctx, target, renewal)
		if reply.Result == bwschedule.Accepted {
			c.recordDirectReport(target.ID)
		}
		return reply
	}
	reply := l.call(ctx, newCall(target, renewal.Fence, func(call *Call) { call.Renewal = encodeRenewal(renewal) }), "")
	result := reply.decode()
	if reply.GetReport() == nil && result.Result == bwschedule.Accepted {
		// Without the lists it is not known what the executor runs.
		result = bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	if result.Result != bwschedule.Accepted {
		result.Reason = "through relay " + l.address
	}
	if result.Result == bwschedule.Unanswered && !errors.Is(ctx.Err(), context.Canceled) {
		c.recordMiss(target.ID, l.address)
	}
	return result
}

// Order implements bwowner.Executors.
func (c *Client) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, leaseUntil int64) bwowner.ExecutorReply {
	l := c.linkTo(target.ID)
	c.metrics.countCall(l != nil)
	if l == nil {
		return c.direct.Order(ctx, target, o, fence, leaseUntil)
	}
	reply := l.call(ctx, newCall(target, fence, func(call *Call) { call.Order = encodeOrder(o, leaseUntil) }), o.Payload).decode()
	if reply.Result != bwschedule.Accepted {
		reply.Reason = "through relay " + l.address
	}
	return reply
}

func newCall(target bwowner.Target, fence int64, set func(*Call)) *Call {
	call := &Call{Executor: target.ID, Address: target.Address, Fence: fence}
	set(call)
	return call
}
