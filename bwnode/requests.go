package bwnode

import (
	"context"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
)

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
	n.logReply("submit", q, spec.ID, address, reply)
	return reply
}

// State returns the state of a job.
func (n *Node) State(ctx context.Context, q bwfleet.Queue, id string) bwowner.Reply {
	o, address := n.ownerOf(q.Pool)
	var reply bwowner.Reply
	switch {
	case o != nil:
		reply = o.State(q.Name, id)
	case address == "":
		reply = noOwnerReply()
	default:
		reply = n.deps.Mesh.State(ctx, address, q.Pool, q.Name, id)
	}
	n.logReply("state", q, id, address, reply)
	return reply
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, q bwfleet.Queue, id string) bwowner.Reply {
	o, address := n.ownerOf(q.Pool)
	var reply bwowner.Reply
	switch {
	case o != nil:
		reply = o.Cancel(ctx, q.Name, id)
	case address == "":
		reply = noOwnerReply()
	default:
		reply = n.deps.Mesh.Cancel(ctx, address, q.Pool, q.Name, id)
	}
	n.logReply("cancel", q, id, address, reply)
	return reply
}

// Pending returns the number of a queue's jobs that have not started, and whether it is known.
func (n *Node) Pending(ctx context.Context, q bwfleet.Queue) (int, bool) {
	o, address := n.ownerOf(q.Pool)
	switch {
	case o != nil:
		return o.Pending(q.Name)
	case address == "":
		return 0, false
	default:
		pending, err := n.deps.Mesh.Pending(ctx, address, q.Pool, q.Name)
		n.calls.record(peerCall{method: "pending", address: address, pool: q.Pool}, err)
		return pending, err == nil
	}
}

func (n *Node) logReply(call string, q bwfleet.Queue, id, address string, reply bwowner.Reply) {
	n.deps.Metrics.observeRequest(call, reply.Verdict)
	if reply.Verdict == bwowner.OK {
		return
	}
	n.log.Info("request not carried out", "request", id, "call", call, "queue", q.Name, "pool", q.Pool,
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
		return nil, err
	}
	return bwmesh.EncodeReply(o.Submit(ctx, spec)), nil
}

// State returns the state of a job of a pool that this node owns.
func (s server) State(_ context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return notOwnerReply(), nil
	}
	return bwmesh.EncodeReply(o.State(r.GetQueue(), r.GetId())), nil
}

// Cancel cancels a job of a pool that this node owns.
func (s server) Cancel(ctx context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return notOwnerReply(), nil
	}
	return bwmesh.EncodeReply(o.Cancel(ctx, r.GetQueue(), r.GetId())), nil
}

// Pending returns the number of jobs that have not started in a queue of a pool that this
// node owns.
func (s server) Pending(_ context.Context, r *bwmesh.JobRequest) (*bwmesh.PendingReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return &bwmesh.PendingReply{}, nil
	}
	pending, known := o.Pending(r.GetQueue())
	return &bwmesh.PendingReply{Known: known, Pending: int64(pending)}, nil
}
