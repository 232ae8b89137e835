package bwclaim_test

import (
	"fmt"
	"testing"
	"time"

	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcodec"
)

// BenchmarkCheckpoint measures the time to build and encode a shard's checkpoint, and its
// encoded size.
func BenchmarkCheckpoint(b *testing.B) {
	for _, keys := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			now := bwclock.Time(1_000_000)
			var records []*bwclaim.Record
			for i := range keys {
				attempt := fmt.Sprintf("entry-1-0c2wfor4o-dda1-%x/entry-2-0c2wfor4o-dda1/%d", i, i)
				records = append(records, bwclaim.NewRecord(fmt.Sprintf("order-%08d", i), attempt, "entry-2-0c2wfor4o-dda1", attempt[:24], now, time.Hour))
			}
			bytes := 0
			b.ResetTimer()
			for range b.N {
				s := new(bwclaim.Shard)
				value, err := bwcodec.MarshalBinary(s.NextBatch("entry-2", records, now))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(value)
			}
			b.ReportMetric(float64(bytes), "bytes-value")
		})
	}
}
