package bwnode

import (
	"context"
	"encoding/json"
	"iter"
	"slices"
	"strings"
	"sync"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmirror"
	"github.com/hashicorp/go-hclog"
)

// placements holds the placements of queues that were last read from the store. It has locks of its
// own because owners of pools use it while they hold theirs. It is safe for concurrent use.
type placements struct {
	store bwmirror.Source
	log   hclog.Logger

	mu       sync.Mutex
	copied   bwfleet.Placements
	revision int64
	// begun numbers the reads of Refresh, and succeeded is the number of the last successful one.
	begun, succeeded int64

	reading sync.Mutex
}

// update replaces the copy by the placements in items, which include all changes up to a revision, unless the copy
// is newer.
func (p *placements) update(items iter.Seq[bwkv.Item], revision int64) {
	copied := p.decode(items)
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision >= p.revision {
		p.copied, p.revision = copied, revision
	}
}

func (p *placements) decode(items iter.Seq[bwkv.Item]) bwfleet.Placements {
	var list []bwfleet.Placement
	versions := make(map[string]int64)
	for item := range items {
		if identity, ok := strings.CutPrefix(item.Key, prefixPlacementVersions); ok {
			versions[identity] = item.Revision
			continue
		}
		if !strings.HasPrefix(item.Key, prefixPlacements) {
			continue
		}
		var placement bwfleet.Placement
		if err := json.Unmarshal(item.Value, &placement); err != nil {
			p.log.Error("failed to decode a placement", "key", item.Key, "error", err.Error())
			continue
		}
		list = append(list, placement)
	}
	return bwfleet.NewPlacements(list, versions)
}

// Copy returns the copy that was last read from the store.
func (p *placements) Copy() bwfleet.Placements {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copied
}

// Refresh reads the placements from the store. Concurrent calls share a read that begins after all of them.
func (p *placements) Refresh(ctx context.Context) error {
	p.mu.Lock()
	calledAfter := p.begun
	p.mu.Unlock()
	p.reading.Lock()
	defer p.reading.Unlock()
	p.mu.Lock()
	if p.succeeded > calledAfter {
		p.mu.Unlock()
		return nil
	}
	p.begun++
	p.mu.Unlock()
	items, revision, err := p.store.List(ctx, prefixPlacementKeys)
	if err != nil {
		return err
	}
	p.update(slices.Values(items), revision)
	p.mu.Lock()
	p.succeeded = p.begun
	p.mu.Unlock()
	return nil
}

// pools returns the names of the pools that may hold jobs, some of them repeatedly.
func (p *placements) pools() []string {
	var names []string
	for _, placement := range p.Copy().All() {
		names = append(names, placement.Pool)
	}
	return names
}
