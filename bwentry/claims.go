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

// claimRouter sends claims to the entry that should commit their shard. A wrong choice
// costs time and no safety, because the store admits each batch only once.
type claimRouter struct {
	entry *Entry
}

// Claim asks for the record's key.
func (c *claimRouter) Claim(ctx context.Context, r *bwclaim.Record, window time.Duration) bwclaim.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner := c.ownerOf(r)
	if owner.IsSelf() {
		return c.entry.owner.Claim(ctx, r, window)
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

// Settle records an outcome and reports whether it stands in the log.
func (c *claimRouter) Settle(ctx context.Context, r *bwclaim.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner := c.ownerOf(r)
	if owner.IsSelf() {
		return c.entry.owner.Settle(ctx, r).Verdict() == bwclaim.Committed
	}
	reply, err := c.entry.peers.Client(ctx, owner.Address()).Settle(ctx, &bwpeer.SettleRequest{Record: r})
	return err == nil && reply.GetSettled()
}

// IsLive reports whether the run of an entry may still be working.
func (c *claimRouter) IsLive(incarnation string) bool {
	return c.entry.mesh.hasIncarnation(incarnation)
}

// ownerOf returns the entry that should commit the record's shard. A leaving entry is
// its own owner when nobody else is live.
func (c *claimRouter) ownerOf(r *bwclaim.Record) bwmember.Member {
	shard := "claims/" + strconv.Itoa(bwclaim.ShardOf(r.GetKey()))
	owner, ok := bwmember.Owner(shard, c.entry.mesh.live())
	if !ok {
		return c.entry.mesh.self()
	}
	return owner
}
