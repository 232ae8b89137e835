package bwnode

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwownership"
)

// maxNewsAge is the age of the keys of owners up to which an owner is sure to be one, unless the
// deployment's bound for accepted jobs is shorter. A read of the keys waits for a second; two
// of them fit, with their ways.
const maxNewsAge = 2200 * time.Millisecond

// newsBound returns how old the keys of owners may be for a job to be called absent.
func newsBound(visible time.Duration) time.Duration {
	if visible > 0 {
		return min(maxNewsAge, visible)
	}
	return maxNewsAge
}

// nodesChanged takes in the keys of nodes and owners.
func (n *Node) nodesChanged([]bwkv.Item) {
	items, _ := n.nodes.Items()
	var members []bwownership.Member
	owners := make(map[string]bwownership.Owner)
	for key, item := range items {
		var v keyValue
		if err := json.Unmarshal(item.Value, &v); err != nil {
			n.log.Error("key of a node cannot be read", "key", key, "error", err.Error())
			continue
		}
		if pool, ok := strings.CutPrefix(key, prefixOwners); ok {
			owners[pool] = bwownership.Owner{Incarnation: v.Incarnation, Address: v.Address, Revision: item.Revision, IsReleased: v.IsReleased}
		} else if strings.HasPrefix(key, prefixMembers) {
			members = append(members, bwownership.Member{Incarnation: v.Incarnation, Address: v.Address, Revision: item.Revision, Cores: v.Power})
		}
	}
	n.mu.Lock()
	n.view.SetMembers(members)
	n.view.SetOwners(owners, n.deps.Clock.Now())
	replaced := n.replaced(owners)
	n.mu.Unlock()
	for name, t := range replaced {
		n.drop(name, t, "owner's key has changed")
	}
	n.decide()
}

// replaced returns what is owned here although its key is gone or belongs to another. The
// caller holds the lock.
func (n *Node) replaced(owners map[string]bwownership.Owner) map[string]task {
	list := make(map[string]task)
	for name, t := range n.owned {
		if owners[name].Revision != t.Fence() && n.nodes.Covers(t.Fence()) {
			list[name] = t
		}
	}
	return list
}

// drop ends a task whose key was lost.
func (n *Node) drop(name string, t task, reason string) {
	n.mu.Lock()
	if n.owned[name] == t {
		delete(n.owned, name)
	}
	n.mu.Unlock()
	n.log.Warn("dropped", "owned", name, "fence", t.Fence(), "reason", reason)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go t.Stop(ctx)
}

// decide claims the pools that this node should own.
func (n *Node) decide() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isStopping || n.configuration == nil || !n.lease.isFresh() {
		return
	}
	running := make(map[string]int64, len(n.owned))
	for name, t := range n.owned {
		running[name] = t.Fence()
	}
	for _, c := range n.view.Decide(n.duties(), running, n.deps.Clock.Now()) {
		if n.claiming[c.Pool] || n.owned[c.Pool] != nil {
			continue
		}
		n.claiming[c.Pool] = true
		n.spawn(func() { n.claim(c) })
	}
}

// duties returns what needs an owner: each pool with queues, and the hosts. The caller
// holds the lock.
func (n *Node) duties() []string {
	names := n.configuration.WorkPools()
	if n.deps.Hosts != nil {
		names = append(names, dutyHosts)
	}
	return names
}

// claim tries to become the owner of a pool.
func (n *Node) claim(c bwownership.Claim) {
	defer func() {
		n.mu.Lock()
		delete(n.claiming, c.Pool)
		n.mu.Unlock()
	}()
	value, err := json.Marshal(n.keyValue())
	if err != nil {
		n.log.Error("owner's key cannot be encoded", "error", err.Error())
		return
	}
	key := prefixOwners + c.Pool
	r := n.deps.Store.Transact(n.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: key, Revision: c.ExpectedRevision}},
		Set:      []bwkv.Write{{Key: key, Value: value, Lease: n.lease.current()}},
	})
	n.log.Info("pool claimed", "pool", c.Pool, "reason", c.Reason, "expected", c.ExpectedRevision,
		"previousMayAct", c.PreviousOwnerMayAct, "outcome", r.Outcome.String(), "revision", r.Revision)
	if r.Outcome == bwkv.Committed {
		n.own(c, key, r.Revision)
	}
}

// own starts what was claimed.
func (n *Node) own(c bwownership.Claim, key string, fence int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isStopping {
		return
	}
	var t task
	if c.Pool == dutyHosts {
		t = n.newDuty(key, fence)
	} else {
		t = n.newOwner(c, key, fence)
	}
	n.owned[c.Pool] = t
	ctx := n.ctx
	n.spawn(func() { t.Run(ctx) })
}

// newOwner returns the owner of a pool. The caller holds the lock.
func (n *Node) newOwner(c bwownership.Claim, key string, fence int64) *bwowner.Owner {
	ownership := bwowner.Ownership{Pool: c.Pool, Key: key, Fence: fence}
	if c.PreviousOwnerMayAct {
		ownership.PreviousOwnerGrace = leaseLength
	}
	o := bwowner.New(bwowner.Deps{
		Store:                n.deps.Store,
		Executors:            n.deps.Executors,
		Adviser:              n.deps.Adviser,
		Clock:                n.deps.Clock,
		Log:                  n.deps.Log,
		Metrics:              n.deps.Metrics.Owner(),
		IsOwnershipConfirmed: n.isConfirmed,
		IsOwnershipFresh:     n.isFresh,
		OnLost:               n.lost,
	}, ownership, n.settings)
	n.followExecutors()
	o.SetQueues(n.configuration.QueuesOf(c.Pool))
	o.SetExecutors(n.registrations[c.Pool])
	return o
}

// isConfirmed reports whether what is owned here may still be acted for: the lease cannot
// have ended, and a replacement less long ago than the same time would not be known. The
// successor waits for that time.
func (n *Node) isConfirmed() bool { return n.lease.isConfirmed() && n.hasNews(leaseLength) }

// isFresh reports whether this node is sure to be the owner of what it runs.
func (n *Node) isFresh() bool { return n.lease.isFresh() && n.hasNews(n.newsFor) }

// hasNews reports whether the keys of owners were read within the given time.
func (n *Node) hasNews(d time.Duration) bool {
	return n.deps.Clock.Now().Sub(n.nodes.FreshAt()) < d
}

// lost drops the owner of a pool that found out that it was replaced.
func (n *Node) lost(pool, reason string) {
	n.mu.Lock()
	t := n.owned[pool]
	n.mu.Unlock()
	if t != nil {
		n.drop(pool, t, reason)
	}
}

// ping asks the other owners what they do.
func (n *Node) ping() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.configuration == nil || n.isStopping {
		return
	}
	for _, address := range n.view.AddressesToPing(n.duties(), n.deps.Clock.Now()) {
		if n.asking[address] {
			continue
		}
		n.asking[address] = true
		n.spawn(func() { n.ask(address) })
	}
}

func (n *Node) ask(address string) {
	reply, err := n.deps.Mesh.Ping(n.ctx, address)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.asking, address)
	n.reach.note(question{call: "ping", address: address}, err)
	if err != nil {
		return
	}
	active := make(map[string]bool, len(reply.GetActivePools()))
	for _, pool := range reply.GetActivePools() {
		active[pool] = true
	}
	n.view.RecordReply(address, bwownership.PingReply{
		Incarnation:    reply.GetIncarnation(),
		ActivePools:    active,
		StoreReachable: reply.GetStoreReachable(),
	}, n.deps.Clock.Now())
}
