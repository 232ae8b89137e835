// Package bwmember decides which entries are live and which of them is responsible
// for what.
//
// The store's registrations say who has joined. Heartbeats say who can be reached. An
// entry is live when a heartbeat reached it recently; the end of its lease alone
// removes nobody, because many leases end together when the store has an outage. View
// is a plain value with no goroutines: the entry feeds it beats and registrations and
// asks it for decisions. Rendezvous hashing then picks an owner for a key, which moves
// only the keys of an entry that joins or leaves.
package bwmember

import (
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwpeer"
	"github.com/cespare/xxhash/v2"
)

const (
	// BeatInterval is the time between heartbeats to each peer.
	BeatInterval = 250 * time.Millisecond
	// LiveFor is how long an entry stays live after its last heartbeat.
	LiveFor = 1200 * time.Millisecond
	// ForgetAfter is how long an unregistered silent entry is still contacted.
	ForgetAfter = time.Minute
)

// Member is one entry as another one knows it.
type Member struct {
	beat    *bwpeer.Beat
	heardAt bwclock.Time
	seenAt  bwclock.Time
	isSelf  bool
}

// ID returns the entry's configured name.
func (m Member) ID() string { return m.beat.GetId() }

// Incarnation returns the name of this run of the entry.
func (m Member) Incarnation() string { return m.beat.GetIncarnation() }

// Address returns the IP number and port for calls between entries.
func (m Member) Address() string { return m.beat.GetAddress() }

// DataCentre returns the entry's data centre.
func (m Member) DataCentre() string { return m.beat.GetDataCentre() }

// IsSelf reports whether the member is the process itself.
func (m Member) IsSelf() bool { return m.isSelf }

// IsLeaving reports whether the entry has announced a planned stop.
func (m Member) IsLeaving() bool { return m.beat.GetLeaving() }

// Revision returns the configuration revision that the entry has announced.
func (m Member) Revision() int64 { return m.beat.GetRevision() }

// Loads returns the announced load of every service.
func (m Member) Loads() []*bwpeer.ServiceLoad { return m.beat.GetLoads() }

// Load returns the announced load of the service, or nil.
func (m Member) Load(service string) *bwpeer.ServiceLoad {
	for _, l := range m.beat.GetLoads() {
		if l.GetService() == service {
			return l
		}
	}
	return nil
}

// View is one entry's knowledge of all entries. It is not safe for concurrent use.
type View struct {
	self    Member
	members map[string]Member
}

// NewView returns a view that holds only the process itself.
func NewView(self *bwpeer.Beat) *View {
	return &View{self: Member{beat: self, isSelf: true}, members: make(map[string]Member)}
}

// SetSelf replaces the facts about the process itself.
func (v *View) SetSelf(b *bwpeer.Beat) { v.self.beat = b }

// Self returns the process itself.
func (v *View) Self() Member { return v.self }

// Hear records a heartbeat. A beat of an older incarnation than the known one is
// dropped; incarnations of one entry sort by start time.
func (v *View) Hear(b *bwpeer.Beat, now bwclock.Time) {
	if b.GetId() == v.self.ID() || b.GetId() == "" {
		return
	}
	old, ok := v.members[b.GetId()]
	if ok && b.GetIncarnation() < old.Incarnation() {
		return
	}
	v.members[b.GetId()] = Member{beat: b, heardAt: now, seenAt: now}
}

// Register records the entries that the store lists. It adds unknown ones, which are
// not live before their first heartbeat, and adopts newer incarnations.
func (v *View) Register(registered map[string]*bwpeer.Beat, now bwclock.Time) {
	for id, b := range registered {
		if id == v.self.ID() {
			continue
		}
		old, ok := v.members[id]
		if !ok || b.GetIncarnation() > old.Incarnation() {
			v.members[id] = Member{beat: b, seenAt: now}
			continue
		}
		old.seenAt = now
		v.members[id] = old
	}
	for id, m := range v.members {
		if registered[id] == nil && now.Sub(m.seenAt) > ForgetAfter {
			delete(v.members, id)
		}
	}
}

// Others returns every known entry except the process itself, in id order.
func (v *View) Others() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m)
	}
	sortMembers(list)
	return list
}

// Live returns the entries that can be reached and do not leave, itself included while
// it does not leave, in id order.
func (v *View) Live(now bwclock.Time) []Member {
	list := v.Reachable(now)
	kept := list[:0]
	for _, m := range list {
		if !m.IsLeaving() {
			kept = append(kept, m)
		}
	}
	return kept
}

// Reachable returns the entries that can be reached, leaving ones included.
func (v *View) Reachable(now bwclock.Time) []Member {
	list := []Member{v.self}
	for _, m := range v.members {
		if m.heardAt != bwclock.Never && now.Sub(m.heardAt) <= LiveFor {
			list = append(list, m)
		}
	}
	sortMembers(list)
	return list
}

// HasIncarnation reports whether the run of an entry may still be working: it is known
// and neither replaced by a newer run nor silent for longer than LiveFor.
func (v *View) HasIncarnation(incarnation string, now bwclock.Time) bool {
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

// Owner returns the member responsible for key by rendezvous hashing; ok is false when
// there are no members.
func Owner(key string, members []Member) (owner Member, ok bool) {
	var best uint64
	for _, m := range members {
		score := weigh(key, m.ID())
		if !ok || score > best {
			owner, best, ok = m, score, true
		}
	}
	return owner, ok
}

// OwnerID returns the id responsible for key by rendezvous hashing, or "" for no ids.
func OwnerID(key string, ids []string) string {
	owner := ""
	var best uint64
	for _, id := range ids {
		score := weigh(key, id)
		if owner == "" || score > best {
			owner, best = id, score
		}
	}
	return owner
}

func weigh(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest cannot fail.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
