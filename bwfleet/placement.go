package bwfleet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Placement says that a pool may hold jobs of a queue. The configuration may send the queue to
// another pool by now, or may no longer contain it. Placements are stored as JSON.
type Placement struct {
	Queue string `json:"queue"`
	// Host and Prefix are those of the queue when the pool accepted jobs of it; empty if they are not
	// known.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Pool   string `json:"pool"`
}

// IsOf reports whether callers find the jobs of the placement under a queue: it has the same name,
// or its requests have the same host and prefix.
func (p Placement) IsOf(q Queue) bool {
	return p.Queue == q.Name || p.Prefix != "" && p.Host == q.Host && p.Prefix == q.Prefix
}

// Identities returns the hashed identities of a queue, of which two queues share at least one if callers
// may find the same jobs under both.
func (q Queue) Identities() []string {
	identities := []string{hashIdentity("name", q.Name)}
	if q.Prefix != "" {
		identities = append(identities, hashIdentity("address", q.Host, q.Prefix))
	}
	return identities
}

func hashIdentity(parts ...string) string {
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(parts, "\x00")), 16)
}

// Placements is a copy of all placements. It is immutable.
type Placements struct {
	list     []Placement
	versions map[string]int64
}

// NewPlacements returns a copy of the placements. versions holds, by the identity of a queue, the version of
// the queue's placements that the copy includes. It keeps the given slice and map.
func NewPlacements(list []Placement, versions map[string]int64) Placements {
	return Placements{list: list, versions: versions}
}

// All returns all placements. The caller must not modify the slice.
func (p Placements) All() []Placement { return p.list }

// Version returns the version of the placements of the queues with an identity; 0 if there were none yet.
func (p Placements) Version(identity string) int64 { return p.versions[identity] }

// OtherPools returns the sorted names of the pools that may hold jobs of a queue, except the queue's
// own pool.
func (p Placements) OtherPools(q Queue) []string {
	var names []string
	for _, placement := range p.list {
		if placement.Pool != q.Pool && placement.IsOf(q) && !slices.Contains(names, placement.Pool) {
			names = append(names, placement.Pool)
		}
	}
	slices.Sort(names)
	return names
}
