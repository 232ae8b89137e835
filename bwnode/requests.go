package bwnode

import (
	"context"
	"fmt"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwrelay"
)

// maxAbsenceAttempts is how often the owners are asked for a job to cancel that none of them knows, while the pools
// that may hold it change.
const maxAbsenceAttempts = 3

// ownerOf returns the owner of a pool if it runs in this process, or else the address of the
// node that owns the pool. Both are empty if no owner is known.
func (n *Node) ownerOf(pool string) (*bwowner.Owner, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o, ok := n.roles[pool].(*bwowner.Owner); ok {
		return o, ""
	}
	if owner, ok := n.view.Owner(pool); ok && owner.Incarnation != n.incarnation {
		return nil, owner.Address
	}
	return nil, ""
}

func noOwnerReply() bwowner.Reply {
	return bwowner.Reply{Verdict: bwowner.Refused, Reason: "pool has no owner", RetryAfter: bwowner.ShortRetryDelay}
}

// Submit submits a job to the owner of its pool.
func (n *Node) Submit(ctx context.Context, q bwfleet.Queue, spec *bwjob.Spec) bwowner.Reply {
	spec.AcceptedBy = q
	o, address := n.ownerOf(q.Pool)
	var reply bwowner.Reply
	switch {
	case o != nil:
		reply = o.Submit(ctx, spec)
	case address == "":
		reply = noOwnerReply()
	default:
		record, err := bwjob.New(spec, n.deps.Clock.Now()).Encode()
		if err != nil {
			n.log.Error("failed to encode a job", "job", spec.ID, "error", err.Error())
			return bwowner.Reply{Verdict: bwowner.Refused, Reason: "job cannot be encoded", RetryAfter: bwowner.ShortRetryDelay}
		}
		reply = n.deps.Mesh.Submit(ctx, address, q.Pool, record)
	}
	n.logReply("submit", q, q.Pool, spec.ID, address, reply)
	return reply
}

// poolCall sends a request about a job to the owner of a pool. It returns the reply and the address that
// was asked, which is empty for this node.
type poolCall func(ctx context.Context, pool string) (bwowner.Reply, string)

// State returns the state of a job.
func (n *Node) State(ctx context.Context, q bwfleet.Queue, id string) bwowner.Reply {
	isRecent := n.hasRecentOwners(n.maxOwnersAge)
	reply, _ := n.askPools(ctx, "state", q, id, func(ctx context.Context, pool string) (bwowner.Reply, string) {
		return n.stateIn(ctx, pool, q, id, "")
	})
	if reply.Verdict == bwowner.Absent && !isRecent {
		return uncertainPoolsReply()
	}
	return reply
}

// stateIn is the poolCall of State. claimingPool is empty, or the pool whose owner accepts the job if it is absent.
func (n *Node) stateIn(ctx context.Context, pool string, q bwfleet.Queue, id, claimingPool string) (bwowner.Reply, string) {
	o, address := n.ownerOf(pool)
	switch {
	case o != nil && claimingPool != "":
		return o.Yield(q, id, claimingPool), ""
	case o != nil:
		return o.State(q, id), ""
	case address == "":
		return noOwnerReply(), ""
	default:
		return n.deps.Mesh.State(ctx, address, pool, q, id, claimingPool), address
	}
}

// askPool asks the owner of a pool for a job that the owner of claimingPool is about to accept. It returns the
// reply with the key of that owner.
func (n *Node) askPool(ctx context.Context, pool string, spec *bwjob.Spec, claimingPool string) (bwowner.Reply, bwkv.Expectation) {
	q := spec.AcceptedBy
	q.Name = spec.Queue
	reply, _ := n.stateIn(ctx, pool, q, spec.ID, claimingPool)
	return reply, bwkv.Expectation{Key: prefixOwners + pool, Revision: reply.Fence}
}

// Cancel cancels a job. Callers take an absent job for one that has ended, however recently it was accepted.
func (n *Node) Cancel(ctx context.Context, q bwfleet.Queue, id string) bwowner.Reply {
	for range maxAbsenceAttempts {
		reply, fences := n.cancelIn(ctx, q, id)
		if reply.Verdict != bwowner.Absent {
			return reply
		}
		err := n.confirmAbsence(ctx, q, fences)
		if err == nil {
			return reply
		}
		n.log.Info("absence of a job not confirmed", "request", id, "queue", q.Name, "reason", err.Error())
	}
	return uncertainPoolsReply()
}

func (n *Node) cancelIn(ctx context.Context, q bwfleet.Queue, id string) (bwowner.Reply, map[string]int64) {
	return n.askPools(ctx, "cancel", q, id, func(ctx context.Context, pool string) (bwowner.Reply, string) {
		o, address := n.ownerOf(pool)
		switch {
		case o != nil:
			return o.Cancel(ctx, q, id), ""
		case address == "":
			return noOwnerReply(), ""
		default:
			return n.deps.Mesh.Cancel(ctx, address, pool, q, id), address
		}
	})
}

// askPools sends a request about a job to the owner of the queue's pool and to those of the other
// pools that may hold jobs of the queue. It returns the reply of the owner that knows the job. Without
// one it returns the reply that claims least: the job is absent only if no owner knows it. It then also returns
// the fencing tokens of the owners by pool.
func (n *Node) askPools(ctx context.Context, call string, q bwfleet.Queue, id string, ask poolCall) (bwowner.Reply, map[string]int64) {
	others := n.placements.Copy().OtherPools(q)
	if len(others) == 0 {
		reply, address := ask(ctx, q.Pool)
		n.logReply(call, q, q.Pool, id, address, reply)
		return reply, map[string]int64{q.Pool: reply.Fence}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type poolReply struct {
		bwowner.Reply
		pool string
	}
	replies := make(chan poolReply, len(others)+1)
	for _, pool := range append(others, q.Pool) {
		go func() {
			reply, address := ask(ctx, pool)
			n.logReply(call, q, pool, id, address, reply)
			replies <- poolReply{Reply: reply, pool: pool}
		}()
	}
	result := bwowner.Reply{Verdict: bwowner.Absent}
	fences := make(map[string]int64, cap(replies))
	for range cap(replies) {
		reply := <-replies
		if reply.Verdict == bwowner.OK {
			return reply.Reply, nil
		}
		if claimsLess(reply.Verdict, result.Verdict) {
			result = reply.Reply
		}
		fences[reply.pool] = reply.Fence
	}
	return result, fences
}

// confirmAbsence returns nil if, by reads that begin after their replies, the owners with the given fencing tokens
// still own their pools, and no other pool may hold jobs of the queue.
func (n *Node) confirmAbsence(ctx context.Context, q bwfleet.Queue, fences map[string]int64) error {
	if err := n.placements.Refresh(ctx); err != nil {
		return err
	}
	for _, pool := range n.placements.Copy().OtherPools(q) {
		if _, isAsked := fences[pool]; !isAsked {
			return fmt.Errorf("pool %q may know the job", pool)
		}
	}
	for pool, fence := range fences {
		key, err := n.deps.Store.Get(ctx, prefixOwners+pool)
		if err != nil {
			return err
		}
		if key.Revision != fence {
			return fmt.Errorf("pool %q has another owner, with revision %d", pool, key.Revision)
		}
	}
	return nil
}

func uncertainPoolsReply() bwowner.Reply {
	return bwowner.Reply{Verdict: bwowner.Refused, Reason: "not certain which pools hold jobs of the queue", RetryAfter: bwowner.ShortRetryDelay}
}

// claimsLess reports whether verdict a claims less than b: an absent job is absent from all pools, a
// refused request has had no effect, and an unknown outcome may be anything.
func claimsLess(a, b bwowner.Verdict) bool {
	return a == bwowner.Unknown && b != bwowner.Unknown || a == bwowner.Refused && b == bwowner.Absent
}

// Pending returns the number of a queue's jobs that have not started, in all pools that may hold some,
// and whether it is known.
func (n *Node) Pending(ctx context.Context, q bwfleet.Queue) (int, bool) {
	sum := 0
	for _, pool := range append([]string{q.Pool}, n.placements.Copy().OtherPools(q)...) {
		pending, known := n.pendingIn(ctx, pool, q)
		if !known {
			return 0, false
		}
		sum += pending
	}
	return sum, true
}

func (n *Node) pendingIn(ctx context.Context, pool string, q bwfleet.Queue) (int, bool) {
	o, address := n.ownerOf(pool)
	switch {
	case o != nil:
		return o.Pending(q)
	case address == "":
		return 0, false
	default:
		pending, err := n.deps.Mesh.Pending(ctx, address, pool, q)
		n.calls.record(peerCall{method: "pending", address: address, pool: pool}, err)
		return pending, err == nil
	}
}

func (n *Node) logReply(call string, q bwfleet.Queue, pool, id, address string, reply bwowner.Reply) {
	n.deps.Metrics.observeRequest(call, reply.Verdict)
	if reply.Verdict == bwowner.OK {
		return
	}
	n.log.Info("request not carried out", "request", id, "call", call, "queue", q.Name, "pool", pool,
		"owner", address, "verdict", reply.Verdict.String(), "reason", reply.Reason)
}

// Ping reports to another node which roles this node runs and whether it reaches the store.
func (n *Node) Ping(context.Context, *bwmesh.PingRequest) (*bwmesh.PingReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := &bwmesh.PingReply{Incarnation: n.incarnation, StoreReachable: n.lease.isFresh()}
	for pool := range n.roles {
		reply.ActivePools = append(reply.ActivePools, pool)
	}
	return reply, nil
}

// server handles the calls of other nodes for the pools that this node owns.
type server struct {
	*Node
}

// Services returns what this node serves to other nodes.
func (n *Node) Services() bwmesh.Services {
	relay := bwrelay.NewServer(n.deps.Executors, n.deps.Clock, n.log, n.deps.Guard)
	return bwmesh.Services{Node: n.Server(), Relay: relay}
}

// Server returns the handler of calls from other nodes.
func (n *Node) Server() bwmesh.DRPCNodeServer { return server{n} }

func (s server) localOwner(pool string) *bwowner.Owner {
	o, _ := s.ownerOf(pool)
	return o
}

func notOwnerReply() *bwmesh.JobReply {
	return bwmesh.EncodeReply(bwowner.Reply{Verdict: bwowner.Refused, Reason: "another node owns the pool", RetryAfter: bwowner.ShortRetryDelay})
}

// Submit stores a job of a pool that this node owns.
func (s server) Submit(ctx context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return notOwnerReply(), nil
	}
	spec, err := bwmesh.DecodeSubmission(r)
	if err != nil {
		s.log.Error("failed to decode a forwarded job", "pool", r.GetPool(), "error", err.Error())
		return bwmesh.EncodeReply(bwowner.Reply{Verdict: bwowner.Unknown, Reason: "forwarded job cannot be decoded"}), nil
	}
	return bwmesh.EncodeReply(o.Submit(ctx, spec)), nil
}

// State returns the state of a job of a pool that this node owns.
func (s server) State(_ context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return notOwnerReply(), nil
	}
	if pool := r.GetClaimingPool(); pool != "" {
		return bwmesh.EncodeReply(o.Yield(bwmesh.QueueOf(r), r.GetId(), pool)), nil
	}
	return bwmesh.EncodeReply(o.State(bwmesh.QueueOf(r), r.GetId())), nil
}

// Cancel cancels a job of a pool that this node owns.
func (s server) Cancel(ctx context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return notOwnerReply(), nil
	}
	return bwmesh.EncodeReply(o.Cancel(ctx, bwmesh.QueueOf(r), r.GetId())), nil
}

// Pending returns the number of jobs that have not started in a queue of a pool that this
// node owns.
func (s server) Pending(_ context.Context, r *bwmesh.JobRequest) (*bwmesh.PendingReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return &bwmesh.PendingReply{}, nil
	}
	pending, known := o.Pending(bwmesh.QueueOf(r))
	return &bwmesh.PendingReply{Known: known, Pending: int64(pending)}, nil
}
