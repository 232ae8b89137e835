package bwentry

import (
	"context"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwsearch"
)

// peerServer implements the RPCs that other entries and controllers call.
type peerServer struct {
	entry *Entry
}

// Submit runs a request that another entry has forwarded to this home.
func (p *peerServer) Submit(ctx context.Context, r *bwpeer.SubmitRequest) (*bwpeer.SubmitReply, error) {
	return p.entry.dispatcher.Submit(ctx, r), nil
}

// Cancel cancels a request that this entry received from a caller or runs as its home.
func (p *peerServer) Cancel(ctx context.Context, r *bwpeer.CancelRequest) (*bwpeer.CancelReply, error) {
	reply := &bwpeer.CancelReply{Incarnation: p.entry.incarnation}
	if bwaccount.IncarnationOf(r.GetRequestId()) == p.entry.incarnation {
		reply.Result = p.entry.cancel(ctx, r.GetRequestId())
		return reply, nil
	}
	reply.Result = p.entry.dispatcher.Cancel(r.GetRequestId())
	return reply, nil
}

// Claim commits a claim for another home.
func (p *peerServer) Claim(ctx context.Context, r *bwpeer.ClaimRequest) (*bwpeer.ClaimReply, error) {
	window := time.Duration(r.GetWindowMillis()) * time.Millisecond
	result := p.entry.claimOwner.Claim(ctx, r.GetRecord(), window)
	return &bwpeer.ClaimReply{Verdict: bwpeer.Verdict(result.Verdict()), Record: result.Record()}, nil
}

// Settle commits an outcome for another home.
func (p *peerServer) Settle(ctx context.Context, r *bwpeer.SettleRequest) (*bwpeer.SettleReply, error) {
	result := p.entry.claimOwner.Settle(ctx, r.GetRecord())
	return &bwpeer.SettleReply{Settled: result.Verdict() == bwclaim.Committed}, nil
}

// Heartbeat records a peer's heartbeat and returns this entry's.
func (p *peerServer) Heartbeat(_ context.Context, heartbeat *bwpeer.Beat) (*bwpeer.Beat, error) {
	p.entry.membership.recordHeartbeat(heartbeat)
	return p.entry.membership.ownHeartbeat(), nil
}

// Lookup returns the matching accounts that this entry holds in memory.
func (p *peerServer) Lookup(_ context.Context, r *bwpeer.LookupRequest) (*bwpeer.LookupReply, error) {
	return &bwpeer.LookupReply{Accounts: p.entry.recorder.Find(bwsearch.QueryOf(r))}, nil
}

// Pull returns the configuration changes after a revision.
func (p *peerServer) Pull(_ context.Context, r *bwpeer.PullRequest) (*bwpeer.PullReply, error) {
	return p.entry.replica.BuildPullReply(r.GetAfterRevision()), nil
}

// HostStatus returns how many requests this entry has in flight to a host and whether it
// may send more.
func (p *peerServer) HostStatus(_ context.Context, r *bwpeer.HostStatusRequest) (*bwpeer.HostStatusReply, error) {
	// Read the revision first, so that the rest of the reply is at least as new.
	revision := p.entry.appliedRevision()
	inFlight, dispatching := p.entry.dispatcher.HostStatus(r.GetHost())
	return &bwpeer.HostStatusReply{
		Entry:       p.entry.incarnation,
		Revision:    revision,
		InFlight:    int32(inFlight),
		Dispatching: dispatching,
	}, nil
}
