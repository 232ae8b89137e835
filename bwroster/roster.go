// Package bwroster implements the roster, which assigns each host to one pool.
//
// The roster is partitioned into a fixed number of shards, and a hash of the host name
// selects the shard. A host has one entry in one shard and an entry names one pool, so a
// single compare-and-swap moves the host, and the host belongs to exactly one pool at
// each revision.
package bwroster

import (
	"fmt"
	"net/netip"
	"sort"

	"basilwood.example/basilwood/bwprofile"
	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of roster shards. A change to one host writes and distributes
// its whole shard, so shards are kept small.
const ShardCount = 256

// ShardOf returns the index of the shard that holds host.
func ShardOf(host string) int {
	return int(xxhash.Sum64String(host) % ShardCount)
}

// ShardName returns the part of a store key that identifies shard n.
func ShardName(n int) string {
	return fmt.Sprintf("%03d", n)
}

// Find returns the entry of the host in s, or nil if there is none.
func (s *Shard) Find(host string) *Host {
	for _, h := range s.GetHosts() {
		if h.GetName() == host {
			return h
		}
	}
	return nil
}

// Set adds h to s or replaces the entry with the same name.
func (s *Shard) Set(h *Host) {
	for i, old := range s.GetHosts() {
		if old.GetName() == h.GetName() {
			s.Hosts[i] = h
			return
		}
	}
	s.Hosts = append(s.Hosts, h)
	sort.Slice(s.Hosts, func(i, j int) bool { return s.Hosts[i].GetName() < s.Hosts[j].GetName() })
}

// Remove deletes the entry of the host from s, if there is one.
func (s *Shard) Remove(host string) {
	for i, old := range s.GetHosts() {
		if old.GetName() == host {
			s.Hosts = append(s.Hosts[:i], s.Hosts[i+1:]...)
			return
		}
	}
}

// Validate returns a message for each invalid field of h.
func (h *Host) Validate() []string {
	var problems []string
	for _, field := range []struct{ name, value string }{
		{"name", h.GetName()}, {"pool", h.GetPool()}, {"rack", h.GetRack()}, {"dataCentre", h.GetDataCentre()},
	} {
		if !bwprofile.IsValidName(field.value) {
			problems = append(problems, fmt.Sprintf("%s %q: use lower-case letters, digits and hyphens", field.name, field.value))
		}
	}
	if _, err := netip.ParseAddrPort(h.GetAddress()); err != nil {
		problems = append(problems, fmt.Sprintf("address %q: must be an IP number and a port", h.GetAddress()))
	}
	if h.GetSlots() < 1 {
		problems = append(problems, fmt.Sprintf("slots %d: must be at least 1", h.GetSlots()))
	}
	return problems
}
