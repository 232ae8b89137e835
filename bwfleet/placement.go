package bwfleet

import "slices"

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

// OtherPools returns the sorted names of the pools that may hold jobs of a queue, except the queue's
// own pool.
func OtherPools(placements []Placement, q Queue) []string {
	var names []string
	for _, p := range placements {
		if p.Pool != q.Pool && p.IsOf(q) && !slices.Contains(names, p.Pool) {
			names = append(names, p.Pool)
		}
	}
	slices.Sort(names)
	return names
}
