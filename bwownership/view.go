// Package bwownership decides which pools a node should try to own.
//
// The key-value service holds a key for each node and one for each owned pool. A node becomes
// the owner of a pool by writing the pool's key in a transaction. This package only decides
// which node should try: a View does no I/O. It is updated with the members, the owners and
// the owners' replies to pings, and returns the claims that this node should make and the need
// to hand over a pool to a node with less load.
//
// An owner is replaced when its key is gone, when another process answers at its address,
// when it reports that it does not run the pool, when it does not answer, or when it has lost
// its connection to the store while this node has not. Replacing a live owner is safe but
// wasteful, so the timeouts below are short.
package bwownership

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseTTL is the TTL of the lease to which the keys of a node are attached. A node that is replaced
	// without knowing it acts for at most this time since it was last certain of its ownership.
	LeaseTTL = 6 * time.Second
	// PingInterval is the time between pings to an owner.
	PingInterval = 300 * time.Millisecond
	// silenceTimeout is how long an owner may leave pings unanswered before it is replaced. It
	// is three ping intervals.
	silenceTimeout = 900 * time.Millisecond
	// inactiveTimeout is how long an owner may report that it does not run the pool before it is
	// replaced. It covers the time from the claim of the pool to the first ping reply that
	// lists it.
	inactiveTimeout = 700 * time.Millisecond
	// storeLossTimeout is how long an owner may report that it has lost the store before it is
	// replaced. An owner reports this only after failing to renew its lease for more than a
	// second, and refuses submissions meanwhile.
	storeLossTimeout = 400 * time.Millisecond
	// successorDelay is the delay between the claims of consecutive successors. It covers a
	// transaction and the propagation of its result.
	successorDelay = 200 * time.Millisecond
	// startupDelay is how long a new node waits before its first claim, so that nodes that
	// start together share the pools.
	startupDelay = 400 * time.Millisecond
	// pauseThreshold is the time between two decisions above which this process is assumed to
	// have been paused itself, so that missing ping replies do not indicate a failed owner.
	pauseThreshold = 600 * time.Millisecond
	// maxSuccessors is the maximum number of nodes that ping one owner.
	maxSuccessors = 8
	// minLoadRatio is how many times the pools per core that another node would have must fit
	// into those of this node before this node hands over a pool.
	minLoadRatio = 1.25
	// settleTime is how long a node must have been registered, and the need to hand over a pool
	// must have lasted, before a pool is handed over.
	settleTime = 2 * time.Second
	// maxReplyAge is the maximum age of a ping reply of a node that is to take over a pool. It
	// is two ping intervals and a margin.
	maxReplyAge = 800 * time.Millisecond
	// maxHandoverTargets is the maximum number of nodes that are pinged in order to hand over a
	// pool to one of them.
	maxHandoverTargets = 3
)

// Member is one running node.
type Member struct {
	Incarnation string
	Address     string
	// Revision orders the incarnations at one address.
	Revision int64
	// Cores is the share of its host's CPU that the node gets, in cores; 0 counts as one core.
	Cores float64
}

// poolsPerCore returns the number of pools per core if the node owned a number of pools more.
func (m Member) poolsPerCore(poolCounts map[string]int, more int) float64 {
	cores := m.Cores
	if cores <= 0 {
		cores = 1
	}
	return float64(poolCounts[m.Incarnation]+more) / cores
}

// Owner is the owner of a pool according to the pool's key.
type Owner struct {
	Incarnation string
	Address     string
	Revision    int64
	// IsReleased is set by an owner that has stopped and sends no more orders.
	IsReleased bool
	// EarlierOwnerMayAct is set if the owner before this one might still act when the key was written.
	EarlierOwnerMayAct bool
}

// PingReply is an owner's reply to a ping.
type PingReply struct {
	Incarnation    string
	ActivePools    map[string]bool
	StoreReachable bool
}

// Claim is an attempt to become the owner of a pool.
type Claim struct {
	Pool string
	// ExpectedRevision is the revision that the owner's key must have; 0 if there is no key.
	ExpectedRevision int64
	// PreviousOwnerMayAct is set if a previous owner is not known to have stopped, so that it may still
	// send orders.
	PreviousOwnerMayAct bool
	// Reason says why the pool needs an owner.
	Reason string
}

// pingHistory records the ping replies of one incarnation at an address.
type pingHistory struct {
	reply     PingReply
	sentAt    bwclock.Time
	repliedAt bwclock.Time
	// storeReachableAt is when a reply last reported the store reachable, and activeAt when
	// one last listed each pool as active.
	storeReachableAt bwclock.Time
	activeAt         map[string]bwclock.Time
}

// suspicion records why and since when a pool needs a new owner.
type suspicion struct {
	reason   string
	revision int64
	since    bwclock.Time
}

// View is one node's view of the other nodes and of the owners of pools.
type View struct {
	self       Member
	members    []Member
	owners     map[string]Owner
	lastOwners map[string]Owner
	// ownedSince is when the latest owner of each pool was first seen.
	ownedSince map[string]bwclock.Time
	pings      map[string]*pingHistory
	// pingedSince holds the time since which each address has been pinged without interruption.
	pingedSince map[string]bwclock.Time
	suspicions  map[string]suspicion
	// registeredSince holds the time since which each member has been known.
	registeredSince map[string]bwclock.Time
	// overloadedSince is the time since which another node could take over a pool of this one.
	overloadedSince bwclock.Time
	startedAt       bwclock.Time
	decidedAt       bwclock.Time
}

// NewView returns the view of a node that starts at now.
func NewView(self Member, now bwclock.Time) *View {
	return &View{
		self:        self,
		owners:      make(map[string]Owner),
		lastOwners:  make(map[string]Owner),
		ownedSince:  make(map[string]bwclock.Time),
		pings:       make(map[string]*pingHistory),
		pingedSince: make(map[string]bwclock.Time),
		suspicions:  make(map[string]suspicion),
		startedAt:   now,
		decidedAt:   now,

		registeredSince: make(map[string]bwclock.Time),
	}
}

// SetMembers replaces the list of registered nodes. Of several nodes at one address only the
// one with the highest revision is kept, because the others no longer run.
func (v *View) SetMembers(list []Member, now bwclock.Time) {
	latest := make(map[string]Member)
	for _, m := range list {
		if m.Revision >= latest[m.Address].Revision {
			latest[m.Address] = m
		}
	}
	v.members = v.members[:0]
	for _, m := range latest {
		v.members = append(v.members, m)
	}
	sort.Slice(v.members, func(a, b int) bool { return v.members[a].Incarnation < v.members[b].Incarnation })
	since := make(map[string]bwclock.Time, len(v.members))
	for _, m := range v.members {
		since[m.Incarnation] = now
		if earlier, ok := v.registeredSince[m.Incarnation]; ok {
			since[m.Incarnation] = earlier
		}
	}
	v.registeredSince = since
}

// SetOwners replaces the owners by pool.
func (v *View) SetOwners(owners map[string]Owner, now bwclock.Time) {
	v.owners = owners
	for pool, o := range owners {
		if v.lastOwners[pool] != o {
			v.lastOwners[pool] = o
			v.ownedSince[pool] = now
		}
	}
}

// Owner returns the owner of a pool according to its key. It returns false if there is none
// or it has released the pool.
func (v *View) Owner(pool string) (Owner, bool) {
	o, ok := v.owners[pool]
	return o, ok && !o.IsReleased
}

// MemberCount returns the number of running nodes.
func (v *View) MemberCount() int { return len(v.members) }

// RecordReply records the reply of the process at an address to a ping that was sent at sentAt.
func (v *View) RecordReply(address string, reply PingReply, sentAt, now bwclock.Time) {
	h := v.pings[address]
	if h == nil || h.reply.Incarnation != reply.Incarnation {
		h = &pingHistory{storeReachableAt: now, activeAt: make(map[string]bwclock.Time)}
		v.pings[address] = h
	}
	h.reply = reply
	h.sentAt, h.repliedAt = sentAt, now
	if reply.StoreReachable {
		h.storeReachableAt = now
	}
	for pool := range reply.ActivePools {
		h.activeAt[pool] = now
	}
}

// AddressesToPing returns the addresses of the owners, and of the nodes that may take over a pool
// of this node, that this node should ping now.
func (v *View) AddressesToPing(pools []string, now bwclock.Time) []string {
	seen := make(map[string]bool)
	var list []string
	defer func() { v.updatePinged(seen, now) }()
	poolCounts := v.poolCounts()
	for _, pool := range pools {
		o, ok := v.Owner(pool)
		if !ok || o.Incarnation == v.self.Incarnation || seen[o.Address] || v.rank(pool, poolCounts) >= maxSuccessors {
			continue
		}
		seen[o.Address] = true
		list = append(list, o.Address)
	}
	for _, m := range v.handoverTargets(poolCounts) {
		if !seen[m.Address] {
			seen[m.Address] = true
			list = append(list, m.Address)
		}
	}
	return list
}

// updatePinged records since when each address has been pinged. It drops addresses that are
// no longer pinged, because the absence of replies from them does not indicate a failure.
func (v *View) updatePinged(pinged map[string]bool, now bwclock.Time) {
	for address := range v.pingedSince {
		if !pinged[address] {
			delete(v.pingedSince, address)
		}
	}
	for address := range pinged {
		if _, ok := v.pingedSince[address]; !ok {
			v.pingedSince[address] = now
		}
	}
}

// Decide returns the claims that this node should make now. running maps the pools whose
// owner runs in this process to the revision of the owner's key.
func (v *View) Decide(pools []string, running map[string]int64, now bwclock.Time) []Claim {
	if now.Sub(v.decidedAt) > pauseThreshold {
		v.resetTimeouts(now)
	}
	v.decidedAt = now
	if now.Sub(v.startedAt) < startupDelay {
		return nil
	}
	var claims []Claim
	poolCounts := v.poolCounts()
	for _, pool := range pools {
		reason, previousOwnerMayAct := v.replacementReason(pool, running, now)
		previousOwnerMayAct = previousOwnerMayAct || v.earlierOwnerMayAct(pool, now)
		if reason == "" {
			delete(v.suspicions, pool)
			continue
		}
		c := Claim{Pool: pool, ExpectedRevision: v.owners[pool].Revision, PreviousOwnerMayAct: previousOwnerMayAct, Reason: reason}
		if v.isDue(c, poolCounts, now) {
			claims = append(claims, c)
		}
		v.countSuccessor(pool, poolCounts)
	}
	return claims
}

// poolCounts returns how many pools each node owns.
func (v *View) poolCounts() map[string]int {
	counts := make(map[string]int)
	for _, o := range v.owners {
		if !o.IsReleased {
			counts[o.Incarnation]++
		}
	}
	return counts
}

// countSuccessor counts a pool that needs a new owner for the node that should claim it, so
// that pools that lose their owners at the same time go to different nodes.
func (v *View) countSuccessor(pool string, poolCounts map[string]int) {
	current := v.owners[pool].Incarnation
	var best *Member
	for i := range v.members {
		m := &v.members[i]
		if m.Incarnation == current && m.Incarnation != v.self.Incarnation {
			continue
		}
		if best == nil || precedes(pool, *m, *best, poolCounts) {
			best = m
		}
	}
	if best != nil {
		poolCounts[best.Incarnation]++
	}
}

// precedes reports whether node a precedes node b among the successors for a pool. Nodes
// with fewer pools per core come first; ties are broken by rendezvous hashing.
func precedes(pool string, a, b Member, poolCounts map[string]int) bool {
	if la, lb := a.poolsPerCore(poolCounts, 1), b.poolsPerCore(poolCounts, 1); la != lb {
		return la < lb
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(pool + "\x00" + m.Incarnation) }
	return weight(a) > weight(b)
}

// NeedsHandover reports whether this node should hand over one of its pools, because another node
// that runs and reaches the store has much less load. Pools gather on one node when the others
// are away, and stay there unless they are handed over. It returns true at most once in
// settleTime, so that the effect of one handover is known before the next.
func (v *View) NeedsHandover(now bwclock.Time) bool {
	if !v.hasHandoverTarget(now) {
		v.overloadedSince = bwclock.Never
		return false
	}
	if v.overloadedSince == bwclock.Never {
		v.overloadedSince = now
	}
	if now.Sub(v.overloadedSince) < settleTime {
		return false
	}
	v.overloadedSince = bwclock.Never
	return true
}

func (v *View) hasHandoverTarget(now bwclock.Time) bool {
	for _, m := range v.handoverTargets(v.poolCounts()) {
		h := v.pings[m.Address]
		if h != nil && h.reply.Incarnation == m.Incarnation && h.reply.StoreReachable && now.Sub(h.repliedAt) < maxReplyAge &&
			now.Sub(v.registeredSince[m.Incarnation]) >= settleTime {
			return true
		}
	}
	return false
}

// handoverTargets returns the nodes to which a pool of this node should move, those with the
// least load first.
func (v *View) handoverTargets(poolCounts map[string]int) []Member {
	own := v.self.poolsPerCore(poolCounts, 0)
	var list []Member
	for _, m := range v.members {
		if m.Incarnation != v.self.Incarnation && own >= minLoadRatio*m.poolsPerCore(poolCounts, 1) {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b Member) int {
		return cmp.Compare(a.poolsPerCore(poolCounts, 1), b.poolsPerCore(poolCounts, 1))
	})
	return list[:min(len(list), maxHandoverTargets)]
}

// resetTimeouts restarts all timeouts after a pause of this process, during which it could
// not receive ping replies.
func (v *View) resetTimeouts(now bwclock.Time) {
	for _, h := range v.pings {
		h.repliedAt, h.storeReachableAt = now, now
		for pool := range h.activeAt {
			h.activeAt[pool] = now
		}
	}
	for pool := range v.ownedSince {
		v.ownedSince[pool] = now
	}
	for address := range v.pingedSince {
		v.pingedSince[address] = now
	}
	v.suspicions = make(map[string]suspicion)
	v.overloadedSince = bwclock.Never
}

// isDue reports whether this node should make a claim now: each successor waits for the better
// ones, counted from when the pool was first seen to need a new owner.
func (v *View) isDue(c Claim, poolCounts map[string]int, now bwclock.Time) bool {
	s := v.suspicions[c.Pool]
	if s.reason == "" || s.revision != c.ExpectedRevision {
		s = suspicion{reason: c.Reason, revision: c.ExpectedRevision, since: now}
		v.suspicions[c.Pool] = s
	}
	rank := v.rank(c.Pool, poolCounts)
	return rank < maxSuccessors && now.Sub(s.since) >= time.Duration(rank)*successorDelay
}

// replacementReason returns the reason why the pool needs a new owner, or "" if it needs
// none, and whether the previous owner may still act.
func (v *View) replacementReason(pool string, running map[string]int64, now bwclock.Time) (reason string, previousOwnerMayAct bool) {
	owner, isOwned := v.Owner(pool)
	if isOwned && running[pool] == owner.Revision {
		return "", false
	}
	if owner.IsReleased {
		return "owner has released the pool", false
	}
	if !isOwned {
		// The previous owner may not have noticed the loss of its key.
		return "no owner", true
	}
	if owner.Incarnation == v.self.Incarnation {
		return "own key without an owner here", false
	}
	pingedSince, isPinged := v.pingedSince[owner.Address]
	if !isPinged {
		return "", false
	}
	since := max(v.ownedSince[pool], pingedSince)
	h := v.pings[owner.Address]
	if h == nil {
		h = &pingHistory{reply: PingReply{Incarnation: owner.Incarnation}}
	}
	repliedAt, activeAt, storeReachableAt := max(h.repliedAt, since), max(h.activeAt[pool], since), max(h.storeReachableAt, since)
	switch {
	case h.reply.Incarnation != owner.Incarnation && !h.sentAt.Before(since):
		return "owner has restarted", false
	case now.Sub(repliedAt) >= silenceTimeout:
		return "owner is silent", true
	case h.repliedAt.Sub(activeAt) >= inactiveTimeout:
		return "owner does not run the pool", true
	case h.repliedAt.Sub(storeReachableAt) >= storeLossTimeout:
		return "owner has lost the store", true
	default:
		return "", false
	}
}

// earlierOwnerMayAct reports whether the owner before the previous one may still act.
func (v *View) earlierOwnerMayAct(pool string, now bwclock.Time) bool {
	return v.lastOwners[pool].EarlierOwnerMayAct && now.Sub(v.ownedSince[pool]) < LeaseTTL
}

// rank returns this node's position among the successors for a pool; 0 is the first.
func (v *View) rank(pool string, poolCounts map[string]int) int {
	current := v.owners[pool].Incarnation
	rank := 0
	for _, m := range v.members {
		if m.Incarnation != v.self.Incarnation && m.Incarnation != current && precedes(pool, m, v.self, poolCounts) {
			rank++
		}
	}
	return rank
}
