package bwnode

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwownership"
)

// defaultMaxOwnersAge is the maximum age of the last read of the owners' keys at which a node
// is still certain of its ownership, unless Settings.MaxVisibilityDelay is shorter. A read of
// the keys waits for up to one second; the age leaves room for two reads with their network
// latency.
const defaultMaxOwnersAge = 2200 * time.Millisecond

// maxOwnersAge returns the maximum age of the last read of the owners' keys at which an owner
// may still answer that a job does not exist.
func maxOwnersAge(maxVisibilityDelay time.Duration) time.Duration {
	if maxVisibilityDelay > 0 {
		return min(defaultMaxOwnersAge, maxVisibilityDelay)
	}
	return defaultMaxOwnersAge
}

// nodesChanged processes changes of the keys of nodes and owners.
func (n *Node) nodesChanged([]bwkv.Item) {
	items, _ := n.nodeKeys.Items()
	var members []bwownership.Member
	dataCentres := make(map[string]string)
	owners := make(map[string]bwownership.Owner)
	for key, item := range items {
		if strings.HasPrefix(key, prefixPlacementKeys) {
			continue
		}
		var v keyValue
		if err := json.Unmarshal(item.Value, &v); err != nil {
			n.log.Error("failed to decode the key of a node", "key", key, "error", err.Error())
			continue
		}
		if pool, ok := strings.CutPrefix(key, prefixOwners); ok {
			owners[pool] = bwownership.Owner{Incarnation: v.Incarnation, Address: v.Address, Revision: item.Revision,
				IsReleased: v.IsReleased, EarlierOwnerMayAct: v.EarlierOwnerMayAct}
		} else if strings.HasPrefix(key, prefixMembers) {
			members = append(members, bwownership.Member{Incarnation: v.Incarnation, Address: v.Address, Revision: item.Revision, Cores: v.Cores})
			dataCentres[v.Incarnation] = v.DataCentre
		}
	}
	n.placements.update(maps.Values(items), n.nodeKeys.Revision())
	n.mu.Lock()
	n.view.SetMembers(members, n.deps.Clock.Now())
	n.view.SetOwners(owners, n.deps.Clock.Now())
	n.setRelayMembers(members, owners, dataCentres)
	replaced := n.replacedRoles(owners)
	n.mu.Unlock()
	for name, r := range replaced {
		n.dropRole(name, r, describeOwner(owners[name]))
	}
	n.claimRoles()
}

// replacedRoles returns the roles that run in this process although their key has been removed
// or has another revision. The caller must hold n.mu.
func (n *Node) replacedRoles(owners map[string]bwownership.Owner) map[string]role {
	list := make(map[string]role)
	for name, r := range n.roles {
		if owners[name].Revision != r.Fence() && n.nodeKeys.Covers(r.Fence()) {
			list[name] = r
		}
	}
	return list
}

// describeOwner tells the log who has replaced an owner.
func describeOwner(o bwownership.Owner) string {
	if o.Revision == 0 {
		return "owner's key has been removed"
	}
	return fmt.Sprintf("owner's key has revision %d of %s", o.Revision, o.Address)
}

// dropRole ends a role whose key was lost, without waiting for in-flight work.
func (n *Node) dropRole(name string, r role, reason string) {
	n.mu.Lock()
	if n.roles[name] == r {
		delete(n.roles, name)
	}
	n.mu.Unlock()
	n.log.Warn("role dropped after the loss of its key", "owned", name, "fence", r.Fence(), "reason", reason)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	go r.Stop(ctx)
}

// claimRoles claims the roles that this node should own.
func (n *Node) claimRoles() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isStopping || n.configuration == nil || !n.lease.isFresh() {
		return
	}
	ownedFences := make(map[string]int64, len(n.roles))
	for name, r := range n.roles {
		ownedFences[name] = r.Fence()
	}
	for _, c := range n.view.Decide(n.roleNames(), ownedFences, n.deps.Clock.Now()) {
		if n.claiming[c.Pool] || n.roles[c.Pool] != nil {
			continue
		}
		n.claiming[c.Pool] = true
		n.spawn(func() { n.claimRole(c) })
	}
}

// roleNames returns the names of all roles that need an owner: the pools with queues or with jobs and
// the host coordinator. The caller must hold n.mu.
func (n *Node) roleNames() []string {
	names := n.poolNames()
	if n.deps.Hosts != nil {
		names = append(names, hostsRole)
	}
	return names
}

// poolNames returns the sorted names of the pools that run the tasks of a queue or may hold jobs. The
// caller must hold n.mu.
func (n *Node) poolNames() []string {
	names := append(n.configuration.PoolsWithQueues(), n.placements.pools()...)
	names = append(names, n.earlierPools...)
	slices.Sort(names)
	return slices.Compact(names)
}

// claimRole tries to become the owner of a role.
func (n *Node) claimRole(c bwownership.Claim) {
	defer func() {
		n.mu.Lock()
		delete(n.claiming, c.Pool)
		n.mu.Unlock()
	}()
	claimed := n.keyValue()
	claimed.EarlierOwnerMayAct = c.PreviousOwnerMayAct
	value, err := json.Marshal(claimed)
	if err != nil {
		n.log.Error("failed to encode the owner's key", "error", err.Error())
		return
	}
	key := prefixOwners + c.Pool
	r := n.deps.Store.Transact(n.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: key, Revision: c.ExpectedRevision}},
		Set:      []bwkv.Write{{Key: key, Value: value, Lease: n.lease.currentID()}},
	})
	n.mu.Lock()
	roles, members := len(n.roles), n.view.MemberCount()
	n.mu.Unlock()
	n.log.Info("pool claimed", "pool", c.Pool, "reason", c.Reason, "expected", c.ExpectedRevision,
		"previousMayAct", c.PreviousOwnerMayAct, "outcome", r.Outcome.String(), "revision", r.Revision,
		"cores", n.identity.Cores, "otherRoles", roles, "members", members)
	if r.Outcome == bwkv.Committed {
		n.startRole(c, key, r.Revision)
	}
}

// startRole starts a role that was claimed.
func (n *Node) startRole(c bwownership.Claim, key string, fence int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isStopping {
		return
	}
	if n.nodeKeys.Covers(fence) {
		// Later changes of the key drop the role in nodesChanged.
		if items, _ := n.nodeKeys.Items(); items[key].Revision != fence {
			n.log.Warn("role not started; its key has changed during the claim", "owned", c.Pool, "fence", fence)
			return
		}
	}
	var r role
	if c.Pool == hostsRole {
		r = n.newCoordinator(key, fence)
	} else {
		r = n.newOwner(c, key, fence)
	}
	n.roles[c.Pool] = r
	delete(n.graceEnds, c.Pool)
	if c.PreviousOwnerMayAct {
		n.graceEnds[c.Pool] = n.deps.Clock.Now().Add(leaseTTL)
	}
	ctx := n.ctx
	relays := n.relayClients[c.Pool]
	n.spawn(func() {
		defer n.closeRelayClient(c.Pool, relays)
		if !n.deps.Guard.Run("role", func() { r.Run(ctx) }, "owned", c.Pool, "fence", fence) {
			n.roleLost(c.Pool, "unexpected error")
		}
	})
}

// newOwner returns the owner of a pool. The caller must hold n.mu.
func (n *Node) newOwner(c bwownership.Claim, key string, fence int64) *bwowner.Owner {
	ownership := bwowner.Ownership{Pool: c.Pool, Key: key, Fence: fence, PlacementPrefix: prefixPlacements + c.Pool + "/",
		PlacementVersionPrefix: prefixPlacementVersions}
	if c.PreviousOwnerMayAct {
		ownership.PreviousOwnerGrace = leaseTTL
	}
	relays := n.newRelayClient(c.Pool)
	o := bwowner.New(bwowner.Deps{
		Store:                n.deps.Store,
		Executors:            relays,
		IsRelayed:            relays.IsRelayed,
		Adviser:              n.adviser,
		Clock:                n.deps.Clock,
		Log:                  n.deps.Log,
		Metrics:              n.deps.Metrics.Owner(),
		IsOwnershipConfirmed: n.isConfirmed,
		IsOwnershipFresh:     n.isFresh,
		IsRegistryFresh:      n.isRegistryFresh,
		Placements:           n.placements,
		AskPool:              n.askPool,
		OnLost:               n.roleLost,
		Guard:                n.deps.Guard,
	}, ownership, n.ownerSettings)
	n.startReadingExecutors()
	o.SetQueues(n.configuration.Queues())
	o.SetExecutors(n.registrations[c.Pool])
	return o
}

// shedLoad hands over one role if another node has much less load than this one.
func (n *Node) shedLoad() {
	n.mu.Lock()
	isNeeded := n.configuration != nil && !n.isStopping && n.lease.isFresh() && n.view.NeedsHandover(n.deps.Clock.Now())
	roles := make(map[string]role, len(n.roles))
	for name, r := range n.roles {
		roles[name] = r
	}
	n.mu.Unlock()
	if !isNeeded {
		return
	}
	name := roleToShed(roles)
	if name == "" {
		return
	}
	n.log.Info("handing over a role to a node with less load", "owned", name, "roles", len(roles), "cores", n.identity.Cores)
	ctx, cancel := context.WithTimeout(n.ctx, handOverTimeout)
	defer cancel()
	n.handOver(ctx, name, roles[name])
}

// roleToShed returns the role whose handover disturbs the fewest callers: of several pools the one
// with the fewest active jobs, or else the host coordinator, which serves no callers, or the only
// pool. It returns "" if none can be handed over now.
func roleToShed(roles map[string]role) string {
	pools, least, fewest := 0, "", 0
	for name, r := range roles {
		o, ok := r.(*bwowner.Owner)
		if !ok {
			continue
		}
		pools++
		if jobs := o.CountActiveJobs(); o.IsReady() && (least == "" || jobs < fewest) {
			least, fewest = name, jobs
		}
	}
	if pools <= 1 && roles[hostsRole] != nil {
		return hostsRole
	}
	return least
}

// isConfirmed reports whether this node may still act as the owner of its roles: its lease
// cannot have expired, and the owners' keys were read within leaseTTL. A more recent
// replacement may be unknown here; therefore the successor waits for leaseTTL.
func (n *Node) isConfirmed() bool { return n.lease.isConfirmed() && n.hasRecentOwners(leaseTTL) }

// isFresh reports whether this node is certain that it still owns its roles.
func (n *Node) isFresh() bool { return n.lease.isFresh() && n.hasRecentOwners(n.maxOwnersAge) }

// hasRecentOwners reports whether the owners' keys were read within the given time.
func (n *Node) hasRecentOwners(d time.Duration) bool {
	return n.deps.Clock.Now().Sub(n.nodeKeys.FreshAt()) < d
}

// isRegistryFresh reports whether the registrations were read within maxCapacityDelay.
func (n *Node) isRegistryFresh() bool {
	return n.maxCapacityDelay == 0 || n.deps.Clock.Now().Sub(n.executorKeys.FreshAt()) < n.maxCapacityDelay
}

// roleLost drops a role that has detected its replacement.
func (n *Node) roleLost(pool, reason string) {
	n.mu.Lock()
	r := n.roles[pool]
	n.mu.Unlock()
	if r != nil {
		n.dropRole(pool, r, reason)
	}
}

// pingOwners asks the owners that this node may have to succeed which roles they run.
func (n *Node) pingOwners() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.configuration == nil || n.isStopping {
		return
	}
	for _, address := range n.view.AddressesToPing(n.roleNames(), n.deps.Clock.Now()) {
		if n.pinging[address] {
			continue
		}
		n.pinging[address] = true
		n.spawn(func() { n.pingOwner(address) })
	}
}

func (n *Node) pingOwner(address string) {
	sentAt := n.deps.Clock.Now()
	reply, err := n.deps.Mesh.Ping(n.ctx, address)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pinging, address)
	n.calls.record(peerCall{method: "ping", address: address}, err)
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
	}, sentAt, n.deps.Clock.Now())
}
