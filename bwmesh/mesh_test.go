package bwmesh_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpipe"
	"gotest.tools/v3/assert"
)

const address = "10.0.0.1:70"

// slowNode replies to submissions after a delay and counts them.
type slowNode struct {
	bwmesh.DRPCNodeUnimplementedServer
	delay time.Duration
	calls atomic.Int64
}

func (n *slowNode) Submit(context.Context, *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	n.calls.Add(1)
	time.Sleep(n.delay)
	return bwmesh.EncodeReply(bwowner.Reply{Verdict: bwowner.OK}), nil
}

// submitRepeatedly submits jobs one after the other, each with a caller that waits for 2.85 s, and
// returns how many were accepted.
func submitRepeatedly(t *testing.T, network *bwpipe.Network, n *slowNode, jobs int) int {
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	listener := network.Listen(address)
	go func() {
		defer close(served)
		_ = bwmesh.Serve(ctx, listener, n)
	}()
	mesh := bwmesh.New(network.Dialer("10.0.0.2"))
	accepted := 0
	for range jobs {
		caller, leave := context.WithTimeout(ctx, 2850*time.Millisecond)
		if mesh.Submit(caller, address, "pool", nil).Verdict == bwowner.OK {
			accepted++
		}
		leave()
	}
	mesh.Close()
	time.Sleep(n.delay)
	cancel()
	<-served
	return accepted
}

// Guards against calls that are given up and sent again while a node is slow under load.
func TestSlowNodeGetsEachCallOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &slowNode{delay: 1500 * time.Millisecond}
		accepted := submitRepeatedly(t, bwpipe.New(), n, 20)
		assert.Equal(t, accepted, 20)
		// The first call may be repeated: the node is not known to be slow yet.
		assert.Assert(t, n.calls.Load() <= 21, "%d calls for 20 jobs", n.calls.Load())
	})
}

// A connection that has gone silent must not delay a call for longer than one attempt.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &slowNode{delay: 5 * time.Millisecond}
		network := bwpipe.New()
		startedAt := time.Now()
		time.AfterFunc(52*time.Millisecond, func() { network.BlackholeConnections("10.0.0.1", "10.0.0.2") })
		assert.Equal(t, submitRepeatedly(t, network, n, 100), 100)
		assert.Assert(t, time.Since(startedAt) < 2*time.Second, "%s", time.Since(startedAt))
	})
}
