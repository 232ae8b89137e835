// Package bwnode is one node of the job scheduler: it takes callers' requests, owns some of
// the pools, and passes requests for the others to their owners.
//
// Nodes are equal. Each keeps one lease at the key-value service, under which stand its own
// key and those of the pools that it owns. Package bwownership says which pools a node
// should claim, a transaction decides it, and package bwowner does the work of a pool.
package bwnode

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwmirror"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwownership"
	"basilwood.example/basilwood/bwupkeep"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// The keys of nodes and of owners of pools.
const (
	prefixNodes   = "nodes/"
	prefixMembers = prefixNodes + "members/"
	prefixOwners  = prefixNodes + "owners/"
)

const (
	// decideInterval is the time between looks at what needs an owner.
	decideInterval = 100 * time.Millisecond
	// executorsInterval gathers the heartbeats of executors into few reads. It leaves most
	// of the time in which a draining executor may still get tasks.
	executorsInterval = 250 * time.Millisecond
	// stopTimeout bounds how long owners settle what is under way at a planned stop.
	stopTimeout = 1500 * time.Millisecond
)

// Store is the part of the key-value service that a Node uses.
type Store interface {
	leaseStore
	bwmirror.Source
	bwowner.Store
}

// Registry reads what others write to the key-value service.
type Registry struct {
	ExecutorPrefix      string
	OperatorPrefix      string
	ConfigurationKey    string
	DecodeExecutor      func(bwkv.Item) (bwexecutor.Registration, error)
	DecodeConfiguration func(bwkv.Item) (*bwfleet.Configuration, error)
	WavePrefix          string
	DecodeWave          func(bwkv.Item) (bwfleet.Wave, error)
	EncodeWaveStatus    func(wave int64, isDone bool) (string, []byte)
}

// Deps is what a Node works with.
type Deps struct {
	Store     Store
	Registry  Registry
	Executors bwowner.Executors
	Adviser   bwowner.Adviser
	// Hosts is nil where the platform has no list of hosts.
	Hosts   bwupkeep.Hosts
	Mesh    *bwmesh.Mesh
	Clock   bwclock.Clock
	Log     hclog.Logger
	Metrics *Metrics
}

// Settings are the bounds of the deployment.
type Settings struct {
	Owner  bwowner.Settings
	Upkeep bwupkeep.Settings
	// Visible is the time after which every node has to know an accepted job; 0 when it is
	// not bounded.
	Visible time.Duration
	// DutyLease is the time after which another process may give orders to a host.
	DutyLease time.Duration
}

// Identity names a node.
type Identity struct {
	Name string
	// Address is where other nodes connect.
	Address string
	// Power is the processor that the host gives the node, in cores.
	Power float64
}

// keyValue is the value of a node's or an owner's key.
type keyValue struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Power is the processor of the node's host, in cores.
	Power float64 `json:"power,omitempty"`
	// IsReleased marks the key of an owner that has stopped, for its successor.
	IsReleased bool `json:"isReleased,omitempty"`
}

// Node is one process. It is safe for concurrent use.
type Node struct {
	deps        Deps
	identity    Identity
	incarnation string
	settings    bwowner.Settings
	upkeep      bwupkeep.Settings
	dutyLease   time.Duration
	newsFor     time.Duration
	log         hclog.Logger
	lease       *lease
	nodes       *bwmirror.Mirror
	operators   *bwmirror.Mirror
	executors   *bwmirror.Mirror
	work        sync.WaitGroup

	mu            sync.Mutex
	ctx           context.Context
	configuration *bwfleet.Configuration
	view          *bwownership.View
	reach         *reach
	owned         map[string]task
	claiming      map[string]bool
	asking        map[string]bool
	registrations map[string][]bwexecutor.Registration
	isFollowing   bool
	isStopping    bool
}

// New returns a Node; Run makes it work.
func New(deps Deps, identity Identity, settings Settings) *Node {
	n := &Node{
		deps:          deps,
		identity:      identity,
		incarnation:   identity.Name + "-" + uuid.NewString()[:8],
		settings:      settings.Owner,
		upkeep:        settings.Upkeep,
		dutyLease:     settings.DutyLease,
		newsFor:       newsBound(settings.Visible),
		owned:         make(map[string]task),
		claiming:      make(map[string]bool),
		asking:        make(map[string]bool),
		registrations: make(map[string][]bwexecutor.Registration),
	}
	n.log = deps.Log.With("node", identity.Name)
	n.reach = newReach(n.log)
	n.lease = newLease(deps.Store, deps.Clock, n.log, n.register)
	self := bwownership.Member{Incarnation: n.incarnation, Address: identity.Address, Cores: identity.Power}
	n.view = bwownership.NewView(self, deps.Clock.Now())
	n.nodes = bwmirror.New(deps.Store, prefixNodes, deps.Clock, n.log, bwmirror.WithOnChange(n.nodesChanged))
	n.operators = bwmirror.New(deps.Store, deps.Registry.OperatorPrefix, deps.Clock, n.log, bwmirror.WithOnChange(n.operatorsChanged))
	n.executors = bwmirror.New(deps.Store, deps.Registry.ExecutorPrefix, deps.Clock, n.log,
		bwmirror.WithMinInterval(executorsInterval), bwmirror.WithOnChange(n.executorsChanged))
	return n
}

// Incarnation names this run of the node.
func (n *Node) Incarnation() string { return n.incarnation }

// Configuration returns the newest version that the node knows, or nil.
func (n *Node) Configuration() *bwfleet.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configuration
}

// IsReady reports whether callers should connect to this node.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configuration != nil && !n.isStopping
}

// IsStopping reports whether a planned stop is under way.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isStopping
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	n.spawn(func() { n.lease.run(ctx) })
	n.spawn(func() { n.nodes.Run(ctx) })
	n.spawn(func() { n.operators.Run(ctx) })
	n.spawn(func() { n.every(ctx, decideInterval, n.decide) })
	n.spawn(func() { n.every(ctx, bwownership.PingInterval, n.ping) })
	n.work.Wait()
}

func (n *Node) spawn(f func()) {
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f()
	}()
}

func (n *Node) every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// register writes the node's key under a new lease.
func (n *Node) register(ctx context.Context, id int64) {
	value, err := json.Marshal(n.keyValue())
	if err != nil {
		n.log.Error("node's key cannot be encoded", "error", err.Error())
		return
	}
	r := n.deps.Store.Transact(ctx, bwkv.Transaction{Set: []bwkv.Write{{Key: prefixMembers + n.incarnation, Value: value, Lease: id}}})
	n.log.Info("node registered", "incarnation", n.incarnation, "outcome", r.Outcome.String())
}

func (n *Node) keyValue() keyValue {
	return keyValue{Name: n.identity.Name, Incarnation: n.incarnation, Address: n.identity.Address, Power: n.identity.Power}
}

// operatorsChanged takes in what operators have written.
func (n *Node) operatorsChanged(changes []bwkv.Item) {
	for _, item := range changes {
		if item.Key == n.deps.Registry.ConfigurationKey && !item.IsRemoved {
			n.configure(item)
		}
	}
}

// configure puts a version of the configuration into force unless a newer one is.
func (n *Node) configure(item bwkv.Item) {
	c, err := n.deps.Registry.DecodeConfiguration(item)
	if err != nil {
		n.log.Error("configuration cannot be read", "revision", item.Revision, "error", err.Error())
		return
	}
	n.mu.Lock()
	if n.configuration != nil && n.configuration.Version() >= c.Version() {
		n.mu.Unlock()
		return
	}
	n.configuration = c
	owners := n.ownerList()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetQueues(c.QueuesOf(o.Pool()))
	}
	n.log.Info("configuration in force", "version", c.Version(), "revision", item.Revision, "queues", len(c.Queues()))
}

// ownerList returns the owners of pools in this process. The caller holds the lock.
func (n *Node) ownerList() []*bwowner.Owner {
	var list []*bwowner.Owner
	for _, t := range n.owned {
		if o, ok := t.(*bwowner.Owner); ok {
			list = append(list, o)
		}
	}
	return list
}

// executorsChanged takes in what executors have written.
func (n *Node) executorsChanged([]bwkv.Item) {
	items, _ := n.executors.Items()
	byPool := make(map[string][]bwexecutor.Registration)
	for _, item := range items {
		r, err := n.deps.Registry.DecodeExecutor(item)
		if err != nil {
			n.log.Debug("registry entry names no executor", "key", item.Key, "error", err.Error())
			continue
		}
		byPool[r.Pool] = append(byPool[r.Pool], r)
	}
	n.mu.Lock()
	n.registrations = byPool
	owners := n.ownerList()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetExecutors(byPool[o.Pool()])
	}
}

// followExecutors starts to read the registry; only owners need it. The caller holds the lock.
func (n *Node) followExecutors() {
	if n.isFollowing {
		return
	}
	n.isFollowing = true
	ctx := n.ctx
	n.spawn(func() { n.executors.Run(ctx) })
}

// Stop hands over the pools of this node. Callers' requests are still passed on.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.isStopping = true
	owned := make(map[string]task, len(n.owned))
	for name, t := range n.owned {
		owned[name] = t
	}
	n.mu.Unlock()
	n.log.Info("stopping", "owned", len(owned))
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	t := bwkv.Transaction{Remove: []string{prefixMembers + n.incarnation}}
	if r := n.deps.Store.Transact(ctx, t); r.Outcome != bwkv.Committed {
		n.log.Warn("node's key not removed", "outcome", r.Outcome.String())
	}
	var wait sync.WaitGroup
	for name, t := range owned {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n.handOver(ctx, name, t)
		}()
	}
	wait.Wait()
}

// handOver ends a task and marks its key as released, so that another node can claim it
// without waiting for this one.
func (n *Node) handOver(ctx context.Context, name string, t task) {
	isClean := t.Stop(ctx)
	n.mu.Lock()
	delete(n.owned, name)
	n.mu.Unlock()
	released := n.keyValue()
	released.IsReleased = true
	value, err := json.Marshal(released)
	if err != nil {
		n.log.Error("owner's key cannot be encoded", "error", err.Error())
		return
	}
	key := prefixOwners + name
	r := n.deps.Store.Transact(context.WithoutCancel(ctx), bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: key, Revision: t.Fence()}},
		Set:      []bwkv.Write{{Key: key, Value: value}},
	})
	n.log.Info("handed over", "owned", name, "isSettled", isClean, "outcome", r.Outcome.String())
}

// Close gives the lease back after everything else has stopped.
func (n *Node) Close(ctx context.Context) { n.lease.end(ctx) }
