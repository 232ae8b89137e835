package bwnode_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwnode"
	"gotest.tools/v3/assert"
)

// slowClaimStore is a node's access to the store. The answer to its first claim of a pool takes 3 s; later
// transactions are refused.
type slowClaimStore struct {
	bwnode.Store
	hasClaimed atomic.Bool
}

func (s *slowClaimStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	if s.hasClaimed.Load() {
		return bwkv.Result{Outcome: bwkv.NotDone}
	}
	isClaim := len(t.Set) == 1 && strings.HasSuffix(t.Set[0].Key, "owners/desk")
	if isClaim {
		s.hasClaimed.Store(true)
	}
	r := s.Store.Transact(ctx, t)
	if isClaim {
		time.Sleep(3 * time.Second)
	}
	return r
}

// Guards against a role that starts after the answer to its claim, by when another node has replaced it.
func TestRoleReplacedDuringItsClaimDoesNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isFirst := true
		c := newCluster(t, 1, 1, 2, func(d *bwnode.Deps) {
			if isFirst {
				d.Store = &slowClaimStore{Store: d.Store}
			}
			isFirst = false
		})
		defer c.close()
		time.Sleep(300 * time.Millisecond)
		c.start()
		first, second := c.nodes[0], c.nodes[1]
		for _, executor := range []string{"desk-0", "desk-1"} {
			second.executors.unreachable.Store(executor, true)
		}
		time.Sleep(3500 * time.Millisecond)
		assert.Assert(t, second.ownsPool("desk"))
		assert.Assert(t, !first.ownsPool("desk"), "the replaced node acts for the pool")
	})
}
