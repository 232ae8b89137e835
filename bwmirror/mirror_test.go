package bwmirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
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
