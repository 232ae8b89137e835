package bwmesh_test

import (
	"context"
	"errors"
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
		_ = bwmesh.Serve(ctx, listener, bwmesh.Services{Node: n}, nil)
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

// panickingNode panics in its first submission.
type panickingNode struct {
	slowNode
}

func (n *panickingNode) Submit(ctx context.Context, r *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	if n.calls.Load() == 0 {
		n.calls.Add(1)
		panic("unexpected")
	}
	return n.slowNode.Submit(ctx, r)
}

// Guards against one call that ends the process and all of its other calls.
func TestCallThatPanicsEndsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := bwpipe.New()
		n := &panickingNode{}
		served := make(chan struct{})
		listener := network.Listen(address)
		go func() {
			defer close(served)
			_ = bwmesh.Serve(ctx, listener, bwmesh.Services{Node: n}, nil)
		}()
		mesh := bwmesh.New(network.Dialer("10.0.0.2"))
		reply := mesh.Submit(ctx, address, "pool", nil)
		assert.Equal(t, reply.Verdict, bwowner.OK, reply.Reason)
		assert.Equal(t, n.calls.Load(), int64(2))
		mesh.Close()
		cancel()
		<-served
	})
}

// A message that cannot be decoded, or that is larger than a node accepts, is answered with an error, and
// the node goes on.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, message := range map[string][]byte{
		"random":    {0xff, 0xfe, 0x00, 0x17, 0x99, 0xab},
		"truncated": {0x02, 0x01, 0x01, 0x40},
		"huge":      append([]byte{0x02, 0x01, 0x01, 0xff, 0xff, 0xff, 0x7f}, make([]byte, 1<<20)...),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := bwpipe.New()
				dial := network.DialContext("10.0.0.3")
				n := &slowNode{}
				time.AfterFunc(time.Millisecond, func() {
					conn, err := dial(t.Context(), "tcp", address)
					assert.Check(t, err)
					_ = conn.SetDeadline(time.Now().Add(time.Second))
					_, _ = conn.Write(message)
					_ = conn.Close()
				})
				time.Sleep(0)
				assert.Equal(t, submitRepeatedly(t, network, n, 20), 20)
			})
		})
	}
}

// failingNode fails all submissions at once.
type failingNode struct {
	bwmesh.DRPCNodeUnimplementedServer
	calls atomic.Int64
}

func (n *failingNode) Submit(context.Context, *bwmesh.JobRequest) (*bwmesh.JobReply, error) {
	n.calls.Add(1)
	return nil, errors.New("failed")
}

// Guards against a call that keeps two nodes busy with attempts until its caller leaves.
func TestCallThatFailsAtOnceIsRepeatedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, network := &failingNode{}, bwpipe.New()
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		listener := network.Listen(address)
		go func() {
			defer close(served)
			_ = bwmesh.Serve(ctx, listener, bwmesh.Services{Node: n}, nil)
		}()
		mesh := bwmesh.New(network.Dialer("10.0.0.2"))
		caller, leave := context.WithTimeout(ctx, time.Second)
		assert.Equal(t, mesh.Submit(caller, address, "pool", nil).Verdict, bwowner.Unknown)
		assert.Assert(t, n.calls.Load() >= 10 && n.calls.Load() <= 25, "%d calls in a second", n.calls.Load())
		leave()
		mesh.Close()
		cancel()
		<-served
	})
}
