package bwconfig

import (
	"strings"

	"basilwood.example/basilwood/bwroster"
)

// Key prefixes of the configuration and of the registrations in the store.
const (
	PrefixProfiles = "config/profiles/"
	PrefixTeams    = "config/teams/"
	PrefixPools    = "config/pools/"
	PrefixRoster   = "config/roster/"
	// PrefixEntries is the prefix of the registrations of entries.
	PrefixEntries = "entries/"
	// PrefixControllers is the prefix of the registrations of controllers.
	PrefixControllers = "controllers/"
)

// Prefixes returns the key prefixes that a replica holds.
func Prefixes() []string {
	return []string{"config/", PrefixEntries, PrefixControllers}
}

// ProfileKey returns the store key of a profile.
func ProfileKey(name string) string { return PrefixProfiles + name }

// TeamKey returns the store key of a team.
func TeamKey(name string) string { return PrefixTeams + name }

// PoolKey returns the store key of a pool.
func PoolKey(name string) string { return PrefixPools + name }

// RosterKey returns the store key of the roster shard that holds host.
func RosterKey(host string) string {
	return PrefixRoster + bwroster.ShardName(bwroster.ShardOf(host))
}

// EntryKey returns the store key of an entry's registration.
func EntryKey(id string) string { return PrefixEntries + id }

// ControllerKey returns the store key of a controller's registration.
func ControllerKey(id string) string { return PrefixControllers + id }

// cutKeyPrefix returns key without prefix and reports whether key begins with prefix.
func cutKeyPrefix(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}
