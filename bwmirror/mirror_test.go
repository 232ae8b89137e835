package bwmirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwmirror"
	"basilwood.example/basilwood/bwstandin"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Guards against lost changes and against keys that go back to an older revision. The store
// has outages and compactions while keys are written and deleted; afterwards the mirror must
// equal the store.
func TestMirrorConvergesAfterOutagesAndCompactions(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		synctest.Test(t, func(t *testing.T) {
			kv := bwstandin.NewKV(seed)
			rng := rand.New(rand.NewPCG(seed, 2))
			lastRevision := make(map[string]int64)
			m := bwmirror.New(kv, "p/", bwclock.New(), hclog.NewNullLogger(), bwmirror.WithOnChange(func(changes []bwkv.Item) {
				for _, c := range changes {
					assert.Assert(t, c.Revision > lastRevision[c.Key], "%s went back from revision %d to %d", c.Key, lastRevision[c.Key], c.Revision)
					lastRevision[c.Key] = c.Revision
				}
			}))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.Run(ctx)
			want := make(map[string]string)
			for n := range 300 {
				key := fmt.Sprintf("p/%d", rng.IntN(8))
				switch rng.IntN(10) {
				case 0:
					kv.Delete(key)
					delete(want, key)
				case 1:
					kv.Compact()
				case 2:
					kv.SetUnavailable(true)
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
					kv.SetUnavailable(false)
				default:
					want[key] = fmt.Sprint(n)
					kv.Put(key, []byte(want[key]))
				}
				time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			items, isLoaded := m.Items()
			assert.Assert(t, isLoaded)
			assert.Equal(t, len(items), len(want))
			for key, value := range want {
				assert.Equal(t, string(items[key].Value), value)
			}
		})
	}
}

// Guards against outages that show only their first failure in the log.
func TestOngoingOutageIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines strings.Builder
		kv := bwstandin.NewKV(1)
		m := bwmirror.New(kv, "p/", bwclock.New(), hclog.New(&hclog.LoggerOptions{Output: &lines}))
		ctx, cancel := context.WithCancel(context.Background())
		go m.Run(ctx)
		time.Sleep(time.Second)
		kv.SetUnavailable(true)
		time.Sleep(12 * time.Second)
		kv.SetUnavailable(false)
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, strings.Count(lines.String(), "store does not answer"), 3, lines.String())
		assert.Equal(t, strings.Count(lines.String(), "store answers again"), 1, lines.String())
		assert.Assert(t, m.Failures() > 3)
	})
}

// slowLink is access to a store over a link of 1 MB/s.
type slowLink struct {
	*bwstandin.KV
}

func transfer(items []bwkv.Item) {
	for _, i := range items {
		time.Sleep(time.Duration(len(i.Value)) * time.Microsecond)
	}
}

func (s slowLink) List(ctx context.Context, prefix string) ([]bwkv.Item, int64, error) {
	items, revision, err := s.KV.List(ctx, prefix)
	transfer(items)
	return items, revision, err
}

func (s slowLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bwkv.Item, int64, error) {
	items, revision, err := s.KV.Watch(ctx, prefix, after, wait)
	transfer(items)
	return items, revision, err
}

// Guards against a mirror that falls behind further with each reply because a value changes faster than it is transferred.
func TestMirrorFollowsValueThatChangesFasterThanItsTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval, versions, maxLag = 330 * time.Millisecond, 90, 3 * time.Second
		kv := bwstandin.NewKV(1)
		writtenAt := make(map[int64]time.Time)
		var received atomic.Int64
		m := bwmirror.New(slowLink{kv}, "p/", bwclock.New(), hclog.NewNullLogger(), bwmirror.WithOnChange(func(changes []bwkv.Item) {
			for _, c := range changes {
				received.Store(c.Revision)
			}
		}))
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		go m.Run(ctx)
		time.Sleep(time.Second)
		for range versions {
			kv.Put("p/large", make([]byte, 850_000))
			item, err := kv.Get(ctx, "p/large")
			assert.NilError(t, err)
			writtenAt[item.Revision] = time.Now()
			time.Sleep(interval)
			if next, ok := writtenAt[received.Load()+1]; ok {
				assert.Assert(t, time.Since(next) < maxLag, "a change is not known after %s", time.Since(next))
			}
		}
	})
}
