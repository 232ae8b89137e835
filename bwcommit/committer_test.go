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

// startCommitter makes the test the owner of a pool and returns a running committer for it.
func startCommitter(t *testing.T, kv *bwstandin.KV, onLost func(string)) (*bwcommit.Committer, context.CancelFunc) {
	r := kv.Transact(context.Background(), bwkv.Transaction{Set: []bwkv.Write{{Key: "owner", Value: []byte("me")}}})
	assert.Equal(t, r.Outcome, bwkv.Committed)
	sequence, _ := kv.Get(context.Background(), "sequence")
	guard := bwcommit.Guard{OwnerKey: "owner", OwnerRevision: r.Revision, SequenceKey: "sequence", SequenceRevision: sequence.Revision}
	c := bwcommit.New(kv, guard, bwclock.New(), hclog.NewNullLogger(), onLost)
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	return c, cancel
}

func value(t *testing.T, kv *bwstandin.KV, key string) string {
	item, err := kv.Get(context.Background(), key)
	assert.NilError(t, err)
	return string(item.Value)
}

// Lost replies and transactions that the store applies seconds late must neither lose a write
// nor restore an older value.
func TestWritesSurviveLostAndLateReplies(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		synctest.Test(t, func(t *testing.T) {
			kv := bwstandin.NewKV(seed)
			c, cancel := startCommitter(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
			defer cancel()
			kv.SetReplyLoss(0.5, 0.5)
			random := rand.New(rand.NewPCG(seed, 1))
			last := make(map[string]string)
			completed := 0
			for n := range 200 {
				key := fmt.Sprintf("jobs/%d", random.IntN(10))
				last[key] = fmt.Sprint(n)
				c.Add(bwcommit.Write{Key: key, Value: []byte(last[key]), Done: func(o bwcommit.WriteOutcome) {
					assert.Equal(t, o, bwcommit.Stored)
					completed++
				}})
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			kv.SetReplyLoss(0, 0)
			assert.Assert(t, c.IsIdle())
			assert.Equal(t, completed, 200)
			for key, want := range last {
				assert.Equal(t, value(t, kv, key), want)
			}
		})
	}
}

func TestReplacedOwnerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		var reason string
		c, cancel := startCommitter(t, kv, func(r string) { reason = r })
		defer cancel()
		kv.Put("owner", []byte("another"))
		var outcome bwcommit.WriteOutcome
		c.Add(bwcommit.Write{Key: "jobs/1", Value: []byte("x"), Done: func(o bwcommit.WriteOutcome) { outcome = o }})
		time.Sleep(time.Second)
		assert.Equal(t, reason, "conflict")
		assert.Equal(t, outcome, bwcommit.NotStored)
		_, err := kv.Get(context.Background(), "jobs/1")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
		// Writes that are added later are rejected as well.
		outcome = bwcommit.Unknown
		c.Add(bwcommit.Write{Key: "jobs/2", Done: func(o bwcommit.WriteOutcome) { outcome = o }})
		synctest.Wait()
		assert.Equal(t, outcome, bwcommit.NotStored)
	})
}

// While the store is unavailable, writes that can be rejected complete as NotStored, and all
// others are kept and stored later.
func TestRejectableWritesAreRejectedWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		c, cancel := startCommitter(t, kv, func(string) {})
		defer cancel()
		kv.SetUnavailable(true)
		outcomes := make(map[string]bwcommit.WriteOutcome)
		for _, w := range []bwcommit.Write{{Key: "submission", CanReject: true}, {Key: "end"}} {
			w.Done = func(o bwcommit.WriteOutcome) { outcomes[w.Key] = o }
			c.Add(w)
		}
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, outcomes, map[string]bwcommit.WriteOutcome{"submission": bwcommit.NotStored})
		kv.SetUnavailable(false)
		time.Sleep(time.Second)
		assert.Equal(t, outcomes["end"], bwcommit.Stored)
		_, err := kv.Get(context.Background(), "submission")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
	})
}
