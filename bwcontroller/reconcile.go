package bwcontroller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstore"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

// reconcileAll works on the pools that this controller is responsible for.
func (c *Controller) reconcileAll(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v := c.replica.Version()
		var group sync.WaitGroup
		for _, p := range v.Pools() {
			if bwmember.OwnerID(p.GetName(), v.Controllers()) == c.identity.ID && c.hasWork(v, p) {
				group.Go(func() { c.reconcile(ctx, p.GetName()) })
			}
		}
		group.Wait()
	}
}

// hasWork tells from the local copy whether a pool needs attention, so that an idle pool
// costs no store call.
func (c *Controller) hasWork(v *bwconfig.Version, p *bwpool.Pool) bool {
	if len(p.GetPermits()) > 0 {
		return true
	}
	if p.GetWave().GetState() != bwpool.WaveState_running {
		return false
	}
	hosts := c.hostViews(v, p.GetName())
	_, ok := bwpool.NextWaveHost(p, hosts)
	return ok || bwpool.IsWaveComplete(p, hosts)
}

// reconcile takes one step for the pool: for each permit, then for the wave.
func (c *Controller) reconcile(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p, revision, err := c.readPool(ctx, name)
	if err != nil || p == nil {
		return
	}
	changed := c.advancePermits(ctx, p)
	if c.isListFresh() {
		changed = c.advanceWave(p) || changed
	}
	if changed {
		c.writePool(ctx, p, revision)
	}
}

// readPool reads the stored value of a pool; an absent pool is nil.
func (c *Controller) readPool(ctx context.Context, name string) (*bwpool.Pool, int64, error) {
	e, err := c.store.Get(ctx, bwconfig.PoolKey(name))
	if err != nil || e.IsDeleted() {
		return nil, e.Revision(), err
	}
	p := new(bwpool.Pool)
	return p, e.Revision(), bwcodec.Unmarshal(e.Value(), p)
}

// writePool stores the pool. After a conflict or a doubt the next round reads it again.
func (c *Controller) writePool(ctx context.Context, p *bwpool.Pool, revision int64) bwstore.WriteResult {
	value, err := bwcodec.Marshal(p)
	if err != nil {
		c.log.Error("pool could not be encoded", "pool", p.GetName(), "error", err)
		return bwstore.WriteResult{}
	}
	return c.store.Put(ctx, bwstore.ClassMaintenance, bwconfig.PoolKey(p.GetName()), value, revision, bwstore.NoLease)
}

// hostViews returns what a budget decision needs to know of the pool's hosts.
func (c *Controller) hostViews(v *bwconfig.Version, pool string) []bwpool.HostView {
	hosts := v.PoolHosts(pool)
	views := make([]bwpool.HostView, 0, len(hosts))
	for _, h := range hosts {
		r, ok := c.report(h.GetName())
		isDown := !ok || r.State != bwplatform.HostLive || !r.Running || h.GetState() == bwroster.State_leaving
		view := bwpool.NewHostView(h.GetName(), h.GetRack(), h.GetDataCentre(), isDown)
		if h.GetState() == bwroster.State_joining {
			view = view.Joining()
		}
		views = append(views, view)
	}
	return views
}

// advanceWave grants as many permits as the budget allows, and closes a complete wave.
func (c *Controller) advanceWave(p *bwpool.Pool) bool {
	if p.GetWave().GetState() != bwpool.WaveState_running {
		return false
	}
	now := c.clock.Now()
	hosts := c.hostViews(c.replica.Version(), p.GetName())
	changed := false
	for {
		host, ok := bwpool.NextWaveHost(p, hosts)
		if !ok {
			break
		}
		p.AddPermit(&bwpool.Permit{Id: uuid.NewString(), Host: host, Wave: p.GetWave().GetId()}, hosts, now)
		c.log.Info("permit granted", "pool", p.GetName(), "host", host, "wave", p.GetWave().GetId())
		changed = true
	}
	if bwpool.IsWaveComplete(p, hosts) {
		p.Wave.State = bwpool.WaveState_completed
		p.Wave.EndedMillis = now.Millis()
		c.log.Info("wave completed", "pool", p.GetName(), "wave", p.GetWave().GetId())
		changed = true
	}
	return changed
}

// advancePermits takes one step for each permit and reports whether the pool changed.
func (c *Controller) advancePermits(ctx context.Context, p *bwpool.Pool) bool {
	permits := append([]*bwpool.Permit(nil), p.GetPermits()...)
	decisions := make([]bwpool.Decision, len(permits))
	var group sync.WaitGroup
	for i, permit := range permits {
		group.Go(func() { decisions[i] = c.act(ctx, p.GetName(), permit) })
	}
	group.Wait()
	changed := false
	now := c.clock.Now()
	for i, d := range decisions {
		c.setProblem(permits[i].GetId(), d.Problem())
		switch d.Action() {
		case bwpool.ActAdvance:
			c.log.Info("permit advanced", "pool", p.GetName(), "host", permits[i].GetHost(), "step", d.Step())
			changed = p.Advance(permits[i].GetId(), d.Step(), now) || changed
		case bwpool.ActRelease:
			c.log.Info("permit released", "pool", p.GetName(), "host", permits[i].GetHost())
			p.Release(permits[i].GetId(), now)
			changed = true
		}
	}
	return changed
}

// setProblem keeps what a permit waits for, for operators.
func (c *Controller) setProblem(permit, problem string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if problem == "" {
		delete(c.problems, permit)
		return
	}
	c.problems[permit] = problem
}

// act gathers the facts for a permit and executes the action that needs no change of
// the pool. It returns the decision for the caller to record.
func (c *Controller) act(ctx context.Context, pool string, permit *bwpool.Permit) bwpool.Decision {
	f, err := c.gather(ctx, permit)
	if err != nil {
		c.log.Warn("facts for a permit could not be gathered", "host", permit.GetHost(), "error", err)
		return bwpool.Decision{}
	}
	d := bwpool.NextAction(pool, permit, f)
	c.steps.WithLabelValues(d.Action().String()).Inc()
	switch d.Action() {
	case bwpool.ActMarkLeaving:
		c.setHost(ctx, permit.GetHost(), func(h *bwroster.Host) { h.State = bwroster.State_leaving })
	case bwpool.ActMarkActive:
		c.setHost(ctx, permit.GetHost(), func(h *bwroster.Host) { h.State = bwroster.State_active })
	case bwpool.ActTransfer:
		c.setHost(ctx, permit.GetHost(), func(h *bwroster.Host) {
			h.Pool = permit.GetToPool()
			h.State = bwroster.State_joining
		})
	case bwpool.ActDrain:
		return c.drain(ctx, permit)
	case bwpool.ActStop:
		return c.orderAndAdvance(ctx, permit, bwplatform.VerbStop, bwpool.Step_stopped)
	case bwpool.ActStart:
		return c.orderAndAdvance(ctx, permit, bwplatform.VerbStart, bwpool.Step_started)
	case bwpool.ActReboot:
		return c.reboot(ctx, permit)
	}
	return d
}

// drain orders the drain and advances once the host runs nothing any more.
func (c *Controller) drain(ctx context.Context, permit *bwpool.Permit) bwpool.Decision {
	r, ok := c.order(ctx, permit, bwplatform.VerbDrain)
	switch {
	case !ok:
		return bwpool.Waiting("the platform does not answer")
	case r.InFlight > 0:
		return bwpool.Waiting(fmt.Sprintf("the host still runs %d requests", r.InFlight))
	}
	return bwpool.AdvanceTo(bwpool.Step_drained)
}

// orderAndAdvance advances once the platform has accepted the order.
func (c *Controller) orderAndAdvance(ctx context.Context, permit *bwpool.Permit, v bwplatform.Verb, next bwpool.Step) bwpool.Decision {
	if _, ok := c.order(ctx, permit, v); !ok {
		return bwpool.Waiting("the platform does not answer")
	}
	return bwpool.AdvanceTo(next)
}

// reboot orders the reboot and advances once the host is live after it.
func (c *Controller) reboot(ctx context.Context, permit *bwpool.Permit) bwpool.Decision {
	r, ok := c.order(ctx, permit, bwplatform.VerbReboot)
	if !ok || r.State != bwplatform.HostLive {
		return bwpool.Waiting("the host reboots")
	}
	return bwpool.AdvanceTo(bwpool.Step_transferred)
}

func (c *Controller) order(ctx context.Context, permit *bwpool.Permit, v bwplatform.Verb) (bwplatform.HostReport, bool) {
	r, err := c.platform.Do(ctx, bwplatform.Order{Host: permit.GetHost(), Verb: v, Permit: permit.GetId()})
	if err != nil {
		c.log.Warn("order failed and will be repeated", "host", permit.GetHost(), "verb", v, "error", err)
		return r, false
	}
	return r, true
}

// setHost changes a host's roster entry by compare-and-swap. A conflict is left to the
// next round, which decides anew.
func (c *Controller) setHost(ctx context.Context, host string, change func(*bwroster.Host)) {
	shard, e, err := c.readShard(ctx, host)
	if err != nil {
		return
	}
	h := shard.Find(host)
	if h == nil {
		return
	}
	h = proto.CloneOf(h)
	change(h)
	shard.Set(h)
	c.writeShard(ctx, shard, e)
}

// readShard reads the roster shard of a host; an absent shard is empty.
func (c *Controller) readShard(ctx context.Context, host string) (*bwroster.Shard, bwstore.Entry, error) {
	e, err := c.store.Get(ctx, bwconfig.RosterKey(host))
	if err != nil {
		return nil, e, err
	}
	shard := new(bwroster.Shard)
	if e.IsDeleted() {
		return shard, e, nil
	}
	return shard, e, bwcodec.Unmarshal(e.Value(), shard)
}

func (c *Controller) writeShard(ctx context.Context, shard *bwroster.Shard, e bwstore.Entry) bwstore.WriteResult {
	value, err := bwcodec.Marshal(shard)
	if err != nil {
		return bwstore.WriteResult{}
	}
	return c.store.Put(ctx, bwstore.ClassMaintenance, e.Key(), value, e.Revision(), bwstore.NoLease)
}

// gather observes everything that the next step of a permit depends on.
func (c *Controller) gather(ctx context.Context, permit *bwpool.Permit) (bwpool.Facts, error) {
	shard, e, err := c.readShard(ctx, permit.GetHost())
	if err != nil {
		return bwpool.Facts{}, err
	}
	f := bwpool.Facts{Host: shard.Find(permit.GetHost()), RosterRevision: e.Revision()}
	if f.Host == nil {
		return f, nil
	}
	if r, err := c.platform.Host(ctx, permit.GetHost()); err == nil {
		f.PlatformKnown = true
		f.IsLive = r.State == bwplatform.HostLive
		f.IsRunning = r.Running
		f.InFlight = r.InFlight
	}
	if permit.GetStep() == bwpool.Step_draining {
		f.Entries = c.askEntries(ctx, permit.GetHost())
	}
	return f, nil
}

// askEntries asks every registered entry whether it still uses the host.
func (c *Controller) askEntries(ctx context.Context, host string) []bwpool.EntryStatus {
	registered := c.replica.Version().Registered()
	statuses := make([]bwpool.EntryStatus, 0, len(registered))
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, beat := range registered {
		group.Go(func() {
			s := c.askEntry(ctx, id, beat.GetAddress(), host)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, s)
		})
	}
	group.Wait()
	return statuses
}

func (c *Controller) askEntry(ctx context.Context, id, address, host string) bwpool.EntryStatus {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peers.Client(ctx, address).HostStatus(ctx, &bwpeer.HostStatusRequest{Host: host})
	if err != nil {
		c.peers.CloseIdle(address)
		return bwpool.EntryStatus{Entry: id}
	}
	return bwpool.EntryStatus{
		Entry:       id,
		IsKnown:     true,
		Revision:    reply.GetRevision(),
		InFlight:    int(reply.GetInFlight()),
		Dispatching: reply.GetDispatching(),
	}
}
