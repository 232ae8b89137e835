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

// reconcileAll periodically reconciles the pools that are assigned to this controller, until
// ctx is cancelled.
func (c *Controller) reconcileAll(ctx context.Context) {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		snapshot := c.replica.Snapshot()
		var group sync.WaitGroup
		for _, p := range snapshot.Pools() {
			if bwmember.OwnerID(p.GetName(), snapshot.ControllerIDs()) == c.identity.ID && c.needsReconcile(snapshot, p) {
				group.Go(func() { c.reconcile(ctx, p.GetName()) })
			}
		}
		group.Wait()
	}
}

// needsReconcile reports whether a pool needs reconciling. It reads only the local replica and
// the last host list, so an idle pool causes no store requests.
func (c *Controller) needsReconcile(snapshot *bwconfig.Snapshot, p *bwpool.Pool) bool {
	if len(p.GetPermits()) > 0 {
		return true
	}
	if p.GetWave().GetState() != bwpool.WaveState_running {
		return false
	}
	hosts := c.hostViews(snapshot, p.GetName())
	_, ok := bwpool.NextWaveHost(p, hosts)
	return ok || bwpool.IsWaveComplete(p, hosts)
}

// reconcile advances each permit of the pool by at most one step. If the host list is fresh, it
// then advances the wave.
func (c *Controller) reconcile(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	p, revision, err := c.readPool(ctx, name)
	if err != nil || p == nil {
		return
	}
	changed := c.advancePermits(ctx, p)
	if c.isHostListFresh() {
		changed = c.advanceWave(p) || changed
	}
	if changed {
		c.writePool(ctx, p, revision)
	}
}

// readPool reads a pool and its revision from the store. The pool is nil if it does not
// exist.
func (c *Controller) readPool(ctx context.Context, name string) (*bwpool.Pool, int64, error) {
	e, err := c.store.Get(ctx, bwconfig.PoolKey(name))
	if err != nil || e.IsDeleted() {
		return nil, e.Revision(), err
	}
	p := new(bwpool.Pool)
	return p, e.Revision(), bwcodec.Unmarshal(e.Value(), p)
}

// writePool stores the pool if its revision is still the given one. It does not retry a
// conflict or a write with an uncertain result: the next reconcile round reads the pool again.
func (c *Controller) writePool(ctx context.Context, p *bwpool.Pool, revision int64) bwstore.WriteResult {
	value, err := bwcodec.Marshal(p)
	if err != nil {
		c.log.Error("failed to encode pool", "pool", p.GetName(), "error", err)
		return bwstore.WriteResult{}
	}
	return c.store.Put(ctx, bwstore.ClassMaintenance, bwconfig.PoolKey(p.GetName()), value, revision, bwstore.NoLease)
}

// hostViews returns the host state that budget decisions for the pool depend on. A host
// counts as down if its roster state is leaving or if the platform does not report it as
// live and running.
func (c *Controller) hostViews(snapshot *bwconfig.Snapshot, pool string) []bwpool.HostView {
	hosts := snapshot.PoolHosts(pool)
	views := make([]bwpool.HostView, 0, len(hosts))
	for _, h := range hosts {
		r, ok := c.hostReport(h.GetName())
		isDown := !ok || r.State != bwplatform.HostLive || !r.Running || h.GetState() == bwroster.State_leaving
		view := bwpool.NewHostView(h.GetName(), h.GetRack(), h.GetDataCentre(), isDown)
		if h.GetState() == bwroster.State_joining {
			view = view.WithJoining()
		}
		views = append(views, view)
	}
	return views
}

// advanceWave grants as many permits as the budget allows and marks a finished wave as
// completed. It reports whether the pool changed.
func (c *Controller) advanceWave(p *bwpool.Pool) bool {
	if p.GetWave().GetState() != bwpool.WaveState_running {
		return false
	}
	now := c.clock.Now()
	hosts := c.hostViews(c.replica.Snapshot(), p.GetName())
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

// advancePermits advances each permit by at most one step and reports whether the pool
// changed.
func (c *Controller) advancePermits(ctx context.Context, p *bwpool.Pool) bool {
	permits := append([]*bwpool.Permit(nil), p.GetPermits()...)
	decisions := make([]bwpool.Decision, len(permits))
	var group sync.WaitGroup
	for i, permit := range permits {
		group.Go(func() { decisions[i] = c.actOnPermit(ctx, p.GetName(), permit) })
	}
	group.Wait()
	changed := false
	now := c.clock.Now()
	for i, d := range decisions {
		c.setWaitReason(permits[i].GetId(), d.WaitReason())
		switch d.Action() {
		case bwpool.ActAdvance:
			c.log.Info("permit advanced", "pool", p.GetName(), "host", permits[i].GetHost(), "step", d.Step())
			changed = p.AdvancePermit(permits[i].GetId(), d.Step(), now) || changed
		case bwpool.ActRelease:
			c.log.Info("permit released", "pool", p.GetName(), "host", permits[i].GetHost())
			p.ReleasePermit(permits[i].GetId(), now)
			changed = true
		}
	}
	return changed
}

// setWaitReason records the reason why a permit waits, for the maintenance status. An empty
// reason removes the record.
func (c *Controller) setWaitReason(permitID, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason == "" {
		delete(c.waitReasons, permitID)
		return
	}
	c.waitReasons[permitID] = reason
}

// actOnPermit decides the next action for a permit and executes it. Changes to the pool itself
// are left to advancePermits, which applies the returned decision to the pool.
func (c *Controller) actOnPermit(ctx context.Context, pool string, permit *bwpool.Permit) bwpool.Decision {
	observed, err := c.observeState(ctx, permit)
	if err != nil {
		c.log.Warn("failed to read the state that a permit depends on", "host", permit.GetHost(), "error", err)
		return bwpool.Decision{}
	}
	d := bwpool.NextAction(pool, permit, observed)
	c.permitActions.WithLabelValues(d.Action().String()).Inc()
	switch d.Action() {
	case bwpool.ActMarkLeaving:
		c.updateRosterHost(ctx, permit.GetHost(), func(h *bwroster.Host) { h.State = bwroster.State_leaving })
	case bwpool.ActMarkActive:
		c.updateRosterHost(ctx, permit.GetHost(), func(h *bwroster.Host) { h.State = bwroster.State_active })
	case bwpool.ActTransfer:
		c.updateRosterHost(ctx, permit.GetHost(), func(h *bwroster.Host) {
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

// drain orders the platform to drain the host and advances the permit once no request is in
// flight on it.
func (c *Controller) drain(ctx context.Context, permit *bwpool.Permit) bwpool.Decision {
	r, ok := c.sendOrder(ctx, permit, bwplatform.VerbDrain)
	switch {
	case !ok:
		return bwpool.WaitDecision("the platform does not answer")
	case r.InFlight > 0:
		return bwpool.WaitDecision(fmt.Sprintf("the host still runs %d requests", r.InFlight))
	}
	return bwpool.AdvanceDecision(bwpool.Step_drained)
}

// orderAndAdvance sends an order and advances the permit once the platform has accepted it.
func (c *Controller) orderAndAdvance(ctx context.Context, permit *bwpool.Permit, verb bwplatform.Verb, next bwpool.Step) bwpool.Decision {
	if _, ok := c.sendOrder(ctx, permit, verb); !ok {
		return bwpool.WaitDecision("the platform does not answer")
	}
	return bwpool.AdvanceDecision(next)
}

// reboot orders the platform to reboot the host and advances the permit once the host is
// live again.
func (c *Controller) reboot(ctx context.Context, permit *bwpool.Permit) bwpool.Decision {
	r, ok := c.sendOrder(ctx, permit, bwplatform.VerbReboot)
	if !ok || r.State != bwplatform.HostLive {
		return bwpool.WaitDecision("the host reboots")
	}
	return bwpool.AdvanceDecision(bwpool.Step_transferred)
}

func (c *Controller) sendOrder(ctx context.Context, permit *bwpool.Permit, verb bwplatform.Verb) (bwplatform.HostReport, bool) {
	r, err := c.platform.Do(ctx, bwplatform.Order{Host: permit.GetHost(), Verb: verb, Permit: permit.GetId()})
	if err != nil {
		c.log.Warn("platform order failed; will retry", "host", permit.GetHost(), "verb", verb, "error", err)
		return r, false
	}
	return r, true
}

// updateRosterHost changes a host's roster entry by compare-and-swap. It ignores errors and
// conflicts: the next reconcile round reads the state again and decides anew.
func (c *Controller) updateRosterHost(ctx context.Context, host string, change func(*bwroster.Host)) {
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

// readShard reads the roster shard of a host from the store. A shard that does not exist is
// returned as empty.
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

// observeState reads the state that the next action for a permit depends on: the host's roster
// entry, the platform's report and, while the host drains, the status of every entry.
func (c *Controller) observeState(ctx context.Context, permit *bwpool.Permit) (bwpool.ObservedState, error) {
	shard, e, err := c.readShard(ctx, permit.GetHost())
	if err != nil {
		return bwpool.ObservedState{}, err
	}
	observed := bwpool.ObservedState{Host: shard.Find(permit.GetHost()), RosterRevision: e.Revision()}
	if observed.Host == nil {
		return observed, nil
	}
	if r, err := c.platform.Host(ctx, permit.GetHost()); err == nil {
		observed.PlatformResponded = true
		observed.IsHostLive = r.State == bwplatform.HostLive
		observed.IsExecutorRunning = r.Running
		observed.InFlight = r.InFlight
	}
	if permit.GetStep() == bwpool.Step_draining {
		observed.Entries = c.queryEntries(ctx, permit.GetHost())
	}
	return observed, nil
}

// queryEntries queries every registered entry for its use of the host.
func (c *Controller) queryEntries(ctx context.Context, host string) []bwpool.EntryStatus {
	registered := c.replica.Snapshot().RegisteredEntries()
	statuses := make([]bwpool.EntryStatus, 0, len(registered))
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, beat := range registered {
		group.Go(func() {
			s := c.queryEntry(ctx, id, beat.GetAddress(), host)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, s)
		})
	}
	group.Wait()
	return statuses
}

func (c *Controller) queryEntry(ctx context.Context, id, address, host string) bwpool.EntryStatus {
	ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
	defer cancel()
	reply, err := c.peers.Client(ctx, address).HostStatus(ctx, &bwpeer.HostStatusRequest{Host: host})
	if err != nil {
		c.peers.CloseIdle(address)
		return bwpool.EntryStatus{Entry: id}
	}
	return bwpool.EntryStatus{
		Entry:       id,
		Responded:   true,
		Revision:    reply.GetRevision(),
		InFlight:    int(reply.GetInFlight()),
		Dispatching: reply.GetDispatching(),
	}
}
