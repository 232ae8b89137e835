package bwnode

import (
	"sync"

	"basilwood.example/basilwood/bwfleet"
)

// placements holds the placements of queues that were last read from the store. It has a lock of its
// own because owners of pools use it while they hold theirs. It is safe for concurrent use.
type placements struct {
	mu   sync.Mutex
	list []bwfleet.Placement
}

func (p *placements) set(list []bwfleet.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// all returns all placements. The caller must not modify the slice.
func (p *placements) all() []bwfleet.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// pools returns the names of the pools that may hold jobs, some of them repeatedly.
func (p *placements) pools() []string {
	var names []string
	for _, placement := range p.all() {
		names = append(names, placement.Pool)
	}
	return names
}
