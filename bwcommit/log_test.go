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

// open returns the log of a pool that this test owns.
func open(t *testing.T, kv *bwstandin.KV, lost func(string)) (*bwcommit.Log, context.CancelFunc) {
	r := kv.Transact(context.Background(), bwkv.Transaction{Set: []bwkv.Write{{Key: "owner", Value: []byte("me")}}})
	assert.Equal(t, r.Outcome, bwkv.Committed)
	sequence, _ := kv.Get(context.Background(), "sequence")
	chain := bwcommit.Chain{OwnerKey: "owner", OwnerRevision: r.Revision, SequenceKey: "sequence", SequenceRevision: sequence.Revision}
	l := bwcommit.New(kv, chain, bwclock.New(), hclog.NewNullLogger(), lost)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	return l, cancel
}

func value(t *testing.T, kv *bwstandin.KV, key string) string {
	item, err := kv.Get(context.Background(), key)
	assert.NilError(t, err)
	return string(item.Value)
}

// Answers that are lost, and transactions that are carried out seconds later, neither lose
// a write nor bring back an older one.
func TestWritesSurviveLostAndLateAnswers(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		synctest.Test(t, func(t *testing.T) {
			kv := bwstandin.NewKV(seed)
			l, cancel := open(t, kv, func(reason string) { t.Errorf("lost: %s", reason) })
			defer cancel()
			kv.SetReplyLoss(0.5, 0.5)
			random := rand.New(rand.NewPCG(seed, 1))
			last := make(map[string]string)
			fates := 0
			for n := range 200 {
				key := fmt.Sprintf("jobs/%d", random.IntN(10))
				last[key] = fmt.Sprint(n)
				l.Add(bwcommit.Write{Key: key, Value: []byte(last[key]), Done: func(f bwcommit.Fate) {
					assert.Equal(t, f, bwcommit.Stored)
					fates++
				}})
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			kv.SetReplyLoss(0, 0)
			assert.Assert(t, l.IsIdle())
			assert.Equal(t, fates, 200)
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
		l, cancel := open(t, kv, func(r string) { reason = r })
		defer cancel()
		kv.Put("owner", []byte("another"))
		var fate bwcommit.Fate
		l.Add(bwcommit.Write{Key: "jobs/1", Value: []byte("x"), Done: func(f bwcommit.Fate) { fate = f }})
		time.Sleep(time.Second)
		assert.Equal(t, reason, "conflict")
		assert.Equal(t, fate, bwcommit.NotStored)
		_, err := kv.Get(context.Background(), "jobs/1")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
		// What comes later is refused as well.
		fate = bwcommit.Unknown
		l.Add(bwcommit.Write{Key: "jobs/2", Done: func(f bwcommit.Fate) { fate = f }})
		synctest.Wait()
		assert.Equal(t, fate, bwcommit.NotStored)
	})
}

// While the store refuses, submissions get their answer, and everything else is kept.
func TestRefusableWritesAreGivenUpWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		l, cancel := open(t, kv, func(string) {})
		defer cancel()
		kv.SetUnavailable(true)
		fates := make(map[string]bwcommit.Fate)
		for _, w := range []bwcommit.Write{{Key: "submission", CanRefuse: true}, {Key: "end"}} {
			w.Done = func(f bwcommit.Fate) { fates[w.Key] = f }
			l.Add(w)
		}
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, fates, map[string]bwcommit.Fate{"submission": bwcommit.NotStored})
		kv.SetUnavailable(false)
		time.Sleep(time.Second)
		assert.Equal(t, fates["end"], bwcommit.Stored)
		_, err := kv.Get(context.Background(), "submission")
		assert.ErrorIs(t, err, bwkv.ErrNotFound)
	})
}
