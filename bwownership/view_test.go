package bwownership_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwownership"
	"gotest.tools/v3/assert"
)

const start = bwclock.Time(1_000_000)

var pools = []string{"a", "b", "c"}

func member(name string, revision int64) bwownership.Member {
	return bwownership.Member{Incarnation: name, Address: name + ":70", Revision: revision}
}

func ownedBy(name string, revision int64) bwownership.Owner {
	return bwownership.Owner{Incarnation: name, Address: name + ":70", Revision: revision}
}

func newView(self string, others ...string) *bwownership.View {
	v := bwownership.NewView(member(self, 1), start)
	list := []bwownership.Member{member(self, 1)}
	for _, o := range others {
		list = append(list, member(o, 1))
	}
	v.SetMembers(list, start)
	return v
}

// decideUntilClaim calls Decide every 100 ms for up to d, and returns the first claims and
// the time after which they were made.
func decideUntilClaim(v *bwownership.View, from bwclock.Time, d time.Duration, beforeEach func(now bwclock.Time)) ([]bwownership.Claim, time.Duration) {
	for t := time.Duration(0); t <= d; t += 100 * time.Millisecond {
		now := from.Add(t)
		if beforeEach != nil {
			beforeEach(now)
		}
		v.AddressesToPing(pools, now)
		if claims := v.Decide(pools, nil, now); len(claims) > 0 {
			return claims, t
		}
	}
	return nil, d
}

func replyWith(v *bwownership.View, reply bwownership.PingReply) func(bwclock.Time) {
	return func(now bwclock.Time) { v.RecordReply("other:70", reply, now, now) }
}

func allActive() map[string]bool { return map[string]bool{"a": true, "b": true, "c": true} }

func ownAll(v *bwownership.View, name string) {
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy(name, 5), "b": ownedBy(name, 6), "c": ownedBy(name, 7)}, start)
}

func TestNodesThatStartTogetherShareThePools(t *testing.T) {
	total := 0
	for _, self := range []string{"n1", "n2", "n3"} {
		var others []string
		for _, o := range []string{"n1", "n2", "n3"} {
			if o != self {
				others = append(others, o)
			}
		}
		claims, _ := decideUntilClaim(newView(self, others...), start, time.Second, nil)
		assert.Equal(t, len(claims), 1)
		total += len(claims)
	}
	assert.Equal(t, total, 3)
}

func TestHealthyOwnerKeepsItsPools(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	claims, _ := decideUntilClaim(v, start, 20*time.Second, replyWith(v, bwownership.PingReply{Incarnation: "other", ActivePools: allActive(), StoreReachable: true}))
	assert.Equal(t, len(claims), 0)
}

func TestSilentOwnerIsReplaced(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	claims, took := decideUntilClaim(v, start, 5*time.Second, nil)
	assert.Equal(t, len(claims), 3)
	assert.Assert(t, took <= 1500*time.Millisecond, "took %s", took)
	assert.Equal(t, claims[0].ExpectedRevision, int64(5))
	assert.Equal(t, claims[0].PreviousOwnerMayAct, true)
}

func TestRestartedOwnerCannotActAnyMore(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	claims, took := decideUntilClaim(v, start, 5*time.Second, replyWith(v, bwownership.PingReply{Incarnation: "other again", StoreReachable: true}))
	assert.Equal(t, len(claims), 3)
	assert.Assert(t, took <= time.Second, "took %s", took)
	assert.Equal(t, claims[0].PreviousOwnerMayAct, false)
}

func TestOwnerThatDoesNotRunThePoolIsReplaced(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	claims, _ := decideUntilClaim(v, start, 5*time.Second, replyWith(v, bwownership.PingReply{Incarnation: "other", ActivePools: map[string]bool{"a": true, "c": true}, StoreReachable: true}))
	assert.Equal(t, len(claims), 1)
	assert.Equal(t, claims[0].Pool, "b")
	assert.Equal(t, claims[0].PreviousOwnerMayAct, true)
}

func TestOwnerWithoutTheStoreIsReplaced(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	claims, _ := decideUntilClaim(v, start, 5*time.Second, replyWith(v, bwownership.PingReply{Incarnation: "other", ActivePools: allActive()}))
	assert.Equal(t, len(claims), 3)
	assert.Equal(t, claims[0].PreviousOwnerMayAct, true)
}

// A new owner must have the full timeout to answer pings. Replies that the node sent before
// it owned the pool must not count against it.
func TestNewOwnerGetsTimeToAnswer(t *testing.T) {
	v := newView("self", "other")
	v.RecordReply("other:70", bwownership.PingReply{Incarnation: "other", StoreReachable: true}, start, start)
	now := start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		v.Decide(nil, nil, now)
	}
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy("other", 5), "b": ownedBy("other", 6), "c": ownedBy("other", 7)}, now)
	claims, took := decideUntilClaim(v, now, 5*time.Second, nil)
	assert.Equal(t, len(claims), 3)
	assert.Assert(t, took >= 900*time.Millisecond, "took %s", took)
}

// After this process itself was paused, missing ping replies must not count against owners.
func TestPauseOfThisProcessIsNoEvidenceAgainstOwners(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	v.RecordReply("other:70", bwownership.PingReply{Incarnation: "other", ActivePools: allActive(), StoreReachable: true}, start.Add(500*time.Millisecond), start.Add(500*time.Millisecond))
	v.Decide(pools, nil, start.Add(500*time.Millisecond))
	assert.Equal(t, len(v.Decide(pools, nil, start.Add(5*time.Second))), 0)
}

func TestOnlyLatestIncarnationAtAddressIsMember(t *testing.T) {
	v := newView("self")
	v.SetMembers([]bwownership.Member{member("self", 1), member("other", 2), {Incarnation: "other again", Address: "other:70", Revision: 9}}, start)
	assert.Equal(t, v.MemberCount(), 2)
}

// Guards against one node that claims most pools after all nodes have restarted.
func TestPoolsOfRestartedOwnersGoToDifferentNodes(t *testing.T) {
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6"}
	var pools, addresses []string
	var members []bwownership.Member
	owners := make(map[string]bwownership.Owner)
	for i, name := range names {
		pool := fmt.Sprintf("pool%d", i)
		pools, addresses = append(pools, pool), append(addresses, name+":70")
		members = append(members, bwownership.Member{Incarnation: name + " again", Address: name + ":70", Revision: 20})
		owners[pool] = ownedBy(name, int64(5+i))
	}
	for _, self := range members {
		v := bwownership.NewView(self, start)
		v.SetMembers(members, start)
		v.SetOwners(owners, start)
		for now := start; now.Before(start.Add(500 * time.Millisecond)); now = now.Add(100 * time.Millisecond) {
			v.AddressesToPing(pools, now)
			for i, address := range addresses {
				v.RecordReply(address, bwownership.PingReply{Incarnation: members[i].Incarnation, StoreReachable: true}, now, now.Add(50*time.Millisecond))
			}
			if claims := v.Decide(pools, nil, now.Add(100*time.Millisecond)); len(claims) > 0 {
				assert.Equal(t, len(claims), 1, "%s claims %v", self.Incarnation, claims)
			}
		}
	}
}

// decideHandover asks every 300 ms for up to d whether to hand over a pool, and returns after which
// time the answer was yes; d if it never was. The other node answers pings while reply is set.
func decideHandover(v *bwownership.View, d time.Duration, reply *bwownership.PingReply) time.Duration {
	for t := time.Duration(0); t < d; t += bwownership.PingInterval {
		now := start.Add(t)
		for _, address := range v.AddressesToPing(pools, now) {
			if reply != nil {
				v.RecordReply(address, *reply, now, now)
			}
		}
		if v.NeedsHandover(now) {
			return t
		}
	}
	return d
}

// Guards against pools that stay on a small or full node although another one is free.
func TestPoolsMoveToNodeWithLessLoad(t *testing.T) {
	running := &bwownership.PingReply{Incarnation: "other", StoreReachable: true}
	for _, c := range []struct {
		name                  string
		selfCores, otherCores float64
		reply                 *bwownership.PingReply
		want                  bool
	}{
		{"full node", 0.8, 0.8, running, true},
		{"small node", 0.2, 0.8, running, true},
		{"other node is much smaller", 0.8, 0.2, running, false},
		{"other node does not answer", 0.8, 0.8, nil, false},
		{"other node has lost the store", 0.8, 0.8, &bwownership.PingReply{Incarnation: "other"}, false},
		{"another process answers", 0.8, 0.8, &bwownership.PingReply{Incarnation: "other again", StoreReachable: true}, false},
	} {
		self, other := member("self", 1), member("other", 1)
		self.Cores, other.Cores = c.selfCores, c.otherCores
		v := bwownership.NewView(self, start)
		v.SetMembers([]bwownership.Member{self, other}, start)
		ownAll(v, "self")
		took := decideHandover(v, 10*time.Second, c.reply)
		assert.Equal(t, took < 10*time.Second, c.want, c.name)
		assert.Assert(t, took >= 2*time.Second, "%s: after %s", c.name, took)
	}
}

// Guards against pools that move back and forth between nodes with nearly the same load.
func TestBalancedNodesKeepTheirPools(t *testing.T) {
	v := newView("self", "other")
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy("self", 5), "b": ownedBy("self", 6), "c": ownedBy("other", 7)}, start)
	took := decideHandover(v, 10*time.Second, &bwownership.PingReply{Incarnation: "other", ActivePools: map[string]bool{"c": true}, StoreReachable: true})
	assert.Equal(t, took, 10*time.Second)
}

// A released pool is claimed without waiting for a timeout, because its owner has stopped.
func TestReleasedPoolIsClaimedAtOnce(t *testing.T) {
	v := newView("self", "other")
	ownAll(v, "other")
	reply := replyWith(v, bwownership.PingReply{Incarnation: "other", ActivePools: allActive(), StoreReachable: true})
	claims, _ := decideUntilClaim(v, start, 3*time.Second, reply)
	assert.Equal(t, len(claims), 0)
	released := ownedBy("other", 9)
	released.IsReleased = true
	now := start.Add(3100 * time.Millisecond)
	v.SetOwners(map[string]bwownership.Owner{"a": released, "b": ownedBy("other", 6), "c": ownedBy("other", 7)}, now)
	claims, took := decideUntilClaim(v, now, time.Second, reply)
	assert.Equal(t, len(claims), 1)
	assert.Equal(t, claims[0].ExpectedRevision, int64(9))
	assert.Equal(t, claims[0].PreviousOwnerMayAct, false)
	assert.Assert(t, took <= 200*time.Millisecond, "took %s", took)
	_, isOwned := v.Owner("a")
	assert.Equal(t, isOwned, false)
}

// Nodes with more CPU own more pools, in proportion to their cores.
func TestNodesWithMoreCoresOwnMorePools(t *testing.T) {
	members := []bwownership.Member{member("strong", 1), member("weak", 1)}
	members[0].Cores, members[1].Cores = 0.8, 0.192
	claimed := make(map[string]int)
	after := make(map[string]time.Duration)
	for _, self := range members {
		v := bwownership.NewView(self, start)
		v.SetMembers(members, start)
		var claims []bwownership.Claim
		claims, after[self.Incarnation] = decideUntilClaim(v, start, time.Second, nil)
		claimed[self.Incarnation] = len(claims)
	}
	assert.Equal(t, claimed["strong"], 3)
	// The weak node claims later, in case the strong one does not claim at all.
	assert.Assert(t, after["weak"] >= after["strong"]+200*time.Millisecond, "strong after %s, weak after %s", after["strong"], after["weak"])
}

// A node that has just become one of the successors has not pinged the owner before. It must
// wait for the full silence timeout before it claims.
func TestNewSuccessorPingsBeforeClaiming(t *testing.T) {
	self, other := member("self", 1), member("other", 1)
	self.Cores, other.Cores = 0.1, 1
	v := bwownership.NewView(self, start)
	members := []bwownership.Member{self, other}
	for i := range 20 {
		m := member(fmt.Sprintf("n%02d", i), 1)
		m.Cores = 1
		members = append(members, m)
	}
	v.SetMembers(members, start)
	ownAll(v, "other")
	claims, _ := decideUntilClaim(v, start, 20*time.Second, nil)
	assert.Equal(t, len(claims), 0, "there are 20 better successors")
	v.SetMembers(members[:2], start.Add(20*time.Second))
	claims, after := decideUntilClaim(v, start.Add(20*time.Second), 20*time.Second, nil)
	assert.Equal(t, len(claims), 3)
	assert.Assert(t, after >= 900*time.Millisecond, "claimed after %s", after)
}
