// Package bwconfig keeps a process's copy of the configuration.
//
// A Replica holds each configuration key at the highest store revision it has seen,
// deletions included, and applies a key only at a higher revision, so configuration
// never reverts. A Version is an immutable view of a replica that requests read
// without locks. A Syncer feeds a replica from the store's watch and from the
// replicas of peers. Freshness decides whether a replica is recent enough to send
// work by it.
package bwconfig

import (
	"sort"

	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
)

// Version is the whole configuration at one revision. It does not change.
type Version struct {
	revision int64
	// content counts the changes of any key.
	content     int64
	profiles    map[string]*bwprofile.Profile
	teams       map[string]*bwprofile.Team
	pools       map[string]*bwpool.Pool
	hosts       map[string]*bwroster.Host
	poolHosts   map[string][]*bwroster.Host
	registered  map[string]*bwpeer.Beat
	controllers []string
	revisions   map[string]int64
}

// Revision returns the store revision up to which the version is complete.
func (v *Version) Revision() int64 { return v.revision }

// Content returns a number that differs between versions of a replica when any key does.
func (v *Version) Content() int64 { return v.content }

// Profile returns the profile with the name, or nil.
func (v *Version) Profile(name string) *bwprofile.Profile { return v.profiles[name] }

// Team returns the team with the name, or nil.
func (v *Version) Team(name string) *bwprofile.Team { return v.teams[name] }

// Pool returns the pool with the name, or nil.
func (v *Version) Pool(name string) *bwpool.Pool { return v.pools[name] }

// Host returns the host with the name, or nil.
func (v *Version) Host(name string) *bwroster.Host { return v.hosts[name] }

// PoolHosts returns the hosts of the pool in name order.
func (v *Version) PoolHosts(pool string) []*bwroster.Host { return v.poolHosts[pool] }

// Registered returns the entries that are registered in the store, by id.
func (v *Version) Registered() map[string]*bwpeer.Beat { return v.registered }

// Controllers returns the ids of the registered controllers, in no order.
func (v *Version) Controllers() []string { return v.controllers }

// KeyRevision returns the revision of one key; 0 stands for an absent key.
func (v *Version) KeyRevision(key string) int64 { return v.revisions[key] }

// Profiles returns every profile in name order.
func (v *Version) Profiles() []*bwprofile.Profile {
	list := make([]*bwprofile.Profile, 0, len(v.profiles))
	for _, p := range v.profiles {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Teams returns every team in name order.
func (v *Version) Teams() []*bwprofile.Team {
	list := make([]*bwprofile.Team, 0, len(v.teams))
	for _, t := range v.teams {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Pools returns every pool in name order.
func (v *Version) Pools() []*bwpool.Pool {
	list := make([]*bwpool.Pool, 0, len(v.pools))
	for _, p := range v.pools {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// Hosts returns every host in name order.
func (v *Version) Hosts() []*bwroster.Host {
	list := make([]*bwroster.Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		list = append(list, h)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetName() < list[j].GetName() })
	return list
}

// PoolOfService returns the pool that runs the service, or nil.
func (v *Version) PoolOfService(service string) *bwpool.Pool {
	for _, p := range v.Pools() {
		if p.GetService() == service {
			return p
		}
	}
	return nil
}
