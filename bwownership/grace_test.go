package bwownership_test

import (
	"testing"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwownership"
	"gotest.tools/v3/assert"
)

// mayActAtClaimOf returns whether the next claim of a pool lets the previous owner act.
func mayActAtClaimOf(t *testing.T, v *bwownership.View, pool string, from bwclock.Time) bool {
	t.Helper()
	for d := time.Duration(0); d <= 3*time.Second; d += 100 * time.Millisecond {
		v.AddressesToPing([]string{pool}, from.Add(d))
		for _, c := range v.Decide([]string{pool}, nil, from.Add(d)) {
			return c.PreviousOwnerMayAct
		}
	}
	t.Fatalf("pool %s was not claimed", pool)
	return false
}

// pass lets time pass without a claim.
func pass(v *bwownership.View, from bwclock.Time, d time.Duration) bwclock.Time {
	for t := time.Duration(0); t < d; t += 100 * time.Millisecond {
		v.Decide(nil, nil, from.Add(t))
	}
	return from.Add(d)
}

// Guards against a ping reply from before the claim that counts as proof that the owner has stopped.
func TestReplyBeforeOwnershipIsNoProofOfStop(t *testing.T) {
	v := newView("self", "other")
	v.RecordReply("other:70", bwownership.PingReply{Incarnation: "other", StoreReachable: true}, start, start)
	now := pass(v, start, 100*time.Millisecond)
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy("other", 5)}, now)
	now = pass(v, now, 10*time.Second)
	v.SetOwners(map[string]bwownership.Owner{}, now)
	assert.Equal(t, mayActAtClaimOf(t, v, "a", now), true)
}

// Guards against a reply of an earlier process at the address that counts as proof that the owner has restarted.
func TestReplyOfEarlierProcessIsNoProofOfRestart(t *testing.T) {
	v := newView("self", "other")
	v.RecordReply("other:70", bwownership.PingReply{Incarnation: "other before", StoreReachable: true}, start, start)
	now := pass(v, start, 100*time.Millisecond)
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy("other", 5)}, now)
	now = pass(v, now, 10*time.Second)
	v.SetOwners(map[string]bwownership.Owner{}, now)
	assert.Equal(t, mayActAtClaimOf(t, v, "a", now), true)
}

// Guards against a node that has started after the owner's key went away and takes that for no owner ever.
func TestNodeThatNeverSawAnOwnerWaitsForIt(t *testing.T) {
	v := newView("self", "other")
	v.SetOwners(map[string]bwownership.Owner{}, start)
	assert.Equal(t, mayActAtClaimOf(t, v, "a", start), true)
}

// Guards against a reply to a ping from before the owner's claim, which an earlier process at its address has answered.
func TestPingFromBeforeTheClaimIsNoProofOfRestart(t *testing.T) {
	v := newView("self", "other")
	v.SetOwners(map[string]bwownership.Owner{"a": ownedBy("other before", 4)}, start)
	now := pass(v, start, 100*time.Millisecond)
	v.AddressesToPing([]string{"a"}, now)
	sentAt := now
	now = pass(v, now, 300*time.Millisecond)
	v.SetOwners(map[string]bwownership.Owner{"a": {Incarnation: "other", Address: "other before:70", Revision: 5}}, now)
	now = pass(v, now, 100*time.Millisecond)
	v.RecordReply("other before:70", bwownership.PingReply{Incarnation: "other before", StoreReachable: true}, sentAt, now)
	v.AddressesToPing([]string{"a"}, now)
	now = pass(v, now, 100*time.Millisecond)
	assert.Equal(t, len(v.Decide([]string{"a"}, nil, now)), 0)
}
