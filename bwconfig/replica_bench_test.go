package bwconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstore"
)

// rosterEntries returns the store entries of the roster shards of n hosts in 70 pools.
func rosterEntries(b *testing.B, n int) []bwstore.Entry {
	shards := make(map[string]*bwroster.Shard)
	for i := range n {
		name := fmt.Sprintf("host-%05d", i)
		key := bwconfig.RosterKey(name)
		if shards[key] == nil {
			shards[key] = new(bwroster.Shard)
		}
		shards[key].Set(&bwroster.Host{
			Name: name, Pool: fmt.Sprintf("pool-%02d", i%70), Rack: fmt.Sprintf("rack-%04d", i/4),
			DataCentre: fmt.Sprintf("dc-%02d", i%11), Address: "10.100.100.100:8000", Slots: 8, Cores: 64,
		})
	}
	var entries []bwstore.Entry
	for key, shard := range shards {
		value, err := bwcodec.Marshal(shard)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, bwstore.NewEntry(key, value, 1))
	}
	return entries
}

// BenchmarkApplyChange measures the cost of applying one configuration change in one
// process, the memory of a replica and the size of a change.
func BenchmarkApplyChange(b *testing.B) {
	for _, hosts := range []int{1000, 6000, 18000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			entries := rosterEntries(b, hosts)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := new(bwconfig.Replica)
			r.ApplyListing(entries, 1)
			runtime.GC()
			runtime.ReadMemStats(&after)
			revision := int64(1)
			bytes := 0
			b.ResetTimer()
			for i := range b.N {
				revision++
				e := entries[i%len(entries)]
				bytes = len(e.Value())
				r.ApplyChanges([]bwstore.Entry{bwstore.NewEntry(e.Key(), e.Value(), revision)}, revision)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-replica")
			b.ReportMetric(float64(bytes), "bytes-change")
		})
	}
}
