// Package bwownership decides which pools a node should try to own.
//
// The key-value service holds a key for each node and one for each owned pool. A node becomes
// the owner of a pool by writing the pool's key in a transaction. This package only decides
// which node should try: a View does no I/O. It is updated with the members, the owners and
// the owners' replies to pings, and returns the claims that this node should make.
//
// An owner is replaced when its key is gone, when another process answers at its address,
// when it reports that it does not run the pool, when it does not answer, or when it has lost
// its connection to the store while this node has not. Replacing a live owner is safe but
// wasteful, so the timeouts below are short.
package bwownership

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"github.com/cespare/xxhash/v2"
)

const (
	// PingInterval is the time between pings to an owner.
	PingInterval = 300 * time.Millisecond
	// silentFor is how long an owner may leave pings unanswered before it is replaced. It is
	// three ping intervals.
	silentFor = 900 * time.Millisecond
	// inactiveFor is how long an owner may report that it does not run the pool before it is
	// replaced. It covers the time from the claim of the pool to the first ping reply that
	// lists it.
	inactiveFor = 700 * time.Millisecond
	// storelessFor is how long an owner may report that it has lost the store before it is
	// replaced. An owner reports this only after failing to renew its lease for more than a
	// second, and refuses submissions meanwhile.
	storelessFor = 400 * time.Millisecond
	// rankDelay is the delay between the claims of consecutive successors. It covers a
	// transaction and the propagation of its result.
	rankDelay = 200 * time.Millisecond
	// settleFor is how long a new node waits before its first claim, so that nodes that
	// start together share the pools.
	settleFor = 400 * time.Millisecond
	// pausedFor is the gap between two decisions above which this process is assumed to
	// have been paused itself, so that missing ping replies are no evidence against owners.
	pausedFor = 600 * time.Millisecond
	// maxSuccessors is the maximum number of nodes that ping one owner.
	maxSuccessors = 8
)

// Member is one running node.
type Member struct {
	Incarnation string
	Address     string
	// Revision orders the incarnations at one address.
	Revision int64
	// Power is the CPU share of the node on its host, in cores; 0 counts as one core.
	Power float64
}

// burden returns the number of pools per core if the node owned one more pool.
func (m Member) burden(load map[string]int) float64 {
	power := m.Power
	if power <= 0 {
		power = 1
	}
	return float64(load[m.Incarnation]+1) / power
}

// Owner is the owner of a pool according to the pool's key.
type Owner struct {
	Incarnation string
	Address     string
	Revision    int64
	// IsReleased is set by an owner that has stopped and sends no more orders.
	IsReleased bool
}

// Answer is an owner's reply to a ping.
type Answer struct {
	Incarnation    string
	ActivePools    map[string]bool
	StoreReachable bool
}

// Claim is an attempt to become the owner of a pool.
type Claim struct {
	Pool string
	// Expected is the revision that the owner's key must have; 0 if there is no key.
	Expected int64
	// PreviousMayAct is false if there was no previous owner or it is known to have stopped.
	PreviousMayAct bool
	// Reason says why the pool needs an owner.
	Reason string
}

// heard records the ping replies of one incarnation at an address.
type heard struct {
	answer Answer
	at     bwclock.Time
	// storeAt is when a reply last reported the store reachable, and activeAt when one last
	// listed each pool as active.
	storeAt  bwclock.Time
	activeAt map[string]bwclock.Time
}

// suspicion records why and since when a pool needs a new owner.
type suspicion struct {
	reason   string
	revision int64
	since    bwclock.Time
}

// View is one node's view of the other nodes and of the owners of pools.
type View struct {
	self    Member
	members []Member
	owners  map[string]Owner
	last    map[string]Owner
	// ownedSince is when the latest owner of each pool was first seen.
	ownedSince map[string]bwclock.Time
	heard      map[string]*heard
	// asked holds the time since which each address has been pinged without interruption.
	asked    map[string]bwclock.Time
	suspects map[string]suspicion
	started  bwclock.Time
	decided  bwclock.Time
}

// NewView returns the view of a node that starts at now.
func NewView(self Member, now bwclock.Time) *View {
	return &View{
		self:       self,
		owners:     make(map[string]Owner),
		last:       make(map[string]Owner),
		ownedSince: make(map[string]bwclock.Time),
		heard:      make(map[string]*heard),
		asked:      make(map[string]bwclock.Time),
		suspects:   make(map[string]suspicion),
		started:    now,
		decided:    now,
	}
}

// SetMembers replaces the list of registered nodes. Of several nodes at one address only the
// one with the highest revision is kept, because the others no longer run.
func (v *View) SetMembers(list []Member) {
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
}

// SetOwners replaces the owners by pool.
func (v *View) SetOwners(owners map[string]Owner, now bwclock.Time) {
	v.owners = owners
	for pool, o := range owners {
		if v.last[pool] != o {
			v.last[pool] = o
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

// Members returns the number of running nodes.
func (v *View) Members() int { return len(v.members) }

// Hear records the ping reply of the process at an address.
func (v *View) Hear(address string, a Answer, now bwclock.Time) {
	h := v.heard[address]
	if h == nil || h.answer.Incarnation != a.Incarnation {
		h = &heard{storeAt: now, activeAt: make(map[string]bwclock.Time)}
		v.heard[address] = h
	}
	h.answer = a
	h.at = now
	if a.StoreReachable {
		h.storeAt = now
	}
	for pool := range a.ActivePools {
		h.activeAt[pool] = now
	}
}

// Ask returns the addresses of the owners that this node should ping now.
func (v *View) Ask(pools []string, now bwclock.Time) []string {
	seen := make(map[string]bool)
	var list []string
	defer func() { v.noteAsked(seen, now) }()
	load := v.load()
	for _, pool := range pools {
		o, ok := v.Owner(pool)
		if !ok || o.Incarnation == v.self.Incarnation || seen[o.Address] || v.rank(pool, load) >= maxSuccessors {
			continue
		}
		seen[o.Address] = true
		list = append(list, o.Address)
	}
	return list
}

// noteAsked records since when each address has been pinged. It drops addresses that are no
// longer pinged, because the absence of replies from them is no evidence of a failure.
func (v *View) noteAsked(asked map[string]bool, now bwclock.Time) {
	for address := range v.asked {
		if !asked[address] {
			delete(v.asked, address)
		}
	}
	for address := range asked {
		if _, ok := v.asked[address]; !ok {
			v.asked[address] = now
		}
	}
}

// Decide returns the claims that this node should make now. running maps the pools whose
// owner runs in this process to the revision of the owner's key.
func (v *View) Decide(pools []string, running map[string]int64, now bwclock.Time) []Claim {
	if now.Sub(v.decided) > pausedFor {
		v.resume(now)
	}
	v.decided = now
	if now.Sub(v.started) < settleFor {
		return nil
	}
	var claims []Claim
	load := v.load()
	for _, pool := range pools {
		if c, ok := v.decidePool(pool, running, load, now); ok {
			claims = append(claims, c)
		}
		if _, isOwned := v.Owner(pool); !isOwned {
			v.countSuccessor(pool, load)
		}
	}
	return claims
}

// load returns how many pools each node owns.
func (v *View) load() map[string]int {
	load := make(map[string]int)
	for _, o := range v.owners {
		if !o.IsReleased {
			load[o.Incarnation]++
		}
	}
	return load
}

// countSuccessor counts a pool without an owner for the node that should claim it, so that
// pools that lose their owners at the same time go to different nodes.
func (v *View) countSuccessor(pool string, load map[string]int) {
	var best *Member
	for i := range v.members {
		m := &v.members[i]
		if best == nil || isBefore(pool, *m, *best, load) {
			best = m
		}
	}
	if best != nil {
		load[best.Incarnation]++
	}
}

// isBefore reports whether node a precedes node b among the successors for a pool. Nodes
// with fewer pools per core come first; ties are broken by rendezvous hashing.
func isBefore(pool string, a, b Member, load map[string]int) bool {
	if la, lb := a.burden(load), b.burden(load); la != lb {
		return la < lb
	}
	weight := func(m Member) uint64 { return xxhash.Sum64String(pool + "\x00" + m.Incarnation) }
	return weight(a) > weight(b)
}

// resume restarts all timeouts after a pause of this process, during which it could not
// receive ping replies.
func (v *View) resume(now bwclock.Time) {
	for _, h := range v.heard {
		h.at, h.storeAt = now, now
		for pool := range h.activeAt {
			h.activeAt[pool] = now
		}
	}
	for pool := range v.ownedSince {
		v.ownedSince[pool] = now
	}
	for address := range v.asked {
		v.asked[address] = now
	}
	v.suspects = make(map[string]suspicion)
}

func (v *View) decidePool(pool string, running map[string]int64, load map[string]int, now bwclock.Time) (Claim, bool) {
	owner, isOwned := v.Owner(pool)
	if isOwned && running[pool] == owner.Revision {
		delete(v.suspects, pool)
		return Claim{}, false
	}
	reason, mayAct := v.suspect(pool, owner, isOwned, now)
	if reason == "" {
		delete(v.suspects, pool)
		return Claim{}, false
	}
	s := v.suspects[pool]
	if s.reason == "" || s.revision != owner.Revision {
		s = suspicion{reason: reason, revision: owner.Revision, since: now}
		v.suspects[pool] = s
	}
	rank := v.rank(pool, load)
	if rank >= maxSuccessors || now.Sub(s.since) < time.Duration(rank)*rankDelay {
		return Claim{}, false
	}
	return Claim{Pool: pool, Expected: owner.Revision, PreviousMayAct: mayAct, Reason: reason}, true
}

// suspect returns the reason why the pool needs a new owner, or "" if it needs none, and
// whether the previous owner may still act.
func (v *View) suspect(pool string, owner Owner, isOwned bool, now bwclock.Time) (reason string, mayAct bool) {
	if owner.IsReleased {
		return "owner has released the pool", false
	}
	if !isOwned {
		previous, hadOwner := v.last[pool]
		return "no owner", hadOwner && !v.hasStopped(pool, previous)
	}
	if owner.Incarnation == v.self.Incarnation {
		return "own key without an owner here", false
	}
	askedSince, isAsked := v.asked[owner.Address]
	if !isAsked {
		return "", false
	}
	since := max(v.ownedSince[pool], askedSince)
	h := v.heard[owner.Address]
	if h == nil {
		h = &heard{answer: Answer{Incarnation: owner.Incarnation}}
	}
	heardAt, activeAt, storeAt := max(h.at, since), max(h.activeAt[pool], since), max(h.storeAt, since)
	switch {
	case h.answer.Incarnation != owner.Incarnation && since.Before(h.at):
		return "owner has restarted", false
	case now.Sub(heardAt) >= silentFor:
		return "owner is silent", true
	case h.at.Sub(activeAt) >= inactiveFor:
		return "owner does not run the pool", false
	case h.at.Sub(storeAt) >= storelessFor:
		return "owner has lost the store", true
	default:
		return "", false
	}
}

// hasStopped reports whether a previous owner is known not to act for the pool any longer.
func (v *View) hasStopped(pool string, previous Owner) bool {
	if previous.Incarnation == v.self.Incarnation {
		return true
	}
	h := v.heard[previous.Address]
	return h != nil && h.at != bwclock.Never && (h.answer.Incarnation != previous.Incarnation || !h.answer.ActivePools[pool])
}

// rank returns this node's position among the successors for a pool; 0 is the first.
func (v *View) rank(pool string, load map[string]int) int {
	present := v.owners[pool].Incarnation
	rank := 0
	for _, m := range v.members {
		if m.Incarnation != v.self.Incarnation && m.Incarnation != present && isBefore(pool, m, v.self, load) {
			rank++
		}
	}
	return rank
}
