package bwcommit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcommit"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwstandin"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func revision(t *testing.T, kv *bwstandin.KV, key string) int64 {
	item, err := kv.Get(context.Background(), key)
	assert.NilError(t, err)
	return item.Revision
}

// Guards against a write that is stored although it rests on a key that has changed, and against the loss of the
// writes beside it.
func TestWriteIsOutdatedWhenAnExpectedKeyHasChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		c, cancel := startCommitter(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
		defer cancel()
		kv.Put("version", nil)
		outcomes := make(map[string]bwcommit.WriteOutcome)
		add := func(key string, expected ...bwkv.Expectation) bwcommit.Write {
			return bwcommit.Write{Key: key, Value: []byte(key), Expected: expected, Done: func(o bwcommit.WriteOutcome) { outcomes[key] = o }}
		}
		stale := bwkv.Expectation{Key: "version", Revision: revision(t, kv, "version") - 1}
		current := bwkv.Expectation{Key: "version", Revision: revision(t, kv, "version")}
		absent := bwkv.Expectation{Key: "missing"}
		gone := bwkv.Expectation{Key: "missing", Revision: 7}
		c.Add(add("plain"), add("stale", stale), add("current", current, absent), add("gone", gone), add("last"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, outcomes, map[string]bwcommit.WriteOutcome{
			"plain": bwcommit.Stored, "stale": bwcommit.Outdated, "current": bwcommit.Stored, "gone": bwcommit.Outdated, "last": bwcommit.Stored,
		})
		_, err := kv.Get(context.Background(), "stale")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
		assert.Assert(t, c.IsIdle())
		assert.Assert(t, !c.IsFailing(0))
	})
}

// Guards against a committer that stops or reports a write as stored that no transaction has room for.
func TestWriteWithTooManyExpectationsIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		c, cancel := startCommitter(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
		defer cancel()
		w := bwcommit.Write{Key: "jobs/1"}
		for n := range bwkv.MaxEntries {
			w.Expected = append(w.Expected, bwkv.Expectation{Key: fmt.Sprint(n)})
		}
		var outcome bwcommit.WriteOutcome
		w.Done = func(o bwcommit.WriteOutcome) { outcome = o }
		c.Add(w, bwcommit.Write{Key: "jobs/2"})
		time.Sleep(time.Second)
		assert.Equal(t, outcome, bwcommit.NotStored)
		assert.Equal(t, value(t, kv, "jobs/2"), "")
	})
}

// Guards against a record that is missing after it was removed and written again in one batch.
func TestLastWriteOfAKeyWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		c, cancel := startCommitter(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
		defer cancel()
		c.Add(bwcommit.Write{Key: "k", Value: []byte("1")}, bwcommit.Write{Key: "k", IsRemoval: true}, bwcommit.Write{Key: "k", Value: []byte("2")},
			bwcommit.Write{Key: "k", Value: []byte("3")}, bwcommit.Write{Key: "other"}, bwcommit.Write{Key: "other", IsRemoval: true})
		time.Sleep(time.Second)
		assert.Equal(t, value(t, kv, "k"), "3")
		_, err := kv.Get(context.Background(), "other")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
	})
}

// Guards against writes that are stored on a stale version, or are outdated although only this committer has changed
// the version, while replies are lost and transactions are applied late.
func TestExpectationsHoldWithLostAndLateReplies(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		synctest.Test(t, func(t *testing.T) {
			kv := bwstandin.NewKV(seed)
			c, cancel := startCommitter(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
			defer cancel()
			kv.SetReplyLoss(0.3, 0.5)
			random := rand.New(rand.NewPCG(seed, 2))
			kv.Put("version", nil)
			known := revision(t, kv, "version")
			outcomes := make(map[string]bwcommit.WriteOutcome)
			isStale, isForeign := make(map[string]bool), false
			for n := range 150 {
				key := fmt.Sprintf("jobs/%d", n)
				expected := []bwkv.Expectation{{Key: "version", Revision: known}}
				isStale[key] = isForeign
				if random.IntN(4) == 0 {
					c.Add(bwcommit.Write{Key: "version", Value: []byte(key), Expected: expected})
				}
				c.Add(bwcommit.Write{Key: key, Expected: expected, Done: func(o bwcommit.WriteOutcome) { outcomes[key] = o }})
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				if random.IntN(20) == 0 {
					for !c.IsIdle() {
						time.Sleep(100 * time.Millisecond)
					}
					kv.Put("version", nil)
					isForeign = true
				}
				if isForeign && random.IntN(3) == 0 {
					known, isForeign = revision(t, kv, "version"), false
				}
			}
			time.Sleep(2 * time.Minute)
			for key, stale := range isStale {
				want := bwcommit.Stored
				if stale {
					want = bwcommit.Outdated
				}
				assert.Equal(t, outcomes[key], want, key)
				_, err := kv.Get(context.Background(), key)
				assert.Equal(t, err == nil, !stale, key)
			}
		})
	}
}

// contradictoryStore reports a conflict for each transaction, with items that match all expectations.
type contradictoryStore struct{ calls int }

func (s *contradictoryStore) Transact(_ context.Context, t bwkv.Transaction) bwkv.Result {
	s.calls++
	r := bwkv.Result{Outcome: bwkv.Conflict}
	for _, e := range t.Expected {
		r.Items = append(r.Items, bwkv.Item{Key: e.Key, Revision: e.Revision})
	}
	return r
}

// Guards against a committer that calls the store without a pause after a conflict that it cannot explain.
func TestUnexplainedConflictIsRetriedWithPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &contradictoryStore{}
		guard := bwcommit.Guard{OwnerKey: "owner", OwnerRevision: 1, SequenceKey: "sequence", SequenceRevision: 2}
		c := bwcommit.New(store, guard, bwclock.New(), hclog.NewNullLogger(), func(string) {})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		c.Add(bwcommit.Write{Key: "jobs/1", Expected: []bwkv.Expectation{{Key: "version", Revision: 3}}})
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		assert.Assert(t, store.calls > 1 && store.calls < 30, "%d calls", store.calls)
	})
}
