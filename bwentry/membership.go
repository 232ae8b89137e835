package bwentry

import (
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwroute"
	"basilwood.example/basilwood/bwstore"
)

const (
	heartbeatTimeout     = 800 * time.Millisecond
	pullTimeout          = 2 * time.Second
	refreshInterval      = 100 * time.Millisecond
	platformPollInterval = 500 * time.Millisecond
)

// membership tracks the other entries by their heartbeats. From the live entries it derives
// the hosts whose home is this entry and the claim shards that this entry owns.
type membership struct {
	entry *Entry
	// appliedRevision is the configuration revision that the dispatcher uses.
	appliedRevision atomic.Int64

	// refreshMu serializes the calls of refresh.
	refreshMu sync.Mutex

	mu           sync.Mutex
	view         *bwmember.View
	table        bwroute.Table
	tableInputs  tableInputs
	leavingHosts map[string]bool
	// leavingChanges is incremented at each change of the leaving hosts.
	leavingChanges     int
	heartbeatsInFlight map[string]bool
	callContexts       map[string]*callContext
}

// callContext holds the context of the calls to one incarnation of another entry. The
// context is cancelled when that incarnation becomes unreachable.
type callContext struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
}

func newMembership(e *Entry) *membership {
	m := &membership{
		entry:              e,
		leavingHosts:       make(map[string]bool),
		heartbeatsInFlight: make(map[string]bool),
		callContexts:       make(map[string]*callContext),
	}
	m.view = bwmember.NewView(&bwpeer.Beat{
		Id:          e.identity.ID,
		Incarnation: e.incarnation,
		Address:     e.identity.PeerAddress,
		DataCentre:  e.identity.DataCentre,
	})
	return m
}

// run sends heartbeats and calls refresh at fixed intervals until ctx ends.
func (m *membership) run(ctx context.Context) {
	heartbeatTicker := time.NewTicker(bwmember.HeartbeatInterval)
	defer heartbeatTicker.Stop()
	refreshTicker := time.NewTicker(refreshInterval)
	defer refreshTicker.Stop()
	m.sendHeartbeats(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeatTicker.C:
			m.sendHeartbeats(ctx)
		case <-refreshTicker.C:
			m.refresh()
		}
	}
}

// refresh applies the current configuration and membership. When it returns, requests run
// with a snapshot at least as new as the replica's at the time of the call; only then may
// the snapshot be confirmed as fresh. One refresh runs at a time, so that an older snapshot
// never replaces a newer one.
func (m *membership) refresh() {
	m.refreshMu.Lock()
	defer m.refreshMu.Unlock()
	snapshot := m.entry.replica.Snapshot()
	live, isChanged := m.updateTable(snapshot, m.ownHeartbeat())
	m.entry.store.SetWriteLimit(bwstore.ClassClaims, m.entry.claimWriteRate/float64(max(1, len(live))))
	m.entry.dispatcher.SetEjectedElsewhere(ejectedElsewhere(live))
	switch {
	case m.entry.leaving.Load():
	case isChanged:
		m.entry.dispatcher.Configure(snapshot, m.currentTable().Assignment())
	default:
		m.entry.dispatcher.UpdateGuarantees()
	}
	m.appliedRevision.Store(snapshot.Revision())
}

// updateTable updates the view and the routing table. It returns the live entries and
// whether the configuration or the homes of hosts may have changed.
func (m *membership) updateTable(snapshot *bwconfig.Snapshot, self *bwpeer.Beat) (live []bwmember.Member, isChanged bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock.Now()
	m.view.SetSelf(self)
	m.view.UpdateRegistrations(snapshot.RegisteredEntries(), now)
	m.cancelUnreachable(m.view.Reachable(now))
	live = m.view.Live(now)
	inputs := m.inputsOf(snapshot, live)
	if inputs == m.tableInputs {
		m.table = m.table.WithMembers(live)
		return live, false
	}
	m.table = bwroute.Build(snapshot, live, func(host string) bool { return m.leavingHosts[host] })
	m.tableInputs = inputs
	return live, true
}

// tableInputs identifies the inputs of the routing table. Building the table takes time
// proportional to the size of the fleet, so it is rebuilt only when an input changes.
type tableInputs struct {
	configGeneration int64
	liveIncarnations string
	leavingChanges   int
}

// inputsOf returns the current inputs of the routing table. m.mu must be held.
func (m *membership) inputsOf(snapshot *bwconfig.Snapshot, live []bwmember.Member) tableInputs {
	var incarnations strings.Builder
	for _, member := range live {
		incarnations.WriteString(member.Incarnation())
		incarnations.WriteByte(' ')
	}
	return tableInputs{configGeneration: snapshot.Generation(), liveIncarnations: incarnations.String(), leavingChanges: m.leavingChanges}
}

// ejectedElsewhere returns the number of targets of each service that other entries have
// ejected.
func ejectedElsewhere(live []bwmember.Member) map[string]int {
	ejected := make(map[string]int)
	for _, member := range live {
		if member.IsSelf() {
			continue
		}
		for _, l := range member.Loads() {
			ejected[l.GetService()] += int(l.GetEjected())
		}
	}
	return ejected
}

// cancelUnreachable cancels the calls to incarnations that are no longer reachable. m.mu
// must be held.
func (m *membership) cancelUnreachable(reachable []bwmember.Member) {
	incarnations := make(map[string]string, len(reachable))
	for _, member := range reachable {
		incarnations[member.ID()] = member.Incarnation()
	}
	for id, call := range m.callContexts {
		if incarnations[id] != call.incarnation {
			call.cancel()
			delete(m.callContexts, id)
		}
	}
}

// callContextOf returns the context that ends when the member becomes unreachable.
func (m *membership) callContextOf(member bwmember.Member) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	call := m.callContexts[member.ID()]
	if call == nil || call.incarnation != member.Incarnation() {
		ctx, cancel := context.WithCancel(context.Background())
		call = &callContext{incarnation: member.Incarnation(), ctx: ctx, cancel: cancel}
		m.callContexts[member.ID()] = call
	}
	return call.ctx
}

// ownHeartbeat returns the heartbeat of this entry.
func (m *membership) ownHeartbeat() *bwpeer.Beat {
	e := m.entry
	return &bwpeer.Beat{
		Id:              e.identity.ID,
		Incarnation:     e.incarnation,
		Address:         e.identity.PeerAddress,
		DataCentre:      e.identity.DataCentre,
		Leaving:         e.leaving.Load(),
		Revision:        e.replica.Snapshot().Revision(),
		FreshnessMillis: e.freshness.Age(e.clock.Now()).Milliseconds(),
		Loads:           e.dispatcher.Loads(),
	}
}

func (m *membership) currentTable() bwroute.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// live returns the reachable entries that are not leaving, possibly including this one.
func (m *membership) live() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Live(m.entry.clock.Now())
}

// self returns this entry.
func (m *membership) self() bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self()
}

// others returns all known entries except this one, whether reachable or not.
func (m *membership) others() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Others()
}

// reachable returns the entries with a recent heartbeat, including leaving ones.
func (m *membership) reachable() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Reachable(m.entry.clock.Now())
}

func (m *membership) hasIncarnation(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.IsIncarnationReachable(incarnation, m.entry.clock.Now())
}

// recordHeartbeat records a heartbeat of another entry.
func (m *membership) recordHeartbeat(heartbeat *bwpeer.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.RecordHeartbeat(heartbeat, m.entry.clock.Now())
}

// sendHeartbeats sends a heartbeat to each known entry and seed that has none in flight.
func (m *membership) sendHeartbeats(ctx context.Context) {
	addresses := make(map[string]bool)
	for _, member := range m.others() {
		addresses[member.Address()] = true
	}
	for _, address := range m.entry.seeds {
		addresses[address] = true
	}
	delete(addresses, m.entry.identity.PeerAddress)
	for address := range addresses {
		if m.startHeartbeat(address) {
			go m.exchangeHeartbeat(ctx, address)
		}
	}
}

func (m *membership) startHeartbeat(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heartbeatsInFlight[address] {
		return false
	}
	m.heartbeatsInFlight[address] = true
	return true
}

func (m *membership) endHeartbeat(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.heartbeatsInFlight, address)
}

// exchangeHeartbeat exchanges one heartbeat with a peer and pulls a newer configuration
// from it.
func (m *membership) exchangeHeartbeat(ctx context.Context, address string) {
	defer m.endHeartbeat(address)
	sentAt := m.entry.clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := m.entry.peers.Client(callCtx, address).Heartbeat(callCtx, m.ownHeartbeat())
	if err != nil {
		m.entry.peers.CloseIdle(address)
		return
	}
	m.recordHeartbeat(reply)
	m.syncFromPeer(ctx, address, reply, sentAt)
}

// syncFromPeer pulls newer configuration from a peer. Once the peer's revision is applied
// here, the peer's confirmation of that revision counts for this entry too, with its age.
func (m *membership) syncFromPeer(ctx context.Context, address string, reply *bwpeer.Beat, sentAt bwclock.Time) {
	own := m.entry.replica.Snapshot().Revision()
	if reply.GetRevision() > own || (!m.entry.replica.IsLoaded() && reply.GetRevision() > 0) {
		m.pullConfig(ctx, address, own)
	}
	if m.entry.replica.IsLoaded() && m.appliedRevision.Load() >= reply.GetRevision() {
		age := time.Duration(reply.GetFreshnessMillis()) * time.Millisecond
		m.entry.freshness.RecordConfirmation(sentAt.Add(-age))
		// Connectivity lets this entry continue with its last configuration while the store
		// does not answer, so a reply from a peer with a newer revision does not count.
		m.entry.freshness.RecordConnectivity(sentAt)
	}
}

func (m *membership) pullConfig(ctx context.Context, address string, after int64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := m.entry.peers.Client(ctx, address).Pull(ctx, &bwpeer.PullRequest{AfterRevision: after})
	if err != nil {
		m.entry.log.Warn("failed to pull configuration from peer", "address", address, "error", err)
		return
	}
	m.entry.replica.ApplyPullReply(after, reply)
	m.refresh()
}

// announceLeaving sends every peer a heartbeat which says that this entry is leaving.
func (m *membership) announceLeaving(ctx context.Context) {
	m.refresh()
	var group sync.WaitGroup
	for _, member := range m.others() {
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			// If the call fails, the peer learns it from the next heartbeat.
			_, _ = m.entry.peers.Client(callCtx, member.Address()).Heartbeat(callCtx, m.ownHeartbeat())
		})
	}
	group.Wait()
}

// pollPlatform polls the platform for the hosts that are leaving until ctx ends. While
// the platform does not answer, the last list stays in use.
func (m *membership) pollPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := m.entry.clock.Now()
		reports, err := m.entry.platform.Hosts(ctx)
		if err == nil {
			m.setLeavingHosts(reports)
			m.entry.freshness.RecordConnectivity(sentAt)
		}
		sleep(ctx, platformPollInterval)
	}
}

func (m *membership) setLeavingHosts(reports []bwplatform.HostReport) {
	leaving := make(map[string]bool)
	for _, r := range reports {
		if r.State != bwplatform.HostLive {
			leaving[r.Host] = true
		}
	}
	m.mu.Lock()
	isChanged := !maps.Equal(m.leavingHosts, leaving)
	if isChanged {
		m.leavingHosts = leaving
		m.leavingChanges++
	}
	m.mu.Unlock()
	if isChanged {
		m.refresh()
	}
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
