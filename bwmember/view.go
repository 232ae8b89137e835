// Package bwmember tracks the membership of entries: which of them are live, and which
// one owns a given key.
//
// Registrations in the store determine which entries have joined; heartbeats determine
// which ones are reachable. An entry is reachable if a heartbeat of it was received
// recently, and live if it is reachable and not leaving. The expiry of its lease alone does
// not remove it, because many leases expire together when the store has an outage. View
// starts no goroutines: the entry passes it heartbeats and registrations and queries the
// result. Keys are assigned to owners by rendezvous hashing, so that only the keys of an
// entry that joins or leaves move.
package bwmember

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwpeer"
	"github.com/cespare/xxhash/v2"
)

const (
	// HeartbeatInterval is the time between heartbeats to each peer.
	HeartbeatInterval = 250 * time.Millisecond
	// LivenessTimeout is how long an entry stays reachable after its last heartbeat.
	LivenessTimeout = 1200 * time.Millisecond
	// RemovalDelay is how long an entry that is neither registered nor sends heartbeats
	// stays in the view and is still contacted.
	RemovalDelay = time.Minute
)

// Member is what one entry knows of another, or of itself.
type Member struct {
	heartbeat     *bwpeer.Beat
	lastHeartbeat bwclock.Time
	// lastSeen is the time of the last heartbeat or the last update that listed the entry
	// as registered.
	lastSeen bwclock.Time
	isSelf   bool
}

// ID returns the configured id of the entry.
func (m Member) ID() string { return m.heartbeat.GetId() }

// Incarnation returns the id of the entry's current run.
func (m Member) Incarnation() string { return m.heartbeat.GetIncarnation() }

// Address returns the IP address and port for calls between entries.
func (m Member) Address() string { return m.heartbeat.GetAddress() }

// DataCentre returns the entry's data centre.
func (m Member) DataCentre() string { return m.heartbeat.GetDataCentre() }

// IsSelf reports whether the member is this process.
func (m Member) IsSelf() bool { return m.isSelf }

// IsLeaving reports whether the entry has announced a planned shutdown.
func (m Member) IsLeaving() bool { return m.heartbeat.GetLeaving() }

// Revision returns the configuration revision that the entry last reported.
func (m Member) Revision() int64 { return m.heartbeat.GetRevision() }

// Loads returns the load that the entry last reported for each service.
func (m Member) Loads() []*bwpeer.ServiceLoad { return m.heartbeat.GetLoads() }

// Load returns the load that the entry last reported for service, or nil.
func (m Member) Load(service string) *bwpeer.ServiceLoad {
	for _, l := range m.heartbeat.GetLoads() {
		if l.GetService() == service {
			return l
		}
	}
	return nil
}

// View is one entry's view of the membership. It is not safe for concurrent use.
type View struct {
	self    Member
	members map[string]Member
}

// NewView returns a view that contains only this process.
func NewView(self *bwpeer.Beat) *View {
	return &View{self: Member{heartbeat: self, isSelf: true}, members: make(map[string]Member)}
}

// SetSelf replaces the heartbeat that describes this process.
func (v *View) SetSelf(heartbeat *bwpeer.Beat) { v.self.heartbeat = heartbeat }

// Self returns the member for this process.
func (v *View) Self() Member { return v.self }

// RecordHeartbeat records a heartbeat. It ignores a heartbeat from an older incarnation
// than the known one; incarnations of one entry sort by start time.
func (v *View) RecordHeartbeat(heartbeat *bwpeer.Beat, now bwclock.Time) {
	if heartbeat.GetId() == v.self.ID() || heartbeat.GetId() == "" {
		return
	}
	old, ok := v.members[heartbeat.GetId()]
	if ok && heartbeat.GetIncarnation() < old.Incarnation() {
		return
	}
	v.members[heartbeat.GetId()] = Member{heartbeat: heartbeat, lastHeartbeat: now, lastSeen: now}
}

// UpdateRegistrations updates the view with the entries that are registered in the store,
// by id. It adds unknown entries, which are not reachable before their first heartbeat,
// and replaces older incarnations by newer ones. It removes an entry that is not registered
// once RemovalDelay has passed since it was last seen.
func (v *View) UpdateRegistrations(registered map[string]*bwpeer.Beat, now bwclock.Time) {
	for id, heartbeat := range registered {
		if id == v.self.ID() {
			continue
		}
		old, ok := v.members[id]
		if !ok || heartbeat.GetIncarnation() > old.Incarnation() {
			v.members[id] = Member{heartbeat: heartbeat, lastSeen: now}
			continue
		}
		old.lastSeen = now
		v.members[id] = old
	}
	for id, m := range v.members {
		if registered[id] == nil && now.Sub(m.lastSeen) > RemovalDelay {
			delete(v.members, id)
		}
	}
}

// Others returns every known entry except this one, ordered by id.
func (v *View) Others() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m)
	}
	sortMembers(list)
	return list
}

// Live returns the reachable entries that are not leaving, ordered by id. It includes
// this entry unless this entry is leaving.
func (v *View) Live(now bwclock.Time) []Member {
	list := v.Reachable(now)
	live := list[:0]
	for _, m := range list {
		if !m.IsLeaving() {
			live = append(live, m)
		}
	}
	return live
}

// Reachable returns this entry and those with a recent heartbeat, leaving entries
// included, ordered by id.
func (v *View) Reachable(now bwclock.Time) []Member {
	list := []Member{v.self}
	for _, m := range v.members {
		if m.lastHeartbeat != bwclock.Never && now.Sub(m.lastHeartbeat) <= LivenessTimeout {
			list = append(list, m)
		}
	}
	sortMembers(list)
	return list
}

// IsIncarnationReachable reports whether the given run of an entry may still be working:
// it is known, not replaced by a newer run, and its last heartbeat is within
// LivenessTimeout.
func (v *View) IsIncarnationReachable(incarnation string, now bwclock.Time) bool {
	for _, m := range v.Reachable(now) {
		if m.Incarnation() == incarnation {
			return true
		}
	}
	return false
}

func sortMembers(list []Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
}

// Owner returns the member that owns key by rendezvous hashing. It returns false if there
// are no members.
func Owner(key string, members []Member) (owner Member, ok bool) {
	var best uint64
	for _, m := range members {
		score := rendezvousScore(key, m.ID())
		if !ok || score > best {
			owner, best, ok = m, score, true
		}
	}
	return owner, ok
}

// OwnerID returns the id that owns key by rendezvous hashing, or "" if there are no ids.
func OwnerID(key string, ids []string) string {
	owner := ""
	var best uint64
	for _, id := range ids {
		score := rendezvousScore(key, id)
		if owner == "" || score > best {
			owner, best = id, score
		}
	}
	return owner
}

func rendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest.WriteString never returns an error.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
