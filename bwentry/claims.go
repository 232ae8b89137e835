package bwentry

import (
	"context"
	"strconv"
	"time"

	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
)

const claimTimeout = 2 * time.Second

// claimRouter sends each claim to the entry that owns the shard of its key. Sending it to
// the wrong entry costs time but not safety, because the store's compare-and-swap accepts
// each batch only once.
type claimRouter struct {
	entry *Entry
}

// Claim claims the record's idempotency key for the given window.
func (c *claimRouter) Claim(ctx context.Context, r *bwclaim.Record, window time.Duration) bwclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner := c.shardOwner(r)
	if owner.IsSelf() {
		return c.entry.claimOwner.Claim(ctx, r, window)
	}
	request := &bwpeer.ClaimRequest{Record: r, WindowMillis: window.Milliseconds()}
	reply, err := c.entry.peers.Client(ctx, owner.Address()).Claim(ctx, request)
	if bwpeer.IsDialError(err) {
		return bwclaim.Result{}
	}
	if err != nil {
		c.entry.peers.CloseIdle(owner.Address())
		return bwclaim.NewResult(bwclaim.Uncertain, nil)
	}
	return bwclaim.NewResult(bwclaim.Verdict(reply.GetVerdict()), reply.GetRecord())
}

// Settle commits the outcome or the release of an attempt and reports whether the claim
// log holds it.
func (c *claimRouter) Settle(ctx context.Context, r *bwclaim.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner := c.shardOwner(r)
	if owner.IsSelf() {
		return c.entry.claimOwner.Settle(ctx, r).Verdict() == bwclaim.Committed
	}
	reply, err := c.entry.peers.Client(ctx, owner.Address()).Settle(ctx, &bwpeer.SettleRequest{Record: r})
	return err == nil && reply.GetSettled()
}

// IsLive reports whether the entry process with the incarnation may still be running.
func (c *claimRouter) IsLive(incarnation string) bool {
	return c.entry.membership.hasIncarnation(incarnation)
}

// shardOwner returns the entry that owns the shard of the record's key. A leaving entry is
// the owner itself if no other entry is live.
func (c *claimRouter) shardOwner(r *bwclaim.Record) bwmember.Member {
	shard := "claims/" + strconv.Itoa(bwclaim.ShardOf(r.GetKey()))
	owner, ok := bwmember.Owner(shard, c.entry.membership.live())
	if !ok {
		return c.entry.membership.self()
	}
	return owner
}
