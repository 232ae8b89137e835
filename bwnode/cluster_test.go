package bwnode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwrelay"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwseed"
	"basilwood.example/basilwood/bwstandin"
	"basilwood.example/basilwood/platform"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

const (
	executorLeaseTTL = 3500 * time.Millisecond
	// capacityDelay is the time within which nodes must take a new capacity into account.
	capacityDelay  = 3 * time.Second
	prefixRegistry = platform.PrefixExecutors
	prefixNodes    = "nodes/"
	keyConfig      = "operators/config"
)

// cluster is a set of nodes with an in-memory store, network and executors.
type cluster struct {
	t          *testing.T
	rng        *rand.Rand
	kv         *bwstandin.KV
	executors  *bwstandin.Executors
	network    *bwpipe.Network
	goroutines sync.WaitGroup
	nodes      []*testNode
	started    int
	queues     []bwfleet.Queue
	configure  []func(*bwnode.Deps)
	relays     bwrelay.Limits
	logs       strings.Builder
	logMu      sync.Mutex
}

// testNode is one running node of a cluster.
type testNode struct {
	node      *bwnode.Node
	host      string
	cancel    context.CancelFunc
	store     *nodeStore
	executors *nodeExecutors
}

// nodeStore is one node's access to the store. Its watches hang while isWatchBlocked is set, those
// of the registry while isRegistryBlocked is set, and those of the keys of nodes while isNodesBlocked is set.
type nodeStore struct {
	*bwstandin.KV
	isWatchBlocked    atomic.Bool
	isRegistryBlocked atomic.Bool
	isNodesBlocked    atomic.Bool
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bwkv.Item, int64, error) {
	items, revision, err := s.KV.Watch(ctx, prefix, after, wait)
	if s.isWatchBlocked.Load() || prefix == prefixRegistry && s.isRegistryBlocked.Load() || prefix == prefixNodes && s.isNodesBlocked.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return items, revision, err
}

// nodeExecutors is one node's access to the executors, some of which may be unreachable.
type nodeExecutors struct {
	*bwstandin.Executors
	unreachable sync.Map
}

func (e *nodeExecutors) isUnreachable(id string) bool {
	_, ok := e.unreachable.Load(id)
	return ok
}

func (e *nodeExecutors) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	if e.isUnreachable(target.ID) {
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	return e.Executors.RenewLease(ctx, target, renewal)
}

func (e *nodeExecutors) Order(ctx context.Context, target bwowner.Target, o bwschedule.Order, fence, until int64) bwowner.ExecutorReply {
	if e.isUnreachable(target.ID) {
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	return e.Executors.Order(ctx, target, o, fence, until)
}

// newCluster starts a cluster. The functions in configure change the dependencies of each node.
func newCluster(t *testing.T, seed uint64, nodes, executors int, configure ...func(*bwnode.Deps)) *cluster {
	return newClusterWithRelays(t, seed, nodes, executors, bwrelay.Limits{}, configure...)
}

// newClusterWithRelays starts a cluster whose pools use relays from the given numbers of executors on.
func newClusterWithRelays(t *testing.T, seed uint64, nodes, executors int, relays bwrelay.Limits, configure ...func(*bwnode.Deps)) *cluster {
	c := &cluster{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		kv:        bwstandin.NewKV(seed),
		executors: bwstandin.NewExecutors(seed),
		network:   bwpipe.New(),
		configure: configure,
		relays:    relays,
	}
	for _, pool := range []string{"desk", "lab"} {
		c.queues = append(c.queues, bwfleet.Queue{Name: "q-" + pool, Pool: pool, Host: "h", Prefix: "/" + pool + "/", MaxAttempts: 3, Stretch: 2, ObjectiveOffset: time.Second})
		for i := range executors {
			c.register(bwexecutor.Registration{
				ID: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Address: fmt.Sprintf("10.9.0.%d:80", i), Incarnation: 1,
				Rack: fmt.Sprintf("r%d", i/2), Capacity: bwjob.Resources{CPU: 8000, MemoryMB: 32000},
			})
		}
	}
	value, err := json.Marshal(c.queues)
	assert.NilError(t, err)
	c.kv.Put(keyConfig, value)
	for range nodes {
		c.start()
	}
	return c
}

func (c *cluster) register(r bwexecutor.Registration) {
	if r.Incarnation == 1 {
		c.executors.Add(r)
	}
	c.publish(r)
}

// publish writes the registration of a running executor to the registry.
func (c *cluster) publish(r bwexecutor.Registration) {
	value, err := json.Marshal(wireRegistration(r))
	assert.NilError(c.t, err)
	c.kv.Put(prefixRegistry+r.ID, value)
}

// wireRegistration returns a registration in the platform's format.
func wireRegistration(r bwexecutor.Registration) map[string]any {
	state := "ready"
	if r.IsDraining {
		state = "draining"
	}
	return map[string]any{
		"service": r.Pool, "addr": r.Address, "zone": "a", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1,
		"born": r.Incarnation, "labels": append([]string{"kind"}, r.Rack),
		"capacity": map[string]any{"cpu": r.Capacity.CPU, "mem_mb": r.Capacity.MemoryMB, "gpu": r.Capacity.Accelerators},
	}
}

func registry() bwnode.Registry {
	return bwnode.Registry{
		ExecutorPrefix:   prefixRegistry,
		OperatorPrefix:   "operators/",
		ConfigurationKey: keyConfig,
		DecodeExecutor:   platform.DecodeExecutor,
		DecodeConfiguration: func(item bwkv.Item) (*bwfleet.Configuration, error) {
			var queues []bwfleet.Queue
			err := json.Unmarshal(item.Value, &queues)
			return bwfleet.NewConfiguration(item.Revision, queues, nil, 0), err
		},
	}
}

// Write collects the logs of all nodes, which are printed if a test fails.
func (c *cluster) Write(line []byte) (int, error) {
	c.logMu.Lock()
	defer c.logMu.Unlock()
	return c.logs.Write(line)
}

// start starts another node at a new address.
func (c *cluster) start() {
	c.started++
	host := fmt.Sprintf("10.0.0.%d", c.started)
	address := host + ":70"
	ctx, cancel := context.WithCancel(context.Background())
	mesh := bwmesh.New(c.network.Dialer(host))
	store, executors := &nodeStore{KV: c.kv}, &nodeExecutors{Executors: c.executors}
	deps := bwnode.Deps{
		Store:     store,
		Registry:  registry(),
		Executors: executors,
		Mesh:      mesh,
		Clock:     bwclock.New(),
		Log:       hclog.New(&hclog.LoggerOptions{Name: host, Level: hclog.Info, Output: c}),
	}
	for _, f := range c.configure {
		f(&deps)
	}
	node := bwnode.New(deps, bwnode.Identity{Name: host, Address: address, DataCentre: "a"}, bwnode.Settings{
		Owner:            bwowner.Settings{LeaseLength: executorLeaseTTL, EndedJobRetention: 5 * time.Minute},
		MaxCapacityDelay: capacityDelay,
		Relays:           c.relays,
	})
	listener := c.network.Listen(address)
	c.goroutines.Add(2)
	go func() {
		defer c.goroutines.Done()
		_ = bwmesh.Serve(ctx, listener, node.Services(), deps.Guard)
	}()
	go func() {
		defer c.goroutines.Done()
		node.Run(ctx)
		mesh.Close()
	}()
	c.nodes = append(c.nodes, &testNode{node: node, host: host, cancel: cancel, store: store, executors: executors})
}

// kill ends a node without a planned stop and starts another one.
func (c *cluster) kill(i int) {
	node := c.nodes[i]
	c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
	c.network.Isolate(node.host)
	node.cancel()
	c.start()
}

// stop performs a planned stop of a node and starts another one.
func (c *cluster) stop(i int) {
	node := c.nodes[i]
	c.nodes = append(c.nodes[:i], c.nodes[i+1:]...)
	node.node.Stop(context.Background())
	node.node.Close(context.Background())
	node.cancel()
	c.start()
}

func (c *cluster) close() {
	for _, node := range c.nodes {
		node.cancel()
	}
	c.goroutines.Wait()
}

func (c *cluster) randomNode() *bwnode.Node { return c.nodes[c.rng.IntN(len(c.nodes))].node }

// randomJob returns a random job of one or two steps.
func (c *cluster) randomJob(n int) (bwfleet.Queue, *bwjob.Spec) {
	q := c.queues[c.rng.IntN(len(c.queues))]
	step := func(after []int) bwjob.Step {
		return bwjob.Step{
			Count:     1 + c.rng.IntN(5),
			Need:      bwjob.Resources{CPU: 500 + int64(c.rng.IntN(3000)), MemoryMB: 1000},
			Estimate:  time.Duration(200+c.rng.IntN(1500)) * time.Millisecond,
			DependsOn: after,
		}
	}
	spec := &bwjob.Spec{ID: fmt.Sprintf("job%04d", n), Queue: q.Name, Payload: "p", Steps: []bwjob.Step{step(nil)}}
	if c.rng.IntN(2) == 0 {
		spec.Steps = append(spec.Steps, step([]int{0}))
	}
	c.executors.RegisterJob(spec)
	return q, spec
}

// submit submits a job to random nodes until the verdict is not Unknown, at most 20 times, and
// returns the last verdict.
func (c *cluster) submit(q bwfleet.Queue, spec *bwjob.Spec) bwowner.Verdict {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2800*time.Millisecond)
		reply := c.randomNode().Submit(ctx, q, spec)
		cancel()
		if reply.Verdict != bwowner.Unknown {
			return reply.Verdict
		}
	}
	return bwowner.Unknown
}

// state requests the state of a job from random nodes until one answers, at most 50 times.
func (c *cluster) state(q bwfleet.Queue, id string) bwowner.Reply {
	var reply bwowner.Reply
	for range 50 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply = c.randomNode().State(ctx, q, id)
		cancel()
		if reply.Verdict == bwowner.OK || reply.Verdict == bwowner.Absent {
			return reply
		}
		time.Sleep(200 * time.Millisecond)
	}
	return reply
}

// injectFault injects one random fault. Most faults end after a random time.
func (c *cluster) injectFault() {
	d := time.Duration(500+c.rng.IntN(5000)) * time.Millisecond
	executors := c.executors.Registrations()
	e := executors[c.rng.IntN(len(executors))]
	switch c.rng.IntN(9) {
	case 0:
		c.kill(c.rng.IntN(len(c.nodes)))
	case 1:
		c.stop(c.rng.IntN(len(c.nodes)))
	case 2:
		c.kv.SetUnavailable(true)
		time.AfterFunc(d, func() { c.kv.SetUnavailable(false) })
	case 3:
		c.kv.SetReplyLoss(0.3, 0.5)
		time.AfterFunc(d, func() { c.kv.SetReplyLoss(0, 0) })
	case 4:
		c.kv.Compact()
	case 5:
		c.kv.RemoveLeasedKeys()
	case 6:
		c.executors.SetLateOrderRatio(0.1)
		time.AfterFunc(d, func() { c.executors.SetLateOrderRatio(0) })
	case 7:
		c.executors.SetUnreachable(e.ID, true)
		time.AfterFunc(d, func() { c.executors.SetUnreachable(e.ID, false) })
	case 8:
		c.register(c.executors.Restart(e.ID))
	}
}

// run submits jobs while faults are injected, and checks that every accepted job ends and no
// guarantee is violated.
func (c *cluster) run(jobs, faults int) {
	time.Sleep(3 * time.Second)
	accepted := make(map[string]bwfleet.Queue)
	for n := range jobs {
		q, spec := c.randomJob(n)
		switch c.submit(q, spec) {
		case bwowner.OK:
			accepted[spec.ID] = q
		case bwowner.Absent:
			c.t.Errorf("submission of %s answered as absent", spec.ID)
		}
		if faults > 0 && n%max(1, jobs/faults) == 0 {
			c.injectFault()
		}
		time.Sleep(time.Duration(c.rng.IntN(600)) * time.Millisecond)
	}
	c.checkSettled(accepted)
}

// settle ends the faults and waits.
func (c *cluster) settle() {
	c.kv.SetUnavailable(false)
	c.kv.SetReplyLoss(0, 0)
	c.executors.SetLateOrderRatio(0)
	time.Sleep(40 * time.Second)
}

// checkSettled ends the faults, waits, and checks that every accepted job has ended.
func (c *cluster) checkSettled(accepted map[string]bwfleet.Queue) {
	c.settle()
	for id, q := range accepted {
		reply := c.state(q, id)
		if reply.Verdict != bwowner.OK || reply.State == bwowner.Queued || reply.State == bwowner.Running {
			c.t.Errorf("job %s: verdict %s state %s after everything has settled: %s", id, reply.Verdict, reply.State, reply.Reason)
		}
	}
	for _, v := range c.executors.Violations() {
		c.t.Error(v)
	}
	assert.Equal(c.t, c.executors.Running(), 0)
}

func runCluster(t *testing.T, seed uint64, jobs, faults int) {
	runClusterWith(t, jobs, faults, func(t *testing.T) *cluster { return newCluster(t, seed, 3, 4) })
}

func runClusterWith(t *testing.T, jobs, faults int, start func(t *testing.T) *cluster) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t)
		defer func() {
			c.close()
			if t.Failed() && testing.Verbose() {
				t.Log(c.logs.String())
			}
		}()
		c.run(jobs, faults)
	})
}

func TestClusterCompletesAllJobsWithoutFaults(t *testing.T) {
	runCluster(t, 1, 60, 0)
}

// firstSeed returns the seed from the environment, which longer runs set, or 1.
func firstSeed(t *testing.T) uint64 {
	value := os.Getenv(bwseed.EnvironmentSeed)
	if value == "" {
		return 1
	}
	seed, err := strconv.ParseUint(value, 10, 32)
	assert.NilError(t, err)
	return seed
}

// TestClusterKeepsGuaranteesUnderFaults runs whole clusters with fixed seeds. Nodes are killed
// or stopped; the store is unreachable, loses replies, compacts its history or revokes keys;
// executors are unreachable, restart, or execute orders late.
func TestClusterKeepsGuaranteesUnderFaults(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+60; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { runCluster(t, seed, 80, 16) })
	}
}

// The same with relays, of which each calls two executors on average and is killed, stopped or replaced like
// any other node.
func TestClusterKeepsGuaranteesWithRelays(t *testing.T) {
	for seed := firstSeed(t); seed < firstSeed(t)+40; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			var c *cluster
			runClusterWith(t, 80, 16, func(t *testing.T) *cluster {
				c = newClusterWithRelays(t, seed, 6, 4, bwrelay.Limits{MinExecutors: 1, ExecutorsPerRelay: 2})
				return c
			})
			assert.Assert(t, strings.Contains(c.logs.String(), "relays assigned"))
		})
	}
}
