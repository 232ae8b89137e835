// Package bwconfig replicates the configuration from the store into a process.
//
// A Replica holds each configuration key at the highest store revision it has seen,
// including deletions, and applies a key only at a higher revision, so the configuration
// never reverts. A Snapshot is an immutable view of a replica that is read without locks.
// A Syncer updates a replica from the store by list and watch calls; a replica can also
// pull changes from the replicas of peers. Freshness decides whether the configuration is
// recent enough for dispatching requests.
package bwconfig

import (
	"sort"

	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
)

// Snapshot is the complete configuration at one revision. It is immutable.
type Snapshot struct {
	revision int64
	// generation is incremented whenever any key changes.
	generation        int64
	profiles          map[string]*bwprofile.Profile
	teams             map[string]*bwprofile.Team
	pools             map[string]*bwpool.Pool
	hosts             map[string]*bwroster.Host
	hostsByPool       map[string][]*bwroster.Host
	registeredEntries map[string]*bwpeer.Beat
	controllerIDs     []string
	keyRevisions      map[string]int64
}

// Revision returns the store revision up to which the configuration is complete.
func (s *Snapshot) Revision() int64 { return s.revision }

// Generation returns a number that differs between two snapshots of a replica if any key
// changed in between. A higher revision alone does not change it.
func (s *Snapshot) Generation() int64 { return s.generation }

// Profile returns the profile with the given name, or nil.
func (s *Snapshot) Profile(name string) *bwprofile.Profile { return s.profiles[name] }

// Team returns the team with the given name, or nil.
func (s *Snapshot) Team(name string) *bwprofile.Team { return s.teams[name] }

// Pool returns the pool with the given name, or nil.
func (s *Snapshot) Pool(name string) *bwpool.Pool { return s.pools[name] }

// Host returns the host with the given name, or nil.
func (s *Snapshot) Host(name string) *bwroster.Host { return s.hosts[name] }

// PoolHosts returns the hosts of the pool, sorted by name.
func (s *Snapshot) PoolHosts(pool string) []*bwroster.Host { return s.hostsByPool[pool] }

// RegisteredEntries returns the entries that are registered in the store, by id.
func (s *Snapshot) RegisteredEntries() map[string]*bwpeer.Beat { return s.registeredEntries }

// ControllerIDs returns the ids of the registered controllers, in no particular order.
func (s *Snapshot) ControllerIDs() []string { return s.controllerIDs }

// KeyRevision returns the store revision of a key, or 0 if the key is absent.
func (s *Snapshot) KeyRevision(key string) int64 { return s.keyRevisions[key] }

// Profiles returns all profiles, sorted by name.
func (s *Snapshot) Profiles() []*bwprofile.Profile {
	list := make([]*bwprofile.Profile, 0, len(s.profiles))
	for _, p := range s.profiles {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Teams returns all teams, sorted by name.
func (s *Snapshot) Teams() []*bwprofile.Team {
	list := make([]*bwprofile.Team, 0, len(s.teams))
	for _, t := range s.teams {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Pools returns all pools, sorted by name.
func (s *Snapshot) Pools() []*bwpool.Pool {
	list := make([]*bwpool.Pool, 0, len(s.pools))
	for _, p := range s.pools {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Hosts returns all hosts, sorted by name.
func (s *Snapshot) Hosts() []*bwroster.Host {
	list := make([]*bwroster.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// PoolOfService returns the pool whose hosts run the service, or nil.
func (s *Snapshot) PoolOfService(service string) *bwpool.Pool {
	for _, p := range s.Pools() {
		if p.GetService() == service {
			return p
		}
	}
	return nil
}
