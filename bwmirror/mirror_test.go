package bwmirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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
