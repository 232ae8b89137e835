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
	beatTimeout      = 800 * time.Millisecond
	pullTimeout      = 2 * time.Second
	refreshInterval  = 100 * time.Millisecond
	platformInterval = 500 * time.Millisecond
)

// mesh tracks the other entries by their heartbeats and derives from them which hosts
// and claim shards this entry owns.
type mesh struct {
	entry *Entry
	// applied is the configuration revision that the home uses.
	applied atomic.Int64

	// refreshMu serializes the calls of refresh.
	refreshMu sync.Mutex

	mu      sync.Mutex
	view    *bwmember.View
	table   bwroute.Table
	basis   basis
	leaving map[string]bool
	// listings is incremented at each change of the leaving hosts.
	listings int
	beating  map[string]bool
	reach    map[string]*reach
}

// reach holds the context of the calls to one incarnation of another entry. The context
// is cancelled when that incarnation becomes unreachable.
type reach struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
}

func newMesh(e *Entry) *mesh {
	m := &mesh{
		entry:   e,
		leaving: make(map[string]bool),
		beating: make(map[string]bool),
		reach:   make(map[string]*reach),
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
func (m *mesh) run(ctx context.Context) {
	beats := time.NewTicker(bwmember.BeatInterval)
	defer beats.Stop()
	refreshes := time.NewTicker(refreshInterval)
	defer refreshes.Stop()
	m.beatAll(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			m.beatAll(ctx)
		case <-refreshes.C:
			m.refresh()
		}
	}
}

// refresh applies the current configuration and membership. When it returns, requests run
// with a version at least as new as the replica's at the time of the call; only then may
// the version be confirmed as fresh. One refresh runs at a time, so that an older version
// never replaces a newer one.
func (m *mesh) refresh() {
	m.refreshMu.Lock()
	defer m.refreshMu.Unlock()
	v := m.entry.replica.Version()
	live, isChanged := m.updateTable(v, m.selfBeat())
	m.entry.store.SetWriteLimit(bwstore.ClassClaims, m.entry.claimWrites/float64(max(1, len(live))))
	m.entry.home.SetEjectedElsewhere(ejectedElsewhere(live))
	switch {
	case m.entry.leaving.Load():
	case isChanged:
		m.entry.home.Configure(v, m.currentTable().Assignment())
	default:
		m.entry.home.UpdateShares()
	}
	m.applied.Store(v.Revision())
}

// updateTable updates the view and the routing table. It returns the live entries and
// whether the owners of hosts may have changed.
func (m *mesh) updateTable(v *bwconfig.Version, self *bwpeer.Beat) (live []bwmember.Member, isChanged bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock.Now()
	m.view.SetSelf(self)
	m.view.Register(v.Registered(), now)
	m.updateReach(m.view.Reachable(now))
	live = m.view.Live(now)
	basis := m.basisOf(v, live)
	if basis == m.basis {
		m.table = m.table.WithMembers(live)
		return live, false
	}
	m.table = bwroute.Build(v, live, func(host string) bool { return m.leaving[host] })
	m.basis = basis
	return live, true
}

// basis identifies the inputs of the routing table. Building the table takes time
// proportional to the size of the fleet, so it is rebuilt only when an input changes.
type basis struct {
	content  int64
	live     string
	listings int
}

// basisOf returns the current inputs of the routing table. m.mu must be held.
func (m *mesh) basisOf(v *bwconfig.Version, live []bwmember.Member) basis {
	var names strings.Builder
	for _, member := range live {
		names.WriteString(member.Incarnation())
		names.WriteByte(' ')
	}
	return basis{content: v.Content(), live: names.String(), listings: m.listings}
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

// updateReach cancels the calls to incarnations that are no longer reachable. m.mu must
// be held.
func (m *mesh) updateReach(reachable []bwmember.Member) {
	current := make(map[string]string, len(reachable))
	for _, member := range reachable {
		current[member.ID()] = member.Incarnation()
	}
	for id, r := range m.reach {
		if current[id] != r.incarnation {
			r.cancel()
			delete(m.reach, id)
		}
	}
}

// reachOf returns the context that ends when the member becomes unreachable.
func (m *mesh) reachOf(member bwmember.Member) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.reach[member.ID()]
	if r == nil || r.incarnation != member.Incarnation() {
		ctx, cancel := context.WithCancel(context.Background())
		r = &reach{incarnation: member.Incarnation(), ctx: ctx, cancel: cancel}
		m.reach[member.ID()] = r
	}
	return r.ctx
}

// selfBeat returns the heartbeat of this entry.
func (m *mesh) selfBeat() *bwpeer.Beat {
	e := m.entry
	return &bwpeer.Beat{
		Id:              e.identity.ID,
		Incarnation:     e.incarnation,
		Address:         e.identity.PeerAddress,
		DataCentre:      e.identity.DataCentre,
		Leaving:         e.leaving.Load(),
		Revision:        e.replica.Version().Revision(),
		FreshnessMillis: e.freshness.Age(e.clock.Now()).Milliseconds(),
		Loads:           e.home.Loads(),
	}
}

func (m *mesh) currentTable() bwroute.Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// live returns the reachable entries that are not leaving, possibly including this one.
func (m *mesh) live() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Live(m.entry.clock.Now())
}

// self returns this entry.
func (m *mesh) self() bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self()
}

// others returns all known entries except this one, whether reachable or not.
func (m *mesh) others() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Others()
}

// reachable returns the entries with a recent heartbeat, including leaving ones.
func (m *mesh) reachable() []bwmember.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Reachable(m.entry.clock.Now())
}

func (m *mesh) hasIncarnation(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.HasIncarnation(incarnation, m.entry.clock.Now())
}

// hear records a heartbeat of another entry.
func (m *mesh) hear(b *bwpeer.Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Hear(b, m.entry.clock.Now())
}

// beatAll sends a heartbeat to each known entry and seed that has none in flight.
func (m *mesh) beatAll(ctx context.Context) {
	addresses := make(map[string]bool)
	for _, member := range m.others() {
		addresses[member.Address()] = true
	}
	for _, address := range m.entry.seeds {
		addresses[address] = true
	}
	delete(addresses, m.entry.identity.PeerAddress)
	for address := range addresses {
		if m.startBeat(address) {
			go m.beat(ctx, address)
		}
	}
}

func (m *mesh) startBeat(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.beating[address] {
		return false
	}
	m.beating[address] = true
	return true
}

func (m *mesh) endBeat(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.beating, address)
}

// beat exchanges one heartbeat with a peer and pulls a newer configuration from it.
func (m *mesh) beat(ctx context.Context, address string) {
	defer m.endBeat(address)
	sent := m.entry.clock.Now()
	call, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := m.entry.peers.Client(call, address).Heartbeat(call, m.selfBeat())
	if err != nil {
		m.entry.peers.Reset(address)
		return
	}
	m.hear(reply)
	m.adopt(ctx, address, reply, sent)
}

// adopt pulls newer configuration from a peer. Once the peer's revision is applied here,
// the time at which the peer's configuration was confirmed holds for this entry too.
func (m *mesh) adopt(ctx context.Context, address string, reply *bwpeer.Beat, sent bwclock.Time) {
	own := m.entry.replica.Version().Revision()
	if reply.GetRevision() > own || (!m.entry.replica.IsLoaded() && reply.GetRevision() > 0) {
		m.pull(ctx, address, own)
	}
	if m.entry.replica.IsLoaded() && m.applied.Load() >= reply.GetRevision() {
		age := time.Duration(reply.GetFreshnessMillis()) * time.Millisecond
		m.entry.freshness.Confirm(sent.Add(-age))
		// Only a peer without a newer revision is a witness that this entry may continue
		// with its last configuration while the store does not answer.
		m.entry.freshness.Witness(sent)
	}
}

func (m *mesh) pull(ctx context.Context, address string, after int64) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := m.entry.peers.Client(ctx, address).Pull(ctx, &bwpeer.PullRequest{AfterRevision: after})
	if err != nil {
		m.entry.log.Warn("failed to pull configuration from peer", "address", address, "error", err)
		return
	}
	m.entry.replica.ApplyPull(after, reply)
	m.refresh()
}

// announce sends every peer a heartbeat which says that this entry is leaving.
func (m *mesh) announce(ctx context.Context) {
	m.refresh()
	var group sync.WaitGroup
	for _, member := range m.others() {
		group.Go(func() {
			call, cancel := context.WithTimeout(ctx, beatTimeout)
			defer cancel()
			// If the call fails, the peer learns it from the next heartbeat.
			_, _ = m.entry.peers.Client(call, member.Address()).Heartbeat(call, m.selfBeat())
		})
	}
	group.Wait()
}

// pollPlatform polls the platform for the hosts that are leaving until ctx ends. While
// the platform does not answer, the last list stays in use.
func (m *mesh) pollPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		asked := m.entry.clock.Now()
		reports, err := m.entry.platform.Hosts(ctx)
		if err == nil {
			m.setLeaving(reports)
			m.entry.freshness.Witness(asked)
		}
		wait(ctx, platformInterval)
	}
}

func (m *mesh) setLeaving(reports []bwplatform.HostReport) {
	leaving := make(map[string]bool)
	for _, r := range reports {
		if r.State != bwplatform.HostLive {
			leaving[r.Host] = true
		}
	}
	m.mu.Lock()
	isChanged := !maps.Equal(m.leaving, leaving)
	if isChanged {
		m.leaving = leaving
		m.listings++
	}
	m.mu.Unlock()
	if isChanged {
		m.refresh()
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
