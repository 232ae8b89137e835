package bwmaintenance_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmaintenance"
	"basilwood.example/basilwood/bwstandin"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// idlePools have no demand, and all their executors are cordoned and empty. Cordon calls are
// counted.
type idlePools struct{ cordons *atomic.Int64 }

func (idlePools) Survey(context.Context, string) (bwmaintenance.Survey, bool) {
	return bwmaintenance.Survey{Executors: map[string]bwmaintenance.ExecutorSurvey{"i-1": {IsCordoned: true}, "i-2": {IsCordoned: true}}}, true
}
func (p idlePools) Cordon(_ context.Context, _, _ string, d time.Duration) bool {
	if p.cordons != nil && d > 0 {
		p.cordons.Add(1)
	}
	return true
}

// fencedHosts reject all orders because of a newer fencing token.
type fencedHosts struct{ orders int }

func (*fencedHosts) List(context.Context) ([]bwfleet.Host, error) {
	return []bwfleet.Host{{ID: "m-1", Pool: "desk", State: bwfleet.HostUp, Executor: "i-1"}, {ID: "m-2", Pool: "desk", State: bwfleet.HostUp, Executor: "i-2"}}, nil
}
func (h *fencedHosts) Maintain(context.Context, string, int64, int64) bwmaintenance.Result {
	h.orders++
	return bwmaintenance.Fenced
}
func (h *fencedHosts) Move(context.Context, string, string, int64) bwmaintenance.Result {
	return bwmaintenance.Fenced
}

const coordinatorKey = "owners/hosts"

// takeOver writes the key of the coordinator's role and returns a new coordinator that holds
// it.
func takeOver(t *testing.T, kv *bwstandin.KV, store bwmaintenance.Store, hosts bwmaintenance.Hosts, pools bwmaintenance.Pools, maxUnavailable int, onLost func(string)) *bwmaintenance.Coordinator {
	t.Helper()
	kv.Put(coordinatorKey, nil)
	key, err := kv.Get(context.Background(), coordinatorKey)
	assert.NilError(t, err)
	return bwmaintenance.NewCoordinator(bwmaintenance.Deps{
		Hosts: hosts, Pools: pools, Store: store, Clock: bwclock.New(), Log: hclog.NewNullLogger(),
		Waves: func() []bwfleet.Wave {
			return []bwfleet.Wave{{Number: 1, Hosts: []string{"m-1", "m-2"}, TimeLimit: time.Minute, MaxUnavailable: maxUnavailable}}
		},
		Configuration: func() *bwfleet.Configuration {
			return bwfleet.NewConfiguration(1, []bwfleet.Queue{{Name: "q", Pool: "desk"}}, []bwfleet.Pool{{Name: "desk"}}, 0)
		},
		OwnedPools:       func() []string { return []string{"desk"} },
		EncodeWaveStatus: func(int64, bool) (string, []byte) { return "status", nil },
		IsConfirmed:      func() bool { return true },
		OnLost:           onLost,
	}, bwmaintenance.Settings{}, coordinatorKey, key.Revision, 3*time.Second)
}

// A coordinator whose order is rejected because of a newer fencing token must issue no more.
func TestFencedCoordinatorStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := &fencedHosts{}
		lost := ""
		kv := bwstandin.NewKV(1)
		kv.Put("hosts/orders", []byte(`["m-1","m-2"]`))
		c := takeOver(t, kv, kv, hosts, idlePools{}, 1, func(reason string) { lost = reason })
		defer c.Stop(context.Background())
		go c.Run(context.Background())
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, hosts.orders, 0, "orders issued before the handover delay has passed")
		time.Sleep(10 * time.Second)
		assert.Equal(t, hosts.orders, 1)
		assert.Assert(t, lost != "")
	})
}

// acceptingHosts accept all orders and record when each order arrived and whether its host
// was on the stored list.
type acceptingHosts struct {
	fencedHosts
	kv            *bwstandin.KV
	mu            sync.Mutex
	orders        map[string]time.Time
	unstoredHosts []string
}

func (h *acceptingHosts) Maintain(ctx context.Context, host string, _, _ int64) bwmaintenance.Result {
	list, err := h.kv.Get(ctx, "hosts/orders")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders[host] = time.Now()
	if err != nil || !strings.Contains(string(list.Value), host) {
		h.unstoredHosts = append(h.unstoredHosts, host)
	}
	return bwmaintenance.Accepted
}

// A new coordinator delays orders to hosts that the previous one may have ordered and orders
// the others at once. The host of each order must be on the stored list before the order is
// issued.
func TestNewCoordinatorDelaysOnlyRecentlyOrderedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		kv.Put("hosts/orders", []byte(`["m-1"]`))
		hosts := &acceptingHosts{kv: kv, orders: make(map[string]time.Time)}
		c := takeOver(t, kv, kv, hosts, idlePools{}, 2, func(string) {})
		started := time.Now()
		go c.Run(context.Background())
		time.Sleep(10 * time.Second)
		c.Stop(context.Background())
		assert.Assert(t, hosts.orders["m-2"].Sub(started) < time.Second, "m-2 waited %s", hosts.orders["m-2"].Sub(started))
		wait := hosts.orders["m-1"].Sub(started)
		assert.Assert(t, wait >= 3*time.Second && wait < 4*time.Second, "m-1 waited %s", wait)
		assert.Equal(t, len(hosts.unstoredHosts), 0, "orders to hosts that are not on the stored list: %v", hosts.unstoredHosts)
	})
}

// A coordinator that was replaced must issue no order, because it can no longer write the
// list of ordered hosts.
func TestReplacedCoordinatorIssuesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		hosts := &acceptingHosts{kv: kv, orders: make(map[string]time.Time)}
		lost := ""
		c := takeOver(t, kv, kv, hosts, idlePools{}, 2, func(reason string) { lost = reason })
		defer c.Stop(context.Background())
		kv.Put(coordinatorKey, nil)
		go c.Run(context.Background())
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(hosts.orders), 0)
		assert.Assert(t, lost != "")
	})
}

// busyHosts answer every maintenance order with Busy, so that the coordinator keeps cordoning
// hosts.
type busyHosts struct{ fencedHosts }

func (*busyHosts) Maintain(context.Context, string, int64, int64) bwmaintenance.Result {
	return bwmaintenance.Busy
}

// A coordinator that cannot store its list of ordered hosts must cordon nothing: another node
// may be the coordinator, and cordoned hosts that get no order would stay empty.
func TestCoordinatorCordonsNothingWhileStoreRepliesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		var cordons atomic.Int64
		c := takeOver(t, kv, kv, &busyHosts{}, idlePools{cordons: &cordons}, 1, func(string) {})
		defer c.Stop(context.Background())
		kv.SetReplyLoss(1, 0)
		go c.Run(context.Background())
		time.Sleep(3 * time.Second)
		before := cordons.Load()
		time.Sleep(5 * time.Second)
		assert.Equal(t, cordons.Load(), before)
	})
}

// cordonedPools have no demand and empty executors. A cordon ends after the time for which it was
// asked.
type cordonedPools struct {
	mu    sync.Mutex
	until map[string]time.Time
	// cordonDelay is how long each answer to a cordon takes.
	cordonDelay time.Duration
}

func newCordonedPools() *cordonedPools { return &cordonedPools{until: make(map[string]time.Time)} }

func (p *cordonedPools) Survey(context.Context, string) (bwmaintenance.Survey, bool) {
	s := bwmaintenance.Survey{Executors: make(map[string]bwmaintenance.ExecutorSurvey)}
	for _, id := range []string{"i-1", "i-2"} {
		s.Executors[id] = bwmaintenance.ExecutorSurvey{IsCordoned: p.isCordoned(id, 900*time.Millisecond)}
	}
	return s, true
}

func (p *cordonedPools) Cordon(_ context.Context, _, executor string, d time.Duration) bool {
	p.mu.Lock()
	p.until[executor] = time.Now().Add(d)
	p.mu.Unlock()
	time.Sleep(p.cordonDelay)
	return true
}

// isCordoned reports whether the cordon of an executor lasts for longer than d.
func (p *cordonedPools) isCordoned(executor string, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Add(d).Before(p.until[executor])
}

// slowHosts list the hosts after a delay. They accept all orders and record the hosts that were not
// cordoned when their order arrived.
type slowHosts struct {
	fencedHosts
	pools     *cordonedPools
	listDelay time.Duration
	mu        sync.Mutex
	arrived   int
	uncovered []string
}

func (h *slowHosts) List(ctx context.Context) ([]bwfleet.Host, error) {
	time.Sleep(h.listDelay)
	return h.fencedHosts.List(ctx)
}

func (h *slowHosts) Maintain(_ context.Context, host string, _, _ int64) bwmaintenance.Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrived++
	if !h.pools.isCordoned("i"+strings.TrimPrefix(host, "m"), 0) {
		h.uncovered = append(h.uncovered, host)
	}
	return bwmaintenance.Accepted
}

// slowStore delays the result of each write.
type slowStore struct {
	*bwstandin.KV
	delay time.Duration
}

func (s slowStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	time.Sleep(s.delay)
	return s.KV.Transact(ctx, t)
}

// Guards against orders to hosts on which tasks may have been started since the cordon ran out.
func TestHostsAreOrderedOnlyWhileCordoned(t *testing.T) {
	for _, c := range []struct {
		name                string
		list, write, cordon time.Duration
		isOrdered           bool
	}{
		{"slow host list", 3 * time.Second, 0, 0, true},
		{"slow store", 0, 3 * time.Second, 0, true},
		{"slow owner of the pool", 0, 0, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pools := newCordonedPools()
				pools.cordonDelay = c.cordon
				hosts := &slowHosts{pools: pools, listDelay: c.list}
				store := slowStore{bwstandin.NewKV(1), c.write}
				coordinator := takeOver(t, store.KV, store, hosts, pools, 1, func(string) {})
				go coordinator.Run(context.Background())
				time.Sleep(40 * time.Second)
				coordinator.Stop(context.Background())
				assert.Equal(t, len(hosts.uncovered), 0, "orders without a cordon: %v", hosts.uncovered)
				assert.Equal(t, hosts.arrived > 0, c.isOrdered)
			})
		})
	}
}
