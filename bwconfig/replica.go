package bwconfig

import (
	"sort"
	"sync"
	"sync/atomic"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstore"
	"google.golang.org/protobuf/proto"
)

// Replica is a local copy of the configuration. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	items    map[string]*item
	revision int64
	// deletionsKnownAfter is the revision after which every deletion is known.
	deletionsKnownAfter int64
	isLoaded            bool
	invalidCount        int
	current             atomic.Pointer[Snapshot]
}

// item is the last known state of one key with its decoded value. A deleted key is kept
// as a tombstone with its revision.
type item struct {
	entry   bwstore.Entry
	message proto.Message
}

// Snapshot returns the current snapshot; it is empty before the first load.
func (r *Replica) Snapshot() *Snapshot {
	if snapshot := r.current.Load(); snapshot != nil {
		return snapshot
	}
	return &Snapshot{}
}

// IsLoaded reports whether the replica has received the complete configuration.
func (r *Replica) IsLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLoaded
}

// InvalidCount returns the number of values that could not be decoded and were not applied.
func (r *Replica) InvalidCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.invalidCount
}

// ApplyListing applies a complete listing of the keys under Prefixes at revision. A known
// key that is missing from the listing was deleted at or before that revision.
func (r *Replica) ApplyListing(entries []bwstore.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyListing(entries, revision)
}

// applyListing implements ApplyListing; the caller must hold r.mu. Keys that were created
// and deleted since the last update are not in the listing, so not every deletion before
// its revision is known.
func (r *Replica) applyListing(entries []bwstore.Entry, revision int64) {
	if r.isLoaded && revision <= r.revision {
		return
	}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key()] = true
	}
	changes := append([]bwstore.Entry(nil), entries...)
	for key, it := range r.items {
		if !present[key] && !it.entry.IsDeleted() && it.entry.Revision() <= revision {
			changes = append(changes, bwstore.NewDeletion(key, revision))
		}
	}
	r.isLoaded = true
	r.deletionsKnownAfter = max(r.deletionsKnownAfter, revision)
	r.apply(changes, revision)
}

// ApplyChanges applies changes that are complete up to revision. They must start no
// later than the revision of the replica.
func (r *Replica) ApplyChanges(entries []bwstore.Entry, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(entries, revision)
}

// apply merges entries and publishes a new snapshot; the caller must hold r.mu.
func (r *Replica) apply(entries []bwstore.Entry, revision int64) {
	changed := false
	for _, e := range entries {
		// The replica is complete up to its revision. An older entry comes from a late
		// reply, and its key may have been deleted since.
		if e.Revision() > r.revision {
			changed = r.applyEntry(e) || changed
		}
	}
	if revision > r.revision {
		r.revision = revision
	}
	r.publish(changed)
}

// applyEntry merges one key if the revision of the entry is higher than the known one,
// and reports whether it did.
func (r *Replica) applyEntry(e bwstore.Entry) bool {
	if r.items == nil {
		r.items = make(map[string]*item)
	}
	old, ok := r.items[e.Key()]
	if ok && old.entry.Revision() >= e.Revision() {
		return false
	}
	message, err := decode(e)
	if err != nil {
		r.invalidCount++
		return false
	}
	r.items[e.Key()] = &item{entry: e, message: message}
	return true
}

// decode decodes the value of an entry. Unknown fields are ignored, so that values
// written by a newer software version can be used. The message is nil for a deletion and
// for a key without a known prefix.
func decode(e bwstore.Entry) (proto.Message, error) {
	if e.IsDeleted() {
		return nil, nil
	}
	m := newMessageForKey(e.Key())
	if m == nil {
		return nil, nil
	}
	return m, bwcodec.Unmarshal(e.Value(), m)
}

func newMessageForKey(key string) proto.Message {
	if _, ok := cutKeyPrefix(key, PrefixProfiles); ok {
		return new(bwprofile.Profile)
	}
	if _, ok := cutKeyPrefix(key, PrefixTeams); ok {
		return new(bwprofile.Team)
	}
	if _, ok := cutKeyPrefix(key, PrefixPools); ok {
		return new(bwpool.Pool)
	}
	if _, ok := cutKeyPrefix(key, PrefixRoster); ok {
		return new(bwroster.Shard)
	}
	if _, ok := cutKeyPrefix(key, PrefixEntries); ok {
		return new(bwpeer.Beat)
	}
	if _, ok := cutKeyPrefix(key, PrefixControllers); ok {
		return new(bwpeer.Beat)
	}
	return nil
}

// publish replaces the current snapshot. If no key has changed, only the revision is
// updated.
func (r *Replica) publish(keysChanged bool) {
	previous := r.current.Load()
	if previous != nil && !keysChanged {
		next := *previous
		next.revision = r.revision
		r.current.Store(&next)
		return
	}
	next := newSnapshot(r.revision)
	if previous != nil {
		next.generation = previous.generation + 1
	}
	for key, it := range r.items {
		if it.message == nil {
			continue
		}
		next.keyRevisions[key] = it.entry.Revision()
		next.index(key, it.message)
	}
	for _, hosts := range next.hostsByPool {
		sort.Slice(hosts, func(i, j int) bool { return hosts[i].GetName() < hosts[j].GetName() })
	}
	r.current.Store(next)
}

func newSnapshot(revision int64) *Snapshot {
	return &Snapshot{
		revision:          revision,
		profiles:          make(map[string]*bwprofile.Profile),
		teams:             make(map[string]*bwprofile.Team),
		pools:             make(map[string]*bwpool.Pool),
		hosts:             make(map[string]*bwroster.Host),
		hostsByPool:       make(map[string][]*bwroster.Host),
		registeredEntries: make(map[string]*bwpeer.Beat),
		keyRevisions:      make(map[string]int64),
	}
}

// index adds one decoded value to the lookup maps of its type.
func (s *Snapshot) index(key string, m proto.Message) {
	switch m := m.(type) {
	case *bwprofile.Profile:
		s.profiles[m.GetName()] = m
	case *bwprofile.Team:
		s.teams[m.GetName()] = m
	case *bwpool.Pool:
		s.pools[m.GetName()] = m
	case *bwpeer.Beat:
		if _, ok := cutKeyPrefix(key, PrefixControllers); ok {
			s.controllerIDs = append(s.controllerIDs, m.GetId())
			return
		}
		s.registeredEntries[m.GetId()] = m
	case *bwroster.Shard:
		for _, h := range m.GetHosts() {
			s.hosts[h.GetName()] = h
			s.hostsByPool[h.GetPool()] = append(s.hostsByPool[h.GetPool()], h)
		}
	}
}

// BuildPullReply returns the reply to a peer that pulls the changes after revision. The
// reply carries the revision up to which it is complete. It is a full copy if not every
// deletion since revision is known, and empty with revision 0 if the replica is not
// loaded.
func (r *Replica) BuildPullReply(revision int64) *bwpeer.PullReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLoaded {
		return &bwpeer.PullReply{}
	}
	reply := &bwpeer.PullReply{Revision: r.revision, Full: revision < r.deletionsKnownAfter}
	for _, it := range r.items {
		if reply.Full && it.entry.IsDeleted() {
			continue
		}
		if reply.Full || it.entry.Revision() > revision {
			reply.Items = append(reply.Items, &bwpeer.Item{
				Key:      it.entry.Key(),
				Value:    it.entry.Value(),
				Revision: it.entry.Revision(),
				Deleted:  it.entry.IsDeleted(),
			})
		}
	}
	return reply
}

// ApplyPullReply applies the reply of a peer to a pull of the changes after the given
// revision.
func (r *Replica) ApplyPullReply(after int64, reply *bwpeer.PullReply) {
	if reply.GetRevision() == 0 {
		return
	}
	entries := make([]bwstore.Entry, 0, len(reply.GetItems()))
	for _, it := range reply.GetItems() {
		if it.GetDeleted() {
			entries = append(entries, bwstore.NewDeletion(it.GetKey(), it.GetRevision()))
			continue
		}
		entries = append(entries, bwstore.NewEntry(it.GetKey(), it.GetValue(), it.GetRevision()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetFull() {
		r.applyListing(entries, reply.GetRevision())
		return
	}
	if after > r.revision {
		return
	}
	r.isLoaded = true
	r.apply(entries, reply.GetRevision())
}
