// Package bwnode implements a node of the job scheduler. A node accepts callers' requests,
// owns some of the pools, and forwards requests for other pools to their owners.
//
// All nodes are equal. Each keeps one lease at the key-value service, to which its own key and
// the keys of the pools that it owns are attached. Package bwownership selects the pools that
// a node should claim, a compare-and-swap transaction decides between competing claims, and
// package bwowner schedules the jobs of a pool. If the platform lists its hosts, one node
// also runs the host coordinator of package bwmaintenance, a role that is claimed in the same
// way.
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
	"basilwood.example/basilwood/bwmaintenance"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwmirror"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwownership"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwrelay"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// Prefixes of the keys of nodes and of the owners of pools.
const (
	prefixNodes   = "nodes/"
	prefixMembers = prefixNodes + "members/"
	prefixOwners  = prefixNodes + "owners/"
	// prefixPlacementKeys covers the placements and their versions. A list returns the versions first, so that it
	// includes no version without the placements that belong to it.
	prefixPlacementKeys = prefixNodes + "placement"
	// prefixPlacementVersions is followed by an identity of a queue.
	prefixPlacementVersions = prefixPlacementKeys + "Versions/"
	// prefixPlacements is followed by the names of a pool and of a queue.
	prefixPlacements = prefixPlacementKeys + "s/"
)

const (
	// claimInterval is the interval of the checks for roles that need an owner.
	claimInterval = 100 * time.Millisecond
	// executorsReadInterval is the minimum time between two reads of the executors'
	// registrations, so that one read returns the heartbeats of many executors. It is short
	// compared with the time for which a draining executor may still get tasks.
	executorsReadInterval = 250 * time.Millisecond
	// handOverTimeout limits how long the roles of a node may take to settle in-flight work
	// at a planned stop.
	handOverTimeout = 1500 * time.Millisecond
)

// Store is the part of the key-value service that a Node uses.
type Store interface {
	leaseStore
	bwmirror.Source
	bwowner.Store
}

// Registry describes the keys that operators and executors write to the key-value service,
// and how to decode them.
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

// Deps are the dependencies of a Node.
type Deps struct {
	Store     Store
	Registry  Registry
	Executors bwowner.Executors
	Adviser   bwowner.Adviser
	// Hosts is nil if the platform provides no host list.
	Hosts   bwmaintenance.Hosts
	Mesh    *bwmesh.Mesh
	Clock   bwclock.Clock
	Log     hclog.Logger
	Metrics *Metrics
	// Guard contains panics, each of which ends one role or one call.
	Guard *bwpanic.Guard
}

// Settings are the deployment's settings of a Node.
type Settings struct {
	Owner       bwowner.Settings
	Maintenance bwmaintenance.Settings
	// MaxVisibilityDelay is the time within which every node must know an accepted job; 0
	// means no bound.
	MaxVisibilityDelay time.Duration
	// MaxCapacityDelay is the time within which a change of an executor's capacity must be taken
	// into account, counted from its registration; 0 means no bound.
	MaxCapacityDelay time.Duration
	// HandoverDelay is the time after an order to a host before another process may issue
	// orders to it.
	HandoverDelay time.Duration
	// Relays decides how many other nodes call the executors of a pool. The zero value stands for what the
	// cores of the nodes allow.
	Relays bwrelay.Limits
}

// Identity describes a node to other nodes.
type Identity struct {
	Name string
	// Address is the address to which other nodes connect.
	Address string
	// Cores is the number of processor cores available to the node.
	Cores float64
	// DataCentre is the data centre of the node.
	DataCentre string
}

// keyValue is the value of a node's or an owner's key.
type keyValue struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	// Cores is the number of processor cores available to the node.
	Cores float64 `json:"power,omitempty"`
	// DataCentre is empty in keys of versions that are no relays.
	DataCentre string `json:"dataCentre,omitempty"`
	// IsReleased tells the successor that the owner has stopped.
	IsReleased bool `json:"isReleased,omitempty"`
	// EarlierOwnerMayAct tells the successor that the owner before this one may still act.
	EarlierOwnerMayAct bool `json:"earlierOwnerMayAct,omitempty"`
}

// Node is one node of the job scheduler. It is safe for concurrent use.
type Node struct {
	deps                Deps
	identity            Identity
	incarnation         string
	ownerSettings       bwowner.Settings
	maintenanceSettings bwmaintenance.Settings
	handoverDelay       time.Duration
	maxOwnersAge        time.Duration
	maxCapacityDelay    time.Duration
	log                 hclog.Logger
	lease               *lease
	nodeKeys            *bwmirror.Mirror
	operatorKeys        *bwmirror.Mirror
	executorKeys        *bwmirror.Mirror
	placements          *placements
	adviser             *turnAdviser
	goroutines          sync.WaitGroup
	// decodedExecutors holds the valid registrations by key. Only the goroutine of the
	// executors' mirror uses it.
	decodedExecutors map[string]bwexecutor.Registration

	mu            sync.Mutex
	ctx           context.Context
	configuration *bwfleet.Configuration
	view          *bwownership.View
	calls         *callTracker
	roles         map[string]role
	// graceEnds holds, by role, the time until which the owner before this node may act.
	graceEnds     map[string]bwclock.Time
	claiming      map[string]bool
	pinging       map[string]bool
	registrations map[string][]bwexecutor.Registration
	// relayClients holds the clients of the pools that this node owns.
	relayClients map[string]*bwrelay.Client
	relayMembers []bwrelay.Member
	relayLimits  bwrelay.Limits
	// earlierPools holds the pools with jobs of a version that stored no placements.
	earlierPools       []string
	isReadingExecutors bool
	isStopping         bool
}

// New returns a Node that starts its work in Run.
func New(deps Deps, identity Identity, settings Settings) *Node {
	n := &Node{
		deps:                deps,
		identity:            identity,
		incarnation:         identity.Name + "-" + uuid.NewString()[:8],
		ownerSettings:       settings.Owner,
		maintenanceSettings: settings.Maintenance,
		handoverDelay:       settings.HandoverDelay,
		maxOwnersAge:        maxOwnersAge(settings.MaxVisibilityDelay),
		maxCapacityDelay:    settings.MaxCapacityDelay,
		roles:               make(map[string]role),
		graceEnds:           make(map[string]bwclock.Time),
		claiming:            make(map[string]bool),
		pinging:             make(map[string]bool),
		decodedExecutors:    make(map[string]bwexecutor.Registration),
		registrations:       make(map[string][]bwexecutor.Registration),
		relayClients:        make(map[string]*bwrelay.Client),
		relayLimits:         settings.Relays,
	}
	n.log = deps.Log.With("node", identity.Name)
	n.placements = &placements{store: deps.Store, log: n.log}
	n.adviser = newTurnAdviser(deps.Adviser)
	n.calls = newCallTracker(n.log)
	n.lease = newLease(deps.Store, deps.Clock, n.log, n.register)
	self := bwownership.Member{Incarnation: n.incarnation, Address: identity.Address, Cores: identity.Cores}
	n.view = bwownership.NewView(self, deps.Clock.Now())
	n.nodeKeys = bwmirror.New(deps.Store, prefixNodes, deps.Clock, n.log, bwmirror.WithOnChange(n.nodesChanged))
	n.operatorKeys = bwmirror.New(deps.Store, deps.Registry.OperatorPrefix, deps.Clock, n.log, bwmirror.WithOnChange(n.operatorsChanged))
	n.executorKeys = bwmirror.New(deps.Store, deps.Registry.ExecutorPrefix, deps.Clock, n.log,
		bwmirror.WithMinInterval(executorsReadInterval), bwmirror.WithOnChange(n.executorsChanged))
	deps.Metrics.setNode(n)
	return n
}

// Incarnation returns the unique name of this run of the node.
func (n *Node) Incarnation() string { return n.incarnation }

// Configuration returns the latest configuration that the node has read, or nil.
func (n *Node) Configuration() *bwfleet.Configuration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configuration
}

// IsReady reports whether the node has a configuration and no planned stop is in progress, so
// that callers may connect.
func (n *Node) IsReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.configuration != nil && !n.isStopping
}

// IsStopping reports whether a planned stop is in progress.
func (n *Node) IsStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isStopping
}

// Run runs the node until ctx is done.
func (n *Node) Run(ctx context.Context) {
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	n.spawn(func() { n.lease.run(ctx) })
	n.spawn(func() { n.nodeKeys.Run(ctx) })
	n.spawn(func() { n.operatorKeys.Run(ctx) })
	n.spawn(func() { n.findEarlierPools(ctx) })
	n.spawn(func() { n.runPeriodically(ctx, claimInterval, n.claimRoles) })
	n.spawn(func() { n.runPeriodically(ctx, bwownership.PingInterval, n.pingOwners) })
	n.spawn(func() { n.runPeriodically(ctx, bwownership.PingInterval, n.shedLoad) })
	n.goroutines.Wait()
}

func (n *Node) spawn(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

func (n *Node) runPeriodically(ctx context.Context, interval time.Duration, f func()) {
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

// register writes the node's key and attaches it to a new lease.
func (n *Node) register(ctx context.Context, id int64) {
	value, err := json.Marshal(n.keyValue())
	if err != nil {
		n.log.Error("failed to encode the node's key", "error", err.Error())
		return
	}
	r := n.deps.Store.Transact(ctx, bwkv.Transaction{Set: []bwkv.Write{{Key: prefixMembers + n.incarnation, Value: value, Lease: id}}})
	n.log.Info("node registered", "incarnation", n.incarnation, "outcome", r.Outcome.String())
}

func (n *Node) keyValue() keyValue {
	return keyValue{Name: n.identity.Name, Incarnation: n.incarnation, Address: n.identity.Address, Cores: n.identity.Cores, DataCentre: n.identity.DataCentre}
}

// operatorsChanged processes changes of the operators' keys.
func (n *Node) operatorsChanged(changes []bwkv.Item) {
	for _, item := range changes {
		if item.Key == n.deps.Registry.ConfigurationKey && !item.IsRemoved {
			n.configure(item)
		}
	}
}

// configure applies a version of the configuration unless the current one is the same or
// newer.
func (n *Node) configure(item bwkv.Item) {
	startedAt := n.deps.Clock.Now()
	c, err := n.deps.Registry.DecodeConfiguration(item)
	if err != nil {
		n.log.Error("failed to decode the configuration", "revision", item.Revision, "error", err.Error())
		return
	}
	n.mu.Lock()
	if n.configuration != nil && n.configuration.Version() >= c.Version() {
		current := n.configuration.Version()
		n.mu.Unlock()
		n.log.Info("configuration is not newer; ignored", "version", c.Version(), "revision", item.Revision, "inForce", current)
		return
	}
	n.configuration = c
	owners := n.localOwners()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetQueues(c.Queues())
	}
	n.log.Info("configuration in force", "version", c.Version(), "revision", item.Revision, "queues", len(c.Queues()),
		"bytes", len(item.Value), "took", n.deps.Clock.Now().Sub(startedAt).String())
}

// localOwners returns the owners of pools in this process. The caller must hold n.mu.
func (n *Node) localOwners() []*bwowner.Owner {
	var list []*bwowner.Owner
	for _, r := range n.roles {
		if o, ok := r.(*bwowner.Owner); ok {
			list = append(list, o)
		}
	}
	return list
}

// executorsChanged processes changes of the executors' registrations. Only the goroutine of
// the executors' mirror calls it.
func (n *Node) executorsChanged(changes []bwkv.Item) {
	for _, item := range changes {
		n.decodeRegistration(item)
	}
	byPool := make(map[string][]bwexecutor.Registration)
	for _, r := range n.decodedExecutors {
		byPool[r.Pool] = append(byPool[r.Pool], r)
	}
	n.mu.Lock()
	n.registrations = byPool
	n.setRelayTargets()
	owners := n.localOwners()
	n.mu.Unlock()
	for _, o := range owners {
		o.SetExecutors(byPool[o.Pool()])
	}
}

// decodeRegistration decodes a changed registration. An invalid one names no executor.
func (n *Node) decodeRegistration(item bwkv.Item) {
	delete(n.decodedExecutors, item.Key)
	if item.IsRemoved {
		return
	}
	r, err := n.deps.Registry.DecodeExecutor(item)
	if err != nil {
		n.log.Warn("registration of an executor ignored", "key", item.Key, "revision", item.Revision, "error", err.Error())
		return
	}
	n.decodedExecutors[item.Key] = r
}

// startReadingExecutors starts to mirror the registry of executors, which only owners of
// pools need. The caller must hold n.mu.
func (n *Node) startReadingExecutors() {
	if n.isReadingExecutors {
		return
	}
	n.isReadingExecutors = true
	ctx := n.ctx
	n.spawn(func() { n.executorKeys.Run(ctx) })
}

// Stop hands over the roles of this node. Callers' requests are still forwarded.
func (n *Node) Stop(ctx context.Context) {
	n.mu.Lock()
	n.isStopping = true
	roles := make(map[string]role, len(n.roles))
	for name, r := range n.roles {
		roles[name] = r
	}
	n.mu.Unlock()
	n.log.Info("stopping", "owned", len(roles))
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	t := bwkv.Transaction{Remove: []string{prefixMembers + n.incarnation}}
	if r := n.deps.Store.Transact(ctx, t); r.Outcome != bwkv.Committed {
		n.log.Warn("failed to remove the node's key", "outcome", r.Outcome.String())
	}
	var wait sync.WaitGroup
	for name, r := range roles {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n.handOver(ctx, name, r)
		}()
	}
	wait.Wait()
}

// handOver ends a role and marks its key as released, so that another node can claim it
// without waiting for the lease of this node to expire.
func (n *Node) handOver(ctx context.Context, name string, r role) {
	isSettled := r.Stop(ctx)
	n.mu.Lock()
	delete(n.roles, name)
	isInGrace := n.deps.Clock.Now().Before(n.graceEnds[name])
	n.mu.Unlock()
	released := n.keyValue()
	released.IsReleased = true
	released.EarlierOwnerMayAct = isInGrace
	value, err := json.Marshal(released)
	if err != nil {
		n.log.Error("failed to encode the owner's key", "error", err.Error())
		return
	}
	key := prefixOwners + name
	result := n.deps.Store.Transact(context.WithoutCancel(ctx), bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: key, Revision: r.Fence()}},
		Set:      []bwkv.Write{{Key: key, Value: value}},
	})
	n.log.Info("handed over", "owned", name, "isSettled", isSettled, "outcome", result.Outcome.String())
}

// Close releases the lease. It must be called after everything else has stopped.
func (n *Node) Close(ctx context.Context) { n.lease.release(ctx) }
