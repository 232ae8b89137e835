package bwnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwowner"
)

// earlierPoolsRetryDelay is the delay before the store is asked again for pools with jobs of an earlier
// version.
const earlierPoolsRetryDelay = 500 * time.Millisecond

// findEarlierPools finds the pools with jobs of a version that stored no placements. Such a pool needs
// an owner, which stores them, although the configuration may send no queue to it any more.
func (n *Node) findEarlierPools(ctx context.Context) {
	for {
		pools, err := n.listEarlierPools(ctx)
		if err == nil {
			n.mu.Lock()
			n.earlierPools = pools
			n.mu.Unlock()
			n.log.Info("looked for pools with jobs of an earlier version", "pools", pools)
			return
		}
		n.log.Warn("failed to look for pools with jobs of an earlier version", "error", err.Error())
		if !bwclock.Sleep(ctx, earlierPoolsRetryDelay) {
			return
		}
	}
}

// listEarlierPools lists the pools that have had an owner and hold jobs, but have no placement.
func (n *Node) listEarlierPools(ctx context.Context) ([]string, error) {
	for isLoaded := false; !isLoaded; {
		if _, isLoaded = n.nodeKeys.Items(); !isLoaded && !bwclock.Sleep(ctx, earlierPoolsRetryDelay) {
			return nil, ctx.Err()
		}
	}
	sequences, _, err := n.deps.Store.List(ctx, bwowner.SequencePrefix)
	if err != nil {
		return nil, err
	}
	placed := n.placements.pools()
	var pools []string
	for _, item := range sequences {
		pool := strings.TrimPrefix(item.Key, bwowner.SequencePrefix)
		if slices.Contains(placed, pool) {
			continue
		}
		jobs, _, err := n.deps.Store.List(ctx, bwowner.JobPrefix(pool))
		if err != nil {
			return nil, err
		}
		if len(jobs) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools, nil
}
